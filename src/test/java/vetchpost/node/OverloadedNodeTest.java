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
 * Checks that every request that the system has accepted gets a response, even if unread so far: with more clients than
 * descriptors, after a blocked event loop, and while the node stops.
 */
@Timeout(120)
class OverloadedNodeTest {
    private static final FakePeer.Script SERVED = FakePeer.answer("200 OK", "", "done");
    /** Longer than the timeout of connections without a request, and longer than several sweeps. */
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
     * Blocks the event loop until the returned latch opens, and for at least {@code minMs}. It blocks during a read, so
     * that timers due by then run before unread input is handled.
     */
    private CountDownLatch blockLoop(long minMs) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Channel listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
                        ReferenceCountUtil.release(message);
                        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(minMs);
                        blocked.countDown();
                        release.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
                        while (System.nanoTime() < end) {
                            Thread.onSpinWait();
                        }
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        blockingClient = new Socket("127.0.0.1", ((InetSocketAddress) listener.localAddress()).getPort());
        FakePeer.write(blockingClient, "hold");
        blocked.await();
        return release;
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
        int total = 4 * served;
        for (int i = 0; i < total; i++) {
            sendRequest(i);
        }
        // The server does not respond yet, so no capacity becomes free and the last clients are rejected.
        for (Socket client : clients.subList(2 * served, total)) {
            String rejection = FakePeer.read(client);
            assertEquals(503, status(rejection));
            assertEquals("1", FakePeer.header(rejection, "Retry-After"));
            assertEquals("close", FakePeer.header(rejection, "Connection"));
        }
        answer.countDown();
        int done = 0;
        for (Socket client : clients.subList(0, 2 * served)) {
            done += status(FakePeer.read(client)) == 200 ? 1 : 0;
        }
        assertTrue(done > 0, "none was served");
        // Then there is capacity again.
        assertEquals(200, status(FakePeer.read(sendRequest(total))));
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
        CountDownLatch release = blockLoop(LOOP_BLOCK_MS);
        sendRequest(kept, 3);
        sendRequest(silent, 4);
        FakePeer.write(half, request.substring(40));
        sendRequest(5);
        release.countDown();
        for (Socket client : clients) {
            assertEquals(200, status(FakePeer.read(client)), "client " + clients.indexOf(client));
        }
    }

    @Test
    void doesNotCloseConnectionWithUnreadRequest() throws Exception {
        start(SocketBudget.MIN_DESCRIPTORS);
        int maxClients = new SocketBudget(SocketBudget.MIN_DESCRIPTORS).maxClients();
        for (int i = 0; i < maxClients; i++) {
            // With many connections a response closes its own: some connections have been answered before that, the
            // others have not sent a request.
            Socket client = connect();
            if (i < SocketBudget.MIN_DESCRIPTORS / 4) {
                sendRequest(client, i);
                assertEquals(200, status(FakePeer.read(client)));
            }
        }
        List<Socket> idle = List.copyOf(clients);
        // Longer than a connection just answered is protected; connections are accepted in order of arrival.
        CountDownLatch release = blockLoop(300);
        for (int i = 0; i < 4; i++) {
            sendRequest(100 + i);
        }
        for (Socket client : idle) {
            sendRequest(client, 200 + idle.indexOf(client));
        }
        release.countDown();
        for (Socket client : idle) {
            assertEquals(200, status(FakePeer.read(client)), "client " + clients.indexOf(client));
        }
        for (Socket client : clients.subList(maxClients, clients.size())) {
            int status = status(FakePeer.read(client));
            assertTrue(status == 200 || status == 503, "a new client was answered " + status);
        }
    }

    @Test
    void countsAcceptQueueTimeAgainstDeadline() throws Exception {
        start(1_024);
        CountDownLatch release = blockLoop(1_000);
        for (int i = 0; i < 200; i++) {
            sendRequest(i);
        }
        release.countDown();
        for (Socket client : clients) {
            assertEquals(200, status(FakePeer.read(client)));
            int left = Integer.parseInt(FakePeer.header(server.nextRequest(), "X-Remaining-Ms"));
            assertTrue(left <= Fixture.REMAINING_MS - 700, "it arrived a second ago, and has " + left + " ms");
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
        assertTrue(server.requests.isEmpty(), "forwarded");
    }

    @Test
    void servesClientsConnecting400MsAfterStop() throws Exception {
        start(1_024);
        Socket kept = sendRequest(99);
        assertEquals(200, status(FakePeer.read(kept)));
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.stop(stopped::countDown));
        List<Future<Socket>> connecting = new ArrayList<>();
        ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
        try {
            for (int i = 0; i <= 40; i++) {
                int id = i;
                connecting.add(clock.schedule(() -> sendRequest(id), 10L * i, TimeUnit.MILLISECONDS));
            }
            for (Future<Socket> pending : connecting) {
                String answer = FakePeer.read(pending.get());
                assertEquals(200, status(answer), "client " + connecting.indexOf(pending));
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
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        server.script((socket, request) -> {
            requestReceived.countDown();
            answer.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            FakePeer.answer("200 OK", "", body).run(socket, request);
        });
        start(1_024);
        Socket client = connect();
        client.setReceiveBufferSize(4_096);
        sendRequest(client, 1);
        requestReceived.await();
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.stop(stopped::countDown));
        answer.countDown();
        assertTrue(FakePeer.read(client).endsWith("\r\n\r\n" + body), "incomplete response");
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
        // Sixteen responses exceed the socket buffers of both sides.
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 16; i++) {
            pipelined.append(Fixture.request("GET", "/view", i, "", ""));
        }
        FakePeer.write(slow, pipelined.toString());
        assertTrue(slow.getInputStream().read() >= 0);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, status(FakePeer.read(sendRequest(100 + i))));
        }
        long bytes = 1;
        ScheduledExecutorService reader = Executors.newSingleThreadScheduledExecutor();
        try {
            // One byte per 50 ms, for longer than the client may take to read a response.
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
        assertTrue(bytes < 16 * body.length(), "the slow client received everything: " + bytes);
        assertEquals(0, loop.submit(node::pendingWork).get().bytes());
    }

    @Test
    void releasesPipelinedRequestsOfDisconnectedClient() throws Exception {
        CountDownLatch clientGone = new CountDownLatch(1);
        server.script((socket, request) -> clientGone.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        start(1_024);
        Socket client = connect();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 16; i++) {
            pipelined.append(Fixture.request("GET", "/view", i, "", ""));
        }
        FakePeer.write(client, pipelined.toString());
        server.nextRequest();
        client.close();
        // Its one attempt is abandoned, and the server sees its connection close.
        FakePeer.takeWithTimeout(server.accepted);
        clientGone.countDown();
        FakePeer.takeWithTimeout(server.closedByClient);
        assertEquals(0, loop.submit(node::pendingWork).get().bytes());
        assertEquals(200, status(responseFor(FakePeer.answer("200 OK", "", "done"))));
    }

    /**
     * The client sends more requests than the node reads ahead and disconnects while the server handles the first. The
     * node has to notice without a response and must neither forward the rest nor retry.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void forwardsNothingForDisconnectedPipeliningClient(boolean reset) throws Exception {
        server.script(FakePeer.SILENT);
        start(1_024);
        Socket client = connect();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 400; i++) {
            pipelined.append(Fixture.request("GET", "/view/" + "x".repeat(100), i, "", ""));
        }
        FakePeer.write(client, pipelined.toString());
        server.nextRequest();
        if (reset) {
            client.setSoLinger(true, 0);
        }
        client.close();
        // The attempt is abandoned long before its timeout of over ten seconds.
        assertNotNull(server.closedByClient.poll(5, TimeUnit.SECONDS), "the disconnect was not noticed");
        assertEquals(0, loop.submit(node::pendingWork).get().bytes());
        assertTrue(server.requests.isEmpty(), "forwarded for a disconnected client: " + server.requests.size());
    }

    /** The disconnect is noticed with the response, in the turn in which the next request would start. */
    @Test
    void forwardsNothingWhenResponseAndDisconnectArriveTogether() throws Exception {
        server.script(FakePeer.SILENT);
        start(1_024);
        Socket client = connect();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            pipelined.append(Fixture.request("GET", "/view", i, "", ""));
        }
        FakePeer.write(client, pipelined.toString());
        server.nextRequest();
        Socket attempt = FakePeer.takeWithTimeout(server.accepted);
        // Blocked, so that disconnect and response are read in the same turn.
        CountDownLatch release = blockLoop(0);
        client.close();
        FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        release.countDown();
        sendRequest(connect(), 500);
        assertTrue(server.nextRequest().contains(String.format("%016x", 500)), "forwarded for a disconnected client");
        assertEquals(0, loop.submit(() -> node.pendingWork().requests()).get() - 1);
    }

    /** Requests waiting for capacity must not be sent in the turn in which their clients' disconnect is noticed. */
    @Test
    void forwardsNothingForClientGoneDuringDelay() throws Exception {
        server.script(FakePeer.SILENT);
        start(1_024);
        List<Socket> waiting = new ArrayList<>();
        List<Socket> attempts = new ArrayList<>();
        // A server first receives only some of them; the rest waits in the decision module.
        int attemptCount = 0;
        for (int i = 0; i < 40; i++) {
            waiting.add(sendRequest(i));
        }
        for (Socket attempt = FakePeer.takeWithTimeout(server.accepted);
                attempt != null;
                attempt = server.accepted.poll(500, TimeUnit.MILLISECONDS)) {
            attempts.add(attempt);
            attemptCount++;
        }
        assertTrue(attemptCount < 40, "no request waits; sent: " + attemptCount);
        List<String> sent = new ArrayList<>();
        server.requests.drainTo(sent);
        CountDownLatch release = blockLoop(400);
        for (Socket attempt : attempts) {
            FakePeer.write(attempt, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }
        for (Socket client : waiting) {
            client.close();
        }
        release.countDown();
        sendRequest(500);
        String next = server.nextRequest();
        assertTrue(next.contains(String.format("%016x", 500)), "forwarded for a disconnected client: " + next);
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
        // Past the time at which the node stops listening.
        CountDownLatch release = blockLoop(1_000);
        for (int i = 0; i < 200; i++) {
            Socket client = connect();
            if (i % 2 == 0) {
                sendRequest(client, i);
            }
        }
        release.countDown();
        for (int i = 0; i < 200; i += 2) {
            assertEquals(200, status(FakePeer.read(clients.get(i))), "client " + i);
        }
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never stopped");
    }
}
