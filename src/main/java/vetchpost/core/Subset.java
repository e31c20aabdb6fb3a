package vetchpost.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.HashRing;

/**
 * Selects the servers of a large fleet that this node, one of many, sends to, so that not every node holds connections
 * to every server (deterministic aperture, as in Finagle). All ready servers stand on a ring in the order of a hash of
 * their ids; or their cells do, where retries must stay within one. Node i of N starts at the i-th of N equal parts and
 * takes as many servers in a row as it is to have. So the numbers of nodes per server differ by one at most, and a
 * server more or less changes little.
 *
 * <p>A node with more than half of its servers unhealthy doubles its subset, up to the whole fleet, and narrows it
 * again when they have recovered. The {@link Dispatcher} passes lists and ended attempts through it, on the node's
 * event loop. No I/O and no clock of its own.
 */
public final class Subset {
    /** Consecutive failures from which on a server counts as unhealthy. */
    static final int UNHEALTHY_FAILURE_COUNT = 3;
    /** A widened subset is halved after this long without half of its servers unhealthy. */
    static final long NARROWING_INTERVAL_US = 10_000_000;

    private static final int MAX_NODES = 100_000;

    private final int nodeIndex;
    private final int nodeCount;
    private final int minServers;
    private final boolean selectsWholeCells;
    private final Map<String, Target> knownServers = new LinkedHashMap<>();
    /** The ready servers by the ring positions of their units (a server or a cell). */
    private final TreeMap<Long, List<Target>> ring = new TreeMap<>();

    private Map<String, Target> selected = new LinkedHashMap<>();
    private final Map<String, Integer> failureStreaks = new HashMap<>();
    private int unhealthyCount;
    private int wideningFactor = 1;
    private long healthySinceUs;

    /**
     * Creates a subset without servers.
     *
     * @param nodeIndex this node's number, from 0 to {@code nodeCount} - 1
     * @param nodeCount number of nodes, from 1 to 100,000
     * @param minServers how many servers this node is to have at least, from 1, as far as the fleet has them
     * @param selectsWholeCells whether all servers of a cell are selected or none
     * @throws IllegalArgumentException if an argument is out of range
     */
    public Subset(int nodeIndex, int nodeCount, int minServers, boolean selectsWholeCells) {
        if (nodeCount < 1 || nodeCount > MAX_NODES || nodeIndex < 0 || nodeIndex >= nodeCount || minServers < 1) {
            throw new IllegalArgumentException(
                    "invalid subset (index from 0 to nodes - 1, nodes from 1 to 100000, at least 1 server): index "
                            + nodeIndex + ", nodes " + nodeCount + ", servers " + minServers);
        }
        this.nodeIndex = nodeIndex;
        this.nodeCount = nodeCount;
        this.minServers = minServers;
        this.selectsWholeCells = selectsWholeCells;
    }

    /** The part of a list chunk that concerns this node; an empty one if nothing has changed for it. */
    ServerListQueue.ListChunk filter(ServerListQueue.ListChunk chunk) {
        ServerList list = chunk.list();
        if (chunk.kind() != ListKind.CHANGES) {
            knownServers.clear();
            ring.clear();
        }
        boolean hasRingChanged = chunk.kind() != ListKind.CHANGES;
        for (Target target : list.targets()) {
            Target previous = target.state() == ServerState.GONE
                    ? knownServers.remove(target.id())
                    : knownServers.put(target.id(), target);
            hasRingChanged |= removeFromRing(previous);
            hasRingChanged |= addToRing(target);
        }
        List<Target> changes = hasRingChanged ? reselect() : new ArrayList<>();
        if (chunk.kind() != ListKind.CHANGES) {
            changes = new ArrayList<>(selected.values());
        } else {
            // Changes of selected servers that stay, drain or have gone.
            for (Target target : list.targets()) {
                if (target.state() == ServerState.GONE) {
                    if (selected.remove(target.id()) != null) {
                        clearFailures(target.id());
                        changes.add(target);
                    }
                } else if (selected.containsKey(target.id()) && !target.equals(selected.put(target.id(), target))) {
                    changes.add(target);
                }
            }
        }
        return new ServerListQueue.ListChunk(chunk.kind(), new ServerList(list.revision(), list.isFull(), changes));
    }

    private boolean addToRing(Target target) {
        if (target.state() == ServerState.READY) {
            ring.computeIfAbsent(ringPosition(target), position -> new ArrayList<>(1))
                    .add(target);
            return true;
        }
        return false;
    }

    private boolean removeFromRing(Target target) {
        if (target == null || target.state() != ServerState.READY) {
            return false;
        }
        List<Target> unit = ring.get(ringPosition(target));
        unit.removeIf(server -> server.id().equals(target.id()));
        if (unit.isEmpty()) {
            ring.remove(ringPosition(target));
        }
        return true;
    }

    /** The position of a server, or of its cell. */
    private long ringPosition(Target target) {
        return HashRing.position(selectsWholeCells ? Integer.toString(target.cell()) : target.id());
    }

    /** Selects anew. Returns the servers that are new to the node, and those it no longer has as gone. */
    private List<Target> reselect() {
        Map<String, Target> newlySelected = new LinkedHashMap<>();
        List<List<Target>> units = new ArrayList<>(ring.values());
        long targetCount = (long) minServers * wideningFactor;
        int firstUnit = (int) ((long) nodeIndex * units.size() / nodeCount);
        for (int i = 0; i < units.size() && newlySelected.size() < targetCount; i++) {
            units.get((firstUnit + i) % units.size()).forEach(target -> newlySelected.put(target.id(), target));
        }
        List<Target> changes = new ArrayList<>();
        selected.forEach((id, target) -> {
            Target current = knownServers.get(id);
            if (current != null && current.state() == ServerState.DRAINING) {
                newlySelected.put(id, target);
            } else if (!newlySelected.containsKey(id)) {
                clearFailures(id);
                changes.add(asGone(target));
            }
        });
        newlySelected.forEach((id, target) -> {
            if (!selected.containsKey(id)) {
                changes.add(target);
            }
        });
        selected = newlySelected;
        return changes;
    }

    /**
     * Counts the end of an attempt at a server, and widens or narrows the subset if that is due.
     *
     * @param nowUs the node's time in microseconds
     * @return the changes for this node; usually empty
     */
    List<Target> onAttemptEnded(String id, Result result, long nowUs) {
        switch (result) {
            case OK -> clearFailures(id);
            case ERROR, RESET, TIMEOUT, CONNECT_FAILED -> {
                if (selected.containsKey(id)) {
                    unhealthyCount += failureStreaks.merge(id, 1, Integer::sum) == UNHEALTHY_FAILURE_COUNT ? 1 : 0;
                }
            }
            default -> {}
        }
        if (2 * unhealthyCount > selected.size()) {
            healthySinceUs = nowUs;
            if (selected.size() < knownServers.size()) {
                wideningFactor *= 2;
                return reselect();
            }
        } else if (wideningFactor > 1 && nowUs - healthySinceUs >= NARROWING_INTERVAL_US) {
            healthySinceUs = nowUs;
            wideningFactor /= 2;
            return reselect();
        }
        return List.of();
    }

    private void clearFailures(String id) {
        Integer count = failureStreaks.remove(id);
        unhealthyCount -= count != null && count >= UNHEALTHY_FAILURE_COUNT ? 1 : 0;
    }

    /** Number of servers that this node has now. */
    int serverCount() {
        return selected.size();
    }

    private static Target asGone(Target target) {
        return new Target(
                target.id(),
                target.address(),
                target.zone(),
                target.cell(),
                ServerState.GONE,
                target.weight(),
                target.bootMs());
    }
}
