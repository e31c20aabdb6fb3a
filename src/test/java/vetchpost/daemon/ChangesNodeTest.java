package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import vetchpost.changes.ChangeWriter;
import vetchpost.changes.RouteConfiguration;
import vetchpost.replication.net.TestPublisher;
import vetchpost.routes.Position;
import vetchpost.routes.RouteCodec;
import vetchpost.routes.Section;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.testing.FakePeer;

/** A node whose routes come from control machines, over loopback. */
class ChangesNodeTest {
    private static final String CLOSE = "Connection: close\r\n";
    private static final String POST =
            "POST /photos/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n" + CLOSE + "\r\nabcde";

    @TempDir
    private Path folder;

    private FakePeer server;
    private ChangeWriter writer;

    @BeforeEach
    void open() throws Exception {
        server = new FakePeer(FakePeer.answer("200 OK", "", "done"));
        Files.writeString(folder.resolve("secret"), TestPublisher.SECRET + "\n");
        try (RunningNode plain = new RunningNode(RunningNode.pool(server))) {
            writer =
                    new ChangeWriter(RouteConfiguration.empty(plain.activeFile().settings()), 1);
        }
    }

    @AfterEach
    void close() throws Exception {
        server.close();
    }

    private RunningNode node(TestPublisher control) throws Exception {
        return new RunningNode(file(control));
    }

    private String file(TestPublisher control) {
        return RunningNode.pool(server) + "[changes]\npublishers = [\"" + control.text() + "\"]\nsecret-file = \""
                + folder.resolve("secret") + "\"\nfile = \"" + folder.resolve("store") + "\"\n";
    }

    private void write(EntryChange.Op op, String path, String mostBody) {
        Map<String, Section.Entry> entries = new LinkedHashMap<>();
        Position at = new Position("x", 1, 1);
        entries.put("path", new Section.Entry(path, at));
        entries.put("max-body", new Section.Entry(mostBody, at));
        assertEquals(
                List.of(),
                writer.submit(List.of(new EntryChange(
                        op,
                        new EntryKey(EntryKind.ROUTE, path),
                        op == EntryChange.Op.DELETE
                                ? null
                                : RouteCodec.encode(new Section(Section.Kind.ROUTE, "", at, entries))))));
    }

    private static void awaitResponse(RunningNode node, String beginning) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        String answer = node.sendAndReadAll(POST);
        while (!answer.startsWith(beginning)) {
            assertTrue(System.nanoTime() < endNs, answer + " instead of " + beginning);
            answer = node.sendAndReadAll(POST);
        }
    }

    @Test
    void changesOutlivePublisherAndRestart() throws Exception {
        write(EntryChange.Op.PUT, "/photos/*", "4B");
        TestPublisher control = new TestPublisher(writer.store(), TestPublisher.SECRET, 0);
        try (RunningNode node = node(control)) {
            awaitResponse(node, "HTTP/1.1 413 ");
            write(EntryChange.Op.REPLACE, "/photos/*", "9B");
            control.publish(writer.store());
            awaitResponse(node, "HTTP/1.1 200 ");
            write(EntryChange.Op.REPLACE, "/photos/*", "3B");
            control.publish(writer.store());
            awaitResponse(node, "HTTP/1.1 413 ");
            assertTrue(node.sendAndReadAll(RunningNode.get("/ready", CLOSE)).startsWith("HTTP/1.1 200 "));
            control.close();
            assertTrue(
                    node.sendAndReadAll(POST).startsWith("HTTP/1.1 413 "),
                    "with nobody there it serves by what it has");
        }
        try (RunningNode again = node(control)) {
            assertTrue(again.sendAndReadAll(POST).startsWith("HTTP/1.1 413 "), "it begins with what it had");
            assertTrue(
                    again.statusNote().contains("configuration 1.3, not confirmed since the start"),
                    again.statusNote());
        }
    }

    /**
     * Both ways in which routes come into force, at once: the file's other parts, and changes on their way.
     */
    @Test
    void reloadDuringChangesLosesNone() throws Exception {
        write(EntryChange.Op.PUT, "/photos/*", "9B");
        try (TestPublisher control = new TestPublisher(writer.store(), TestPublisher.SECRET, 0);
                RunningNode node = node(control)) {
            awaitResponse(node, "HTTP/1.1 200 ");
            for (int i = 0; i < 20; i++) {
                write(EntryChange.Op.PUT, "/other/" + i, "1B");
                control.publish(writer.store());
                node.reload(file(control)
                        .replace("connect-timeout = \"2s\"", "connect-timeout = \"2s\"\ngrace = \"" + (i + 1) + "s\""));
            }
            write(EntryChange.Op.REPLACE, "/photos/*", "4B");
            control.publish(writer.store());
            awaitResponse(node, "HTTP/1.1 413 ");
            for (int i = 0; i < 20; i++) {
                assertTrue(
                        node.sendAndReadAll(POST.replace("/photos/1", "/other/" + i))
                                .startsWith("HTTP/1.1 413 "),
                        "route " + i);
            }
        }
    }

    /** Of one name, all would ask the same control machine first. */
    @Test
    void unnamedNodesSpreadOverPublishers() throws Exception {
        TestPublisher one = new TestPublisher(writer.store(), TestPublisher.SECRET, 0);
        TestPublisher two = new TestPublisher(writer.store(), TestPublisher.SECRET, 0);
        String both = file(one)
                .replace("[\"" + one.text() + "\"]", "[\"" + one.text() + "\", \"" + two.text() + "\"]")
                .replaceAll("file = .*store\"\n", "");
        List<RunningNode> nodes = new java.util.ArrayList<>();
        try (one;
                two) {
            // Thirty at one machine by chance: once in five hundred million.
            for (int i = 0; i < 30; i++) {
                nodes.add(new RunningNode(both));
            }
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
            while (one.replicaCount() + two.replicaCount() < 30) {
                assertTrue(System.nanoTime() < endNs, one.replicaCount() + " and " + two.replicaCount());
            }
            assertTrue(
                    one.replicaCount() > 0 && two.replicaCount() > 0,
                    one.replicaCount() + " and " + two.replicaCount());
        } finally {
            nodes.forEach(RunningNode::close);
        }
    }

    @Test
    void fileWithChangesHasNoRoutesOfItsOwn() throws Exception {
        try (TestPublisher control = new TestPublisher(writer.store(), TestPublisher.SECRET, 0)) {
            for (String more : List.of("[[route]]\npath = \"/x\"\n", "[defaults]\nattempts = 2\n")) {
                IllegalArgumentException refused =
                        assertThrows(IllegalArgumentException.class, () -> new RunningNode(file(control) + more));
                assertTrue(refused.getMessage().contains("UNREACHABLE"), refused.getMessage());
            }
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new RunningNode(file(control)
                            .replace("127.0.0.1:" + control.address().getPort(), "nowhere")));
            try (RunningNode node = node(control)) {
                IllegalArgumentException kept = assertThrows(IllegalArgumentException.class, () -> {
                    try {
                        node.reload(RunningNode.pool(server));
                    } catch (java.util.concurrent.ExecutionException e) {
                        throw e.getCause();
                    }
                });
                assertTrue(kept.getMessage().contains("a restart takes them up"), kept.getMessage());
                assertTrue(node.sendAndReadAll(POST).startsWith("HTTP/1.1 200 "));
            }
        }
    }
}
