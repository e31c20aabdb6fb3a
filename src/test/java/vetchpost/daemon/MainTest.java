package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** The node as a separate process: start, signals, exit codes, and exhausted descriptors and memory. */
@Timeout(120)
class MainTest {
    private FakePeer discovery;
    private FakePeer server;
    private NodeProcess node;
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
        if (node != null) {
            assertTrue(node.process().destroyForcibly().waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        }
        discovery.close();
        server.close();
    }

    private Path start(JsonObject config, String before) throws Exception {
        config.addProperty("listen", "127.0.0.1:0");
        Path file = Fixture.write(config);
        launch(file.toString(), before);
        node.await("/ready");
        return file;
    }

    private void launch(String config, String before) throws IOException {
        node = new NodeProcess(before, "-Xmx" + heap, arguments, config);
    }

    /** A node that starts without a server list must serve from the snapshot of its predecessor. */
    @Test
    void servesFromSnapshotAfterRestart() throws Exception {
        Path folder = Files.createTempDirectory("state");
        Path snapshotFile = folder.resolve("boxes");
        Path routes = Files.writeString(
                folder.resolve("routes.toml"), "[state]\nfile = \"" + snapshotFile + "\"\naddress-kept = \"1h\"\n");
        arguments = " serve --routes " + routes;
        JsonObject config = Fixture.config(discovery, server);
        start(config, "");
        for (int round = 0; round < 2; round++) {
            try (Socket client = node.connect()) {
                FakePeer.write(client, Fixture.request("GET", "/view/1", round, "", ""));
                String answer = FakePeer.read(client);
                assertTrue(answer != null && answer.endsWith("done"), answer);
            }
            node.process().destroy();
            assertTrue(node.process().waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "the process is still running");
            assertEquals(0, node.process().exitValue());
            assertTrue(Files.size(snapshotFile) > 100, "the snapshot is saved at the stop");
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
        Socket idle = node.connect();
        Socket client = node.connect();
        FakePeer.write(client, Fixture.request("POST", "/order", 1, "", "x"));
        server.nextRequest();
        Socket attempt = FakePeer.takeWithTimeout(server.accepted);
        node.process().destroy();
        // New connections are still served for a while.
        Socket late = node.connect();
        FakePeer.write(late, "GET /nothing HTTP/1.1\r\n\r\n");
        assertTrue(FakePeer.read(late).startsWith("HTTP/1.1 404"), "a late connection is not served");
        assertNull(FakePeer.read(idle), "an idle connection is closed after a while");
        // Only the request's deadline of 20 s bounds it, and not the stop.
        assertFalse(node.process().waitFor(4, TimeUnit.SECONDS), "exited with a pending request");
        FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        String answer = FakePeer.read(client);
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("done"), answer);
        assertEquals("close", FakePeer.header(answer, "Connection"));
        assertTrue(
                node.process().waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS),
                "the process is still running after the response");
        assertEquals(0, node.process().exitValue());
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
                    "the revision of another discovery address is sent");
            FakePeer.takeWithTimeout(discovery.closedByClient);
            config.addProperty("discovery", discovery.address());
            Files.writeString(file, config.toString());
            sendSighup();
            discovery.nextRequest();
            FakePeer.takeWithTimeout(next.closedByClient);
            try (Socket client = node.connect()) {
                FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
                assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    private void sendSighup() throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(node.process().pid()))
                        .start()
                        .waitFor());
    }

    private void awaitLine(String part) throws InterruptedException {
        node.output().await(part);
    }

    @Test
    void survivesDescriptorExhaustion() throws Exception {
        // The configured limit of sockets exceeds the system's limit of descriptors.
        Path file = start(Fixture.config(discovery, server), "ulimit -n 100 && ");
        // Loads the classes first: here they are files that need descriptors, unlike those of an open jar.
        try (Socket before = node.connect()) {
            FakePeer.write(before, Fixture.request("GET", "/view", 0, "", ""));
            assertTrue(FakePeer.read(before).startsWith("HTTP/1.1 200"), "not served before");
        }
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            sockets.add(node.connect());
        }
        // Idle connections are closed, so that each new request gets a response; pending requests stay.
        Socket asking = sockets.get(sockets.size() - 1);
        FakePeer.write(asking, Fixture.request("GET", "/view", 1, "", ""));
        String answer = FakePeer.read(asking);
        assertTrue(
                answer != null && answer.startsWith("HTTP/1.1 "),
                () -> answer + " while descriptors are short: " + node.killAndReadOutput());
        // Logging must not need a descriptor either.
        Files.writeString(file, "{");
        sendSighup();
        awaitLine("stays as it was");
        for (Socket socket : sockets) {
            socket.close();
        }
        try (Socket after = node.connect()) {
            FakePeer.write(after, Fixture.request("GET", "/view", 2, "", ""));
            assertTrue(FakePeer.read(after).startsWith("HTTP/1.1 200"), "not served afterwards");
        }
    }

    @Test
    void survivesManyLargeRequests() throws Exception {
        server.script(FakePeer.SILENT);
        start(Fixture.config(discovery, server), "");
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            Socket socket = node.connect();
            sockets.add(socket);
            try {
                FakePeer.write(socket, Fixture.request("POST", "/order", i, "", "x"));
                for (int j = 0; j < 14; j++) {
                    FakePeer.write(
                            socket, Fixture.request("POST", "/order", 1_000 + 20 * i + j, "", "x".repeat(60_000)));
                }
            } catch (IOException e) {
                // The node may close the connection or stop reading it.
                continue;
            }
        }
        node.await("/ready");
        for (Socket socket : sockets) {
            socket.close();
        }
        assertTrue(node.process().isAlive());
        String log = node.killAndReadOutput();
        assertFalse(log.contains("OutOfMemory"), log);
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
        String log = node.output().readAll();
        assertTrue(node.process().waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still running");
        assertEquals(2, node.process().exitValue(), log);
        assertTrue(log.contains(routes + ":2:1: class order: ") && log.contains("UNSAFE_AGAIN"), log);
        Files.writeString(routes, "[class.order]\nmax-body = \"3B\"\n");
        start(Fixture.config(discovery, server), "");
        try (Socket client = node.connect()) {
            FakePeer.write(client, Fixture.request("POST", "/order/1", 1, "", "four"));
            assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 413"), "the route's limit is not in force");
            FakePeer.write(client, Fixture.request("GET", "/view/../order", 2, "", ""));
            assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 400"));
            Files.writeString(routes, "[class.order]\nmax-body = 4\n");
            sendSighup();
            awaitLine("stays as it was");
            FakePeer.write(client, Fixture.request("POST", "/order/1", 3, "", "four"));
            assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 413"), "an invalid file has changed the routes");
            Files.writeString(routes, "[class.order]\nmax-body = \"4B\"\n");
            sendSighup();
            String answer = "HTTP/1.1 413";
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
            for (int i = 10; System.nanoTime() < endNs && answer.startsWith("HTTP/1.1 413"); i++) {
                // The valid request in between matters: four rejected ones in a row would close the connection.
                FakePeer.write(client, Fixture.request("GET", "/view/1", 1_000 + i, "", ""));
                FakePeer.read(client);
                FakePeer.write(client, Fixture.request("POST", "/order/1", i, "", "four"));
                answer = FakePeer.read(client);
            }
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    private void assertConfigurationRejected(String config, String expectedText) throws Exception {
        launch(config, "");
        String log = node.output().readAll();
        assertTrue(node.process().waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still running");
        assertEquals(2, node.process().exitValue(), log);
        assertTrue(log.contains(expectedText) && log.lines().count() == 1, log);
    }

    /** A standalone node must stream 1 GiB each way at the same time with a heap of 40 MB. */
    @Test
    void streamsMoreThanItsHeap() throws Exception {
        long gigabyte = 1L << 30;
        Path file = Files.createTempFile("node", ".toml");
        file.toFile().deleteOnExit();
        Files.writeString(file, "[node]\nlisten = \"127.0.0.1:0\"\n[pool]\nservers = [\"" + server.address() + "\"]\n");
        arguments = " serve " + file;
        heap = "40m";
        launch(null, "");
        node.await("/");
        byte[] chunk = new byte[1 << 16];
        server.script((socket, request) -> {
            if (request.startsWith("GET")) {
                FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + gigabyte + "\r\n\r\n");
                for (long left = gigabyte; left > 0; left -= chunk.length) {
                    socket.getOutputStream().write(chunk);
                }
            } else {
                long read = BodyStreamingTest.readChunks(socket.getInputStream());
                FakePeer.write(
                        socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + (read == gigabyte ? "ok" : "no"));
            }
        });
        Thread down = new Thread(() -> {
            try (Socket client = node.connect()) {
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
        try (Socket client = node.connect()) {
            FakePeer.write(client, "PUT /up HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (long left = gigabyte; left > 0; left -= chunk.length) {
                FakePeer.write(client, "10000\r\n");
                client.getOutputStream().write(chunk);
                FakePeer.write(client, "\r\n");
            }
            FakePeer.write(client, "0\r\n\r\n");
            assertTrue(FakePeer.read(client).endsWith("ok"));
        }
        down.join(TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        assertFalse(down.isAlive(), "the download has not finished");
        assertTrue(downloaded > gigabyte, downloaded + " bytes");
        assertTrue(node.process().isAlive());
    }

    /** Under nohup and some supervisors SIGHUP is ignored, and the runtime keeps it so; ctl must still reload. */
    @Test
    void reloadsByCtlWhenSighupIsIgnored() throws Exception {
        Path folder = Files.createTempDirectory("sighup");
        Path socket = folder.resolve("s");
        Path file = folder.resolve("node.toml");
        String settings = "[node]\nlisten = \"127.0.0.1:0\"\n[pool]\nservers = [\"" + server.address()
                + "\"]\n[control]\nsocket = \"" + socket + "\"\naudit = \"" + folder.resolve("audit")
                + "\"\n";
        Files.writeString(file, settings);
        arguments = " serve " + file;
        launch(null, "trap '' HUP && ");
        awaitLine("SIGHUP is ignored");
        node.await("/");
        assertTrue(ctl(0, socket, "status").contains("SIGHUP is ignored"));
        Files.writeString(file, settings + "[[route]]\npath = \"/photos/*\"\nmax-body = \"4\"\n");
        assertTrue(ctl(1, socket, "reload").contains("WRONG_UNIT"));
        Files.writeString(file, settings + "[[route]]\npath = \"/photos/*\"\nmax-body = \"4B\"\n");
        ctl(0, socket, "reload");
        try (Socket client = node.connect()) {
            FakePeer.write(client, "POST /photos/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde");
            assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 413 "));
        }
        node.process().destroy();
        assertTrue(node.process().waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "the process is still running");
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
        try (Socket client = node.connect()) {
            FakePeer.write(client, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
            String answer = FakePeer.read(client);
            assertTrue(answer.contains("SIGHUP is ignored"), answer);
        }
        awaitLine("SIGHUP is ignored");
    }

    @Test
    void listensOnlyAfterWarmUp() throws Exception {
        start(Fixture.config(discovery, server), "");
        String log = node.killAndReadOutput();
        int warming = log.indexOf("warming up");
        assertTrue(warming >= 0 && warming < log.indexOf("listening on"), log);
    }
}
