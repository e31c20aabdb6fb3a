package cedarrelay.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Counts the sockets of both sides against the process's limit of descriptors, and makes room by closing
 * idle ones before the system has to refuse one.
 */
final class Sockets {
    /** Descriptors kept back: the runtime's own files and selector, the listening socket, discovery, and
     * those that a close has not given back yet. */
    static final int RESERVE = 64;
    /** Clients may take this share of the rest: what they ask for needs connections to servers. */
    private static final double CLIENTS_SHARE = 0.75;

    private final int most;
    private final int mostClients;
    private final List<BooleanSupplier> idleClosers = new ArrayList<>();
    private Runnable onRoom = () -> { };
    private int clients;
    private int servers;

    Sockets(int limit) {
        most = Math.max(2, limit - RESERVE);
        mostClients = Math.max(1, (int) (CLIENTS_SHARE * most));
    }

    /** Adds a side that can close one of its idle connections; false from it means that it has none. */
    void addIdleCloser(BooleanSupplier closer) {
        idleClosers.add(closer);
    }

    /** What to do when a client's socket has been given back. */
    void whenRoom(Runnable action) {
        onRoom = action;
    }

    boolean isClientRoom() {
        return clients < mostClients && clients + servers < most;
    }

    /** Counts an accepted connection; whether another one may be accepted after it. */
    boolean addClient() {
        clients++;
        return isClientRoom() || closeIdle() && isClientRoom();
    }

    void removeClient() {
        clients--;
        onRoom.run();
    }

    /** Counts a connection to a server, or says that there is no room for one. */
    boolean addServer() {
        if (clients + servers >= most && !closeIdle()) {
            return false;
        }
        servers++;
        return true;
    }

    void removeServer() {
        servers--;
        onRoom.run();
    }

    /** Closes one idle connection of whichever side has one. */
    boolean closeIdle() {
        for (BooleanSupplier closer : idleClosers) {
            if (closer.getAsBoolean()) {
                return true;
            }
        }
        return false;
    }
}
