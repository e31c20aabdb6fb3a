package vetchpost.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the servers that this node uses where there are many nodes: a subset so large that this node's fraction of
 * each server is one concurrent request. All ready servers are on a hash ring of their ids; node i of N starts at the
 * i-th of N equal sections and uses as many servers in a row as it needs (deterministic aperture, as in Finagle), so
 * that node counts per server differ by at most one.
 *
 * <p>A node that is asked for a multiple of its fraction of the fleet's capacity uses that multiple of servers, so that
 * its load on each is no higher than any other node's. A node of whose servers half fail uses twice as many for a
 * while. With few nodes the subset is all servers. No I/O and no clock; {@link ServiceQBalancer} calls it on its
 * thread.
 */
final class Aperture {
    /** Window over which demand is measured. */
    private static final long WINDOW_US = 1_000_000;
    /** Weight of a new window in the running mean: some seconds even out chance. */
    private static final double DEMAND_GAIN = 0.3;
    /** Windows of lower demand after which the subset shrinks: a pause is no change. */
    private static final int MAX_WINDOWS_BEFORE_NARROWING = 5;
    /** Time after which a subset widened for failures is halved, unless half of it fails again. */
    private static final long FAILURE_WIDENING_US = 10_000_000;
    /** Minimum servers of a subset: two are drawn, and one more may be gone before the list says so. */
    private static final int MIN_SERVERS = 3;

    private static final Comparator<Server> BY_RING_POSITION =
            Comparator.comparingLong((Server server) -> server.ringPosition).thenComparing(server -> server.id);

    private final int nodeIndex;
    private final int nodeCount;
    private final double concurrencyPerServer;
    private final List<Server> ring = new ArrayList<>();
    private boolean changed;
    private long windowStart;
    private double windowWorkUs;
    private int windowCount;
    /** Servers that the demand would keep busy, as a running mean. */
    private double busyServers;

    private int demandMultiple = 1;
    private int lowDemandWindows;
    private int failureMultiple = 1;
    private long failureMultipleAt;

    /**
     * Creates an aperture without servers.
     *
     * @param nodeIndex this node's number, from 0
     * @param nodeCount how many nodes there are
     * @param concurrencyPerServer concurrent requests that a server can handle, from all nodes together
     */
    Aperture(int nodeIndex, int nodeCount, double concurrencyPerServer) {
        this.nodeIndex = nodeIndex;
        this.nodeCount = nodeCount;
        this.concurrencyPerServer = concurrencyPerServer;
    }

    /** Adds a server that is ready. */
    void add(Server server) {
        int position = Collections.binarySearch(ring, server, BY_RING_POSITION);
        if (position < 0) {
            ring.add(-position - 1, server);
            changed = true;
        }
    }

    /** Removes a server; no effect if it is not present. */
    void remove(Server server) {
        int position = Collections.binarySearch(ring, server, BY_RING_POSITION);
        if (position >= 0) {
            ring.remove(position);
            changed = true;
        }
    }

    /** Whether the subset may have changed since the last call. */
    boolean hasChangedSinceLastCheck() {
        boolean hadChanged = changed;
        changed = false;
        return hadChanged;
    }

    /** Returns how many nodes use one server, as a mean; the number of nodes if each uses all servers. */
    double meanNodesPerServer() {
        int serversPerNode = Math.min(ring.size(), baseSize());
        return ring.isEmpty() ? nodeCount : Math.max(1, (double) nodeCount * serversPerNode / ring.size());
    }

    /** Returns how many servers a node uses whose demand is within its fraction. */
    private int baseSize() {
        return Math.max(MIN_SERVERS, (int) Math.ceil(concurrencyPerServer * ring.size() / nodeCount));
    }

    /** Returns how many servers this node uses. */
    int size() {
        return (int) Math.min(ring.size(), (long) baseSize() * demandMultiple * failureMultiple);
    }

    /** Returns the servers of the subset, in ring order. */
    private List<Server> selectedServers() {
        List<Server> subset = new ArrayList<>();
        int start = (int) ((long) nodeIndex * ring.size() / nodeCount);
        for (int i = 0; i < size(); i++) {
            subset.add(ring.get((start + i) % ring.size()));
        }
        return subset;
    }

    /** Returns the servers in use that are no longer in the subset. */
    List<Server> serversToRemove(IndexedSet<Server> inUse) {
        List<Server> leaving = new ArrayList<>();
        Set<Server> subset = new HashSet<>(selectedServers());
        for (int i = 0; i < inUse.size(); i++) {
            if (!subset.contains(inUse.get(i))) {
                leaving.add(inUse.get(i));
            }
        }
        return leaving;
    }

    /** Returns the servers of the subset that are not in use yet, in the order in which the list first named them. */
    List<Server> serversToAdd(IndexedSet<Server> inUse) {
        List<Server> joining = selectedServers();
        joining.removeIf(inUse::contains);
        joining.sort(Comparator.comparingLong(s -> s.sequenceNumber));
        return joining;
    }

    /**
     * Records a request.
     *
     * @param nowUs its time
     * @param workUs minimum time that a server takes for such a request; not below 0, and Double.MAX_VALUE if it is not
     *     known
     * @return whether the subset may have changed
     */
    boolean recordRequest(long nowUs, double workUs) {
        if (windowStart == 0) {
            windowStart = nowUs;
        }
        windowWorkUs += workUs < Double.MAX_VALUE ? workUs : 0;
        long windowUs = nowUs - windowStart;
        if (windowUs < WINDOW_US) {
            return false;
        }
        busyServers += Math.max(DEMAND_GAIN, 1.0 / ++windowCount) * (windowWorkUs / windowUs - busyServers);
        windowStart = nowUs;
        windowWorkUs = 0;
        int previousSize = size();
        int wantedMultiple = Math.max(1, (int) Math.round(busyServers * nodeCount / Math.max(1, ring.size())));
        lowDemandWindows = wantedMultiple < demandMultiple ? lowDemandWindows + 1 : 0;
        if (wantedMultiple > demandMultiple || lowDemandWindows > MAX_WINDOWS_BEFORE_NARROWING) {
            demandMultiple = wantedMultiple;
            lowDemandWindows = 0;
        }
        if (failureMultiple > 1 && nowUs - failureMultipleAt >= FAILURE_WIDENING_US) {
            failureMultipleAt = nowUs;
            failureMultiple /= 2;
        }
        changed |= previousSize != size();
        return changed;
    }

    /** Widens the subset because half of its servers fail. */
    void widenForFailures(long nowUs) {
        failureMultipleAt = nowUs;
        if (size() < ring.size()) {
            failureMultiple *= 2;
            changed = true;
        }
    }
}
