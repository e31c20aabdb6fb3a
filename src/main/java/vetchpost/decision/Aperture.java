package vetchpost.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which of the ready servers this node chooses from, where nodes are many: a part that is as large as makes
 * this node's part of each server one request at once. All ready servers stand on a ring in the order of a
 * hash of their ids; node i of N begins at the i-th of N equal parts and takes as many in a row as it is to
 * have (deterministic aperture, as in Finagle), so that each server has as many nodes as any other, but for
 * one. A node that is asked for more than its part of what all servers can do takes as many times as much,
 * so that its load on each is no more than any other node's; one whose servers are ill by half takes twice as
 * many for a while. With few nodes it is all servers. No I/O, and no clock but what it is told.
 */
final class Aperture {
    /** What comes is counted over so long. */
    private static final long SPAN_US = 1_000_000;
    /** Share of a new span in the running mean: some seconds of them even out chance. */
    private static final double GAIN = 0.3;
    /** A node that is asked for less takes less after so many spans: a pause is no change. */
    private static final int NARROW_AFTER = 5;
    /** Widened for ill servers, it takes half as many again after so long without half of them ill. */
    private static final long WIDENED_US = 10_000_000;
    /** Two are drawn, and one more may be gone before the list says so. */
    private static final int LEAST = 3;

    private static final Comparator<Server> BY_SEAT =
            Comparator.comparingLong((Server s) -> s.seat).thenComparing(s -> s.id);

    private final int node;
    private final int nodes;
    private final double bears;
    private final List<Server> ring = new ArrayList<>();
    private boolean moved;
    private long spanFrom;
    private double spanWork;
    private int spans;
    /** Servers that what comes would keep busy, in the mean. */
    private double demand;

    private int width = 1;
    private int narrower;
    private int widened = 1;
    private long widenedAt;

    /**
     * No servers so far.
     *
     * @param node this node's number, from 0
     * @param nodes how many there are
     * @param bears requests that a server bears at once, from all nodes together
     */
    Aperture(int node, int nodes, double bears) {
        this.node = node;
        this.nodes = nodes;
        this.bears = bears;
    }

    /** Takes in a server that is ready. */
    void add(Server server) {
        int place = Collections.binarySearch(ring, server, BY_SEAT);
        if (place < 0) {
            ring.add(-place - 1, server);
            moved = true;
        }
    }

    /** Takes out one that may not be in. */
    void remove(Server server) {
        int place = Collections.binarySearch(ring, server, BY_SEAT);
        if (place >= 0) {
            ring.remove(place);
            moved = true;
        }
    }

    /** Whether the part may have changed since this was asked last. */
    boolean hasMoved() {
        boolean was = moved;
        moved = false;
        return was;
    }

    /** How many nodes have one server, in the mean; the whole number of them if each has all. */
    double sharers() {
        int each = Math.min(ring.size(), least());
        return ring.isEmpty() ? nodes : Math.max(1, (double) nodes * each / ring.size());
    }

    /** How many servers a node has that is asked for no more than its part. */
    private int least() {
        return Math.max(LEAST, (int) Math.ceil(bears * ring.size() / nodes));
    }

    /** How many servers this node has. */
    int size() {
        return (int) Math.min(ring.size(), (long) least() * width * widened);
    }

    /** The servers of the part, in ring order. */
    private List<Server> part() {
        List<Server> part = new ArrayList<>();
        int first = (int) ((long) node * ring.size() / nodes);
        for (int i = 0; i < size(); i++) {
            part.add(ring.get((first + i) % ring.size()));
        }
        return part;
    }

    /** Which of those in use are not of the part any more. */
    List<Server> leaving(IndexedSet<Server> inUse) {
        List<Server> leaving = new ArrayList<>();
        Set<Server> part = new HashSet<>(part());
        for (int i = 0; i < inUse.size(); i++) {
            if (!part.contains(inUse.get(i))) {
                leaving.add(inUse.get(i));
            }
        }
        return leaving;
    }

    /** Which are of the part and not in use yet, in the order in which they were named first. */
    List<Server> joining(IndexedSet<Server> inUse) {
        List<Server> joining = part();
        joining.removeIf(inUse::contains);
        joining.sort(Comparator.comparingLong(s -> s.number));
        return joining;
    }

    /**
     * A request has come.
     *
     * @param workUs how long a server takes for such a one at least; not below 0, and Double.MAX_VALUE if
     *     that is not known
     * @return whether the part may have changed
     */
    boolean arrived(long nowUs, double workUs) {
        if (spanFrom == 0) {
            spanFrom = nowUs;
        }
        spanWork += workUs < Double.MAX_VALUE ? workUs : 0;
        long spanUs = nowUs - spanFrom;
        if (spanUs < SPAN_US) {
            return false;
        }
        demand += Math.max(GAIN, 1.0 / ++spans) * (spanWork / spanUs - demand);
        spanFrom = nowUs;
        spanWork = 0;
        int before = size();
        int wanted = Math.max(1, (int) Math.round(demand * nodes / Math.max(1, ring.size())));
        narrower = wanted < width ? narrower + 1 : 0;
        if (wanted > width || narrower > NARROW_AFTER) {
            width = wanted;
            narrower = 0;
        }
        if (widened > 1 && nowUs - widenedAt >= WIDENED_US) {
            widenedAt = nowUs;
            widened /= 2;
        }
        moved |= before != size();
        return moved;
    }

    /** Half of the part is ill. */
    void widen(long nowUs) {
        widenedAt = nowUs;
        if (size() < ring.size()) {
            widened *= 2;
            moved = true;
        }
    }
}
