package vetchpost.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Indexes the servers in use by what the balancer selects them by: draw weight, capacity, zone, cell, ejection and
 * trial time. An update of one server costs constant or logarithmic time whatever the size of the fleet. It belongs to
 * one {@link ServiceQBalancer} and its thread.
 */
final class Fleet {
    /** Stands for no zone, where none is preferred. */
    private static final int NO_ZONE = Integer.MIN_VALUE;

    private static final IndexedSet<Server> EMPTY = new IndexedSet<>(0);

    /** The servers in use, in list order, and those of them that are ejected. */
    final IndexedSet<Server> ready = new IndexedSet<>(0);

    final IndexedSet<Server> ejected = new IndexedSet<>(1);
    /** Indexes to draw from: all servers in use and those of this node's zone; of both, those with capacity. */
    final DrawIndex<Server> allZones = new DrawIndex<>(0);

    final DrawIndex<Server> allZonesWithCapacity = new DrawIndex<>(1);
    final DrawIndex<Server> localZone;
    final DrawIndex<Server> localZoneWithCapacity;
    /** Ejected servers with nothing in flight, by the time of their next trial. */
    final TreeSet<Server> ejectedByTrialTime = new TreeSet<>(new Server.DueTimeOrder(Server.DueTimeOrder.TRIALS));
    /** Sum of the list weights of the servers in use. */
    double totalWeight;

    private final Map<Integer, IndexedSet<Server>> serversByZone = new HashMap<>();
    private final Map<Integer, IndexedSet<Server>> serversByCell = new HashMap<>();
    private final int myZone;

    /** Creates a fleet without zones: the local zone's indexes are those of all zones. */
    Fleet() {
        myZone = NO_ZONE;
        localZone = allZones;
        localZoneWithCapacity = allZonesWithCapacity;
    }

    /** Creates a fleet in which the servers of this node's zone have indexes of their own. */
    Fleet(int myZone) {
        this.myZone = myZone;
        localZone = new DrawIndex<>(2);
        localZoneWithCapacity = new DrawIndex<>(3);
    }

    /** Adds a server; {@link #updateIndexes} must follow. */
    void add(Server server) {
        ready.add(server);
        add(serversByZone, server.zone, 2, server);
        add(serversByCell, server.cell, 3, server);
        totalWeight += server.weight;
    }

    /** Removes a server before anything of it changes; {@link #updateIndexes} must follow. */
    void remove(Server server) {
        ready.remove(server);
        remove(serversByZone, server.zone, server);
        remove(serversByCell, server.cell, server);
        // Rounding errors would otherwise accumulate.
        totalWeight = ready.size() == 0 ? 0 : totalWeight - server.weight;
    }

    private static void add(Map<Integer, IndexedSet<Server>> groups, int key, int slot, Server server) {
        IndexedSet<Server> group = groups.get(key);
        if (group == null) {
            group = new IndexedSet<>(slot);
            groups.put(key, group);
        }
        group.add(server);
    }

    private static void remove(Map<Integer, IndexedSet<Server>> groups, int key, Server server) {
        IndexedSet<Server> group = groups.get(key);
        group.remove(server);
        if (group.size() == 0) {
            groups.remove(key);
        }
    }

    /**
     * Updates the indexes after a change of a server's errors, weight, limit, ejection or requests in flight.
     *
     * @param atLimit whether the server is at its limit
     */
    void updateIndexes(Server server, boolean atLimit) {
        boolean inUse = ready.contains(server);
        boolean local = inUse && server.zone == myZone;
        boolean hasCapacity = inUse && !server.ejected && !atLimit;
        setMembership(allZones, server, inUse);
        setMembership(allZonesWithCapacity, server, hasCapacity);
        if (localZone != allZones) {
            setMembership(localZone, server, local);
            setMembership(localZoneWithCapacity, server, local && hasCapacity);
        }
        if (inUse && server.ejected) {
            ejected.add(server);
            if (server.inFlight == 0) {
                ejectedByTrialTime.add(server);
            } else {
                ejectedByTrialTime.remove(server);
            }
        } else if (ejected.contains(server)) {
            ejected.remove(server);
            ejectedByTrialTime.remove(server);
        }
    }

    private static void setMembership(DrawIndex<Server> index, Server server, boolean isMember) {
        if (isMember) {
            index.put(server);
        } else {
            index.remove(server);
        }
    }

    /** Returns the servers in use of a zone. */
    IndexedSet<Server> serversInZone(int zone) {
        return serversByZone.getOrDefault(zone, EMPTY);
    }

    /** Returns the servers in use of a cell. */
    IndexedSet<Server> serversInCell(int cell) {
        return serversByCell.getOrDefault(cell, EMPTY);
    }
}
