package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.testing.FakePeer;

/** Reloads must change settings for new requests without affecting pending ones. */
@Timeout(60)
class ReloadTest {
    private static final String CLOSE = "Connection: close\r\n";
    private final CountDownLatch releaseResponse = new CountDownLatch(1);
    private FakePeer slowServer;
    private FakePeer otherServer;

    @BeforeEach
    void open() throws Exception {
        slowServer = new FakePeer((socket, request) -> {
            releaseResponse.await();
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
        });
        otherServer = new FakePeer(FakePeer.answer("200 OK", "", "new"));
    }

    @AfterEach
    void close() throws Exception {
        slowServer.close();
        otherServer.close();
    }

    @Test
    void reloadsClassesServersAndAddressDuringRequest() throws Exception {
        try (RunningNode node = new RunningNode(RunningNode.pool(slowServer));
                Socket client = node.connect()) {
            FakePeer.write(client, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
            slowServer.nextRequest();
            // Another loopback address with a port that the system chooses, so that no other process can have it.
            InetSocketAddress moved =
                    node.reload("127.0.0.2:0", "[classes.all]\ndeadline = \"20s\"\n" + RunningNode.pool(otherServer));
            try (Socket late = RunningNode.connect(moved)) {
                FakePeer.write(late, RunningNode.get("/b", CLOSE));
                assertTrue(RunningNode.readUntilClosed(late).endsWith("new"), "new servers at the new address");
            }
            assertThrows(ConnectException.class, node::connect, "the old address is closed");
            assertEquals(1, node.pendingWork().requests(), "the request is still pending");
            releaseResponse.countDown();
            assertTrue(RunningNode.readResponse(client).endsWith("old"), "the old server answers it");
            FakePeer.write(client, "POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
            assertTrue(RunningNode.readResponse(client).endsWith("new"), "its connection is still usable");
            assertEquals(1, slowServer.requests.size() + 1, "the old server gets no new requests");
        }
    }

    @Test
    void keepsOldAddressIfNewOneCannotBeBound() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                RunningNode node = new RunningNode(RunningNode.pool(otherServer))) {
            InetSocketAddress address = node.reload(
                    "127.0.0.1:" + occupied.getLocalPort(), "[classes.all]\n" + RunningNode.pool(otherServer));
            assertEquals(node.port(), address.getPort());
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("new"));
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("new"));
        }
    }

    /** A change of one route must be validated on its own and leave all other settings the same objects. */
    @Test
    void replacesOnlyTheChangedRoute() throws Exception {
        String post = "POST /photos/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n" + CLOSE + "\r\nabcde";
        String route = "[[route]]\npath = \"/photos/*\"\nmax-body = \"9B\"\n";
        String more = "[[route]]\npath = \"/kept/*\"\nconcurrency = 7\n";
        try (RunningNode node = new RunningNode(RunningNode.pool(otherServer) + route + more)) {
            ValidatedFile before = node.activeFile();
            assertTrue(node.sendAndReadAll(post).endsWith("new"));
            node.reload(RunningNode.pool(otherServer) + route.replace("9B", "4B") + "# said again\n" + more);
            ValidatedFile now = node.activeFile();
            assertTrue(node.sendAndReadAll(post).startsWith("HTTP/1.1 413 "));
            assertSame(before.node(), now.node(), "the whole file was read");
            assertEquals(before.version() + 1, now.version());
            assertEquals(2, now.routes().table().size());
            IllegalArgumentException rejection = assertThrows(
                    IllegalArgumentException.class,
                    () -> node.reload(RunningNode.pool(otherServer) + more + "[[route]]\npath = \"/kept/*\"\n"));
            assertTrue(
                    rejection.getMessage().contains(".toml:10:1: route /kept/*")
                            && rejection.getMessage().contains("SAME_MATCH"),
                    rejection.getMessage());
            assertTrue(node.sendAndReadAll(post).startsWith("HTTP/1.1 413 "), "an invalid file has changed the routes");
            node.reload(RunningNode.pool(otherServer) + more);
            assertTrue(node.sendAndReadAll(post).endsWith("new"));
            assertSame(before.node(), node.activeFile().node());
            node.reload(RunningNode.pool(slowServer) + more);
            assertTrue(before.node() != node.activeFile().node(), "the changed server was not noticed");
        }
    }

    @Test
    void invalidFileChangesNothing() throws Exception {
        try (RunningNode node = new RunningNode(RunningNode.pool(otherServer))) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> node.reload("[classes.all]\nrepeat = \"safe\"\n" + "methods = [\"POST\"]\n"
                            + RunningNode.pool(slowServer)));
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("new"));
        }
    }

    /** The balancer's classes are fixed, so a reload with a new class must create another balancer. */
    @Test
    void usesNewClassAfterReload() throws Exception {
        try (RunningNode node = new RunningNode(RunningNode.pool(otherServer))) {
            node.reload("[classes.a]\nmethods = [\"GET\"]\n[classes.b]\nmethods = [\"POST\"]\n[classes.c]\n"
                    + RunningNode.pool(otherServer));
            assertTrue(node.sendAndReadAll("DELETE / HTTP/1.1\r\nHost: a\r\n" + CLOSE + "\r\n")
                    .endsWith("new"));
        }
    }

    @Test
    void usesNewRoutesAndLimitsAfterReload() throws Exception {
        try (RunningNode node = new RunningNode(RunningNode.pool(otherServer))) {
            String post = "POST /photos/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n" + CLOSE + "\r\nabcde";
            assertTrue(node.sendAndReadAll(post).endsWith("new"));
            node.reload(RunningNode.pool(otherServer) + "[[route]]\npath = \"/photos/*\"\nmax-body = \"4B\"\n");
            assertTrue(node.sendAndReadAll(post).startsWith("HTTP/1.1 413 "));
            assertTrue(node.sendAndReadAll(post.replace("/photos/1", "/else")).endsWith("new"));
        }
    }
}
