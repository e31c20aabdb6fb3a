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
 * The part of a large fleet that one of many nodes sends to, so that not every node holds connections to
 * every server. All ready servers stand on a ring in the order of a hash of their ids, or their cells do,
 * where repeats must stay in one; node i of N begins at the i-th of N equal parts and takes as many in a row
 * as it is to have (deterministic aperture, as in Finagle). So each server has as many nodes as any other,
 * but for one, and one more or less in the fleet changes little. A node whose servers are ill by half takes
 * twice as many, and again, up to the whole fleet, and goes back when they are well. No I/O, and no clock
 * but what it is told.
 */
public final class Subset {
    /** Failures in a row from which on a server counts as ill. */
    static final int UNHEALTHY_FAILURE_COUNT = 3;
    /** A widened node takes half as many again after so long without half of them ill. */
    static final long NARROWING_INTERVAL_US = 10_000_000;

    private static final int MAX_NODES = 100_000;

    private final int nodeIndex;
    private final int nodeCount;
    private final int minServers;
    private final boolean selectsWholeCells;
    private final Map<String, Target> knownServers = new LinkedHashMap<>();
    /** The ready servers by the places of their units on the ring. */
    private final TreeMap<Long, List<Target>> ring = new TreeMap<>();

    private Map<String, Target> selected = new LinkedHashMap<>();
    private final Map<String, Integer> failureStreaks = new HashMap<>();
    private int unhealthyCount;
    private int wideningFactor = 1;
    private long healthySinceUs;

    /**
     * Nobody known yet.
     *
     * @param node this node's number, from 0
     * @param nodes how many there are
     * @param size how many servers it is to have at least, if there are as many
     * @param byCell whether all servers of a cell are taken or none
     * @throws IllegalArgumentException if a figure is out of range
     */
    public Subset(int node, int nodes, int size, boolean byCell) {
        if (nodes < 1 || nodes > MAX_NODES || node < 0 || node >= nodes || size < 1) {
            throw new IllegalArgumentException("node " + node + " of " + nodes + " can't have " + size);
        }
        this.nodeIndex = node;
        this.nodeCount = nodes;
        this.minServers = size;
        this.selectsWholeCells = byCell;
    }

    /** What of a list this node is to know; nothing has changed for it if the result is empty. */
    ServerListQueue.ListChunk filter(ServerListQueue.ListChunk slice) {
        ServerList list = slice.list();
        if (slice.kind() != ListKind.CHANGES) {
            knownServers.clear();
            ring.clear();
        }
        boolean moved = slice.kind() != ListKind.CHANGES;
        for (Target target : list.targets()) {
            Target before = target.state() == ServerState.GONE
                    ? knownServers.remove(target.id())
                    : knownServers.put(target.id(), target);
            moved |= removeFromRing(before);
            moved |= addToRing(target);
        }
        List<Target> changes = moved ? reselect() : new ArrayList<>();
        if (slice.kind() != ListKind.CHANGES) {
            changes = new ArrayList<>(selected.values());
        } else {
            // What has changed of one that stays, or drains.
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
        return new ServerListQueue.ListChunk(slice.kind(), new ServerList(list.revision(), list.isFull(), changes));
    }

    private boolean addToRing(Target target) {
        if (target.state() == ServerState.READY) {
            ring.computeIfAbsent(ringPosition(target), s -> new ArrayList<>(1)).add(target);
            return true;
        }
        return false;
    }

    private boolean removeFromRing(Target target) {
        if (target == null || target.state() != ServerState.READY) {
            return false;
        }
        List<Target> unit = ring.get(ringPosition(target));
        unit.removeIf(t -> t.id().equals(target.id()));
        if (unit.isEmpty()) {
            ring.remove(ringPosition(target));
        }
        return true;
    }

    /** Where a server, or its cell, stands. */
    private long ringPosition(Target target) {
        return HashRing.position(selectsWholeCells ? Integer.toString(target.cell()) : target.id());
    }

    /** Chooses anew; what is new to the node, and as gone what it is to leave alone. */
    private List<Target> reselect() {
        Map<String, Target> next = new LinkedHashMap<>();
        List<List<Target>> units = new ArrayList<>(ring.values());
        long wanted = (long) minServers * wideningFactor;
        int first = (int) ((long) nodeIndex * units.size() / nodeCount);
        for (int i = 0; i < units.size() && next.size() < wanted; i++) {
            units.get((first + i) % units.size()).forEach(t -> next.put(t.id(), t));
        }
        List<Target> changes = new ArrayList<>();
        selected.forEach((id, target) -> {
            Target now = knownServers.get(id);
            if (now != null && now.state() == ServerState.DRAINING) {
                next.put(id, target);
            } else if (!next.containsKey(id)) {
                clearFailures(id);
                changes.add(asGone(target));
            }
        });
        next.forEach((id, target) -> {
            if (!selected.containsKey(id)) {
                changes.add(target);
            }
        });
        selected = next;
        return changes;
    }

    /**
     * An attempt at a server has ended.
     *
     * @return what changes for this node by it, empty as a rule
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

    /** How many servers this node has just now. */
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
