package vetchpost.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The ready servers, and indexes of them by all that is asked for: draws, room, zones and cells, ejection and
 * trials. A change of one server costs no more in a large fleet than in a small one, but for a logarithm.
 */
final class Fleet {
    /** No zone is nearer than another. */
    private static final int NO_ZONE = Integer.MIN_VALUE;

    private static final IndexedSet<Server> EMPTY = new IndexedSet<>(0);

    /** The servers that are ready, in list order, and those of them that are ejected. */
    final IndexedSet<Server> ready = new IndexedSet<>(0);

    final IndexedSet<Server> ejected = new IndexedSet<>(1);
    /** What is drawn from: all servers that are ready, and of this node's own zone; of both, who has room. */
    final DrawIndex<Server> allZones = new DrawIndex<>(0);

    final DrawIndex<Server> allZonesWithCapacity = new DrawIndex<>(1);
    final DrawIndex<Server> localZone;
    final DrawIndex<Server> localZoneWithCapacity;
    /** Ejected servers with nothing in flight, by the times of their trials. */
    final TreeSet<Server> ejectedByTrialTime = new TreeSet<>(new Server.DueTimeOrder(Server.DueTimeOrder.TRIALS));
    /** The sizes of the ready servers, by the list. */
    double totalWeight;

    private final Map<Integer, IndexedSet<Server>> serversByZone = new HashMap<>();
    private final Map<Integer, IndexedSet<Server>> serversByCell = new HashMap<>();
    private final int myZone;

    /** Without zones: what is nearby is what is anywhere. */
    Fleet() {
        myZone = NO_ZONE;
        localZone = allZones;
        localZoneWithCapacity = allZonesWithCapacity;
    }

    /** With a zone of this node's own. */
    Fleet(int myZone) {
        this.myZone = myZone;
        localZone = new DrawIndex<>(2);
        localZoneWithCapacity = new DrawIndex<>(3);
    }

    /** Takes in a server that is ready; to be settled. */
    void add(Server server) {
        ready.add(server);
        add(serversByZone, server.zone, 2, server);
        add(serversByCell, server.cell, 3, server);
        totalWeight += server.weight;
    }

    /** Takes out one that is in, before anything of it changes; to be settled. */
    void remove(Server server) {
        ready.remove(server);
        remove(serversByZone, server.zone, server);
        remove(serversByCell, server.cell, server);
        // A sum of fractions: what rounding has left would else stay for good.
        totalWeight = ready.size() == 0 ? 0 : totalWeight - server.weight;
    }

    private static void add(Map<Integer, IndexedSet<Server>> groups, int key, int place, Server server) {
        IndexedSet<Server> group = groups.get(key);
        if (group == null) {
            group = new IndexedSet<>(place);
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

    /** Has the indexes follow what has changed of a server: errors, size, room, ejection, what is out. */
    void updateIndexes(Server server, boolean full) {
        boolean listed = ready.contains(server);
        boolean near = listed && server.zone == myZone;
        boolean room = listed && !server.ejected && !full;
        setMembership(allZones, server, listed);
        setMembership(allZonesWithCapacity, server, room);
        if (localZone != allZones) {
            setMembership(localZone, server, near);
            setMembership(localZoneWithCapacity, server, near && room);
        }
        if (listed && server.ejected) {
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

    private static void setMembership(DrawIndex<Server> index, Server server, boolean in) {
        if (in) {
            index.put(server);
        } else {
            index.remove(server);
        }
    }

    /** The ready servers of a zone. */
    IndexedSet<Server> serversInZone(int zone) {
        return serversByZone.getOrDefault(zone, EMPTY);
    }

    /** The ready servers of a cell. */
    IndexedSet<Server> serversInCell(int cell) {
        return serversByCell.getOrDefault(cell, EMPTY);
    }
}
