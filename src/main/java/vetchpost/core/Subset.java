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
    static final int ILL_AT = 3;
    /** A widened node takes half as many again after so long without half of them ill. */
    static final long NARROW_US = 10_000_000;

    private static final int MAX_NODES = 100_000;

    private final int node;
    private final int nodes;
    private final int size;
    private final boolean byCell;
    private final Map<String, Target> known = new LinkedHashMap<>();
    /** The ready servers by the places of their units on the ring. */
    private final TreeMap<Long, List<Target>> ring = new TreeMap<>();

    private Map<String, Target> chosen = new LinkedHashMap<>();
    private final Map<String, Integer> failures = new HashMap<>();
    private int ill;
    private int widened = 1;
    private long wellSinceUs;

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
        this.node = node;
        this.nodes = nodes;
        this.size = size;
        this.byCell = byCell;
    }

    /** What of a list this node is to know; nothing has changed for it if the result is empty. */
    ServerListQueue.ListChunk of(ServerListQueue.ListChunk slice) {
        ServerList list = slice.list();
        if (slice.kind() != ListKind.CHANGES) {
            known.clear();
            ring.clear();
        }
        boolean moved = slice.kind() != ListKind.CHANGES;
        for (Target target : list.targets()) {
            Target before =
                    target.state() == ServerState.GONE ? known.remove(target.id()) : known.put(target.id(), target);
            moved |= unplace(before);
            moved |= place(target);
        }
        List<Target> changes = moved ? choose() : new ArrayList<>();
        if (slice.kind() != ListKind.CHANGES) {
            changes = new ArrayList<>(chosen.values());
        } else {
            // What has changed of one that stays, or drains.
            for (Target target : list.targets()) {
                if (target.state() == ServerState.GONE) {
                    if (chosen.remove(target.id()) != null) {
                        forget(target.id());
                        changes.add(target);
                    }
                } else if (chosen.containsKey(target.id()) && !target.equals(chosen.put(target.id(), target))) {
                    changes.add(target);
                }
            }
        }
        return new ServerListQueue.ListChunk(slice.kind(), new ServerList(list.revision(), list.isFull(), changes));
    }

    private boolean place(Target target) {
        if (target.state() == ServerState.READY) {
            ring.computeIfAbsent(seat(target), s -> new ArrayList<>(1)).add(target);
            return true;
        }
        return false;
    }

    private boolean unplace(Target target) {
        if (target == null || target.state() != ServerState.READY) {
            return false;
        }
        List<Target> unit = ring.get(seat(target));
        unit.removeIf(t -> t.id().equals(target.id()));
        if (unit.isEmpty()) {
            ring.remove(seat(target));
        }
        return true;
    }

    /** Where a server, or its cell, stands. */
    private long seat(Target target) {
        return HashRing.position(byCell ? Integer.toString(target.cell()) : target.id());
    }

    /** Chooses anew; what is new to the node, and as gone what it is to leave alone. */
    private List<Target> choose() {
        Map<String, Target> next = new LinkedHashMap<>();
        List<List<Target>> units = new ArrayList<>(ring.values());
        long wanted = (long) size * widened;
        int first = (int) ((long) node * units.size() / nodes);
        for (int i = 0; i < units.size() && next.size() < wanted; i++) {
            units.get((first + i) % units.size()).forEach(t -> next.put(t.id(), t));
        }
        List<Target> changes = new ArrayList<>();
        chosen.forEach((id, target) -> {
            Target now = known.get(id);
            if (now != null && now.state() == ServerState.DRAINING) {
                next.put(id, target);
            } else if (!next.containsKey(id)) {
                forget(id);
                changes.add(gone(target));
            }
        });
        next.forEach((id, target) -> {
            if (!chosen.containsKey(id)) {
                changes.add(target);
            }
        });
        chosen = next;
        return changes;
    }

    /**
     * An attempt at a server has ended.
     *
     * @return what changes for this node by it, empty as a rule
     */
    List<Target> ended(String id, Result result, long nowUs) {
        switch (result) {
            case OK -> forget(id);
            case ERROR, RESET, TIMEOUT, CONNECT_FAILED -> {
                if (chosen.containsKey(id)) {
                    ill += failures.merge(id, 1, Integer::sum) == ILL_AT ? 1 : 0;
                }
            }
            default -> {}
        }
        if (2 * ill > chosen.size()) {
            wellSinceUs = nowUs;
            if (chosen.size() < known.size()) {
                widened *= 2;
                return choose();
            }
        } else if (widened > 1 && nowUs - wellSinceUs >= NARROW_US) {
            wellSinceUs = nowUs;
            widened /= 2;
            return choose();
        }
        return List.of();
    }

    private void forget(String id) {
        Integer count = failures.remove(id);
        ill -= count != null && count >= ILL_AT ? 1 : 0;
    }

    /** How many servers this node has just now. */
    int size() {
        return chosen.size();
    }

    private static Target gone(Target target) {
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
