package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import vetchpost.testing.FakePeer;

/** Control of a running node through its socket, the audit log and the command {@code ctl}. */
@Timeout(60)
class ControlTest {
    private static final String CLOSE = "Connection: close\r\n";

    @TempDir
    private Path folder;

    private FakePeer first;
    private FakePeer second;
    private String output;

    @BeforeEach
    void open() throws Exception {
        first = new FakePeer(FakePeer.answer("200 OK", "", "first"));
        second = new FakePeer(FakePeer.answer("200 OK", "", "second"));
    }

    @AfterEach
    void close() throws Exception {
        first.close();
        second.close();
    }

    private Path socket() {
        return folder.resolve("s");
    }

    private Path audit() {
        return folder.resolve("audit");
    }

    private RunningNode node() throws Exception {
        return new RunningNode(RunningNode.pool(first, second) + "[control]\nsocket = \"" + socket() + "\"\naudit = \""
                + audit() + "\"\n");
    }

    private int ctl(String... arguments) {
        StringWriter out = new StringWriter();
        List<String> commandLine = new ArrayList<>(List.of("--node", socket().toString()));
        commandLine.addAll(Arrays.asList(arguments));
        int code = new CommandLine(new CtlCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out))
                .execute(commandLine.toArray(String[]::new));
        output = out.toString();
        return code;
    }

    private int drain(FakePeer peer, String... more) {
        List<String> commandLine =
                new ArrayList<>(List.of("drain", peer.address(), "--for", "10m", "--reason", "sick", "--owner", "ann"));
        commandLine.addAll(Arrays.asList(more));
        return ctl(commandLine.toArray(String[]::new));
    }

    private static void assertAllAnsweredBy(RunningNode node, String body) throws Exception {
        for (int i = 0; i < 20; i++) {
            String answer = node.sendAndReadAll(RunningNode.get("/", CLOSE));
            assertTrue(answer.endsWith(body), answer);
        }
    }

    @Test
    void drainLastsUntilUndoAcrossRestarts() throws Exception {
        try (RunningNode node = node()) {
            assertEquals(0, drain(first), output);
            assertTrue(output.contains("override 1 is in force for 10 min"), output);
            assertAllAnsweredBy(node, "second");
            assertEquals(1, drain(second));
            assertTrue(output.contains("it leaves 0 % of the fleet's weight (50 % before), and least is 50 %"), output);
            assertEquals(1, drain(second, "--dry-run"));
            assertTrue(output.contains("servers that accept requests: 1 now, 0 then"), output);
            assertEquals(0, ctl("servers"));
            assertTrue(output.contains("drained by override"), output);
        }
        try (RunningNode node = node()) {
            assertEquals(0, ctl("overrides"));
            assertTrue(output.contains("ann: sick"), output);
            assertAllAnsweredBy(node, "second");
            assertEquals(0, ctl("undo", "1"), output);
            assertEquals(0, drain(second), output);
            assertTrue(output.contains("override 2 "), "numbers continue: " + output);
            assertAllAnsweredBy(node, "first");
            assertEquals(0, ctl("undo", "2"), output);
        }
        try (RunningNode node = node()) {
            assertEquals(0, drain(first), output);
            assertTrue(output.contains("override 3 "), "numbers are never reused: " + output);
            assertAllAnsweredBy(node, "second");
        }
        assertEquals(0, ctl("audit", audit().toString()));
        assertTrue(output.contains("6 entries, the chain is intact"), output);
        List<String> lines = Files.readAllLines(audit());
        lines.remove(1);
        Files.write(audit(), lines);
        assertEquals(1, ctl("audit", audit().toString()));
        assertTrue(output.contains("line 2 breaks the chain"), output);
        try (RunningNode node = node()) {
            assertEquals(1, drain(first));
            assertTrue(output.contains("line 2 does not follow from those before"), output);
            assertTrue(
                    node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "),
                    "the node still serves");
        }
    }

    @Test
    void shedsFractionOfClassWithoutRunningIt() throws Exception {
        try (RunningNode node = node()) {
            assertEquals(1, ctl("shed", "read", "--share", "1", "--for", "10m", "--reason", "storm"));
            assertTrue(output.contains("it refuses 100 % of read, and most is 90 %"), output);
            assertEquals(0, ctl("shed", "read", "--share", "1", "--for", "10m", "--reason", "storm", "--anyway"));
            String answer = node.sendAndReadAll(RunningNode.get("/", CLOSE));
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertEquals("no", FakePeer.header(answer, "vetchpost-ran"));
            assertTrue(
                    node.sendAndReadAll("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + CLOSE + "\r\n")
                            .startsWith("HTTP/1.1 200 "),
                    "the other class is served");
        }
    }

    @Test
    void slowSocketClientDelaysNobodyElse() throws Exception {
        try (RunningNode node = node();
                SocketChannel incomplete = SocketChannel.open(UnixDomainSocketAddress.of(socket()));
                SocketChannel oversized = SocketChannel.open(UnixDomainSocketAddress.of(socket()))) {
            incomplete.write(ByteBuffer.wrap("{\"v\":1,".getBytes(StandardCharsets.UTF_8)));
            byte[] oversizedRequest = "x".repeat(20_000).getBytes(StandardCharsets.UTF_8);
            oversized.write(ByteBuffer.wrap(oversizedRequest));
            ByteBuffer reply = ByteBuffer.allocate(1_000);
            while (oversized.read(reply) >= 0) {
                continue;
            }
            assertTrue(new String(reply.array(), 0, reply.position(), StandardCharsets.UTF_8)
                    .contains("at most 16384 bytes"));
            assertEquals(0, ctl("status"), output);
            assertTrue(output.contains("taking     2"), output);
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
            assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(socket())));
        }
    }

    @Test
    void removesStaleSocketButNoOtherFile() throws Exception {
        try (ServerSocketChannel staleSocket = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            staleSocket.bind(UnixDomainSocketAddress.of(socket()));
        }
        try (RunningNode node = node();
                RunningNode other = node()) {
            assertEquals(0, ctl("status"), output);
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
            assertTrue(
                    other.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "),
                    "the second node serves without a socket");
        }
        Files.deleteIfExists(socket());
        Files.writeString(socket(), "mine");
        try (RunningNode node = node()) {
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
            assertEquals("mine", Files.readString(socket()));
        }
    }

    @Test
    void rejectsChangesWhenAuditLogIsUnwritable() throws Exception {
        try (RunningNode node = node()) {
            Files.delete(audit());
            Files.createDirectory(audit());
            assertEquals(1, drain(first));
            assertTrue(output.contains("nothing was changed, since the record of changes can't be kept"), output);
            assertEquals(0, ctl("overrides"));
            assertTrue(output.startsWith("none"), output);
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    void explainsOutcomeOfRequest() throws Exception {
        try (RunningNode node = node()) {
            assertEquals(0, ctl("explain"));
            assertTrue(output.startsWith("no request was rejected, failed, retried or slow"), output);
            first.script(FakePeer.RESET);
            second.script(FakePeer.RESET);
            assertTrue(
                    node.sendAndReadAll("POST /orders/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + CLOSE + "\r\n")
                            .startsWith("HTTP/1.1 502 "));
            assertEquals(0, ctl("explain", "--last", "1"), output);
            assertTrue(output.contains("failed") && output.contains("1 attempts  POST /orders/7"), output);
            String id = output.substring(0, 16);
            assertEquals(0, ctl("explain", id), output);
            assertTrue(output.contains("POST /orders/7 (write), id " + id), output);
            assertTrue(output.contains(": reset after "), output);
            assertTrue(output.contains("drawn: ") && output.contains("in flight of 4.0"), output);
            assertTrue(
                    output.contains("failed after ") && output.contains(": it may have run, and must not run twice"),
                    output);
            assertEquals(0, ctl("explain", "--refused", "10m"), output);
            assertTrue(output.matches("(?s) *1  failed +write +it may have run, and must not run twice\\s*"), output);
            assertEquals(1, ctl("explain", "ffff"));
            assertTrue(
                    output.contains(
                            "request ffff is not kept: of those that were served in time at once," + " one in 16 is"),
                    output);
            assertEquals(0, drain(first), output);
            assertEquals(0, ctl("explain", "--why-not", first.address()), output);
            assertTrue(output.startsWith("an override drains it"), output);
            assertTrue(output.contains("it drains"), "the balancer reports it too: " + output);
            assertEquals(0, ctl("explain", "--why-not", "nobody:1"), output);
            assertTrue(output.startsWith("no source names it"), output);
            assertEquals(2, ctl("explain", "1", "--last", "3"));
            assertTrue(output.contains("use only one of ID, --why-not, --refused and --last, not 2"), output);
        }
    }

    @Test
    void explainReportsDisabledRecording() throws Exception {
        try (RunningNode node = new RunningNode(RunningNode.pool(first, second) + "[control]\nsocket = \"" + socket()
                + "\"\naudit = \"" + audit() + "\"\nkeep = 0\n")) {
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
            assertEquals(1, ctl("explain"));
            assertTrue(output.contains("nothing is recorded: keep = 0 in [control]"), output);
        }
    }

    @Test
    void badCommandsExitWithTwo() {
        assertEquals(2, ctl("drain", "x", "--for", "forever", "--reason", "r"));
        assertTrue(output.contains("--for forever is not a duration; use for example 30s, 10m or 2h"), output);
        assertEquals(2, ctl("status"));
        assertTrue(output.contains("can't reach the node"), output);
        assertEquals(2, ctl());
    }
}
