package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import vetchpost.testing.FakePeer;

/** An operator's night: one change at fifty nodes, and a sick server that is found and spared. */
@Timeout(120)
class MultiNodeControlTest {
    private static final int NODES = 50;
    private static final int KILLED = 9;
    private static final String CLOSE = "Connection: close\r\n";

    @TempDir
    private Path folder;

    private FakePeer healthyServer;
    private FakePeer sickServer;
    private final List<RunningNode> nodes = new ArrayList<>();
    private String said;

    @BeforeEach
    void open() throws Exception {
        healthyServer = new FakePeer(FakePeer.answer("200 OK", "", "well"));
        sickServer = new FakePeer(FakePeer.answer("200 OK", "", "sick"));
    }

    @AfterEach
    void close() throws Exception {
        nodes.forEach(RunningNode::close);
        healthyServer.close();
        sickServer.close();
    }

    private Path file(int node, String name) {
        return folder.resolve(node + "." + name);
    }

    private RunningNode node(int i) throws Exception {
        return new RunningNode(RunningNode.pool(healthyServer, sickServer) + "[control]\nsocket = \"" + file(i, "s")
                + "\"\naudit = \"" + file(i, "audit") + "\"\n");
    }

    private int ctl(int many, String... arguments) {
        StringWriter out = new StringWriter();
        List<String> all = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            all.addAll(List.of("--node", file(i, "s").toString()));
        }
        all.addAll(Arrays.asList(arguments));
        int code = new CommandLine(new CtlCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out))
                .execute(all.toArray(String[]::new));
        said = out.toString();
        return code;
    }

    private int drainEverywhere() {
        return ctl(
                NODES,
                "drain",
                sickServer.address(),
                "--for",
                "10m",
                "--reason",
                "sick",
                "--owner",
                "ann",
                "--key",
                "night-7");
    }

    private long entries(int node) throws Exception {
        return Files.exists(file(node, "audit"))
                ? Files.readAllLines(file(node, "audit")).size()
                : 0;
    }

    @Test
    void changeAtManyNodesStopsAtFailureAndIsIdempotentOnRetry() throws Exception {
        for (int i = 0; i < NODES; i++) {
            nodes.add(node(i));
        }
        nodes.get(KILLED).close();
        assertEquals(2, drainEverywhere());
        assertTrue(said.contains("done at 9 of 50 nodes; those behind were not asked"), said);
        for (int i = 0; i < NODES; i++) {
            assertEquals(i < KILLED ? 1 : 0, entries(i), "node " + i);
        }
        nodes.set(KILLED, node(KILLED));
        assertEquals(0, drainEverywhere(), said);
        for (int i = 0; i < NODES; i++) {
            assertEquals(1, entries(i), "the same key acts once: node " + i);
            assertTrue(nodes.get(i).sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("well"), "node " + i);
        }
    }

    @Test
    void findsAndDrainsFailingServer() throws Exception {
        nodes.add(node(0));
        RunningNode node = nodes.get(0);
        sickServer.script(FakePeer.RESET);
        int failed = 0;
        for (int i = 0; i < 20; i++) {
            failed += post(node) ? 0 : 1;
        }
        assertTrue(failed > 0, "nothing went wrong");
        assertEquals(0, ctl(1, "explain", "--refused", "10m"), said);
        assertTrue(
                said.matches("(?s) *" + failed + "  failed +write +it may have run, and must" + " not run twice\\s*"),
                said);
        assertEquals(0, ctl(1, "explain", "--last", "1"), said);
        assertEquals(0, ctl(1, "explain", said.substring(0, 16)), said);
        assertTrue(said.contains(" to " + sickServer.address() + ": reset after"), said);
        assertEquals(0, ctl(1, "drain", sickServer.address(), "--for", "10m", "--reason", "resets"), said);
        for (int i = 0; i < 20; i++) {
            assertTrue(post(node), "it is still sent to");
        }
        assertEquals(0, ctl(1, "explain", "--why-not", sickServer.address()), said);
        assertTrue(said.startsWith("an override drains it"), said);
    }

    private static boolean post(RunningNode node) throws Exception {
        return node.sendAndReadAll("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + CLOSE + "\r\n")
                .startsWith("HTTP/1.1 200 ");
    }

    @Test
    void drainChangesDoNotAffectPendingRequest() throws Exception {
        nodes.add(node(0));
        CountDownLatch answer = new CountDownLatch(1);
        sickServer.script((socket, request) -> {
            answer.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            FakePeer.answer("200 OK", "", "late").run(socket, request);
        });
        assertEquals(0, ctl(1, "drain", healthyServer.address(), "--for", "10m", "--reason", "swap"), said);
        try (var client = nodes.get(0).connect()) {
            FakePeer.write(client, RunningNode.get("/", CLOSE));
            sickServer.nextRequest();
            assertEquals(0, ctl(1, "undo", "1"), said);
            assertEquals(0, ctl(1, "drain", sickServer.address(), "--for", "10m", "--reason", "swap"), said);
            answer.countDown();
            assertTrue(RunningNode.readUntilClosed(client).endsWith("late"), "it is answered by whom it was sent to");
        }
        assertTrue(nodes.get(0).sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("well"));
        assertFalse(nodes.get(0).sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("late"));
    }

    @Test
    void drainOutlivesRemovalAndReturnOfServer() throws Exception {
        String more = "[control]\nsocket = \"" + file(0, "s") + "\"\naudit = \"" + file(0, "audit") + "\"\n";
        RunningNode node = new RunningNode(RunningNode.pool(healthyServer, sickServer) + more);
        nodes.add(node);
        assertEquals(0, ctl(1, "drain", sickServer.address(), "--for", "10m", "--reason", "sick"), said);
        node.reload(RunningNode.pool(healthyServer) + more);
        assertEquals(0, ctl(1, "explain", "--why-not", sickServer.address()), said);
        node.reload(RunningNode.pool(healthyServer, sickServer) + more);
        for (int i = 0; i < 10; i++) {
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("well"), "it is sent to");
        }
        assertEquals(0, ctl(1, "explain", "--why-not", sickServer.address()), said);
        assertTrue(said.startsWith("an override drains it"), said);
    }
}
