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

/** Control of many nodes: a partly failed change can be retried, and a failing server can be found and drained. */
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
    private String output;

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

    private int ctl(int nodeCount, String... arguments) {
        StringWriter out = new StringWriter();
        List<String> commandLine = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            commandLine.addAll(List.of("--node", file(i, "s").toString()));
        }
        commandLine.addAll(Arrays.asList(arguments));
        int code = new CommandLine(new CtlCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out))
                .execute(commandLine.toArray(String[]::new));
        output = out.toString();
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
        assertTrue(output.contains("done at 9 of 50 nodes; the remaining nodes were not asked"), output);
        for (int i = 0; i < NODES; i++) {
            assertEquals(i < KILLED ? 1 : 0, entries(i), "node " + i);
        }
        nodes.set(KILLED, node(KILLED));
        assertEquals(0, drainEverywhere(), output);
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
        assertTrue(failed > 0, "no request failed");
        assertEquals(0, ctl(1, "explain", "--refused", "10m"), output);
        assertTrue(
                output.matches("(?s) *" + failed + "  failed +write +it may have run, and must" + " not run twice\\s*"),
                output);
        assertEquals(0, ctl(1, "explain", "--last", "1"), output);
        assertEquals(0, ctl(1, "explain", output.substring(0, 16)), output);
        assertTrue(output.contains(" to " + sickServer.address() + ": reset after"), output);
        assertEquals(0, ctl(1, "drain", sickServer.address(), "--for", "10m", "--reason", "resets"), output);
        for (int i = 0; i < 20; i++) {
            assertTrue(post(node), "the drained server still gets requests");
        }
        assertEquals(0, ctl(1, "explain", "--why-not", sickServer.address()), output);
        assertTrue(output.startsWith("an override drains it"), output);
    }

    private static boolean post(RunningNode node) throws Exception {
        return node.sendAndReadAll("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + CLOSE + "\r\n")
                .startsWith("HTTP/1.1 200 ");
    }

    @Test
    void drainChangesDoNotAffectPendingRequest() throws Exception {
        nodes.add(node(0));
        CountDownLatch releaseResponse = new CountDownLatch(1);
        sickServer.script((socket, request) -> {
            releaseResponse.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            FakePeer.answer("200 OK", "", "late").run(socket, request);
        });
        assertEquals(0, ctl(1, "drain", healthyServer.address(), "--for", "10m", "--reason", "swap"), output);
        try (var client = nodes.get(0).connect()) {
            FakePeer.write(client, RunningNode.get("/", CLOSE));
            sickServer.nextRequest();
            assertEquals(0, ctl(1, "undo", "1"), output);
            assertEquals(0, ctl(1, "drain", sickServer.address(), "--for", "10m", "--reason", "swap"), output);
            releaseResponse.countDown();
            assertTrue(
                    RunningNode.readUntilClosed(client).endsWith("late"),
                    "the pending request is answered by its server");
        }
        assertTrue(nodes.get(0).sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("well"));
        assertFalse(nodes.get(0).sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("late"));
    }

    @Test
    void drainOutlivesRemovalAndReturnOfServer() throws Exception {
        String more = "[control]\nsocket = \"" + file(0, "s") + "\"\naudit = \"" + file(0, "audit") + "\"\n";
        RunningNode node = new RunningNode(RunningNode.pool(healthyServer, sickServer) + more);
        nodes.add(node);
        assertEquals(0, ctl(1, "drain", sickServer.address(), "--for", "10m", "--reason", "sick"), output);
        node.reload(RunningNode.pool(healthyServer) + more);
        assertEquals(0, ctl(1, "explain", "--why-not", sickServer.address()), output);
        node.reload(RunningNode.pool(healthyServer, sickServer) + more);
        for (int i = 0; i < 10; i++) {
            assertTrue(
                    node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("well"),
                    "the drained server gets requests");
        }
        assertEquals(0, ctl(1, "explain", "--why-not", sickServer.address()), output);
        assertTrue(output.startsWith("an override drains it"), output);
    }
}
