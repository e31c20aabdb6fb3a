package vetchpost.state;

import java.util.Set;

/**
 * Where a snapshot comes from.
 *
 * @param id told apart from all others by it: pieces of two snapshots don't mix
 * @param takenMs when it was taken, Unix time in milliseconds
 * @param startedMs when its node started
 * @param revision of the list that it holds
 * @param troubles by its node's own word
 */
public record SnapshotOrigin(long id, long takenMs, long startedMs, long revision, Set<SelfFault> selfFaults) {
    /** Sets don't change once they are here. */
    public SnapshotOrigin {
        selfFaults = Set.copyOf(selfFaults);
    }
}
