package vetchpost.recovery;

import java.io.IOException;
import java.util.List;

/** Where snapshots go: a file, or what a test puts there. May block; never called on a node's loop. */
public interface SnapshotKeeper {
    /**
     * Keeps a snapshot in the place of the one before.
     *
     * @return its length in bytes
     * @throws IOException if it can't be kept; the one before is still there
     */
    long write(List<byte[]> pieces) throws IOException;
}
