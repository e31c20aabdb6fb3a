package vetchpost.recovery;

import java.io.IOException;
import java.util.List;

/** Stores snapshots, in a file outside of tests. May block; called by {@link Recovery} on its writer, not on a loop. */
public interface SnapshotKeeper {
    /**
     * Replaces the stored snapshot.
     *
     * @param chunks encoded chunks of the snapshot
     * @return its length in bytes
     * @throws IOException if it can't be stored; the previous one is still there
     */
    long write(List<byte[]> chunks) throws IOException;
}
