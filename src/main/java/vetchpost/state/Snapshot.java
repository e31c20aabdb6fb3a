package vetchpost.state;

import java.util.List;

/**
 * What a node knows: of its boxes and of its classes, or a part of it.
 *
 * @param classes in an order that the boxes' misses follow
 */
public record Snapshot(Origin origin, List<ClassState> classes, List<BoxState> boxes) {
    /** More boxes than a list may hold are no snapshot of a node. */
    public static final int MOST_BOXES = 100_000;
    /** More classes than settings have. */
    public static final int MOST_CLASSES = 64;

    /** Lists don't change once they are here. */
    public Snapshot {
        classes = List.copyOf(classes);
        boxes = List.copyOf(boxes);
    }
}
