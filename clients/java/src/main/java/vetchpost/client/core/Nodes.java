package vetchpost.client.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/** The nodes that calls go to, and the choice among them: the better of two drawn at random (Mitzenmacher,
 * "The Power of Two Choices", 2001), among local ones while one of them has room. */
final class Nodes {
    private final Settings settings;
    private final DoubleSupplier random;
    private final List<Node> nodes = new ArrayList<>();

    Nodes(Settings settings, DoubleSupplier draws) {
        this.settings = settings;
        this.random = draws;
    }

    /** One that is there already stays as it is; one that was being removed comes as a new one. */
    void add(String name, boolean local, long nowMs) {
        if (nodes.stream().noneMatch(n -> n.name.equals(name) && !n.isRemoved())) {
            nodes.add(new Node(name, local, settings, nowMs));
        }
    }

    void remove(String name) {
        nodes.stream().filter(n -> n.name.equals(name)).forEach(Node::remove);
        removeDrained();
    }

    /** Forgets removed nodes that have nothing in flight. */
    void removeDrained() {
        nodes.removeIf(Node::isDrained);
    }

    boolean anyAvailable(long nowMs) {
        return nodes.stream().anyMatch(n -> n.isAvailable(nowMs));
    }

    boolean anyInRotation(long nowMs) {
        return nodes.stream().anyMatch(n -> n.isInRotation(nowMs));
    }

    /** The first time at which a node that is left out is tried again; -1 if none is. */
    long nextTrialMs(long nowMs) {
        return nodes.stream()
                .mapToLong(n -> n.trialMs(nowMs))
                .filter(t -> t >= 0)
                .min()
                .orElse(-1);
    }

    /** Whether one of these may get a call now. */
    boolean anyAvailableAmong(long nowMs, Predicate<Node> which) {
        return nodes.stream().anyMatch(n -> n.isAvailable(nowMs) && which.test(n));
    }

    /**
     * When a call may get a node at the earliest: now if one is merely full, the largest number if there is
     * none.
     *
     * @param notBeforeMs when a node takes the call, by its own word
     */
    long earliestSendMs(long nowMs, ToLongFunction<Node> notBeforeMs) {
        long earliest = Long.MAX_VALUE;
        for (Node node : nodes) {
            if (!node.isRemoved()) {
                long at = Math.max(Math.max(nowMs, node.trialMs(nowMs)), notBeforeMs.applyAsLong(node));
                earliest = Math.min(earliest, at);
            }
        }
        return earliest;
    }

    /** The node for an attempt, or null if none that may be used has room. */
    Node choose(long nowMs, Predicate<Node> mayUse, Predicate<Node> tried) {
        List<Node> some = new ArrayList<>();
        for (Node node : nodes) {
            if (node.isAvailable(nowMs) && mayUse.test(node)) {
                some.add(node);
            }
        }
        some = preferred(some, n -> !tried.test(n));
        some = preferred(some, n -> n.local);
        if (some.size() < 2) {
            return some.isEmpty() ? null : some.get(0);
        }
        int one = randomIndex(some.size());
        int other = randomIndex(some.size() - 1);
        if (other >= one) {
            other++;
        }
        return some.get(other).score(nowMs) < some.get(one).score(nowMs) ? some.get(other) : some.get(one);
    }

    private static List<Node> preferred(List<Node> some, Predicate<Node> better) {
        List<Node> those = some.stream().filter(better).toList();
        return those.isEmpty() ? some : those;
    }

    private int randomIndex(int below) {
        return (int) (random.getAsDouble() * below);
    }
}
