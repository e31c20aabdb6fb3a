package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;
import vetchpost.testing.ProcessOutput;

/** The program as a process of its own: its start, its end, and few descriptors. */
@Timeout(120)
class MainTest {
    private FakePeer discovery;
    private FakePeer server;
    private Process process;
    private ProcessOutput output;
    private int port;
    private String arguments = "";
    private String heap = "64m";
    private volatile long downloaded;

    @BeforeEach
    void open() throws Exception {
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(FakePeer.answer("200 OK", "", "done"));
    }

    @AfterEach
    void close() throws Exception {
        if (process != null) {
            assertTrue(process.destroyForcibly().waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        }
        discovery.close();
        server.close();
    }

    private Path start(JsonObject config, String before) throws Exception {
        config.addProperty("listen", "127.0.0.1:0");
        Path file = Fixture.write(config);
        launch(file.toString(), before);
        await("/ready");
        return file;
    }

    private void launch(String config, String before) throws IOException {
        // What the program ships with: of the tests' own libraries one would take over its log.
        String path = Arrays.stream(
                        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"))
                                .split(File.pathSeparator))
                .filter(jar -> !jar.contains("slf4j"))
                .collect(Collectors.joining(File.pathSeparator));
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                before + "exec \"$JAVA\" -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx" + heap
                        + " -cp \"$JARS\" "
                        + "vetchpost.daemon.Main" + arguments);
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        builder.environment().put("JAVA", java.toString());
        builder.environment().put("JARS", path);
        builder.environment().remove("LB_CONFIG");
        builder.environment().remove("LB_LISTEN");
        builder.environment().remove("LB_DISCOVERY");
        if (config != null) {
            builder.environment().put("LB_CONFIG", config);
        }
        process = builder.redirectErrorStream(true).start();
        output = new ProcessOutput(process.getInputStream());
        port = 0;
    }

    private String killAndReadOutput() {
        // Not by the process itself, which would close what it has written so far.
        process.toHandle().destroyForcibly();
        try {
            return output.readAll();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return e.toString();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        return socket;
    }

    private void await(String path) throws Exception {
        if (port == 0) {
            // The system's choice: a port that was free a moment ago may be somebody's by now.
            port = Integer.parseInt(output.restOfLine("listening on /127.0.0.1:"));
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        String answer = "";
        while (answer == null || !answer.startsWith("HTTP/1.1 200")) {
            assertTrue(process.isAlive() && System.nanoTime() < until, "never ready");
            try (Socket socket = connect()) {
                FakePeer.write(socket, "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
                answer = FakePeer.read(socket);
            } catch (IOException e) {
                // Not listening yet: the process must get the processor to come so far.
                process.waitFor(20, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** By the operator's file a node keeps what it knows; the next one has nothing else, and serves. */
    @Test
    void servesFromSnapshotAfterRestart() throws Exception {
        Path folder = Files.createTempDirectory("state");
        Path kept = folder.resolve("boxes");
        Path routes = Files.writeString(
                folder.resolve("routes.toml"), "[state]\nfile = \"" + kept + "\"\naddress-kept = \"1h\"\n");
        arguments = " serve --routes " + routes;
        JsonObject config = Fixture.config(discovery, server);
        start(config, "");
        for (int round = 0; round < 2; round++) {
            try (Socket client = connect()) {
                FakePeer.write(client, Fixture.request("GET", "/view/1", round, "", ""));
                String answer = FakePeer.read(client);
                assertTrue(answer != null && answer.endsWith("done"), answer);
            }
            process.destroy();
            assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still there");
            assertEquals(0, process.exitValue());
            assertTrue(Files.size(kept) > 100, "kept at its end");
            if (round == 0) {
                config.add("known", JsonParser.parseString(Fixture.list(0, true, "Ready")));
                start(config, "");
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    @Test
    void sigtermAnswersPendingRequestAndExitsZero() throws Exception {
        server.script(FakePeer.SILENT);
        start(Fixture.config(discovery, server), "");
        Socket idle = connect();
        Socket client = connect();
        FakePeer.write(client, Fixture.request("POST", "/order", 1, "", "x"));
        server.nextRequest();
        Socket attempt = FakePeer.takeWithTimeout(server.accepted);
        process.destroy();
        // Clients go on coming for a while, and are served.
        Socket late = connect();
        FakePeer.write(late, "GET /nothing HTTP/1.1\r\n\r\n");
        assertTrue(FakePeer.read(late).startsWith("HTTP/1.1 404"), "a late connection is not served");
        assertNull(FakePeer.read(idle), "an idle connection is closed after a while");
        // By its deadline, which is 20 s here, and by no time of the stop's own.
        assertFalse(process.waitFor(4, TimeUnit.SECONDS), "gone with a request in hand");
        FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String answer = FakePeer.read(client);
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("done"), answer);
        assertEquals("close", FakePeer.header(answer, "Connection"));
        assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still there after it");
        assertEquals(0, process.exitValue());
    }

    @Test
    void sighupMovesWatchAndIgnoresBadFile() throws Exception {
        try (FakePeer next = new FakePeer(FakePeer.SILENT)) {
            JsonObject config = Fixture.config(discovery, server);
            Path file = start(config, "export LB_DISCOVERY=" + discovery.address() + " && ");
            assertTrue(discovery.nextRequest().contains("&after=41 "));
            Files.writeString(file, "{");
            sendSighup();
            awaitLine("stays as it was");
            config.addProperty("discovery", next.address());
            Files.writeString(file, config.toString());
            sendSighup();
            assertTrue(
                    next.nextRequest().startsWith("GET /v1/endpoints?watch=1 "),
                    "a version of another address is named");
            FakePeer.takeWithTimeout(discovery.closedByClient);
            config.addProperty("discovery", discovery.address());
            Files.writeString(file, config.toString());
            sendSighup();
            discovery.nextRequest();
            FakePeer.takeWithTimeout(next.closedByClient);
            try (Socket client = connect()) {
                FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
                assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    private void sendSighup() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private void awaitLine(String part) throws InterruptedException {
        output.await(part);
    }

    @Test
    void survivesDescriptorExhaustion() throws Exception {
        // The configuration promises more than the system gives.
        Path file = start(Fixture.config(discovery, server), "ulimit -n 100 && ");
        // Classes are read from files here, which takes descriptors, and not from one open jar.
        try (Socket before = connect()) {
            FakePeer.write(before, Fixture.request("GET", "/view", 0, "", ""));
            assertTrue(FakePeer.read(before).startsWith("HTTP/1.1 200"), "not served before");
        }
        List<Socket> many = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            many.add(connect());
        }
        // Idle ones make room, so that each that asks is answered; requests held stay.
        Socket asking = many.get(many.size() - 1);
        FakePeer.write(asking, Fixture.request("GET", "/view", 1, "", ""));
        String answer = FakePeer.read(asking);
        assertTrue(
                answer != null && answer.startsWith("HTTP/1.1 "),
                () -> answer + " while descriptors are short: " + killAndReadOutput());
        // A line in the log takes none either.
        Files.writeString(file, "{");
        sendSighup();
        awaitLine("stays as it was");
        for (Socket socket : many) {
            socket.close();
        }
        try (Socket after = connect()) {
            FakePeer.write(after, Fixture.request("GET", "/view", 2, "", ""));
            assertTrue(FakePeer.read(after).startsWith("HTTP/1.1 200"), "not served afterwards");
        }
    }

    @Test
    void survivesManyLargeRequests() throws Exception {
        server.script(FakePeer.SILENT);
        start(Fixture.config(discovery, server), "");
        List<Socket> many = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            Socket socket = connect();
            many.add(socket);
            try {
                FakePeer.write(socket, Fixture.request("POST", "/order", i, "", "x"));
                for (int j = 0; j < 14; j++) {
                    FakePeer.write(
                            socket, Fixture.request("POST", "/order", 1_000 + 20 * i + j, "", "x".repeat(60_000)));
                }
            } catch (IOException e) {
                // Closed, or no longer read: either will do.
                continue;
            }
        }
        await("/ready");
        for (Socket socket : many) {
            socket.close();
        }
        assertTrue(process.isAlive());
        String said = killAndReadOutput();
        assertFalse(said.contains("OutOfMemory"), said);
    }

    @Test
    void exitsWithOneLineOnBadConfiguration() throws Exception {
        JsonObject noSettings = Fixture.config(discovery, server);
        noSettings.remove("settings");
        JsonObject noSeed = Fixture.config(discovery, server);
        noSeed.remove("seed");
        JsonObject noClasses = Fixture.config(discovery, server);
        noClasses.getAsJsonObject("settings").remove("classes");
        Path broken = Files.createTempFile("node", ".json");
        Files.writeString(broken, "{");
        assertConfigurationRejected(null, "LB_CONFIG");
        assertConfigurationRejected("/nowhere/config.json", "LB_CONFIG");
        assertConfigurationRejected(broken.toString(), "JSON");
        assertConfigurationRejected(Fixture.write(noSettings).toString(), "settings");
        assertConfigurationRejected(Fixture.write(noSeed).toString(), "seed");
        assertConfigurationRejected(Fixture.write(noClasses).toString(), "classes");
        Files.delete(broken);
    }

    @Test
    void validatesRoutesAtStartAndReload() throws Exception {
        Path routes = Files.createTempFile("routes", ".toml");
        routes.toFile().deleteOnExit();
        arguments = " serve --routes " + routes;
        Files.writeString(routes, "[class.order]\nattempts = 2\nmax-body = \"3B\"\n");
        launch(Fixture.write(Fixture.config(discovery, server)).toString(), "");
        String said = output.readAll();
        assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still running");
        assertEquals(2, process.exitValue(), said);
        assertTrue(said.contains(routes + ":2:1: class order: ") && said.contains("UNSAFE_AGAIN"), said);
        Files.writeString(routes, "[class.order]\nmax-body = \"3B\"\n");
        start(Fixture.config(discovery, server), "");
        try (Socket client = connect()) {
            FakePeer.write(client, Fixture.request("POST", "/order/1", 1, "", "four"));
            assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 413"), "its route is not in force");
            FakePeer.write(client, Fixture.request("GET", "/view/../order", 2, "", ""));
            assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 400"));
            Files.writeString(routes, "[class.order]\nmax-body = 4\n");
            sendSighup();
            awaitLine("stays as it was");
            FakePeer.write(client, Fixture.request("POST", "/order/1", 3, "", "four"));
            assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 413"), "a bad file has changed something");
            Files.writeString(routes, "[class.order]\nmax-body = \"4B\"\n");
            sendSighup();
            String answer = "HTTP/1.1 413";
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
            for (int i = 10; System.nanoTime() < endNs && answer.startsWith("HTTP/1.1 413"); i++) {
                // Four bad ones in a row end a connection.
                FakePeer.write(client, Fixture.request("GET", "/view/1", 1_000 + i, "", ""));
                FakePeer.read(client);
                FakePeer.write(client, Fixture.request("POST", "/order/1", i, "", "four"));
                answer = FakePeer.read(client);
            }
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    private void assertConfigurationRejected(String config, String named) throws Exception {
        launch(config, "");
        String said = output.readAll();
        assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still running");
        assertEquals(2, process.exitValue(), said);
        assertTrue(said.contains(named) && said.lines().count() == 1, said);
    }

    /** One file, no environment, 1 GB each way at the same time, in a heap of 40 MB. */
    @Test
    void streamsMoreThanItsHeap() throws Exception {
        long gigabyte = 1L << 30;
        Path file = Files.createTempFile("node", ".toml");
        file.toFile().deleteOnExit();
        Files.writeString(file, "[node]\nlisten = \"127.0.0.1:0\"\n[pool]\nservers = [\"" + server.address() + "\"]\n");
        arguments = " serve " + file;
        heap = "40m";
        launch(null, "");
        await("/");
        byte[] some = new byte[1 << 16];
        server.script((socket, request) -> {
            if (request.startsWith("GET")) {
                FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + gigabyte + "\r\n\r\n");
                for (long left = gigabyte; left > 0; left -= some.length) {
                    socket.getOutputStream().write(some);
                }
            } else {
                long read = BodyStreamingTest.readChunks(socket.getInputStream());
                FakePeer.write(
                        socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + (read == gigabyte ? "ok" : "no"));
            }
        });
        Thread down = new Thread(() -> {
            try (Socket client = connect()) {
                FakePeer.write(client, "GET /down HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                long left = gigabyte;
                byte[] into = new byte[1 << 16];
                for (int read = 0; read >= 0; read = client.getInputStream().read(into)) {
                    left -= read;
                }
                downloaded = gigabyte - left;
            } catch (IOException e) {
                downloaded = -1;
            }
        });
        down.start();
        try (Socket client = connect()) {
            FakePeer.write(client, "PUT /up HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (long left = gigabyte; left > 0; left -= some.length) {
                FakePeer.write(client, "10000\r\n");
                client.getOutputStream().write(some);
                FakePeer.write(client, "\r\n");
            }
            FakePeer.write(client, "0\r\n\r\n");
            assertTrue(FakePeer.read(client).endsWith("ok"));
        }
        down.join(TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        assertFalse(down.isAlive(), "not all has come");
        assertTrue(downloaded > gigabyte, downloaded + " bytes");
        assertTrue(process.isAlive());
    }

    /** As nohup and some supervisors start it; the runtime leaves such a signal ignored. */
    @Test
    void reloadsByCtlWhenSighupIsIgnored() throws Exception {
        Path folder = Files.createTempDirectory("deaf");
        Path socket = folder.resolve("s");
        Path file = folder.resolve("node.toml");
        String node = "[node]\nlisten = \"127.0.0.1:0\"\n[pool]\nservers = [\"" + server.address()
                + "\"]\n[control]\nsocket = \"" + socket + "\"\naudit = \"" + folder.resolve("audit")
                + "\"\n";
        Files.writeString(file, node);
        arguments = " serve " + file;
        launch(null, "trap '' HUP && ");
        awaitLine("SIGHUP is ignored");
        await("/");
        assertTrue(ctl(0, socket, "status").contains("SIGHUP is ignored"));
        Files.writeString(file, node + "[[route]]\npath = \"/photos/*\"\nmax-body = \"4\"\n");
        assertTrue(ctl(1, socket, "reload").contains("WRONG_UNIT"));
        Files.writeString(file, node + "[[route]]\npath = \"/photos/*\"\nmax-body = \"4B\"\n");
        ctl(0, socket, "reload");
        try (Socket client = connect()) {
            FakePeer.write(client, "POST /photos/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde");
            assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 413 "));
        }
        process.destroy();
        assertTrue(process.waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still there");
        try (var files = Files.list(folder)) {
            for (Path each : files.toList()) {
                Files.delete(each);
            }
        }
        Files.delete(folder);
    }

    private static String ctl(int code, Path socket, String... command) {
        StringWriter out = new StringWriter();
        List<String> all = new ArrayList<>(List.of("--node", socket.toString()));
        all.addAll(List.of(command));
        assertEquals(
                code,
                new CommandLine(new CtlCommand())
                        .setOut(new PrintWriter(out))
                        .setErr(new PrintWriter(out))
                        .execute(all.toArray(String[]::new)),
                out::toString);
        return out.toString();
    }

    @Test
    void readyReportsIgnoredSighup() throws Exception {
        start(Fixture.config(discovery, server), "trap '' HUP && ");
        try (Socket client = connect()) {
            FakePeer.write(client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
            String answer = FakePeer.read(client);
            assertTrue(answer.contains("SIGHUP is ignored"), answer);
        }
        awaitLine("SIGHUP is ignored");
    }

    @Test
    void listensOnlyAfterWarmUp() throws Exception {
        start(Fixture.config(discovery, server), "");
        String said = killAndReadOutput();
        int warming = said.indexOf("warming up");
        assertTrue(warming >= 0 && warming < said.indexOf("listening on"), said);
    }
}
