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

/** Whole nodes on loopback sockets that begin with what was known before, and no list. */
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
        for (AutoCloseable each : closeables) {
            each.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        writer.shutdownNow();
    }

    /** A box that tells its id, or what stands in its place, and serves with its name. */
    private FakePeer server(String says, String serves) throws IOException {
        FakePeer box = new FakePeer((socket, request) -> {
            String body = request.startsWith("GET /who ") ? says : serves;
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        });
        closeables.add(box);
        return box;
    }

    private static ServerRecord serverRecord(String id, int port, long confirmedMs) {
        return new ServerRecord(
                new Target(id, new InetSocketAddress("127.0.0.1", port), "a", 3, ServerState.READY, 1, 0),
                confirmedMs,
                ConfirmationSource.LIST,
                0,
                null);
    }

    private static Snapshot snapshot(long ageMs, ServerRecord... boxes) {
        long takenMs = System.currentTimeMillis() - ageMs;
        return new Snapshot(new SnapshotOrigin(7, takenMs, takenMs - HOUR_MS, 41, Set.of()), List.of(), List.of(boxes));
    }

    private RecoverySettings settings(
            String identify, long unidentifiedMs, InetSocketAddress give, InetSocketAddress... ask) {
        return new RecoverySettings(
                folder.resolve("boxes"),
                50,
                new RestoredState.Rules(DAY_MS, unidentifiedMs, identify != null),
                identify,
                give,
                List.of(ask),
                null,
                2_000,
                5_000);
    }

    /** A node that runs. */
    private record Running(Node node, int port) {}

    private Running start(
            RecoverySettings settings, Snapshot old, SnapshotKeeper keeper, SharedSecret secret, FakePeer... known)
            throws Exception {
        JsonObject json = Fixture.config(discovery);
        json.add("known", JsonParser.parseString(Fixture.list(known.length, true, "Ready", known)));
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
                            old,
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

    private long writeAndRecordLength(List<byte[]> pieces) throws IOException {
        long length = new StateFile(folder.resolve("boxes")).write(pieces);
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
     * Asks on one connection until it says so, or patience ends: a connection each time would use up all
     * ports.
     */
    private static void awaitReadiness(int port, String words) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
            String answer = "";
            while (!answer.contains(words)) {
                assertTrue(System.nanoTime() < end, answer);
                FakePeer.write(socket, "GET /ready HTTP/1.1\r\n\r\n");
                answer = FakePeer.read(socket);
                assertNotNull(answer, "the connection has ended");
            }
        }
    }

    @Test
    void servesAtOnceFromARecentSnapshot() throws Exception {
        FakePeer box = server("s-0", "served");
        Running node = start(
                settings(null, 30_000, null),
                snapshot(2_000, serverRecord("s-0", box.port(), System.currentTimeMillis() - 2_000)),
                null,
                null);
        assertTrue(requestView(node.port, 1).endsWith("served"));
        assertTrue(
                readiness(node.port).contains("ready: discovery is silent; 1 boxes of a snapshot, 0 given up"),
                readiness(node.port));
    }

    @Test
    void probesAnOldServerBeforeSendingRequests() throws Exception {
        FakePeer box = server("s-0", "served");
        Running node = start(
                settings("/who", 30_000, null),
                snapshot(HOUR_MS, serverRecord("s-0", box.port(), System.currentTimeMillis() - HOUR_MS)),
                null,
                null);
        awaitReadiness(node.port, "1 boxes of a snapshot");
        assertTrue(requestView(node.port, 1).endsWith("served"));
        assertTrue(box.requests.poll().startsWith("GET /who HTTP/1.1\r\n"), "asked before anything else");
    }

    /** A retired box's address is another application's by now: its answers look like a box's. */
    @Test
    void sendsNothingToAnotherServerAtAReusedAddress() throws Exception {
        FakePeer stranger = server("welcome to the wiki", "a wrong answer");
        FakePeer box = server("s-1", "served");
        Running node = start(
                settings("/who", 30_000, null),
                snapshot(
                        7 * DAY_MS,
                        serverRecord("s-0", stranger.port(), System.currentTimeMillis() - 7 * DAY_MS),
                        serverRecord("s-1", box.port(), System.currentTimeMillis() - 7 * DAY_MS)),
                null,
                null);
        awaitReadiness(node.port, "0 being asked");
        for (int i = 0; i < 40; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
        assertEquals(1, stranger.requests.size(), "it was asked who it is, and nothing more");
        assertTrue(stranger.requests.poll().startsWith("GET /who "));
    }

    @Test
    void dropsAServerThatCannotBeIdentifiedOnceItsAddressMayBeReused() throws Exception {
        FakePeer stranger = server("", "a wrong answer");
        Running node = start(
                settings(null, 30_000, null),
                snapshot(HOUR_MS, serverRecord("s-0", stranger.port(), System.currentTimeMillis() - HOUR_MS)),
                null,
                null);
        assertTrue(readiness(node.port).contains("0 boxes of a snapshot, 1 given up"), readiness(node.port));
        String answer = exchange(
                node.port,
                Fixture.request("GET", "/view/1", 1, "", "").replace("X-Remaining-Ms: 20000", "X-Remaining-Ms: 200"));
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(stranger.accepted.isEmpty());
    }

    @Test
    void servesFromDiscoverysListWhenAllRestoredServersAreDead() throws Exception {
        int dead;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            dead = closed.getLocalPort();
        }
        FakePeer box = server("s-9", "served");
        discovery.script((socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, Fixture.list(50, true, "Ready", box));
        });
        Running node = start(
                settings(null, 30_000, null),
                snapshot(2_000, serverRecord("s-0", dead, System.currentTimeMillis() - 2_000)),
                null,
                null);
        awaitReadiness(node.port, "ready: discovery's list");
        for (int i = 0; i < 10; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
    }

    /** The list names who drains and leaves out who has gone: both hold from that moment on. */
    @Test
    void discoverysListReplacesTheSnapshot() throws Exception {
        FakePeer gone = server("s-0", "gone");
        FakePeer drains = server("s-1", "drains");
        FakePeer moved = server("s-2", "old place");
        FakePeer place = server("s-2", "served");
        FakePeer fresh = server("s-3", "served anew");
        long ms = System.currentTimeMillis() - 2_000;
        Running node = start(
                settings(null, 30_000, null),
                snapshot(
                        2_000,
                        serverRecord("s-0", gone.port(), ms),
                        serverRecord("s-1", drains.port(), ms),
                        serverRecord("s-2", moved.port(), ms)),
                null,
                null);
        Socket watch = FakePeer.takeWithTimeout(discovery.accepted);
        discovery.nextRequest();
        Fixture.beginWatch(watch);
        Fixture.writeLine(
                watch,
                "{\"rev\":50,\"all\":true,\"targets\":[" + entry("s-1", drains, "Terminating")
                        + ","
                        + entry("s-2", place, "Ready") + "]}");
        awaitReadiness(node.port, "discovery's list");
        for (FakePeer each : List.of(gone, drains, moved)) {
            each.requests.clear();
        }
        for (int i = 0; i < 20; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
        Fixture.writeLine(
                watch,
                "{\"rev\":51,\"all\":false,\"targets\":[" + entry("s-2", place, "Gone") + ","
                        + entry("s-3", fresh, "Ready") + "]}");
        int id = 100;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        try (Socket client = new Socket("127.0.0.1", node.port)) {
            String answer = "";
            while (answer == null || !answer.endsWith("served anew")) {
                assertTrue(System.nanoTime() < end, "the new box never served");
                FakePeer.write(client, Fixture.request("GET", "/view/1", id++, "", ""));
                answer = FakePeer.read(client);
            }
        }
        for (FakePeer each : List.of(gone, drains, moved)) {
            assertTrue(each.requests.isEmpty());
        }
    }

    /** It says who it is only when the list, which leaves it out, is here. */
    @Test
    void ignoresAProbeAnswerAfterTheFullList() throws Exception {
        CountDownLatch listed = new CountDownLatch(1);
        FakePeer slow = new FakePeer((socket, request) -> {
            listed.await();
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ns-0");
        });
        closeables.add(slow);
        FakePeer box = server("s-1", "served");
        Running node = start(
                settings("/who", 30_000, null),
                snapshot(HOUR_MS, serverRecord("s-0", slow.port(), System.currentTimeMillis() - HOUR_MS)),
                null,
                null);
        slow.nextRequest();
        Socket watch = FakePeer.takeWithTimeout(discovery.accepted);
        discovery.nextRequest();
        Fixture.beginWatch(watch);
        Fixture.writeLine(watch, Fixture.list(50, true, "Ready", box));
        awaitReadiness(node.port, "discovery's list");
        listed.countDown();
        FakePeer.takeWithTimeout(slow.closedByClient);
        for (int i = 0; i < 40; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
        assertTrue(slow.requests.isEmpty());
    }

    /**
     * Discovery has told that it drains, and no whole list: what it says of itself then brings it back no
     * more.
     */
    @Test
    void ignoresAProbeAnswerAfterADrainWasReported() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        FakePeer slow = new FakePeer((socket, request) -> {
            told.await();
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ns-0");
        });
        closeables.add(slow);
        FakePeer box = server("s-1", "served");
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
                        + entry("s-1", box, "Ready") + "]}");
        assertTrue(requestView(node.port, 1).endsWith("served"));
        told.countDown();
        FakePeer.takeWithTimeout(slow.closedByClient);
        // The other one goes: were the first one back, it would be sent what comes now.
        Fixture.writeLine(watch, "{\"rev\":51,\"all\":false,\"targets\":[" + entry("s-1", box, "Gone") + "]}");
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
        FakePeer box = server("", "served");
        Running node = start(
                settings(null, 30_000, null),
                snapshot(
                        2_000,
                        serverRecord("s-0", box.port(), ms),
                        serverRecord("s-1", server("", "served").port(), ms),
                        serverRecord("s-2", server("", "served").port(), ms),
                        serverRecord("s-3", unusedPort(), ms)),
                null,
                null);
        awaitReadiness(node.port, "4 boxes of a snapshot, 1 given up, 0 being asked");
    }

    /** Were half of them taken away, the fault would more likely be here than there. */
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
        awaitReadiness(node.port, "4 boxes of a snapshot, 1 given up, 0 being asked");
    }

    /** Somebody takes connections there; that it is the box nobody has said. */
    @Test
    void aConnectionAloneDoesNotConfirmAServer() throws Exception {
        long ms = System.currentTimeMillis() - 20_000;
        BlockingQueue<byte[]> written = new LinkedBlockingQueue<>();
        Running node = start(
                settings(null, 60_000, null),
                snapshot(20_000, serverRecord("s-0", server("", "served").port(), ms)),
                pieces -> {
                    written.add(pieces.get(0));
                    return 0;
                },
                null);
        awaitReadiness(node.port, "0 being asked");
        written.clear();
        FakePeer.takeWithTimeout(written);
        ServerRecord box = ChunkCodec.read(FakePeer.takeWithTimeout(written))
                .content()
                .servers()
                .get(0);
        assertEquals(ms, box.confirmedMs());
        requestView(node.port, 1);
        written.clear();
        FakePeer.takeWithTimeout(written);
        box = ChunkCodec.read(FakePeer.takeWithTimeout(written))
                .content()
                .servers()
                .get(0);
        assertTrue(box.confirmedMs() > ms && box.confirmedBy() == ConfirmationSource.ANSWER, box.toString());
    }

    @Test
    void stopDoesNotWaitForAHangingDisk() throws Exception {
        FakePeer box = server("", "served");
        CountDownLatch hangs = new CountDownLatch(1);
        RecoverySettings often = settings(null, 30_000, null);
        RecoverySettings rarely =
                new RecoverySettings(often.file(), 600_000, often.rules(), null, null, List.of(), null, 0, 100);
        Running node = start(
                rarely,
                null,
                pieces -> {
                    try {
                        hangs.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    return 0;
                },
                null,
                box);
        assertTrue(requestView(node.port, 1).endsWith("served"));
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.node.stop(stopped::countDown));
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "it waits for the disk");
        hangs.countDown();
    }

    /** A node that is asked and says nothing; the handover goes on while requests are served. */
    @Test
    void readinessWaitsForAHandoverOnlyWithinItsLimit() throws Exception {
        Path file = folder.resolve("secret");
        Files.writeString(file, "a secret of at least thirty-two bytes\n");
        FakePeer silent = new FakePeer(FakePeer.SILENT);
        closeables.add(silent);
        FakePeer box = server("", "served");
        RecoverySettings often = settings(null, 30_000, null);
        Running node = start(
                new RecoverySettings(
                        null,
                        1_000,
                        often.rules(),
                        null,
                        null,
                        List.of(new InetSocketAddress("127.0.0.1", silent.port())),
                        file,
                        100,
                        6_000),
                null,
                null,
                SharedSecret.read(file),
                box);
        assertTrue(requestView(node.port, 1).endsWith("served"));
        FakePeer.takeWithTimeout(silent.accepted);
        assertTrue(silent.closedByClient.isEmpty(), "ready only once the handover was over");
    }

    private static String entry(String id, FakePeer at, String state) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"" + at.address() + "\",\"az\":\"a\",\"pod_group\":3,"
                + "\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    @Test
    void aRestartedNodeServesFromTheStoredSnapshot() throws Exception {
        FakePeer box = server("s-0", "served");
        Running first = start(settings(null, 30_000, null), null, this::writeAndRecordLength, null, box);
        for (int i = 0; i < 20; i++) {
            assertTrue(requestView(first.port, i).endsWith("served"));
        }
        writtenLengths.clear();
        assertNotNull(FakePeer.takeWithTimeout(writtenLengths));
        assertNotNull(FakePeer.takeWithTimeout(writtenLengths), "it is kept again and again");
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> first.node.stop(stopped::countDown));
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        Snapshot left = new StateFile(folder.resolve("boxes")).read(System.currentTimeMillis(), line -> {});
        assertEquals(1, left.servers().size());
        assertEquals(ConfirmationSource.ANSWER, left.servers().get(0).confirmedBy());
        assertTrue(left.servers().get(0).statistics().attemptCount() >= 20, left.toString());
        Running second = start(settings(null, 30_000, null), left, null, null);
        assertTrue(requestView(second.port, 99).endsWith("served"));
    }

    /** Nobody was ever seen: what was kept before says more than that. */
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
        FakePeer box = server("s-0", "served");
        CountDownLatch failures = new CountDownLatch(5);
        Running node = start(
                settings(null, 30_000, null),
                null,
                pieces -> {
                    failures.countDown();
                    throw new IOException("Read-only file system");
                },
                null,
                box);
        for (int i = 0; i < 20; i++) {
            assertTrue(requestView(node.port, i).endsWith("served"));
        }
        assertTrue(failures.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        assertTrue(requestView(node.port, 99).endsWith("served"));
    }

    /** A disk that never answers keeps neither requests nor the end. */
    @Test
    void aHangingDiskDelaysNeitherRequestsNorStop() throws Exception {
        FakePeer box = server("s-0", "served");
        CountDownLatch hangs = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        Running node = start(
                settings(null, 30_000, null),
                null,
                pieces -> {
                    begun.countDown();
                    try {
                        hangs.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    return 0;
                },
                null,
                box);
        assertTrue(requestView(node.port, 1).endsWith("served"));
        assertTrue(begun.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        assertTrue(requestView(node.port, 2).endsWith("served"));
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.node.stop(stopped::countDown));
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        hangs.countDown();
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
        FakePeer box = server("s-0", "served");
        InetSocketAddress give = freeAddress();
        Running giver = start(settings(null, 30_000, give), null, null, secret, box);
        for (int i = 0; i < 20; i++) {
            requestView(giver.port, i);
        }
        Running taker = start(settings(null, 30_000, null, freeAddress(), give), null, null, secret);
        assertTrue(requestView(taker.port, 50).endsWith("served"));
        assertTrue(readiness(taker.port).contains("1 from other nodes"), readiness(taker.port));
    }

    /** Both have just started and know nothing: neither waits for the other past the stated time. */
    @Test
    void twoStartingNodesThatRequestFromEachOtherBothServe() throws Exception {
        Path file = folder.resolve("secret");
        Files.writeString(file, "a secret of at least thirty-two bytes\n");
        SharedSecret secret = SharedSecret.read(file);
        FakePeer box = server("s-0", "served");
        InetSocketAddress one = freeAddress();
        InetSocketAddress two = freeAddress();
        Running first = start(settings(null, 30_000, one, two), null, null, secret, box);
        Running second = start(settings(null, 30_000, two, one), null, null, secret, box);
        assertTrue(requestView(first.port, 1).endsWith("served"));
        assertTrue(requestView(second.port, 2).endsWith("served"));
    }
}
