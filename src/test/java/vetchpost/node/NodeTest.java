package vetchpost.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
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

/** Checks a complete node between fake clients, servers and discovery. */
@Timeout(120)
class NodeTest {
    private static final FakePeer.Script SERVED = FakePeer.answer("200 OK", "", "done");

    private EventLoopGroup group;
    private FakePeer discovery;
    private FakePeer first;
    private FakePeer second;
    private Socket client;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        discovery = new FakePeer(FakePeer.SILENT);
        first = new FakePeer(SERVED);
        second = new FakePeer(SERVED);
    }

    @AfterEach
    void close() throws Exception {
        if (client != null) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        discovery.close();
        first.close();
        second.close();
    }

    private int start(JsonObject json) throws Exception {
        EventLoop loop = group.next();
        NodeConfig config =
                NodeConfig.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        Node node = loop.submit(() -> new Node(config, loop)).get();
        CountDownLatch ready = new CountDownLatch(1);
        Channel channel = loop.submit(() -> node.start(group, 8, ready::countDown))
                .get()
                .sync()
                .channel();
        assertTrue(ready.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never ready");
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private void start(FakePeer... servers) throws Exception {
        client = connect(start(Fixture.config(discovery, servers)));
    }

    private static Socket connect(int port) throws Exception {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        return socket;
    }

    private String send(String request) throws Exception {
        FakePeer.write(client, request);
        return FakePeer.read(client);
    }

    private static int status(String answer) {
        assertNotNull(answer, "the connection ended without an answer");
        return Integer.parseInt(answer.substring(9, 12));
    }

    @Test
    void forwardsRequestUnchangedOnce() throws Exception {
        start(first);
        String answer = send(Fixture.request(
                "POST",
                "/photo/7?size=2",
                1,
                "Idempotency-Key: abc\r\n" + "Cookie: key=9\r\nConnection: keep-alive\r\n",
                "pixels"));
        assertEquals(200, status(answer));
        assertTrue(answer.endsWith("\r\n\r\ndone"), answer);
        String sent = first.nextRequest();
        assertTrue(sent.startsWith("POST /photo/7?size=2 HTTP/1.1\r\n"), sent);
        assertTrue(sent.endsWith("\r\n\r\npixels"), sent);
        assertEquals("abc", FakePeer.header(sent, "Idempotency-Key"));
        assertEquals("0000000000000001", FakePeer.header(sent, "X-Txn"));
        assertEquals("key=9", FakePeer.header(sent, "Cookie"));
        int left = Integer.parseInt(FakePeer.header(sent, "X-Remaining-Ms"));
        assertTrue(left > 0 && left <= Fixture.REMAINING_MS, "waits for " + left);
        assertTrue(first.requests.isEmpty());
        assertEquals(200, status(send("GET /ready HTTP/1.1\r\n\r\n")));
    }

    /** Guards against a client that passes its requests off as the node's own rehearsal, which nobody runs. */
    @Test
    void forwardsRequestWithFieldOfEarlierRehearsals() throws Exception {
        start(first);
        JsonObject json = Fixture.config(discovery, first);
        String token = Long.toHexString(
                new SplittableRandom(Long.parseUnsignedLong(json.get("seed").getAsString(), 16)).nextLong());
        String header = "X-Rehearsal: " + token + "\r\n";
        assertTrue(send(Fixture.request("GET", "/view/1", 98, header, "")).endsWith("done"));
        assertTrue(first.nextRequest().startsWith("GET /view/1 "));
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        first.script((socket, request) -> {
            String path = request.split(" ")[1];
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
        });
        start(first);
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            pipelined.append(Fixture.request("GET", "/view/" + i, i, "", ""));
        }
        FakePeer.write(client, pipelined.toString());
        for (int i = 0; i < 40; i++) {
            String answer = FakePeer.read(client);
            assertTrue(answer.endsWith("\r\n\r\n/view/" + i), answer);
        }
    }

    @Test
    void answersLongPipelineCompletely() throws Exception {
        int requestCount = 3_000;
        first.script(FakePeer.SILENT);
        start(first);
        FakePeer.write(
                client,
                Fixture.request("GET", "/view", 1, "", "") + "GET /ready HTTP/1.1\r\n\r\n".repeat(requestCount));
        first.nextRequest();
        FakePeer.write(FakePeer.takeWithTimeout(first.accepted), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals(200, status(FakePeer.read(client)));
        for (int i = 0; i < requestCount; i++) {
            assertEquals(200, status(FakePeer.read(client)));
        }
    }

    @Test
    void neitherRetriesNorRejectsUnsafeRequestThatMayHaveRun() throws Exception {
        first.script(FakePeer.RESET);
        second.script(FakePeer.RESET);
        start(first, second);
        int status = status(send(Fixture.request("POST", "/order", 1, "", "")));
        assertTrue(status >= 500 && status != 503, "answered " + status);
        // A retry would be sent before the error response, so it would have arrived by the end of this round trip.
        assertEquals(200, status(send("GET /ready HTTP/1.1\r\n\r\n")));
        assertEquals(1, first.requests.size() + second.requests.size());
    }

    /** Zones that only the list names are distinct too: a request that may have run in one is not sent to the other. */
    @Test
    void keepsKeyedRequestInZoneMissingFromSettings() throws Exception {
        FakePeer.Script failing = FakePeer.answer("500 Error", "", "");
        first.script(failing);
        second.script(failing);
        JsonObject json = Fixture.config(discovery, first, second);
        json.getAsJsonObject("settings")
                .getAsJsonArray("classes")
                .get(1)
                .getAsJsonObject()
                .addProperty("group", "zone");
        JsonArray targets = json.getAsJsonObject("known").getAsJsonArray("targets");
        targets.get(0).getAsJsonObject().addProperty("az", "x");
        targets.get(1).getAsJsonObject().addProperty("az", "y");
        JsonArray zones = new JsonArray();
        zones.add("a");
        json.getAsJsonObject("settings").add("zones", zones);
        for (int i = 0; i < 6; i++) {
            // A new node each time, because a node would learn to avoid the server that failed.
            client = connect(start(json));
            String key = "Idempotency-Key: k" + i + "\r\n";
            FakePeer.write(
                    client,
                    Fixture.request("POST", "/photo", i, key, "x")
                            .replace("X-Remaining-Ms: " + Fixture.REMAINING_MS, "X-Remaining-Ms: 600"));
            int status = status(FakePeer.read(client));
            assertTrue(status >= 500, "answered " + status);
            assertTrue(
                    first.requests.isEmpty() != second.requests.isEmpty(),
                    "to " + first.requests.size() + " in one zone, " + second.requests.size() + " in the other");
            first.requests.clear();
            second.requests.clear();
            client.close();
        }
    }

    @Test
    void retriesSafeRequestAfterError() throws Exception {
        first.script(FakePeer.answer("500 No", "", ""));
        start(first, second);
        for (int i = 0; i < 8; i++) {
            assertEquals(200, status(send(Fixture.request("GET", "/view", i, "", ""))));
        }
        assertFalse(second.requests.isEmpty());
    }

    @Test
    void answers503WithRetryAfterOnServerRejection() throws Exception {
        first.script(FakePeer.answer("503 Full", "X-Turned-Away: 1\r\n", ""));
        start(first);
        String answer = send(Fixture.request("POST", "/order", 1, "", ""));
        assertEquals(503, status(answer));
        assertEquals("1", FakePeer.header(answer, "Retry-After"));
    }

    @Test
    void answersWithinDeadlineWhenServerIsSilent() throws Exception {
        first.script(FakePeer.SILENT);
        start(first);
        long from = System.nanoTime();
        int status = status(send(Fixture.request("POST", "/slow", 1, "", "")
                .replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: 700")));
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
        assertTrue(status >= 500 && status != 503, "answered " + status);
        assertTrue(tookMs >= 600, "given up after " + tookMs + " ms");
        FakePeer.takeWithTimeout(first.closedByClient);
        assertEquals(1, first.requests.size());
    }

    @Test
    void abandonsAttemptWhenClientDisconnects() throws Exception {
        first.script(FakePeer.SILENT);
        start(first);
        FakePeer.write(client, Fixture.request("GET", "/view", 1, "", ""));
        first.nextRequest();
        client.close();
        FakePeer.takeWithTimeout(first.closedByClient);
        assertTrue(first.requests.isEmpty(), "retried for a disconnected client");
    }

    @Test
    void losesNoRequestWhenServerClosesIdleConnection() throws Exception {
        start(first);
        for (int i = 0; i < 5; i++) {
            assertEquals(200, status(send(Fixture.request("POST", "/order", i, "", ""))));
            FakePeer.takeWithTimeout(first.accepted).close();
            FakePeer.takeWithTimeout(first.closedByClient);
        }
        assertEquals(5, first.requests.size());
    }

    @Test
    void sendsNothingNewToDrainingServer() throws Exception {
        start(first, second);
        String call = discovery.nextRequest();
        assertTrue(call.startsWith("GET /v1/endpoints?watch=1&after=41 "), call);
        Socket watch = FakePeer.takeWithTimeout(discovery.accepted);
        assertEquals(200, status(send(Fixture.request("GET", "/view", 0, "", ""))));
        Fixture.beginWatch(watch);
        Fixture.writeLine(watch, Fixture.list(42, false, "Terminating", first));
        // A run of requests to the other server only shows that the node has read the line.
        Fixture.writeLine(watch, Fixture.list(43, false, "Ready", second));
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        int requestsToOtherServer = 0;
        for (int i = 1; requestsToOtherServer < 20; i++) {
            int before = first.requests.size();
            assertEquals(200, status(send(Fixture.request("GET", "/view", i, "", ""))));
            requestsToOtherServer = first.requests.size() == before ? requestsToOtherServer + 1 : 0;
            assertTrue(System.nanoTime() < until, "the draining server is still sent to");
        }
        // A broken watch is reopened with the last revision.
        watch.close();
        assertTrue(discovery.nextRequest().contains("after=43 "));
    }

    @Test
    void answersBadInput4xxWithoutForwarding() throws Exception {
        int port = start(Fixture.config(discovery, first));
        String good = Fixture.request("GET", "/view", 1, "", "");
        List<Map.Entry<Integer, String>> cases = new ArrayList<>(List.of(
                Map.entry(404, good.replace("/view", "/nothing")),
                Map.entry(404, good.replace("/view", "*")),
                Map.entry(405, good.replace("GET", "POST")),
                Map.entry(405, good.replace("GET", "DELETE")),
                Map.entry(400, good.replace("X-Org: acme", "X-Org: nobody")),
                Map.entry(400, good.replace("X-Txn: 0000000000000001\r\n", "")),
                Map.entry(400, good.replace("X-Txn: 0000000000000001", "X-Txn: zz")),
                Map.entry(400, good.replace("X-Remaining-Ms: " + Fixture.REMAINING_MS + "\r\n", "")),
                Map.entry(400, good.replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: -4")),
                Map.entry(400, good.replace("Remaining-Ms: " + Fixture.REMAINING_MS, "Remaining-Ms: soon")),
                Map.entry(400, Fixture.request("POST", "/photo", 1, "", "")),
                Map.entry(400, "COMPLETE NONSENSE\r\n\r\n"),
                Map.entry(400, good.replace("\r\n\r\n", "\r\nno colon here\r\n\r\n")),
                Map.entry(400, orderRequest("Content-Length: 1\r\nContent-Length: 2\r\n", "xx")),
                Map.entry(400, orderRequest("Content-Length: 1, 1\r\n", "x")),
                Map.entry(400, orderRequest("Content-Length: +1\r\n", "x")),
                Map.entry(400, orderRequest("Content-Length: -1\r\n", "x")),
                Map.entry(400, orderRequest("Content-Length: 99999999999999999999\r\n", "x")),
                Map.entry(413, orderRequest("Content-Length: 60000000\r\n", "x")),
                Map.entry(400, orderRequest("Transfer-Encoding: gzip\r\n", "x")),
                Map.entry(400, orderRequest("Transfer-Encoding: chunked\r\n", "zz\r\nx\r\n")),
                Map.entry(413, Fixture.request("POST", "/order", 1, "", "x".repeat(65_537))),
                Map.entry(
                        413,
                        Fixture.request("POST", "/order", 1, "Transfer-Encoding: chunked\r\n", "")
                                        .replace("Content-Length: 0\r\n", "")
                                + "10001\r\n" + "x".repeat(0x10001)
                                + "\r\n0\r\n\r\n"),
                Map.entry(414, good.replace("/view", "/view/" + "x".repeat(9_000))),
                Map.entry(431, good.replace("\r\n\r\n", "\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n"))));
        for (Map.Entry<Integer, String> bad : cases) {
            client = connect(port);
            String answer = send(bad.getValue());
            String shown =
                    bad.getValue().substring(0, Math.min(200, bad.getValue().length()));
            assertEquals(bad.getKey(), status(answer), shown);
            assertFalse(answer.substring(answer.indexOf("\r\n\r\n")).isBlank(), "no reason given: " + shown);
            client.close();
        }
        client = connect(port);
        assertEquals(200, status(send(good)));
        assertEquals(1, first.requests.size());
    }

    /** An order request with the given length headers. */
    private static String orderRequest(String lengths, String body) {
        return Fixture.request("POST", "/order", 1, "", "").replace("Content-Length: 0\r\n", lengths) + body;
    }

    @Test
    void rejectsRequestSmuggledByConflictingLengths() throws Exception {
        start(first);
        String hidden = Fixture.request("POST", "/order", 2, "", "");
        String answer = send(orderRequest(
                "Content-Length: " + (5 + hidden.length()) + "\r\nTransfer-Encoding: chunked\r\n",
                "0\r\n\r\n" + hidden));
        assertEquals(400, status(answer));
        assertEquals("close", FakePeer.header(answer, "Connection"));
        assertNull(FakePeer.read(client), "the connection stays open");
        assertTrue(first.requests.isEmpty());
    }

    @Test
    void closesConnectionAfterRepeatedBadRequests() throws Exception {
        start(first);
        String bad = Fixture.request("GET", "/nothing", 1, "", "");
        int answers = 0;
        for (String answer = send(bad); answer != null && answers < 100; answer = send(bad)) {
            assertEquals(404, status(answer));
            answers++;
            if ("close".equals(FakePeer.header(answer, "Connection"))) {
                assertNull(FakePeer.read(client));
                assertTrue(answers > 1, "closed after one bad request");
                return;
            }
        }
        throw new AssertionError("never closed");
    }

    @Test
    void closesSilentOrPartialConnections() throws Exception {
        int port = start(Fixture.config(discovery, first));
        try (Socket silent = connect(port);
                Socket half = connect(port)) {
            client = connect(port);
            FakePeer.write(half, "GET /view HTTP/1.1\r\nX-Txn: ");
            FakePeer.write(client, orderRequest("Content-Length: 10\r\n", "half"));
            assertNull(FakePeer.read(silent));
            assertEquals(408, status(FakePeer.read(half)));
            assertEquals(408, status(FakePeer.read(client)));
        }
    }

    @Test
    void closesSilentConnectionsBeforeOneReceivingRequest() throws Exception {
        JsonObject json = Fixture.config(discovery, first);
        json.getAsJsonObject("limits").addProperty("sockets", SocketBudget.MIN_DESCRIPTORS);
        int port = start(json);
        client = connect(port);
        assertEquals(200, status(send(Fixture.request("GET", "/view", 1, "", ""))));
        String request = Fixture.request("GET", "/view", 2, "", "");
        FakePeer.write(client, request.substring(0, 30));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            silent.add(connect(port));
        }
        assertNull(FakePeer.read(silent.get(0)));
        FakePeer.write(client, request.substring(30));
        assertEquals(200, status(FakePeer.read(client)));
        for (Socket socket : silent) {
            socket.close();
        }
    }

    @Test
    void keepsConnectionsAcceptedTogether() throws Exception {
        JsonObject json = Fixture.config(discovery, first);
        json.getAsJsonObject("limits").addProperty("sockets", SocketBudget.MIN_DESCRIPTORS);
        int port = start(json);
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < new SocketBudget(SocketBudget.MIN_DESCRIPTORS).maxClients(); i++) {
            client = connect(port);
            connections.add(client);
            assertEquals(200, status(send(Fixture.request("GET", "/view", i, "", ""))));
        }
        CountDownLatch sent = new CountDownLatch(1);
        group.next().execute(() -> {
            try {
                sent.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<Socket> newConnections = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Socket socket = connect(port);
            newConnections.add(socket);
            FakePeer.write(socket, Fixture.request("GET", "/view", 100 + i, "", ""));
        }
        sent.countDown();
        for (Socket socket : newConnections) {
            assertEquals(200, status(FakePeer.read(socket)));
        }
        connections.addAll(newConnections);
        for (Socket socket : connections) {
            socket.close();
        }
    }

    @Test
    void closesOldIdleConnectionsWhenThereAreMany() throws Exception {
        JsonObject json = Fixture.config(discovery, first);
        json.getAsJsonObject("limits").addProperty("sockets", SocketBudget.RESERVED_DESCRIPTORS + 80);
        int port = start(json);
        List<Socket> connections = new ArrayList<>();
        // A sixth of 144 is 24: 25 connections are many, but below the limit.
        for (int i = 0; i < 25; i++) {
            client = connect(port);
            connections.add(client);
            assertEquals(200, status(send(Fixture.request("GET", "/view", i, "", ""))));
        }
        assertNull(FakePeer.read(connections.get(0)), "the oldest connection is still open");
        assertEquals(200, status(send(Fixture.request("GET", "/view", 99, "", ""))));
        for (Socket socket : connections) {
            socket.close();
        }
    }

    @Test
    void closesConnectionWithResponseNearLimit() throws Exception {
        JsonObject json = Fixture.config(discovery, first);
        json.getAsJsonObject("limits").addProperty("sockets", SocketBudget.RESERVED_DESCRIPTORS + 56);
        int port = start(json);
        List<Socket> connections = new ArrayList<>();
        // A quarter of 120 is 30, which 32 connections exceed.
        for (int i = 0; i < 31; i++) {
            connections.add(connect(port));
        }
        client = connect(port);
        String answer = send(Fixture.request("GET", "/view", 1, "", ""));
        assertEquals(200, status(answer));
        assertEquals("close", FakePeer.header(answer, "Connection"));
        for (Socket socket : connections) {
            socket.close();
        }
    }

    @Test
    void rejectsDuplicateIdOfPendingRequest() throws Exception {
        first.script(FakePeer.SILENT);
        int port = start(Fixture.config(discovery, first));
        try (Socket other = connect(port)) {
            FakePeer.write(other, Fixture.request("POST", "/order", 1, "", ""));
            first.nextRequest();
            client = connect(port);
            assertEquals(409, status(send(Fixture.request("POST", "/order", 1, "", ""))));
        }
        assertTrue(first.requests.isEmpty());
    }

    @Test
    void closesIdleConnectionsAtSocketLimit() throws Exception {
        JsonObject json = Fixture.config(discovery, first);
        json.getAsJsonObject("limits").addProperty("sockets", SocketBudget.MIN_DESCRIPTORS);
        int port = start(json);
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            client = connect(port);
            connections.add(client);
            assertEquals(200, status(send(Fixture.request("GET", "/view", i, "", ""))));
        }
        assertNull(FakePeer.read(connections.get(0)), "the oldest idle connection is still open");
        for (Socket socket : connections) {
            socket.close();
        }
    }

    @Test
    void warmsUpBeforeListeningAndKeepsNoState() throws Exception {
        // In the full fleet, after a mass restart, requests to nodes that had just begun to listen expired unread while
        // their code was cold.
        EventLoop loop = group.next();
        String file = Fixture.write(Fixture.config(discovery, first)).toString();
        NodeConfig config = NodeConfig.read(Map.of("LB_CONFIG", file));
        Node node = loop.submit(() -> new Node(config, loop)).get();
        CountDownLatch warm = new CountDownLatch(1);
        loop.submit(() -> node.warmUp(30, warm::countDown)).get();
        assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never warm");
        assertEquals(
                new Node.PendingWork(0, 0, 0), loop.submit(node::pendingWork).get());
        CountDownLatch ready = new CountDownLatch(1);
        Channel channel = loop.submit(() -> node.start(group, 8, ready::countDown))
                .get()
                .sync()
                .channel();
        assertTrue(ready.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never ready");
        client = connect(((InetSocketAddress) channel.localAddress()).getPort());
        assertEquals(200, status(send(Fixture.request("GET", "/view", 1, "", ""))));
    }

    @ParameterizedTest
    @ValueSource(ints = {1_024, 1_025})
    void acceptsAThousandNodesAndServers(int count) throws Exception {
        JsonObject json = Fixture.config(discovery);
        JsonObject settings = json.getAsJsonObject("settings");
        settings.addProperty("balancers", count);
        settings.addProperty("me", count - 1);
        JsonArray peers = new JsonArray();
        JsonArray targets = json.getAsJsonObject("known").getAsJsonArray("targets");
        for (int i = 0; i < count; i++) {
            peers.add("127.1." + i / 256 + "." + i % 256 + ":7946");
            JsonObject server = new JsonObject();
            server.addProperty("uid", "s-" + i);
            server.addProperty("endpoint", first.address());
            server.addProperty("az", "a");
            server.addProperty("model", "m");
            server.addProperty("pod_group", i / 4);
            server.addProperty("state", "Ready");
            server.addProperty("capacity_hint", 1.0);
            server.addProperty("boot_ms", 0);
            targets.add(server);
        }
        json.add("peers", peers);
        NodeConfig config =
                NodeConfig.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        assertEquals(count, config.knownServers().targets().size());
        assertEquals(count, config.settings().nodes);
        assertEquals(count - 1, config.settings().node);
        EventLoop loop = group.next();
        Node node = loop.submit(() -> new Node(config, loop)).get();
        CountDownLatch ready = new CountDownLatch(1);
        Channel channel = loop.submit(() -> node.start(group, 0, ready::countDown))
                .get()
                .sync()
                .channel();
        assertTrue(ready.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never ready");
        assertEquals(count, loop.submit(node::serverCount).get());
        client = connect(((InetSocketAddress) channel.localAddress()).getPort());
        assertEquals(200, status(send(Fixture.request("GET", "/view", 1, "", ""))));
    }

    /** Creates event loops that count the turns in which they could block in the selector. */
    private static IoHandlerFactory countingWaits(AtomicInteger waits) {
        IoHandlerFactory system = NioIoHandler.newFactory();
        return executor -> {
            IoHandler handler = system.newHandler(executor);
            return (IoHandler) Proxy.newProxyInstance(
                    IoHandler.class.getClassLoader(), new Class<?>[] {IoHandler.class}, (proxy, method, arguments) -> {
                        if (method.getName().equals("run") && ((IoHandlerContext) arguments[0]).canBlock()) {
                            waits.incrementAndGet();
                        }
                        return method.invoke(handler, arguments);
                    });
        };
    }

    @Test
    void yieldsAfterWarmUpBeforeListening() throws Exception {
        // In the full fleet, processes with a CPU quota were throttled in the wait after a long run of work; a socket
        // opened within that run was left unread for a second.
        AtomicInteger waits = new AtomicInteger();
        EventLoopGroup counted = new MultiThreadIoEventLoopGroup(1, countingWaits(waits));
        try {
            EventLoop loop = counted.next();
            String file = Fixture.write(Fixture.config(discovery, first)).toString();
            NodeConfig config = NodeConfig.read(Map.of("LB_CONFIG", file));
            Node node = loop.submit(() -> new Node(config, loop)).get();
            CountDownLatch warm = new CountDownLatch(1);
            int[] seen = new int[2];
            loop.submit(() -> {
                        seen[0] = waits.get();
                        node.warmUp(50, () -> {
                            seen[1] = waits.get();
                            warm.countDown();
                        });
                    })
                    .get();
            assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never warm");
            // Once before it applies the known list, and once more before it listens.
            assertTrue(seen[1] - seen[0] >= 2, "waits: " + seen[0] + ", then " + seen[1]);
            loop.submit(node::close).get();
        } finally {
            counted.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /** The selector closes a socket only in its next select, so the node must not stop before that. */
    @Test
    void yieldsAfterLastConnectionBeforeStopping() throws Exception {
        AtomicInteger waits = new AtomicInteger();
        EventLoopGroup counted = new MultiThreadIoEventLoopGroup(1, countingWaits(waits));
        try {
            EventLoop loop = counted.next();
            String file = Fixture.write(Fixture.config(discovery, first)).toString();
            NodeConfig config = NodeConfig.read(Map.of("LB_CONFIG", file));
            first.script(FakePeer.SILENT);
            Node node = loop.submit(() -> new Node(config, loop)).get();
            Channel channel = loop.submit(() -> node.start(counted, 0, () -> {}))
                    .get()
                    .sync()
                    .channel();
            client = connect(((InetSocketAddress) channel.localAddress()).getPort());
            FakePeer.write(client, Fixture.request("POST", "/order", 1, "", "x"));
            first.nextRequest();
            CountDownLatch stopped = new CountDownLatch(1);
            int[] seen = {-1, -1};
            loop.execute(() -> node.stop(() -> {
                seen[1] = waits.get();
                stopped.countDown();
            }));
            // Long after it stopped listening, so that the response is the last event.
            assertFalse(stopped.await(1, TimeUnit.SECONDS), "stopped with a pending request");
            loop.execute(new Runnable() {
                @Override
                public void run() {
                    if (node.pendingWork().sockets() > 1) {
                        loop.schedule(this, 1, TimeUnit.MICROSECONDS);
                    } else {
                        seen[0] = waits.get();
                    }
                }
            });
            FakePeer.write(FakePeer.takeWithTimeout(first.accepted), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            assertEquals(200, status(FakePeer.read(client)));
            assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never stopped");
            assertTrue(seen[0] >= 0 && seen[1] > seen[0] + 1, "waits: " + seen[0] + ", then " + seen[1]);
            loop.submit(node::close).get();
        } finally {
            counted.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    @Test
    void doesNotListenWhenStoppedDuringWarmUp() throws Exception {
        // Requests would be accepted by a process that is about to exit.
        EventLoop loop = group.next();
        String file = Fixture.write(Fixture.config(discovery, first)).toString();
        NodeConfig config = NodeConfig.read(Map.of("LB_CONFIG", file));
        Node node = loop.submit(() -> new Node(config, loop)).get();
        CountDownLatch stopped = new CountDownLatch(1);
        AtomicBoolean started = new AtomicBoolean();
        loop.submit(() -> {
                    node.warmUp(30, () -> started.set(true));
                    node.stop(stopped::countDown);
                })
                .get();
        assertTrue(stopped.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never stopped");
        assertEquals(
                new Node.PendingWork(0, 0, 0), loop.submit(node::pendingWork).get());
        assertFalse(started.get());
    }
}
