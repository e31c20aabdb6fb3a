package vetchpost.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.junit.jupiter.api.Test;

/** Checks which accepted connections are taken for the rehearsal's. */
class RehearsalConnectionsTest {
    private static final SocketAddress ADDRESS = InetSocketAddress.createUnresolved("client", 1_000);
    private static final SocketAddress OTHER_ADDRESS = InetSocketAddress.createUnresolved("client", 1_001);

    private final RehearsalConnections connections = new RehearsalConnections();

    /** The node's end of a connection, whose other end has the given address. */
    private static EmbeddedChannel accepted(SocketAddress clientAddress) {
        return new EmbeddedChannel() {
            @Override
            protected SocketAddress remoteAddress0() {
                return clientAddress;
            }
        };
    }

    @Test
    void recognisesConnectionsByTheirOtherEnd() {
        connections.start();
        connections.addClient(ADDRESS);
        EmbeddedChannel other = accepted(OTHER_ADDRESS);
        connections.onAccepted(other);
        EmbeddedChannel own = accepted(ADDRESS);
        connections.onAccepted(own);
        assertTrue(connections.contains(own));
        assertFalse(connections.contains(other));
    }

    @Test
    void recognisesConnectionThatWasAcceptedBeforeItsAddressWasKnown() {
        connections.start();
        EmbeddedChannel own = accepted(ADDRESS);
        connections.onAccepted(own);
        connections.addClient(ADDRESS);
        assertTrue(connections.contains(own));
    }

    /** Requests of a rehearsal that was cut short may be read after it. */
    @Test
    void recognisesConnectionsAfterRehearsalHasStopped() {
        connections.start();
        connections.addClient(ADDRESS);
        connections.stop();
        EmbeddedChannel own = accepted(ADDRESS);
        connections.onAccepted(own);
        assertTrue(connections.contains(own));
    }

    /** Guards against a client whose requests are not served because it has a port of an earlier rehearsal. */
    @Test
    void forgetsAddressOnceItsConnectionIsClosed() {
        connections.start();
        EmbeddedChannel own = accepted(ADDRESS);
        connections.onAccepted(own);
        connections.addClient(ADDRESS);
        own.close();
        own.runPendingTasks();
        EmbeddedChannel client = accepted(ADDRESS);
        connections.onAccepted(client);
        assertFalse(connections.contains(client));
    }

    @Test
    void forgetsRecognisedConnectionOnceItIsClosed() {
        connections.start();
        connections.addClient(ADDRESS);
        EmbeddedChannel own = accepted(ADDRESS);
        assertTrue(connections.contains(own));
        own.close();
        own.runPendingTasks();
        EmbeddedChannel client = accepted(ADDRESS);
        connections.onAccepted(client);
        assertFalse(connections.contains(client));
    }
}
