package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import vetchpost.state.Snapshot;
import vetchpost.state.TestSnapshots;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.disk.StateFile;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** What a person at a terminal gets. */
class CommandsTest {
    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private FakePeer peer;
    private String config;

    @BeforeEach
    void open() throws Exception {
        peer = new FakePeer(FakePeer.SILENT);
        config = Fixture.write(Fixture.config(peer, peer)).toString();
    }

    @AfterEach
    void close() throws Exception {
        peer.close();
    }

    private int check(String text, String... more) throws Exception {
        Path file = Files.writeString(folder.resolve("routes.toml"), text);
        String[] arguments = new String[more.length + 3];
        arguments[0] = file.toString();
        arguments[1] = "--config";
        arguments[2] = config;
        System.arraycopy(more, 0, arguments, 3, more.length);
        PrintWriter writer = new PrintWriter(out);
        return new CommandLine(new CheckCommand()).setOut(writer).setErr(writer).execute(arguments);
    }

    private int run(Object command, String... arguments) {
        PrintWriter writer = new PrintWriter(out);
        return new CommandLine(command).setOut(writer).setErr(writer).execute(arguments);
    }

    /** What init prints is a file that check takes as it is, without any environment. */
    @Test
    void initPrintsValidFile() throws Exception {
        assertEquals(
                0,
                run(
                        new InitCommand(),
                        "--listen",
                        "127.0.0.1:0",
                        "--server",
                        peer.address(),
                        "--server",
                        "[::1]:9002"));
        Path file = Files.writeString(folder.resolve("node.toml"), out.toString());
        assertEquals(0, run(new CheckCommand(), file.toString()));
        assertTrue(out.toString().contains("makes a node by itself"), out.toString());
        StandaloneNode.load(file);
        assertEquals(2, run(new InitCommand()));
        assertEquals(2, run(new InitCommand(), "--server", "localhost:80"));
        assertTrue(out.toString().contains("is no numeric address and port"), out.toString());
    }

    @Test
    void shippedFileIsValidStandaloneAndWithPlatform() throws Exception {
        assertEquals(0, run(new CheckCommand(), "deploy/vetchpost.toml"));
        assertEquals(0, run(new CheckCommand(), "deploy/vetchpost.toml", "--explain", "cover"));
        assertEquals(2, check("[node]\nlisten = 7\n[class.nobody]\n"), "beside it, its classes are the platform's");
        assertEquals(0, check("[node]\nlisten = 7\n"));
        assertTrue(out.toString().contains("are passed over here"), out.toString());
    }

    @Test
    void checkExitsZeroForValidFile() throws Exception {
        assertEquals(0, check("[class.view]\nattempts = 2\n"));
        assertTrue(out.toString().contains("holds: 4 routes"), out.toString());
    }

    @Test
    void checkPrintsAllViolationsAndExitsTwo() throws Exception {
        assertEquals(2, check("[class.order]\nattempts = 2\nspeed = 1\n"));
        assertTrue(out.toString().contains("routes.toml:2:1: class order: attempts is 2"), out.toString());
        assertTrue(out.toString().contains("routes.toml:3:1: order: unknown key 'speed'"), out.toString());
        assertTrue(out.toString().contains("2 violations"), out.toString());
        assertEquals(2, check("[class\n"));
        assertTrue(out.toString().contains("SYNTAX"), out.toString());
    }

    @Test
    void explainsRouteWithLatestAttemptTimes() throws Exception {
        assertEquals(
                0,
                check(
                        "[class.photo]\nattempts = 3\nattempt-timeout = \"400ms\"\nbackoff = \"20ms\"\n"
                                + "jitter = 0.5\n",
                        "--explain",
                        "photo"));
        String said = out.toString();
        assertTrue(said.contains("backoff          20ms, doubled each time, up to 50% longer"), said);
        assertTrue(said.lines().anyMatch(l -> l.startsWith("   2 |") && l.endsWith("from 430ms to 830ms")), said);
        assertTrue(said.lines().anyMatch(l -> l.startsWith("   3 |") && l.endsWith("from 890ms to 1290ms")), said);
        assertEquals(2, check("", "--explain", "foto"));
    }

    private int state(Path file, String... more) {
        String[] arguments = new String[more.length + 1];
        arguments[0] = file.toString();
        System.arraycopy(more, 0, arguments, 1, more.length);
        out.getBuffer().setLength(0);
        PrintWriter writer = new PrintWriter(out);
        return new CommandLine(new StateCommand()).setOut(writer).setErr(writer).execute(arguments);
    }

    @Test
    void stateShowsFailingServersFirst() throws Exception {
        Path file = folder.resolve("boxes");
        assertEquals(2, state(file));
        assertTrue(out.toString().contains("there is no file"), out.toString());
        Snapshot snapshot = TestSnapshots.of(12, 2, System.currentTimeMillis() - 1_000);
        new StateFile(file)
                .write(List.of(ChunkCodec.write(0, 1, snapshot.origin(), snapshot.classes(), snapshot.servers())));
        assertEquals(0, state(file, "--most", "3"));
        String said = out.toString();
        assertTrue(said.contains("list 41, 12 boxes"), said);
        assertTrue(said.contains("would be believed, as far"), said);
        List<String> boxes = said.lines().filter(l -> l.startsWith("s-")).toList();
        assertEquals(3, boxes.size());
        assertTrue(boxes.get(0).endsWith("ejected") && boxes.get(1).endsWith("ejected"), said);
        assertTrue(said.contains("and 9 more"), said);
        Files.write(file, new byte[] {1, 2, 3});
        assertEquals(1, state(file));
        assertTrue(out.toString().contains("too short for a snapshot"), out.toString());
    }

    @Test
    void checkValidatesStateAndHandoverTables() throws Exception {
        assertEquals(0, check("[state]\nfile = \"b\"\n"));
        assertEquals(2, check("[handover]\nlisten = \"127.0.0.1:1\"\n"));
        assertTrue(out.toString().contains("it does not say secret-file"), out.toString());
    }

    @Test
    void printsHelpAndRejectsUnknownCommand() {
        assertEquals(0, Commands.run("--help"));
        assertEquals(0, Commands.run("--version"));
        assertEquals(0, Commands.run("serve", "--help"));
        assertEquals(2, Commands.run("drive"));
        assertEquals(2, Commands.run("check"));
    }

    @Test
    void configDiffShowsWhatAReloadWouldChange() throws Exception {
        String node = "[node]\nlisten = \"127.0.0.1:0\"\n[pool]\nservers = [\"127.0.0.1:9\"]\n";
        String a = "[[route]]\npath = \"/a\"\n";
        String b = "[[route]]\npath = \"/b\"\nconcurrency = 5\n";
        Path old = Files.writeString(folder.resolve("old.toml"), node + a + b);
        Path fresh = Files.writeString(
                folder.resolve("new.toml"), node + b.replace("5", "6") + "[[route]]\npath = \"/c\"\n");
        assertEquals(0, run(new ConfigCommand(), "diff", old.toString(), fresh.toString()));
        assertEquals(
                List.of("delete route /a", "put route /c", "replace route /b"),
                out.toString().lines().sorted().toList());
        out.getBuffer().setLength(0);
        Files.writeString(fresh, node + a + b + a);
        assertEquals(1, run(new ConfigCommand(), "diff", old.toString(), fresh.toString()));
        assertTrue(
                out.toString().contains("new.toml:10:1: route /a")
                        && out.toString().contains("1 violation"),
                out.toString());
        out.getBuffer().setLength(0);
        Files.writeString(fresh, node.replace(":9", ":10") + a + b);
        assertEquals(0, run(new ConfigCommand(), "diff", old.toString(), fresh.toString()));
        assertEquals("more than routes has changed: a reload reads all of it\n", out.toString());
        assertEquals(2, run(new ConfigCommand(), "diff", folder.resolve("none").toString(), fresh.toString()));
        assertEquals(2, run(new ConfigCommand()));
    }
}
