package vetchpost.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import vetchpost.config.NodeConfig;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.handover.SharedSecret;
import vetchpost.net.Network;
import vetchpost.node.Node;
import vetchpost.state.ConfirmationSource;
import vetchpost.state.RestoredState;
import vetchpost.state.ServerRecord;
import vetchpost.state.Snapshot;
import vetchpost.state.SnapshotOrigin;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.disk.StateFile;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** Whole nodes on loopback sockets that start from snapshots and handovers, without a list from discovery. */
@Timeout(120)
class RecoveredNodeTest {
    private static final long DAY_MS = 86_400_000;
    private static final long HOUR_MS = 3_600_000;

    @TempDir
    private Path folder;

    private EventLoopGroup group;
    private EventLoop loop;
    private ExecutorService writer;
    private FakePeer discovery;
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final BlockingQueue<Long> writtenLengths = new LinkedBlockingQueue<>();

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        writer = Executors.newSingleThreadExecutor();
        discovery = new FakePeer(FakePeer.SILENT);
        closeables.add(discovery);
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        writer.shutdownNow();
    }

    /** Starts a server that answers identity probes with one body and all other requests with another. */
    private FakePeer server(String identity, String body) throws IOException {
        FakePeer server = new FakePeer((socket, request) -> {
            String content = request.startsWith("GET /who ") ? identity : body;
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + content.length() + "\r\n\r\n" + content);
        });
        closeables.add(server);
        return server;
    }

    private static ServerRecord serverRecord(String id, int port, long confirmedMs) {
        return new ServerRecord(
                new Target(id, new InetSocketAddress("127.0.0.1", port), "a", 3, ServerState.READY, 1, 0),
                confirmedMs,
                ConfirmationSource.LIST,
                0,
                null);
    }

    private static Snapshot snapshot(long ageMs, ServerRecord... servers) {
        long takenMs = System.currentTimeMillis() - ageMs;
        return new Snapshot(
                new SnapshotOrigin(7, takenMs, takenMs - HOUR_MS, 41, Set.of()), List.of(), List.of(servers));
    }

    private RecoverySettings settings(
            String identityPath, long addressReuseMs, InetSocketAddress listenAddress, InetSocketAddress... peers) {
        return new RecoverySettings(
                folder.resolve("boxes"),
                50,
                new RestoredState.Rules(DAY_MS, addressReuseMs, identityPath != null),
                identityPath,
                listenAddress,
                List.of(peers),
                null,
                2_000,
                5_000);
    }

    /** A running node and its port. */
    private record Running(Node node, int port) {}

    private Running start(
            RecoverySettings settings,
            Snapshot storedSnapshot,
            SnapshotKeeper keeper,
            SharedSecret secret,
            FakePeer... listed)
            throws Exception {
        JsonObject json = Fixture.config(discovery);
        json.add("known", JsonParser.parseString(Fixture.list(listed.length, true, "Ready", listed)));
        NodeConfig config =
                NodeConfig.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        Node node = loop.submit(() -> {
                    Node fresh = new Node(config, loop);
                    fresh.setLifecycle(new Recovery(
                            settings,
                            config.settings(),
                            loop,
                            group,
                            Network.SYSTEM,
                            storedSnapshot,
                            secret,
                            new SecureRandom(),
                            keeper,
                            writer));
                    return fresh;
                })
                .get();
        CountDownLatch ready = new CountDownLatch(1);
        int port = ((InetSocketAddress) loop.submit(() -> node.start(group, 0, ready::countDown))
                        .get()
                        .sync()
                        .channel()
                        .localAddress())
                .getPort();
        closeables.add(() -> loop.submit(node::close).sync());
        assertTrue(ready.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never ready");
        return new Running(node, port);
    }

    private long writeAndRecordLength(List<byte[]> chunks) throws IOException {
        long length = new StateFile(folder.resolve("boxes")).write(chunks);
        writtenLengths.add(length);
        return length;
    }

    private static String exchange(int port, String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
            FakePeer.write(socket, request);
            String answer = FakePeer.read(socket);
            assertNotNull(answer, "no answer");
            return answer;
        }
    }

    private static String requestView(int port, long id) throws IOException {
        return exchange(port, Fixture.request("GET", "/view/1", id, "", ""));
    }

    private static String readiness(int port) throws IOException {
        return exchange(port, "GET /ready HTTP/1.1\r\n\r\n");
    }

    /**
     * Polls readiness until it contains a text. Uses one connection, since one per request could exhaust the ports.
     */
    private static void awaitReadiness(int port, String expected) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
            String answer = "";
            while (!answer.contains(expected)) {
                assertTrue(System.nanoTime() < end, answer);
                FakePeer.write(socket, "GET /ready HTTP/1.1\r\n\r\n");
                answer = FakePeer.read(socket);
                assertNotNull(answer, "the connection was closed");
            }
        }
    }

    @Test
    void servesAtOnceFromARecentSnapshot() throws Exception {
        FakePeer server = server("s-0", "served");
        Running node = start(
                settings(null, 30_000, null),
                snapshot(2_000, serverRecord("s-0", server.port(), System.currentTimeMillis() - 2_000)),
                null,
                null);
        assertTrue(requestView(node.port, 1).endsWith("served"));
        assertTrue(
                readiness(node.port).contains("ready: discovery is silent; 1 servers of a snapshot, 0 removed"),
                readiness(node.port));
    }

    @Test
    void probesAnOldServerBeforeSendingRequests() throws Exception {
        FakePeer server = server("s-0", "served");
        Running node = start(
                settings("/who", 30_000, null),
                snapshot(HOUR_MS, serverRecord("s-0", server.port(), System.currentTimeMillis() - HOUR_MS)),
                null,
                null);
        awaitReadiness(node.port, "1 servers of a snapshot");
        assertTrue(requestView(node.port, 1).endsWith("served"));
        assertTrue(server.requests.poll().startsWith("GET /who HTTP/1.1\r\n"), "probed before anything else");
    }

    /** A retired server's address belongs to another application, whose responses look like a server's. */
    @Test
    void sendsNothingToAnotherServerAtAReusedAddress() throws Exception {
        FakePeer otherServer = server("welcome to the wiki", "a wrong answer");
        FakePeer server = server("s-1", "served");
        Running node = start(
                settings("/who", 30_000, null),
                snapshot(
                        7 * DAY_MS,
                        serverRecord("s-0", otherServer.port(), System.currentTimeMillis() - 7 * DAY_MS),
                        serverRecord("s-1", server.port(), System.currentTimeMillis() - 7 * DAY_MS)),
                null,
                null);
        awaitReadiness(node.port, "0 being probed");
        for (int i = 0; i < 40; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
        assertEquals(1, otherServer.requests.size(), "it received one probe and nothing else");
        assertTrue(otherServer.requests.poll().startsWith("GET /who "));
    }

    @Test
    void dropsAServerThatCannotBeIdentifiedOnceItsAddressMayBeReused() throws Exception {
        FakePeer otherServer = server("", "a wrong answer");
        Running node = start(
                settings(null, 30_000, null),
                snapshot(HOUR_MS, serverRecord("s-0", otherServer.port(), System.currentTimeMillis() - HOUR_MS)),
                null,
                null);
        assertTrue(readiness(node.port).contains("0 servers of a snapshot, 1 removed"), readiness(node.port));
        String answer = exchange(
                node.port,
                Fixture.request("GET", "/view/1", 1, "", "").replace("X-Remaining-Ms: 20000", "X-Remaining-Ms: 200"));
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(otherServer.accepted.isEmpty());
    }

    @Test
    void servesFromDiscoverysListWhenAllRestoredServersAreDead() throws Exception {
        int deadPort;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            deadPort = closed.getLocalPort();
        }
        FakePeer server = server("s-9", "served");
        discovery.script((socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, Fixture.list(50, true, "Ready", server));
        });
        Running node = start(
                settings(null, 30_000, null),
                snapshot(2_000, serverRecord("s-0", deadPort, System.currentTimeMillis() - 2_000)),
                null,
                null);
        awaitReadiness(node.port, "ready: discovery's list");
        for (int i = 0; i < 10; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
    }

    /** The list omits a gone server, drains one and moves another; all three must get no more requests. */
    @Test
    void discoverysListReplacesTheSnapshot() throws Exception {
        FakePeer gone = server("s-0", "gone");
        FakePeer draining = server("s-1", "drains");
        FakePeer moved = server("s-2", "old place");
        FakePeer newAddress = server("s-2", "served");
        FakePeer fresh = server("s-3", "served anew");
        long ms = System.currentTimeMillis() - 2_000;
        Running node = start(
                settings(null, 30_000, null),
                snapshot(
                        2_000,
                        serverRecord("s-0", gone.port(), ms),
                        serverRecord("s-1", draining.port(), ms),
                        serverRecord("s-2", moved.port(), ms)),
                null,
                null);
        Socket watch = FakePeer.takeWithTimeout(discovery.accepted);
        discovery.nextRequest();
        Fixture.beginWatch(watch);
        Fixture.writeLine(
                watch,
                "{\"rev\":50,\"all\":true,\"targets\":[" + entry("s-1", draining, "Terminating")
                        + ","
                        + entry("s-2", newAddress, "Ready") + "]}");
        awaitReadiness(node.port, "discovery's list");
        for (FakePeer server : List.of(gone, draining, moved)) {
            server.requests.clear();
        }
        for (int i = 0; i < 20; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
        Fixture.writeLine(
                watch,
                "{\"rev\":51,\"all\":false,\"targets\":[" + entry("s-2", newAddress, "Gone") + ","
                        + entry("s-3", fresh, "Ready") + "]}");
        int id = 100;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        try (Socket client = new Socket("127.0.0.1", node.port)) {
            String answer = "";
            while (answer == null || !answer.endsWith("served anew")) {
                assertTrue(System.nanoTime() < end, "the new server never served");
                FakePeer.write(client, Fixture.request("GET", "/view/1", id++, "", ""));
                answer = FakePeer.read(client);
            }
        }
        for (FakePeer server : List.of(gone, draining, moved)) {
            assertTrue(server.requests.isEmpty());
        }
    }

    /** A probed server reports its id only after the full list, which omits it, has arrived. */
    @Test
    void ignoresAProbeAnswerAfterTheFullList() throws Exception {
        CountDownLatch listed = new CountDownLatch(1);
        FakePeer slow = new FakePeer((socket, request) -> {
            listed.await();
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ns-0");
        });
        closeables.add(slow);
        FakePeer server = server("s-1", "served");
        Running node = start(
                settings("/who", 30_000, null),
                snapshot(HOUR_MS, serverRecord("s-0", slow.port(), System.currentTimeMillis() - HOUR_MS)),
                null,
                null);
        slow.nextRequest();
        Socket watch = FakePeer.takeWithTimeout(discovery.accepted);
        discovery.nextRequest();
        Fixture.beginWatch(watch);
        Fixture.writeLine(watch, Fixture.list(50, true, "Ready", server));
        awaitReadiness(node.port, "discovery's list");
        listed.countDown();
        FakePeer.takeWithTimeout(slow.closedByClient);
        for (int i = 0; i < 40; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
        assertTrue(slow.requests.isEmpty());
    }

    /** A probed server reports its id after discovery, without a full list, has reported it as draining. */
    @Test
    void ignoresAProbeAnswerAfterADrainWasReported() throws Exception {
        CountDownLatch drainReported = new CountDownLatch(1);
        FakePeer slow = new FakePeer((socket, request) -> {
            drainReported.await();
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ns-0");
        });
        closeables.add(slow);
        FakePeer server = server("s-1", "served");
        Running node = start(
                settings("/who", 30_000, null),
                snapshot(HOUR_MS, serverRecord("s-0", slow.port(), System.currentTimeMillis() - HOUR_MS)),
                null,
                null);
        slow.nextRequest();
        Socket watch = FakePeer.takeWithTimeout(discovery.accepted);
        discovery.nextRequest();
        Fixture.beginWatch(watch);
        Fixture.writeLine(
                watch,
                "{\"rev\":50,\"all\":false,\"targets\":[" + entry("s-0", slow, "Terminating")
                        + ","
                        + entry("s-1", server, "Ready") + "]}");
        assertTrue(requestView(node.port, 1).endsWith("served"));
        drainReported.countDown();
        FakePeer.takeWithTimeout(slow.closedByClient);
        // The other server goes: if the first one were in use again, it would get the next requests.
        Fixture.writeLine(watch, "{\"rev\":51,\"all\":false,\"targets\":[" + entry("s-1", server, "Gone") + "]}");
        String answer = "served";
        for (int i = 2; answer.endsWith("served"); i++) {
            answer = exchange(
                    node.port,
                    Fixture.request("GET", "/view/1", i, "", "")
                            .replace("X-Remaining-Ms: 20000", "X-Remaining-Ms: 200"));
        }
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(slow.requests.isEmpty());
    }

    private static int unusedPort() throws IOException {
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return closed.getLocalPort();
        }
    }

    @Test
    void removesAnUnreachableServer() throws Exception {
        long ms = System.currentTimeMillis() - 2_000;
        FakePeer server = server("", "served");
        Running node = start(
                settings(null, 30_000, null),
                snapshot(
                        2_000,
                        serverRecord("s-0", server.port(), ms),
                        serverRecord("s-1", server("", "served").port(), ms),
                        serverRecord("s-2", server("", "served").port(), ms),
                        serverRecord("s-3", unusedPort(), ms)),
                null,
                null);
        awaitReadiness(node.port, "4 servers of a snapshot, 1 removed, 0 being probed");
    }

    /** Three of four servers are unreachable, which more likely is a fault of the node itself. */
    @Test
    void neverRemovesHalfOfTheServers() throws Exception {
        long ms = System.currentTimeMillis() - 2_000;
        Running node = start(
                settings(null, 30_000, null),
                snapshot(
                        2_000,
                        serverRecord("s-0", server("", "served").port(), ms),
                        serverRecord("s-1", unusedPort(), ms),
                        serverRecord("s-2", unusedPort(), ms),
                        serverRecord("s-3", unusedPort(), ms)),
                null,
                null);
        awaitReadiness(node.port, "4 servers of a snapshot, 1 removed, 0 being probed");
    }

    /** Something accepts connections at the address; that does not prove that it is the server. */
    @Test
    void aConnectionAloneDoesNotConfirmAServer() throws Exception {
        long ms = System.currentTimeMillis() - 20_000;
        BlockingQueue<byte[]> written = new LinkedBlockingQueue<>();
        Running node = start(
                settings(null, 60_000, null),
                snapshot(20_000, serverRecord("s-0", server("", "served").port(), ms)),
                chunks -> {
                    written.add(chunks.get(0));
                    return 0;
                },
                null);
        awaitReadiness(node.port, "0 being probed");
        written.clear();
        FakePeer.takeWithTimeout(written);
        ServerRecord server = ChunkCodec.read(FakePeer.takeWithTimeout(written))
                .content()
                .servers()
                .get(0);
        assertEquals(ms, server.confirmedMs());
        requestView(node.port, 1);
        written.clear();
        FakePeer.takeWithTimeout(written);
        server = ChunkCodec.read(FakePeer.takeWithTimeout(written))
                .content()
                .servers()
                .get(0);
        assertTrue(server.confirmedMs() > ms && server.confirmedBy() == ConfirmationSource.ANSWER, server.toString());
    }

    @Test
    void stopDoesNotWaitForAHangingDisk() throws Exception {
        FakePeer server = server("", "served");
        CountDownLatch release = new CountDownLatch(1);
        RecoverySettings defaults = settings(null, 30_000, null);
        RecoverySettings rarely =
                new RecoverySettings(defaults.file(), 600_000, defaults.rules(), null, null, List.of(), null, 0, 100);
        Running node = start(
                rarely,
                null,
                chunks -> {
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    return 0;
                },
                null,
                server);
        assertTrue(requestView(node.port, 1).endsWith("served"));
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.node.stop(stopped::countDown));
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "stop waits for the disk");
        release.countDown();
    }

    /** The peer accepts the connection and sends nothing; the handover continues while requests are served. */
    @Test
    void readinessWaitsForAHandoverOnlyWithinItsLimit() throws Exception {
        Path file = folder.resolve("secret");
        Files.writeString(file, "a secret of at least thirty-two bytes\n");
        FakePeer silentPeer = new FakePeer(FakePeer.SILENT);
        closeables.add(silentPeer);
        FakePeer server = server("", "served");
        RecoverySettings defaults = settings(null, 30_000, null);
        Running node = start(
                new RecoverySettings(
                        null,
                        1_000,
                        defaults.rules(),
                        null,
                        null,
                        List.of(new InetSocketAddress("127.0.0.1", silentPeer.port())),
                        file,
                        100,
                        6_000),
                null,
                null,
                SharedSecret.read(file),
                server);
        assertTrue(requestView(node.port, 1).endsWith("served"));
        FakePeer.takeWithTimeout(silentPeer.accepted);
        assertTrue(silentPeer.closedByClient.isEmpty(), "readiness waited for the whole handover");
    }

    private static String entry(String id, FakePeer at, String state) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"" + at.address() + "\",\"az\":\"a\",\"pod_group\":3,"
                + "\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    @Test
    void aRestartedNodeServesFromTheStoredSnapshot() throws Exception {
        FakePeer server = server("s-0", "served");
        Running first = start(settings(null, 30_000, null), null, this::writeAndRecordLength, null, server);
        for (int i = 0; i < 20; i++) {
            assertTrue(requestView(first.port, i).endsWith("served"));
        }
        writtenLengths.clear();
        assertNotNull(FakePeer.takeWithTimeout(writtenLengths));
        assertNotNull(FakePeer.takeWithTimeout(writtenLengths), "snapshots are written repeatedly");
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> first.node.stop(stopped::countDown));
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        Snapshot stored = new StateFile(folder.resolve("boxes")).read(System.currentTimeMillis(), line -> {});
        assertEquals(1, stored.servers().size());
        assertEquals(ConfirmationSource.ANSWER, stored.servers().get(0).confirmedBy());
        assertTrue(stored.servers().get(0).statistics().attemptCount() >= 20, stored.toString());
        Running second = start(settings(null, 30_000, null), stored, null, null);
        assertTrue(requestView(second.port, 99).endsWith("served"));
    }

    /** No server was ever confirmed, so the stored snapshot has more information. */
    @Test
    void aNodeWithoutServersDoesNotOverwriteTheSnapshot() throws Exception {
        Path file = folder.resolve("boxes");
        Files.write(file, new byte[] {1, 2, 3});
        Running node = start(settings(null, 30_000, null), null, this::writeAndRecordLength, null);
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.node.stop(stopped::countDown));
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        assertTrue(writtenLengths.isEmpty());
        assertEquals(3, Files.size(file));
    }

    @Test
    void aFailingDiskCostsNoRequest() throws Exception {
        FakePeer server = server("s-0", "served");
        CountDownLatch failures = new CountDownLatch(5);
        Running node = start(
                settings(null, 30_000, null),
                null,
                chunks -> {
                    failures.countDown();
                    throw new IOException("Read-only file system");
                },
                null,
                server);
        for (int i = 0; i < 20; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
        assertTrue(failures.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        assertTrue(requestView(node.port, 99).endsWith("served"));
    }

    /** Writes to the disk never return. */
    @Test
    void aHangingDiskDelaysNeitherRequestsNorStop() throws Exception {
        FakePeer server = server("s-0", "served");
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch writeStarted = new CountDownLatch(1);
        Running node = start(
                settings(null, 30_000, null),
                null,
                chunks -> {
                    writeStarted.countDown();
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    return 0;
                },
                null,
                server);
        assertTrue(requestView(node.port, 1).endsWith("served"));
        assertTrue(writeStarted.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        assertTrue(requestView(node.port, 2).endsWith("served"));
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.node.stop(stopped::countDown));
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        release.countDown();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) closed.getLocalSocketAddress();
        }
    }

    @Test
    void aNodeWithoutListOrFileStartsFromAHandover() throws Exception {
        Path file = folder.resolve("secret");
        Files.writeString(file, "a secret of at least thirty-two bytes\n");
        SharedSecret secret = SharedSecret.read(file);
        FakePeer server = server("s-0", "served");
        InetSocketAddress senderAddress = freeAddress();
        Running sender = start(settings(null, 30_000, senderAddress), null, null, secret, server);
        for (int i = 0; i < 20; i++) {
            requestView(sender.port, i);
        }
        Running receiver = start(settings(null, 30_000, null, freeAddress(), senderAddress), null, null, secret);
        assertTrue(requestView(receiver.port, 50).endsWith("served"));
        assertTrue(readiness(receiver.port).contains("1 from other nodes"), readiness(receiver.port));
    }

    /** Both nodes have just started and have no state: neither may wait for the other beyond its limit. */
    @Test
    void twoStartingNodesThatRequestFromEachOtherBothServe() throws Exception {
        Path file = folder.resolve("secret");
        Files.writeString(file, "a secret of at least thirty-two bytes\n");
        SharedSecret secret = SharedSecret.read(file);
        FakePeer server = server("s-0", "served");
        InetSocketAddress one = freeAddress();
        InetSocketAddress two = freeAddress();
        Running first = start(settings(null, 30_000, one, two), null, null, secret, server);
        Running second = start(settings(null, 30_000, two, one), null, null, secret, server);
        assertTrue(requestView(first.port, 1).endsWith("served"));
        assertTrue(requestView(second.port, 2).endsWith("served"));
    }
}
