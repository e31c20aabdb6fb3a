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

/** A file that is read again while requests are in hand. */
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
            // Another address of the loopback, whose port the system chooses: none that somebody else may
            // take.
            InetSocketAddress moved =
                    node.reload("127.0.0.2:0", "[classes.all]\ndeadline = \"20s\"\n" + RunningNode.pool(otherServer));
            try (Socket late = RunningNode.connect(moved)) {
                FakePeer.write(late, RunningNode.get("/b", CLOSE));
                assertTrue(RunningNode.readUntilClosed(late).endsWith("new"), "the new servers at the new address");
            }
            assertThrows(ConnectException.class, node::connect, "and nobody at the old one");
            assertEquals(1, node.pendingWork().requests(), "what was in hand still is");
            releaseResponse.countDown();
            assertTrue(RunningNode.readResponse(client).endsWith("old"), "and is answered as it began");
            FakePeer.write(client, "POST /c HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
            assertTrue(RunningNode.readResponse(client).endsWith("new"), "its connection goes on");
            assertEquals(1, slowServer.requests.size() + 1, "the old server was sent nothing more");
        }
    }

    @Test
    void keepsOldAddressIfNewOneCannotBeBound() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                RunningNode node = new RunningNode(RunningNode.pool(otherServer))) {
            InetSocketAddress stayed =
                    node.reload("127.0.0.1:" + taken.getLocalPort(), "[classes.all]\n" + RunningNode.pool(otherServer));
            assertEquals(node.port(), stayed.getPort());
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("new"));
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("new"));
        }
    }

    /** Only the route is read and proved, and nothing but one reference changes. */
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
            assertSame(before.node(), now.node(), "all of it was read again");
            assertEquals(before.version() + 1, now.version());
            assertEquals(2, now.routes().table().size());
            IllegalArgumentException refused = assertThrows(
                    IllegalArgumentException.class,
                    () -> node.reload(RunningNode.pool(otherServer) + more + "[[route]]\npath = \"/kept/*\"\n"));
            assertTrue(
                    refused.getMessage().contains(".toml:10:1: route /kept/*")
                            && refused.getMessage().contains("SAME_MATCH"),
                    refused.getMessage());
            assertTrue(node.sendAndReadAll(post).startsWith("HTTP/1.1 413 "), "a bad file has changed something");
            node.reload(RunningNode.pool(otherServer) + more);
            assertTrue(node.sendAndReadAll(post).endsWith("new"));
            assertSame(before.node(), node.activeFile().node());
            node.reload(RunningNode.pool(slowServer) + more);
            assertTrue(before.node() != node.activeFile().node(), "another server was not seen");
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

    /** The module can't be told of a class that it was not made with: it takes another one. */
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
