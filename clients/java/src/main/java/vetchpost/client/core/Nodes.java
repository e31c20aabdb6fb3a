package vetchpost.client.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The nodes that calls go to, and the choice among them: the better of two drawn at random (Mitzenmacher, "The Power
 * of Two Choices", 2001), among the local nodes while one of them is available. Used by {@link Caller} on its thread.
 */
final class Nodes {
    private final Settings settings;
    private final DoubleSupplier random;
    private final List<Node> nodes = new ArrayList<>();

    Nodes(Settings settings, DoubleSupplier random) {
        this.settings = settings;
        this.random = random;
    }

    /** Adds a node. One that is present stays as it is; one that is being removed is added as a new node. */
    void add(String name, boolean local, long nowMs) {
        if (nodes.stream().noneMatch(n -> n.name.equals(name) && !n.isRemoved())) {
            nodes.add(new Node(name, local, settings, nowMs));
        }
    }

    void remove(String name) {
        nodes.stream().filter(n -> n.name.equals(name)).forEach(Node::remove);
        removeDrained();
    }

    /** Drops removed nodes that have no attempts in flight. */
    void removeDrained() {
        nodes.removeIf(Node::isDrained);
    }

    boolean anyAvailable(long nowMs) {
        return nodes.stream().anyMatch(n -> n.isAvailable(nowMs));
    }

    boolean anyInRotation(long nowMs) {
        return nodes.stream().anyMatch(n -> n.isInRotation(nowMs));
    }

    /** Returns the earliest time at which an ejected node gets a trial attempt; -1 if none is due later. */
    long nextTrialMs(long nowMs) {
        return nodes.stream()
                .mapToLong(n -> n.trialMs(nowMs))
                .filter(t -> t >= 0)
                .min()
                .orElse(-1);
    }

    /** Whether a node that matches may get an attempt now. */
    boolean anyAvailableAmong(long nowMs, Predicate<Node> matches) {
        return nodes.stream().anyMatch(n -> n.isAvailable(nowMs) && matches.test(n));
    }

    /**
     * Returns the earliest time at which a call may get a node: now if one is only at its limit, the largest number if
     * there are no nodes.
     *
     * @param notBeforeMs when a node accepts the call by its Retry-After
     */
    long earliestSendMs(long nowMs, ToLongFunction<Node> notBeforeMs) {
        long earliest = Long.MAX_VALUE;
        for (Node node : nodes) {
            if (!node.isRemoved()) {
                long sendMs = Math.max(Math.max(nowMs, node.trialMs(nowMs)), notBeforeMs.applyAsLong(node));
                earliest = Math.min(earliest, sendMs);
            }
        }
        return earliest;
    }

    /**
     * Returns the node for an attempt, or null if no usable node is available.
     *
     * @param mayUse whether a node may be chosen at all
     * @param tried whether the call has been sent to a node before; others are preferred
     */
    Node choose(long nowMs, Predicate<Node> mayUse, Predicate<Node> tried) {
        List<Node> candidates = new ArrayList<>();
        for (Node node : nodes) {
            if (node.isAvailable(nowMs) && mayUse.test(node)) {
                candidates.add(node);
            }
        }
        candidates = preferred(candidates, n -> !tried.test(n));
        candidates = preferred(candidates, n -> n.local);
        if (candidates.size() < 2) {
            return candidates.isEmpty() ? null : candidates.get(0);
        }
        int first = randomIndex(candidates.size());
        int second = randomIndex(candidates.size() - 1);
        if (second >= first) {
            second++;
        }
        return candidates.get(second).score(nowMs) < candidates.get(first).score(nowMs)
                ? candidates.get(second)
                : candidates.get(first);
    }

    private static List<Node> preferred(List<Node> candidates, Predicate<Node> isPreferred) {
        List<Node> matching = candidates.stream().filter(isPreferred).toList();
        return matching.isEmpty() ? candidates : matching;
    }

    private int randomIndex(int size) {
        return (int) (random.getAsDouble() * size);
    }
}
