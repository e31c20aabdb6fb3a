package vetchpost.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Counts the sockets of both sides against the process's limit of descriptors, and makes room by closing
 * idle ones before the system has to refuse one.
 */
public final class Sockets {
    /** Descriptors kept back, or half of them if that is less: the runtime's own files and selector, the
     * listening socket, discovery, and those that a close has not given back yet. */
    public static final int RESERVE = 64;
    /** With fewer the runtime itself can't work. */
    public static final int LEAST = 32;
    /** From so many on there is nothing that a node has to do without. */
    private static final int AMPLE = 2 * RESERVE;
    /** Connections accepted in one turn of the loop: with few, slow turns leave them waiting for several of
     * them; but the count of sockets may pass its bound by as many. */
    private static final int MOST_ACCEPTED = 32;
    /** Of these, what may be taken by clients that are only told to come again: left in the system's queue,
     * they would be told nothing, and their requests count as taken there. */
    private static final int TURNED_AWAY = 16;
    /** What the process itself has open. */
    private static final int OWN = 32;
    /** Clients may take this share of the rest: what they ask for needs connections to servers. */
    private static final double CLIENTS_SHARE = 0.75;

    /** From this share of the limit on clients' connections are many: they ask on a third of it at most. */
    private static final double MANY_CLIENTS_SHARE = 1.0 / 6;

    /** From this share on none is kept for a next request: the answer says so, which crosses nothing. */
    private static final double CROWD_SHARE = 1.0 / 4;

    private final int limit;
    private final int most;
    private final int mostClients;
    private final int turnedAway;
    private final int crowd;
    private final int manyClients;
    private BooleanSupplier closeIdleClient = () -> false;
    /** One for each pool, the oldest first: it is the one that takes nothing new. */
    private final List<BooleanSupplier> closeIdleServer = new ArrayList<>(1);

    private Runnable onRoom = () -> {};
    private int clients;
    private int servers;

    /** Nothing open yet; at most so many descriptors. */
    public Sockets(int limit) {
        this.limit = limit;
        most = Math.max(2, limit - Math.min(RESERVE, limit / 2));
        mostClients = Math.max(1, (int) (CLIENTS_SHARE * most));
        turnedAway = Math.max(0, Math.min(TURNED_AWAY, limit - OWN - most));
        crowd = (int) (CROWD_SHARE * limit);
        manyClients = Math.min(mostClients, (int) (MANY_CLIENTS_SHARE * limit));
    }

    /** How to close an idle connection of the client side, and what to do when there is room again. */
    public void clientSide(BooleanSupplier closeIdle, Runnable whenRoom) {
        closeIdleClient = closeIdle;
        onRoom = whenRoom;
    }

    /** One more way to close an idle connection to a server. */
    public void addServerSide(BooleanSupplier closeIdle) {
        closeIdleServer.add(closeIdle);
    }

    /** There is nothing to be closed that way any more. */
    public void removeServerSide(BooleanSupplier closeIdle) {
        closeIdleServer.remove(closeIdle);
    }

    public boolean isClientRoom() {
        return clients < mostClients && clients + servers < most;
    }

    /** Whether there are so few that clients are refused sooner than they would be for want of time. */
    public boolean areFew() {
        return limit < AMPLE;
    }

    /** How many connections are accepted at once at most. */
    public int acceptedAtOnce() {
        return Math.max(1, Math.min(MOST_ACCEPTED, limit / 8));
    }

    /** How many clients are served at once at most. */
    public int mostClients() {
        return mostClients;
    }

    /** Whether one more client's connection may be accepted, be it to tell it to come again. */
    public boolean mayAccept() {
        return clients < mostClients + turnedAway && clients + servers < most + turnedAway;
    }

    /** Whether there are more clients' connections than are served. */
    public boolean areClientsOver() {
        return clients > mostClients || clients + servers > most;
    }

    /** Whether idle ones are better closed than kept. */
    public boolean areClientsMany() {
        return clients > manyClients;
    }

    /** Whether a client's connection is better ended with its answer. */
    public boolean areClientsCrowded() {
        return clients > crowd;
    }

    /** Counts an accepted connection. */
    public void addClient() {
        clients++;
    }

    /** Closes idle connections if another client's may not be accepted; whether it may now. */
    public boolean makeClientRoom() {
        // Several are accepted at once: the count may lie beyond the bound by as many.
        boolean closed = true;
        while (!isClientRoom() && closed) {
            // At the clients' own bound a server's connection less would make no room.
            closed = clients >= mostClients ? closeIdleClient.getAsBoolean() : closeIdle();
        }
        return isClientRoom();
    }

    public void removeClient() {
        clients--;
        onRoom.run();
    }

    /** Counts a connection to a server, or says that there is no room for one. */
    public boolean addServer() {
        if (Math.min(clients, mostClients) + servers >= most && !closeIdle()) {
            return false;
        }
        servers++;
        return true;
    }

    public void removeServer() {
        servers--;
        onRoom.run();
    }

    @Override
    public String toString() {
        return "clients " + clients + " of " + mostClients + ", all " + (clients + servers) + " of " + most;
    }

    /** How many are open: both sides together. */
    public int open() {
        return clients + servers;
    }

    /**
     * Closes one idle connection. Servers' first: a request can cross the closing of a client's connection,
     * but of none to a server.
     */
    public boolean closeIdle() {
        for (BooleanSupplier way : closeIdleServer) {
            if (way.getAsBoolean()) {
                return true;
            }
        }
        return closeIdleClient.getAsBoolean();
    }
}
