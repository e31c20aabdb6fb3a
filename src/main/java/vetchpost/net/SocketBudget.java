package vetchpost.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Counts connections to clients and servers against the process's descriptor limit, and closes idle ones before the
 * system runs out of descriptors. The client server, its acceptor and the server pools
 * of a node share one and call it on the node's event loop.
 */
public final class SocketBudget {
    /**
     * Descriptors kept for the runtime's files and selector, the listening socket, discovery and sockets whose close is
     * not complete; half of the limit if that is less.
     */
    public static final int RESERVED_DESCRIPTORS = 64;
    /** The runtime itself needs this many. */
    public static final int MIN_DESCRIPTORS = 32;
    /** From this limit on a node is not restricted. */
    private static final int MIN_AMPLE_DESCRIPTORS = 2 * RESERVED_DESCRIPTORS;
    /**
     * Connections accepted in one turn of the event loop. With fewer, connections would wait for several slow turns;
     * with more, the socket count could exceed its limit by more, namely by as many.
     */
    private static final int MAX_ACCEPTS_PER_TURN = 32;
    /**
     * Reserved descriptors that may serve clients above the limit, only to reject them with a retry-after. Left in the
     * accept queue they would get no response, although their requests count as accepted there.
     */
    private static final int MAX_REJECTED_CLIENTS = 16;
    /** Descriptors that the process itself has open. */
    private static final int PROCESS_DESCRIPTORS = 32;
    /** Fraction of the sockets for clients; their requests need the rest for connections to servers. */
    private static final double MAX_CLIENT_FRACTION = 0.75;

    /** Above this fraction of the limit client connections count as many; requests use at most a third of the limit. */
    private static final double MANY_CLIENTS_FRACTION = 1.0 / 6;

    /**
     * Above this fraction of the limit each response closes its connection, which, unlike closing an idle connection,
     * cannot race with the next request.
     */
    private static final double CLOSE_AFTER_RESPONSE_FRACTION = 1.0 / 4;

    private final int limit;
    private final int maxSockets;
    private final int maxClients;
    private final int maxRejectedClients;
    private final int closeAfterResponseClients;
    private final int manyClients;
    private BooleanSupplier closeIdleClient = () -> false;
    /** One for each pool, the oldest first, which receives no new requests. */
    private final List<BooleanSupplier> closeIdleServerActions = new ArrayList<>(1);

    private Runnable onCapacityAvailable = () -> {};
    private int clients;
    private int servers;

    /**
     * Creates an empty budget.
     *
     * @param limit the maximum number of descriptors of the process, at least {@link #MIN_DESCRIPTORS}
     */
    public SocketBudget(int limit) {
        this.limit = limit;
        maxSockets = Math.max(2, limit - Math.min(RESERVED_DESCRIPTORS, limit / 2));
        maxClients = Math.max(1, (int) (MAX_CLIENT_FRACTION * maxSockets));
        maxRejectedClients = Math.max(0, Math.min(MAX_REJECTED_CLIENTS, limit - PROCESS_DESCRIPTORS - maxSockets));
        closeAfterResponseClients = (int) (CLOSE_AFTER_RESPONSE_FRACTION * limit);
        manyClients = Math.min(maxClients, (int) (MANY_CLIENTS_FRACTION * limit));
    }

    /**
     * Sets the actions of the client side.
     *
     * @param closeIdle closes one idle client connection; returns whether there was one
     * @param whenCapacity runs after each closed connection
     */
    public void setClientSide(BooleanSupplier closeIdle, Runnable whenCapacity) {
        closeIdleClient = closeIdle;
        onCapacityAvailable = whenCapacity;
    }

    /** Adds an action that closes one idle server connection and returns whether there was one. */
    public void addServerSide(BooleanSupplier closeIdle) {
        closeIdleServerActions.add(closeIdle);
    }

    /** Removes an action added by {@link #addServerSide}. */
    public void removeServerSide(BooleanSupplier closeIdle) {
        closeIdleServerActions.remove(closeIdle);
    }

    /** Whether another client connection can be served. */
    public boolean hasCapacityForClient() {
        return clients < maxClients && clients + servers < maxSockets;
    }

    /** Whether the limit is so low that clients are rejected for lack of descriptors rather than of time. */
    public boolean isScarce() {
        return limit < MIN_AMPLE_DESCRIPTORS;
    }

    /** The maximum number of connections accepted in one turn of the event loop. */
    public int maxAcceptsPerTurn() {
        return Math.max(1, Math.min(MAX_ACCEPTS_PER_TURN, limit / 8));
    }

    /** The maximum number of client connections served at once. */
    public int maxClients() {
        return maxClients;
    }

    /** Whether another client connection may be accepted, if only to reject its request. */
    public boolean mayAccept() {
        return clients < maxClients + maxRejectedClients && clients + servers < maxSockets + maxRejectedClients;
    }

    /** Whether more client connections are open than can be served. */
    public boolean isOverClientLimit() {
        return clients > maxClients || clients + servers > maxSockets;
    }

    /** Whether there are so many client connections that idle ones should be closed early. */
    public boolean hasManyClients() {
        return clients > manyClients;
    }

    /** Whether client connections should be closed with their response. */
    public boolean shouldCloseAfterResponse() {
        return clients > closeAfterResponseClients;
    }

    /** Counts an accepted client connection. */
    public void addClient() {
        clients++;
    }

    /** Closes idle connections while there is no capacity for another client; returns whether there is now. */
    public boolean freeCapacityForClient() {
        // Several connections are accepted at once, so the count may exceed its limit by as many.
        boolean closed = true;
        while (!hasCapacityForClient() && closed) {
            // At the limit of clients, closing a server connection frees nothing for them.
            closed = clients >= maxClients ? closeIdleClient.getAsBoolean() : closeIdle();
        }
        return hasCapacityForClient();
    }

    /** Counts a closed client connection. */
    public void removeClient() {
        clients--;
        onCapacityAvailable.run();
    }

    /** Counts a new server connection, closing an idle one if needed; returns false if there is no capacity. */
    public boolean addServer() {
        if (Math.min(clients, maxClients) + servers >= maxSockets && !closeIdle()) {
            return false;
        }
        servers++;
        return true;
    }

    /** Counts a closed server connection. */
    public void removeServer() {
        servers--;
        onCapacityAvailable.run();
    }

    @Override
    public String toString() {
        return "clients " + clients + " of " + maxClients + ", all " + (clients + servers) + " of " + maxSockets;
    }

    /** The number of open connections to clients and servers. */
    public int openCount() {
        return clients + servers;
    }

    /**
     * Closes one idle connection. Server connections go first, because closing a client connection can race with its
     * next request.
     *
     * @return whether there was one
     */
    public boolean closeIdle() {
        for (BooleanSupplier closeIdle : closeIdleServerActions) {
            if (closeIdle.getAsBoolean()) {
                return true;
            }
        }
        return closeIdleClient.getAsBoolean();
    }
}
