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
class SocketsTest {
    /** What a node's process had open before any connection: 11, and 2 to discovery. */
    private static final int OWN = 13;

    private static Sockets full(int limit) {
        Sockets sockets = new Sockets(limit);
        while (sockets.addServer()) {
            if (sockets.open() > limit) {
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
    void theProcessAndBothSidesTogetherStayWithinTheLimit(int limit) {
        Sockets sockets = full(limit);
        assertTrue(sockets.open() + OWN <= limit, sockets + " with " + limit);
        // The other way round: clients first.
        Sockets clientsFirst = new Sockets(limit);
        while (clientsFirst.mayAccept()) {
            clientsFirst.addClient();
        }
        for (int i = 0; i < clientsFirst.acceptedAtOnce() - 1 && limit > Sockets.RESERVE; i++) {
            clientsFirst.addClient();
        }
        int servers = 0;
        while (clientsFirst.addServer()) {
            servers++;
        }
        assertTrue(clientsFirst.open() + OWN <= limit, clientsFirst + " with " + limit);
        assertTrue(servers > 0, "no room for servers");
    }

    /** While a core ends what it has, its pool and the one in its place both hold idle connections. */
    @Test
    void roomIsMadeInEachPoolTheOldestFirst() {
        Sockets sockets = new Sockets(1_024);
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
    void clientsThatAreOnlyTurnedAwayTakeNoServersPlace(int limit) {
        Sockets sockets = new Sockets(limit);
        int clients = 0;
        while (sockets.isClientRoom()) {
            sockets.addClient();
            clients++;
        }
        assertEquals((limit - Sockets.RESERVE) * 3 / 4, clients);
        assertFalse(sockets.areClientsOver());
        assertTrue(sockets.mayAccept(), "nobody is told to come again");
        sockets.addClient();
        assertTrue(sockets.areClientsOver());
        int servers = 0;
        while (sockets.addServer()) {
            servers++;
        }
        assertEquals((limit - Sockets.RESERVE) / 4, servers);
    }

    @Test
    void aSmallLimitIsToldApart() {
        assertTrue(new Sockets(127).areFew());
        assertFalse(new Sockets(128).areFew());
        assertTrue(new Sockets(Sockets.LEAST).mostClients() > 0);
    }
}
