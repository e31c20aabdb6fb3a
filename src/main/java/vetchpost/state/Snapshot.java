package vetchpost.state;

import java.util.List;

/**
 * What a node knows of its servers and request classes, or a part of that. Immutable.
 *
 * @param classes in the order of the servers' failure streaks
 */
public record Snapshot(SnapshotOrigin origin, List<ClassState> classes, List<ServerRecord> servers) {
    /** As many servers as a list may hold. */
    public static final int MAX_SERVERS = 100_000;
    /** More classes than any settings have. */
    public static final int MAX_CLASSES = 64;

    /** Copies the lists. */
    public Snapshot {
        classes = List.copyOf(classes);
        servers = List.copyOf(servers);
    }
}
