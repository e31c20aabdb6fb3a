package vetchpost.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How many connections each side may have, for small and large limits of descriptors. */
class SocketBudgetTest {
    /** What a node's process had open before any connection: 11, and 2 to discovery. */
    private static final int PROCESS_DESCRIPTORS = 13;

    private static SocketBudget fullBudget(int limit) {
        SocketBudget sockets = new SocketBudget(limit);
        while (sockets.addServer()) {
            if (sockets.openCount() > limit) {
                break;
            }
        }
        while (sockets.mayAccept()) {
            sockets.addClient();
        }
        return sockets;
    }

    @ParameterizedTest
    @ValueSource(ints = {32, 40, 64, 65, 66, 100, 128, 256, 512, 1_024, 4_096})
    void staysWithinDescriptorLimit(int limit) {
        SocketBudget sockets = fullBudget(limit);
        assertTrue(sockets.openCount() + PROCESS_DESCRIPTORS <= limit, sockets + " with " + limit);
        // The other way round: clients first.
        SocketBudget clientsFirst = new SocketBudget(limit);
        while (clientsFirst.mayAccept()) {
            clientsFirst.addClient();
        }
        for (int i = 0; i < clientsFirst.maxAcceptsPerTurn() - 1 && limit > SocketBudget.RESERVED_DESCRIPTORS; i++) {
            clientsFirst.addClient();
        }
        int servers = 0;
        while (clientsFirst.addServer()) {
            servers++;
        }
        assertTrue(clientsFirst.openCount() + PROCESS_DESCRIPTORS <= limit, clientsFirst + " with " + limit);
        assertTrue(servers > 0, "no room for servers");
    }

    /** While a core ends what it has, its pool and the one in its place both hold idle connections. */
    @Test
    void closesIdleConnectionsOfOldestPoolFirst() {
        SocketBudget sockets = new SocketBudget(1_024);
        List<String> closed = new ArrayList<>();
        BooleanSupplier old = () -> closed.size() < 2 && closed.add("old");
        sockets.addServerSide(old);
        sockets.addServerSide(() -> closed.size() < 3 && closed.add("new"));
        for (int i = 0; i < 3; i++) {
            assertTrue(sockets.closeIdle());
        }
        assertFalse(sockets.closeIdle());
        assertEquals(List.of("old", "old", "new"), closed);
        closed.clear();
        sockets.removeServerSide(old);
        assertTrue(sockets.closeIdle());
        assertEquals(List.of("new"), closed);
    }

    @ParameterizedTest
    @ValueSource(ints = {128, 256, 1_024})
    void keepsServerCapacityWhenRejectingClients(int limit) {
        SocketBudget sockets = new SocketBudget(limit);
        int clients = 0;
        while (sockets.hasCapacityForClient()) {
            sockets.addClient();
            clients++;
        }
        assertEquals((limit - SocketBudget.RESERVED_DESCRIPTORS) * 3 / 4, clients);
        assertFalse(sockets.isOverClientLimit());
        assertTrue(sockets.mayAccept(), "nobody is told to come again");
        sockets.addClient();
        assertTrue(sockets.isOverClientLimit());
        int servers = 0;
        while (sockets.addServer()) {
            servers++;
        }
        assertEquals((limit - SocketBudget.RESERVED_DESCRIPTORS) / 4, servers);
    }

    @Test
    void reportsScarceBelow128Descriptors() {
        assertTrue(new SocketBudget(127).isScarce());
        assertFalse(new SocketBudget(128).isScarce());
        assertTrue(new SocketBudget(SocketBudget.MIN_DESCRIPTORS).maxClients() > 0);
    }
}
