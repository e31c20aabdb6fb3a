package vetchpost.state;

import java.util.List;

/**
 * What a node knows: of its boxes and of its classes, or a part of it.
 *
 * @param classes in an order that the boxes' misses follow
 */
public record Snapshot(SnapshotOrigin origin, List<ClassState> classes, List<ServerRecord> servers) {
    /** More boxes than a list may hold are no snapshot of a node. */
    public static final int MAX_SERVERS = 100_000;
    /** More classes than settings have. */
    public static final int MAX_CLASSES = 64;

    /** Lists don't change once they are here. */
    public Snapshot {
        classes = List.copyOf(classes);
        servers = List.copyOf(servers);
    }
}
