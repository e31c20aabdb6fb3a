package vetchpost.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Counts the sockets of both sides against the process's limit of descriptors, and makes room by closing
 * idle ones before the system has to refuse one.
 */
public final class SocketBudget {
    /** Descriptors kept back, or half of them if that is less: the runtime's own files and selector, the
     * listening socket, discovery, and those that a close has not given back yet. */
    public static final int RESERVED_DESCRIPTORS = 64;
    /** With fewer the runtime itself can't work. */
    public static final int MIN_DESCRIPTORS = 32;
    /** From so many on there is nothing that a node has to do without. */
    private static final int MIN_AMPLE_DESCRIPTORS = 2 * RESERVED_DESCRIPTORS;
    /** Connections accepted in one turn of the loop: with few, slow turns leave them waiting for several of
     * them; but the count of sockets may pass its bound by as many. */
    private static final int MAX_ACCEPTS_PER_TURN = 32;
    /** Of these, what may be taken by clients that are only told to come again: left in the system's queue,
     * they would be told nothing, and their requests count as taken there. */
    private static final int MAX_REJECTED_CLIENTS = 16;
    /** What the process itself has open. */
    private static final int PROCESS_DESCRIPTORS = 32;
    /** Clients may take this share of the rest: what they ask for needs connections to servers. */
    private static final double MAX_CLIENT_FRACTION = 0.75;

    /** From this share of the limit on clients' connections are many: they ask on a third of it at most. */
    private static final double MANY_CLIENTS_FRACTION = 1.0 / 6;

    /** From this share on none is kept for a next request: the answer says so, which crosses nothing. */
    private static final double CLOSE_AFTER_RESPONSE_FRACTION = 1.0 / 4;

    private final int limit;
    private final int maxSockets;
    private final int maxClients;
    private final int maxRejectedClients;
    private final int closeAfterResponseClients;
    private final int manyClients;
    private BooleanSupplier closeIdleClient = () -> false;
    /** One for each pool, the oldest first: it is the one that takes nothing new. */
    private final List<BooleanSupplier> closeIdleServerActions = new ArrayList<>(1);

    private Runnable onCapacityAvailable = () -> {};
    private int clients;
    private int servers;

    /** Nothing open yet; at most so many descriptors. */
    public SocketBudget(int limit) {
        this.limit = limit;
        maxSockets = Math.max(2, limit - Math.min(RESERVED_DESCRIPTORS, limit / 2));
        maxClients = Math.max(1, (int) (MAX_CLIENT_FRACTION * maxSockets));
        maxRejectedClients = Math.max(0, Math.min(MAX_REJECTED_CLIENTS, limit - PROCESS_DESCRIPTORS - maxSockets));
        closeAfterResponseClients = (int) (CLOSE_AFTER_RESPONSE_FRACTION * limit);
        manyClients = Math.min(maxClients, (int) (MANY_CLIENTS_FRACTION * limit));
    }

    /** How to close an idle connection of the client side, and what to do when there is room again. */
    public void setClientSide(BooleanSupplier closeIdle, Runnable whenRoom) {
        closeIdleClient = closeIdle;
        onCapacityAvailable = whenRoom;
    }

    /** One more way to close an idle connection to a server. */
    public void addServerSide(BooleanSupplier closeIdle) {
        closeIdleServerActions.add(closeIdle);
    }

    /** There is nothing to be closed that way any more. */
    public void removeServerSide(BooleanSupplier closeIdle) {
        closeIdleServerActions.remove(closeIdle);
    }

    public boolean hasCapacityForClient() {
        return clients < maxClients && clients + servers < maxSockets;
    }

    /** Whether there are so few that clients are refused sooner than they would be for want of time. */
    public boolean isScarce() {
        return limit < MIN_AMPLE_DESCRIPTORS;
    }

    /** How many connections are accepted at once at most. */
    public int maxAcceptsPerTurn() {
        return Math.max(1, Math.min(MAX_ACCEPTS_PER_TURN, limit / 8));
    }

    /** How many clients are served at once at most. */
    public int maxClients() {
        return maxClients;
    }

    /** Whether one more client's connection may be accepted, be it to tell it to come again. */
    public boolean mayAccept() {
        return clients < maxClients + maxRejectedClients && clients + servers < maxSockets + maxRejectedClients;
    }

    /** Whether there are more clients' connections than are served. */
    public boolean isOverClientLimit() {
        return clients > maxClients || clients + servers > maxSockets;
    }

    /** Whether idle ones are better closed than kept. */
    public boolean hasManyClients() {
        return clients > manyClients;
    }

    /** Whether a client's connection is better ended with its answer. */
    public boolean shouldCloseAfterResponse() {
        return clients > closeAfterResponseClients;
    }

    /** Counts an accepted connection. */
    public void addClient() {
        clients++;
    }

    /** Closes idle connections if another client's may not be accepted; whether it may now. */
    public boolean freeCapacityForClient() {
        // Several are accepted at once: the count may lie beyond the bound by as many.
        boolean closed = true;
        while (!hasCapacityForClient() && closed) {
            // At the clients' own bound a server's connection less would make no room.
            closed = clients >= maxClients ? closeIdleClient.getAsBoolean() : closeIdle();
        }
        return hasCapacityForClient();
    }

    public void removeClient() {
        clients--;
        onCapacityAvailable.run();
    }

    /** Counts a connection to a server, or says that there is no room for one. */
    public boolean addServer() {
        if (Math.min(clients, maxClients) + servers >= maxSockets && !closeIdle()) {
            return false;
        }
        servers++;
        return true;
    }

    public void removeServer() {
        servers--;
        onCapacityAvailable.run();
    }

    @Override
    public String toString() {
        return "clients " + clients + " of " + maxClients + ", all " + (clients + servers) + " of " + maxSockets;
    }

    /** How many are open: both sides together. */
    public int openCount() {
        return clients + servers;
    }

    /**
     * Closes one idle connection. Servers' first: a request can cross the closing of a client's connection,
     * but of none to a server.
     */
    public boolean closeIdle() {
        for (BooleanSupplier way : closeIdleServerActions) {
            if (way.getAsBoolean()) {
                return true;
            }
        }
        return closeIdleClient.getAsBoolean();
    }
}
