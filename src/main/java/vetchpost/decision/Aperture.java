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
    private static final long WINDOW_US = 1_000_000;
    /** Share of a new span in the running mean: some seconds of them even out chance. */
    private static final double DEMAND_GAIN = 0.3;
    /** A node that is asked for less takes less after so many spans: a pause is no change. */
    private static final int MAX_WINDOWS_BEFORE_NARROWING = 5;
    /** Widened for ill servers, it takes half as many again after so long without half of them ill. */
    private static final long FAILURE_WIDENING_US = 10_000_000;
    /** Two are drawn, and one more may be gone before the list says so. */
    private static final int MIN_SERVERS = 3;

    private static final Comparator<Server> BY_RING_POSITION =
            Comparator.comparingLong((Server s) -> s.ringPosition).thenComparing(s -> s.id);

    private final int nodeIndex;
    private final int nodeCount;
    private final double concurrencyPerServer;
    private final List<Server> ring = new ArrayList<>();
    private boolean changed;
    private long windowStart;
    private double windowWorkUs;
    private int windowCount;
    /** Servers that what comes would keep busy, in the mean. */
    private double busyServers;

    private int demandMultiple = 1;
    private int lowDemandWindows;
    private int failureMultiple = 1;
    private long failureMultipleAt;

    /**
     * No servers so far.
     *
     * @param node this node's number, from 0
     * @param nodes how many there are
     * @param bears requests that a server bears at once, from all nodes together
     */
    Aperture(int node, int nodes, double bears) {
        this.nodeIndex = node;
        this.nodeCount = nodes;
        this.concurrencyPerServer = bears;
    }

    /** Takes in a server that is ready. */
    void add(Server server) {
        int place = Collections.binarySearch(ring, server, BY_RING_POSITION);
        if (place < 0) {
            ring.add(-place - 1, server);
            changed = true;
        }
    }

    /** Takes out one that may not be in. */
    void remove(Server server) {
        int place = Collections.binarySearch(ring, server, BY_RING_POSITION);
        if (place >= 0) {
            ring.remove(place);
            changed = true;
        }
    }

    /** Whether the part may have changed since this was asked last. */
    boolean hasChangedSinceLastCheck() {
        boolean was = changed;
        changed = false;
        return was;
    }

    /** How many nodes have one server, in the mean; the whole number of them if each has all. */
    double meanNodesPerServer() {
        int each = Math.min(ring.size(), baseSize());
        return ring.isEmpty() ? nodeCount : Math.max(1, (double) nodeCount * each / ring.size());
    }

    /** How many servers a node has that is asked for no more than its part. */
    private int baseSize() {
        return Math.max(MIN_SERVERS, (int) Math.ceil(concurrencyPerServer * ring.size() / nodeCount));
    }

    /** How many servers this node has. */
    int size() {
        return (int) Math.min(ring.size(), (long) baseSize() * demandMultiple * failureMultiple);
    }

    /** The servers of the part, in ring order. */
    private List<Server> selectedServers() {
        List<Server> part = new ArrayList<>();
        int first = (int) ((long) nodeIndex * ring.size() / nodeCount);
        for (int i = 0; i < size(); i++) {
            part.add(ring.get((first + i) % ring.size()));
        }
        return part;
    }

    /** Which of those in use are not of the part any more. */
    List<Server> serversToRemove(IndexedSet<Server> inUse) {
        List<Server> leaving = new ArrayList<>();
        Set<Server> part = new HashSet<>(selectedServers());
        for (int i = 0; i < inUse.size(); i++) {
            if (!part.contains(inUse.get(i))) {
                leaving.add(inUse.get(i));
            }
        }
        return leaving;
    }

    /** Which are of the part and not in use yet, in the order in which they were named first. */
    List<Server> serversToAdd(IndexedSet<Server> inUse) {
        List<Server> joining = selectedServers();
        joining.removeIf(inUse::contains);
        joining.sort(Comparator.comparingLong(s -> s.sequenceNumber));
        return joining;
    }

    /**
     * A request has come.
     *
     * @param workUs how long a server takes for such a one at least; not below 0, and Double.MAX_VALUE if
     *     that is not known
     * @return whether the part may have changed
     */
    boolean recordRequest(long nowUs, double workUs) {
        if (windowStart == 0) {
            windowStart = nowUs;
        }
        windowWorkUs += workUs < Double.MAX_VALUE ? workUs : 0;
        long spanUs = nowUs - windowStart;
        if (spanUs < WINDOW_US) {
            return false;
        }
        busyServers += Math.max(DEMAND_GAIN, 1.0 / ++windowCount) * (windowWorkUs / spanUs - busyServers);
        windowStart = nowUs;
        windowWorkUs = 0;
        int before = size();
        int wanted = Math.max(1, (int) Math.round(busyServers * nodeCount / Math.max(1, ring.size())));
        lowDemandWindows = wanted < demandMultiple ? lowDemandWindows + 1 : 0;
        if (wanted > demandMultiple || lowDemandWindows > MAX_WINDOWS_BEFORE_NARROWING) {
            demandMultiple = wanted;
            lowDemandWindows = 0;
        }
        if (failureMultiple > 1 && nowUs - failureMultipleAt >= FAILURE_WIDENING_US) {
            failureMultipleAt = nowUs;
            failureMultiple /= 2;
        }
        changed |= before != size();
        return changed;
    }

    /** Half of the part is ill. */
    void widenForFailures(long nowUs) {
        failureMultipleAt = nowUs;
        if (size() < ring.size()) {
            failureMultiple *= 2;
            changed = true;
        }
    }
}
