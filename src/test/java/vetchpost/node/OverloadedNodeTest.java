package vetchpost.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.config.NodeConfig;
import vetchpost.net.SocketBudget;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/**
 * What the system has accepted counts as taken, whether the node has read it or not: it is answered when
 * there are more clients than descriptors, when the loop was held up, and when the node stops.
 */
@Timeout(120)
class OverloadedNodeTest {
    private static final FakePeer.Script SERVED = FakePeer.answer("200 OK", "", "done");
    /** Past the time after which one that never asked is closed, and past several sweeps. */
    private static final long LOOP_BLOCK_MS = 2_300;

    private final List<Socket> clients = new ArrayList<>();
    private EventLoopGroup group;
    private EventLoop loop;
    private FakePeer discovery;
    private FakePeer server;
    private Node node;
    private Socket blockingClient;
    private int port;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(SERVED);
    }

    @AfterEach
    void close() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        if (blockingClient != null) {
            blockingClient.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        discovery.close();
        server.close();
    }

    private void start(int descriptors) throws Exception {
        JsonObject json = Fixture.config(discovery, server);
        json.getAsJsonObject("limits").addProperty("sockets", descriptors);
        NodeConfig config =
                NodeConfig.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        node = loop.submit(() -> new Node(config, loop)).get();
        Channel channel =
                loop.submit(() -> node.start(group, 0, () -> {})).get().sync().channel();
        port = ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        clients.add(socket);
        return socket;
    }

    private Socket sendRequest(int id) throws IOException {
        Socket socket = connect();
        sendRequest(socket, id);
        return socket;
    }

    private static void sendRequest(Socket socket, int id) throws IOException {
        FakePeer.write(socket, Fixture.request("GET", "/view", id, "", ""));
    }

    private static int status(String answer) {
        assertNotNull(answer, "the connection ended without an answer");
        return Integer.parseInt(answer.substring(9, 12));
    }

    /**
     * Keeps the loop from its sockets and timers until the latch is down, and for so long at least. It does
     * so while the loop reads, so that timers which have become due come before what lies unread.
     */
    private CountDownLatch blockLoop(long leastMs) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        Channel holder = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
                        ReferenceCountUtil.release(message);
                        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leastMs);
                        held.countDown();
                        go.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
                        while (System.nanoTime() < end) {
                            Thread.onSpinWait();
                        }
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        blockingClient = new Socket("127.0.0.1", ((InetSocketAddress) holder.localAddress()).getPort());
        FakePeer.write(blockingClient, "hold");
        held.await();
        return go;
    }

    @ParameterizedTest
    @ValueSource(ints = {128, 256})
    void rejectsClientsBeyondDescriptorsWithRetryAfter(int descriptors) throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        server.script((socket, request) -> {
            answer.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            SERVED.run(socket, request);
        });
        start(descriptors);
        int served = new SocketBudget(descriptors).maxClients();
        int all = 4 * served;
        for (int i = 0; i < all; i++) {
            sendRequest(i);
        }
        // Their servers say nothing yet, so that no place becomes free: whoever comes last is told so.
        for (Socket client : clients.subList(2 * served, all)) {
            String refused = FakePeer.read(client);
            assertEquals(503, status(refused));
            assertEquals("1", FakePeer.header(refused, "Retry-After"));
            assertEquals("close", FakePeer.header(refused, "Connection"));
        }
        answer.countDown();
        int done = 0;
        for (Socket client : clients.subList(0, 2 * served)) {
            done += status(FakePeer.read(client)) == 200 ? 1 : 0;
        }
        assertTrue(done > 0, "none was served");
        // And then there is room again.
        assertEquals(200, status(FakePeer.read(sendRequest(all))));
    }

    @Test
    void readsPendingInputBeforeClosingAfterDelay() throws Exception {
        start(1_024);
        Socket kept = sendRequest(1);
        assertEquals(200, status(FakePeer.read(kept)));
        Socket silent = connect();
        Socket half = connect();
        String request = Fixture.request("GET", "/view", 2, "", "");
        FakePeer.write(half, request.substring(0, 40));
        loop.submit(() -> {}).get();
        CountDownLatch go = blockLoop(LOOP_BLOCK_MS);
        sendRequest(kept, 3);
        sendRequest(silent, 4);
        FakePeer.write(half, request.substring(40));
        sendRequest(5);
        go.countDown();
        for (Socket client : clients) {
            assertEquals(200, status(FakePeer.read(client)), "client " + clients.indexOf(client));
        }
    }

    @Test
    void doesNotCloseConnectionWithUnreadRequest() throws Exception {
        start(SocketBudget.MIN_DESCRIPTORS);
        int most = new SocketBudget(SocketBudget.MIN_DESCRIPTORS).maxClients();
        for (int i = 0; i < most; i++) {
            // In a crowd an answer ends its connection: some are kept after one, and the others have not
            // asked.
            Socket client = connect();
            if (i < SocketBudget.MIN_DESCRIPTORS / 4) {
                sendRequest(client, i);
                assertEquals(200, status(FakePeer.read(client)));
            }
        }
        List<Socket> idle = List.copyOf(clients);
        // Past the time for which what has just been answered is left alone; who comes first is accepted
        // first.
        CountDownLatch go = blockLoop(300);
        for (int i = 0; i < 4; i++) {
            sendRequest(100 + i);
        }
        for (Socket client : idle) {
            sendRequest(client, 200 + idle.indexOf(client));
        }
        go.countDown();
        for (Socket client : idle) {
            assertEquals(200, status(FakePeer.read(client)), "client " + clients.indexOf(client));
        }
        for (Socket client : clients.subList(most, clients.size())) {
            int status = status(FakePeer.read(client));
            assertTrue(status == 200 || status == 503, "a new one was answered " + status);
        }
    }

    @Test
    void countsAcceptQueueTimeAgainstDeadline() throws Exception {
        start(1_024);
        CountDownLatch go = blockLoop(1_000);
        for (int i = 0; i < 200; i++) {
            sendRequest(i);
        }
        go.countDown();
        for (Socket client : clients) {
            assertEquals(200, status(FakePeer.read(client)));
            int left = Integer.parseInt(FakePeer.header(server.nextRequest(), "X-Remaining-Ms"));
            assertTrue(left <= Fixture.REMAINING_MS - 700, "it came a second ago, and has " + left + " ms");
        }
    }

    @Test
    void answersRequestExpiredOnArrival() throws Exception {
        start(1_024);
        Socket client = connect();
        FakePeer.write(
                client,
                Fixture.request("GET", "/view", 1, "", "")
                        .replace("X-Remaining-Ms: " + Fixture.REMAINING_MS, "X-Remaining-Ms: 0"));
        assertTrue(status(FakePeer.read(client)) >= 500);
        assertTrue(server.requests.isEmpty(), "sent on");
    }

    @Test
    void servesClientsConnecting400MsAfterStop() throws Exception {
        start(1_024);
        Socket kept = sendRequest(99);
        assertEquals(200, status(FakePeer.read(kept)));
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.stop(stopped::countDown));
        List<Future<Socket>> comers = new ArrayList<>();
        ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
        try {
            for (int i = 0; i <= 40; i++) {
                int id = i;
                comers.add(clock.schedule(() -> sendRequest(id), 10L * i, TimeUnit.MILLISECONDS));
            }
            for (Future<Socket> comer : comers) {
                String answer = FakePeer.read(comer.get());
                assertEquals(200, status(answer), "client " + comers.indexOf(comer));
                assertEquals("close", FakePeer.header(answer, "Connection"));
            }
        } finally {
            clock.shutdownNow();
        }
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never stopped");
    }

    @Test
    void completesLongResponseAfterStop() throws Exception {
        String body = "x".repeat(64 * 1_024);
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        server.script((socket, request) -> {
            asked.countDown();
            answer.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            FakePeer.answer("200 OK", "", body).run(socket, request);
        });
        start(1_024);
        Socket client = connect();
        client.setReceiveBufferSize(4_096);
        sendRequest(client, 1);
        asked.await();
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.stop(stopped::countDown));
        answer.countDown();
        assertTrue(FakePeer.read(client).endsWith("\r\n\r\n" + body), "not whole");
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never stopped");
    }

    @Test
    void closesSlowReaderWithoutDelayingOthers() throws Exception {
        String body = "x".repeat(60 * 1_024);
        server.script(FakePeer.answer("200 OK", "", body));
        start(1_024);
        Socket slow = new Socket();
        clients.add(slow);
        slow.setReceiveBufferSize(1_024);
        slow.connect(new InetSocketAddress("127.0.0.1", port));
        slow.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        // Sixteen answers are more than the system's buffers of both sides hold.
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 16; i++) {
            all.append(Fixture.request("GET", "/view", i, "", ""));
        }
        FakePeer.write(slow, all.toString());
        assertTrue(slow.getInputStream().read() >= 0);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, status(FakePeer.read(sendRequest(100 + i))));
        }
        long bytes = 1;
        ScheduledExecutorService reader = Executors.newSingleThreadScheduledExecutor();
        try {
            // A byte each 50 ms for longer than an answer may take to be read.
            for (int i = 0; i < 50; i++) {
                int read = reader.schedule(() -> slow.getInputStream().read(), 50, TimeUnit.MILLISECONDS)
                        .get();
                bytes += read >= 0 ? 1 : 0;
            }
        } finally {
            reader.shutdownNow();
        }
        try {
            bytes += slow.getInputStream().readAllBytes().length;
        } catch (IOException e) {
            assertNotNull(e.getMessage());
        }
        assertTrue(bytes < 16 * body.length(), "all of it came: " + bytes);
        assertEquals(0, loop.submit(node::pendingWork).get().bytes());
    }

    @Test
    void releasesPipelinedRequestsOfDisconnectedClient() throws Exception {
        CountDownLatch gone = new CountDownLatch(1);
        server.script((socket, request) -> gone.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        start(1_024);
        Socket client = connect();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 16; i++) {
            all.append(Fixture.request("GET", "/view", i, "", ""));
        }
        FakePeer.write(client, all.toString());
        server.nextRequest();
        client.close();
        // Its one attempt is given up, and the server sees its connection end.
        FakePeer.takeWithTimeout(server.accepted);
        gone.countDown();
        FakePeer.takeWithTimeout(server.closedByClient);
        assertEquals(0, loop.submit(node::pendingWork).get().bytes());
        assertEquals(200, status(responseFor(FakePeer.answer("200 OK", "", "done"))));
    }

    /**
     * More than are read ahead, sent at once, and the client gone behind them while the first waits at its
     * server: neither the rest nor a further try is sent on, and the node notices without an answer.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void forwardsNothingForDisconnectedPipeliningClient(boolean reset) throws Exception {
        server.script(FakePeer.SILENT);
        start(1_024);
        Socket client = connect();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 400; i++) {
            all.append(Fixture.request("GET", "/view/" + "x".repeat(100), i, "", ""));
        }
        FakePeer.write(client, all.toString());
        server.nextRequest();
        if (reset) {
            client.setSoLinger(true, 0);
        }
        client.close();
        // The attempt is given up long before its time, which is ten seconds and more.
        assertNotNull(server.closedByClient.poll(5, TimeUnit.SECONDS), "nobody has noticed");
        assertEquals(0, loop.submit(node::pendingWork).get().bytes());
        assertTrue(server.requests.isEmpty(), "sent on for nobody: " + server.requests.size());
    }

    /** The same, found out when the answer comes, in the turn in which the next would be taken. */
    @Test
    void forwardsNothingWhenResponseAndDisconnectArriveTogether() throws Exception {
        server.script(FakePeer.SILENT);
        start(1_024);
        Socket client = connect();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            all.append(Fixture.request("GET", "/view", i, "", ""));
        }
        FakePeer.write(client, all.toString());
        server.nextRequest();
        Socket attempt = FakePeer.takeWithTimeout(server.accepted);
        // Held up, so that the end and the answer lie there together.
        CountDownLatch go = blockLoop(0);
        client.close();
        FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        go.countDown();
        sendRequest(connect(), 500);
        assertTrue(server.nextRequest().contains(String.format("%016x", 500)), "sent on for nobody");
        assertEquals(0, loop.submit(() -> node.pendingWork().requests()).get() - 1);
    }

    /** What waits for room is not sent in the turn in which a loop that was held up finds its client gone. */
    @Test
    void forwardsNothingForClientGoneDuringDelay() throws Exception {
        server.script(FakePeer.SILENT);
        start(1_024);
        List<Socket> waiting = new ArrayList<>();
        List<Socket> attempts = new ArrayList<>();
        // As many as one server is given at first; what comes behind waits in the module.
        int out = 0;
        for (int i = 0; i < 40; i++) {
            waiting.add(sendRequest(i));
        }
        for (Socket attempt = FakePeer.takeWithTimeout(server.accepted);
                attempt != null;
                attempt = server.accepted.poll(500, TimeUnit.MILLISECONDS)) {
            attempts.add(attempt);
            out++;
        }
        assertTrue(out < 40, "none waits: " + out);
        List<String> sent = new ArrayList<>();
        server.requests.drainTo(sent);
        CountDownLatch go = blockLoop(400);
        for (Socket attempt : attempts) {
            FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }
        for (Socket client : waiting) {
            client.close();
        }
        go.countDown();
        sendRequest(500);
        String next = server.nextRequest();
        assertTrue(next.contains(String.format("%016x", 500)), "sent on for nobody: " + next);
    }

    private String responseFor(FakePeer.Script script) throws Exception {
        server.script(script);
        return FakePeer.read(sendRequest(77));
    }

    @Test
    void servesAcceptQueueOnStop() throws Exception {
        start(1_024);
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.stop(stopped::countDown));
        // Over the time at which it would stop to listen.
        CountDownLatch go = blockLoop(1_000);
        for (int i = 0; i < 200; i++) {
            Socket client = connect();
            if (i % 2 == 0) {
                sendRequest(client, i);
            }
        }
        go.countDown();
        for (int i = 0; i < 200; i += 2) {
            assertEquals(200, status(FakePeer.read(clients.get(i))), "client " + i);
        }
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never stopped");
    }
}
