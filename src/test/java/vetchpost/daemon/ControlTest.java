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

/** Operators at a running node: by its socket, its record, and the command line. */
@Timeout(60)
class ControlTest {
    private static final String CLOSE = "Connection: close\r\n";

    @TempDir
    private Path folder;

    private FakePeer first;
    private FakePeer second;
    private String said;

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
        List<String> all = new ArrayList<>(List.of("--node", socket().toString()));
        all.addAll(Arrays.asList(arguments));
        int code = new CommandLine(new CtlCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out))
                .execute(all.toArray(String[]::new));
        said = out.toString();
        return code;
    }

    private int drain(FakePeer peer, String... more) {
        List<String> all =
                new ArrayList<>(List.of("drain", peer.address(), "--for", "10m", "--reason", "sick", "--owner", "ann"));
        all.addAll(Arrays.asList(more));
        return ctl(all.toArray(String[]::new));
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
            assertEquals(0, drain(first), said);
            assertTrue(said.contains("override 1 holds for 10 min"), said);
            assertAllAnsweredBy(node, "second");
            assertEquals(1, drain(second));
            assertTrue(said.contains("it leaves 0 % of the fleet's weight (50 % before), and least is 50 %"), said);
            assertEquals(1, drain(second, "--dry-run"));
            assertTrue(said.contains("servers that take requests: 1 now, 0 then"), said);
            assertEquals(0, ctl("servers"));
            assertTrue(said.contains("drained by override"), said);
        }
        try (RunningNode node = node()) {
            assertEquals(0, ctl("overrides"));
            assertTrue(said.contains("ann: sick"), said);
            assertAllAnsweredBy(node, "second");
            assertEquals(0, ctl("undo", "1"), said);
            assertEquals(0, drain(second), said);
            assertTrue(said.contains("override 2 "), "numbers go on: " + said);
            assertAllAnsweredBy(node, "first");
            assertEquals(0, ctl("undo", "2"), said);
        }
        try (RunningNode node = node()) {
            assertEquals(0, drain(first), said);
            assertTrue(said.contains("override 3 "), "a number is never given twice: " + said);
            assertAllAnsweredBy(node, "second");
        }
        assertEquals(0, ctl("audit", audit().toString()));
        assertTrue(said.contains("6 entries, each follows"), said);
        List<String> lines = Files.readAllLines(audit());
        lines.remove(1);
        Files.write(audit(), lines);
        assertEquals(1, ctl("audit", audit().toString()));
        assertTrue(said.contains("line 2 does not follow"), said);
        try (RunningNode node = node()) {
            assertEquals(1, drain(first));
            assertTrue(said.contains("line 2 does not follow from those before"), said);
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "), "and it serves");
        }
    }

    @Test
    void shedsFractionOfClassWithoutRunningIt() throws Exception {
        try (RunningNode node = node()) {
            assertEquals(1, ctl("shed", "read", "--share", "1", "--for", "10m", "--reason", "storm"));
            assertTrue(said.contains("it refuses 100 % of read, and most is 90 %"), said);
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
                SocketChannel half = SocketChannel.open(UnixDomainSocketAddress.of(socket()));
                SocketChannel long1 = SocketChannel.open(UnixDomainSocketAddress.of(socket()))) {
            half.write(ByteBuffer.wrap("{\"v\":1,".getBytes(StandardCharsets.UTF_8)));
            byte[] much = "x".repeat(20_000).getBytes(StandardCharsets.UTF_8);
            long1.write(ByteBuffer.wrap(much));
            ByteBuffer reply = ByteBuffer.allocate(1_000);
            while (long1.read(reply) >= 0) {
                continue;
            }
            assertTrue(new String(reply.array(), 0, reply.position(), StandardCharsets.UTF_8)
                    .contains("at most 16384 bytes"));
            assertEquals(0, ctl("status"), said);
            assertTrue(said.contains("taking     2"), said);
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
            assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(socket())));
        }
    }

    @Test
    void removesStaleSocketButNoOtherFile() throws Exception {
        try (ServerSocketChannel old = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            old.bind(UnixDomainSocketAddress.of(socket()));
        }
        try (RunningNode node = node();
                RunningNode other = node()) {
            assertEquals(0, ctl("status"), said);
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
            assertTrue(
                    other.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "), "without a socket");
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
            assertTrue(said.contains("nothing was changed, since the record of changes can't be kept"), said);
            assertEquals(0, ctl("overrides"));
            assertTrue(said.startsWith("none"), said);
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
        }
    }

    @Test
    void explainsOutcomeOfRequest() throws Exception {
        try (RunningNode node = node()) {
            assertEquals(0, ctl("explain"));
            assertTrue(said.startsWith("nothing was refused, failed, repeated or slow"), said);
            first.script(FakePeer.RESET);
            second.script(FakePeer.RESET);
            assertTrue(
                    node.sendAndReadAll("POST /orders/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + CLOSE + "\r\n")
                            .startsWith("HTTP/1.1 502 "));
            assertEquals(0, ctl("explain", "--last", "1"), said);
            assertTrue(said.contains("failed") && said.contains("1 attempts  POST /orders/7"), said);
            String id = said.substring(0, 16);
            assertEquals(0, ctl("explain", id), said);
            assertTrue(said.contains("POST /orders/7 (write), id " + id), said);
            assertTrue(said.contains(": reset after "), said);
            assertTrue(said.contains("drawn: ") && said.contains("in flight of 4.0"), said);
            assertTrue(
                    said.contains("failed after ") && said.contains(": it may have run, and must not run twice"), said);
            assertEquals(0, ctl("explain", "--refused", "10m"), said);
            assertTrue(said.matches("(?s) *1  failed +write +it may have run, and must not run twice\\s*"), said);
            assertEquals(1, ctl("explain", "ffff"));
            assertTrue(
                    said.contains(
                            "request ffff is not kept: of those that were served in time at once," + " one in 16 is"),
                    said);
            assertEquals(0, drain(first), said);
            assertEquals(0, ctl("explain", "--why-not", first.address()), said);
            assertTrue(said.startsWith("an override drains it"), said);
            assertTrue(said.contains("it drains"), "the module too: " + said);
            assertEquals(0, ctl("explain", "--why-not", "nobody:1"), said);
            assertTrue(said.startsWith("no source names it"), said);
            assertEquals(2, ctl("explain", "1", "--last", "3"));
            assertTrue(said.contains("say one of ID, --why-not, --refused and --last, not 2"), said);
        }
    }

    @Test
    void explainReportsDisabledRecording() throws Exception {
        try (RunningNode node = new RunningNode(RunningNode.pool(first, second) + "[control]\nsocket = \"" + socket()
                + "\"\naudit = \"" + audit() + "\"\nkeep = 0\n")) {
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).startsWith("HTTP/1.1 200 "));
            assertEquals(1, ctl("explain"));
            assertTrue(said.contains("nothing is recorded: keep = 0 in [control]"), said);
        }
    }

    @Test
    void badCommandsExitWithTwo() {
        assertEquals(2, ctl("drain", "x", "--for", "forever", "--reason", "r"));
        assertTrue(said.contains("--for forever is no length of time; 30s, 10m or 2h would be"), said);
        assertEquals(2, ctl("status"));
        assertTrue(said.contains("can't be asked"), said);
        assertEquals(2, ctl());
    }
}
