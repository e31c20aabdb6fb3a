package vetchpost.state;

import java.util.Set;

/**
 * Where and when a snapshot was taken.
 *
 * @param id random id, so that chunks of two snapshots are not mixed
 * @param takenMs when it was taken, Unix time in milliseconds
 * @param startedMs when its node started, Unix time in milliseconds
 * @param revision revision of the server list that it contains
 * @param selfFaults faults that its node reported of itself
 */
public record SnapshotOrigin(long id, long takenMs, long startedMs, long revision, Set<SelfFault> selfFaults) {
    /** Copies the set. */
    public SnapshotOrigin {
        selfFaults = Set.copyOf(selfFaults);
    }
}
