package vetchpost.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.core.ServerList;
import vetchpost.core.ServerResponse;
import vetchpost.decision.Balancer.Result;
import vetchpost.discovery.ServerListParser;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** Checks every attempt result of the protocol and the reuse and closing of server connections. */
@Timeout(120)
class ServerPoolTest {
    private static final long SERVER_IDLE_TIMEOUT_US = 60_000_000;

    private EventLoopGroup group;
    private EventLoop loop;
    private FakePeer server;

    /** The reported end of an attempt. */
    private record AttemptResult(Result result, ServerResponse response) {}

    private static final class RecordingSource implements ServerPool.ExchangeSource {
        final BlockingQueue<AttemptResult> results = new LinkedBlockingQueue<>();
        private final int bodySize;

        RecordingSource(int bodySize) {
            this.bodySize = bodySize;
        }

        @Override
        public Exchange exchange() {
            FullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.wrappedBuffer(new byte[bodySize]));
            message.headers().set("Content-Length", bodySize);
            return new PlainExchange(message);
        }

        @Override
        public void onEnded(Result result, ServerResponse response) {
            results.add(new AttemptResult(result, response));
        }

        AttemptResult takeResult() throws InterruptedException {
            return FakePeer.takeWithTimeout(results);
        }
    }

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        server = new FakePeer(FakePeer.answer("200 OK", "", "hello"));
    }

    @AfterEach
    void close() throws Exception {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private ServerPool createPool(String address, long serverIdleTimeoutUs) throws Exception {
        SocketBudget sockets = new SocketBudget(1_024);
        ServerPool pool = loop.submit(() -> new ServerPool(loop, Network.SYSTEM, sockets, 300_000, serverIdleTimeoutUs))
                .get();
        updateList(pool, address, 0);
        return pool;
    }

    private void updateList(ServerPool pool, String address, long bootMs) throws Exception {
        ServerList list = ServerListParser.parse("{\"rev\":1,\"all\":true,"
                + "\"targets\":[{\"uid\":\"s\",\"endpoint\":\"" + address
                + "\",\"state\":\"Ready\",\"boot_ms\":" + bootMs + "}]}");
        loop.submit(() -> pool.update(list)).get();
    }

    private ServerPool.Attempt start(ServerPool pool, RecordingSource source) throws Exception {
        return loop.submit(() -> pool.start("s", source)).get();
    }

    private AttemptResult resultFor(FakePeer.Script script) throws Exception {
        server.script(script);
        RecordingSource source = new RecordingSource(10);
        start(createPool(server.address(), SERVER_IDLE_TIMEOUT_US), source);
        AttemptResult attemptResult = source.takeResult();
        loop.submit(() -> {}).get();
        assertTrue(source.results.isEmpty(), "reported twice");
        return attemptResult;
    }

    @Test
    void passesOnComplete200Unchanged() throws Exception {
        AttemptResult attemptResult = resultFor(FakePeer.answer("200 OK", "Content-Type: text/x\r\n", "h\u00e9llo"));
        assertEquals(Result.OK, attemptResult.result());
        assertArrayEquals(
                "h\u00e9llo".getBytes(StandardCharsets.ISO_8859_1),
                attemptResult.response().body());
        assertEquals("text/x", attemptResult.response().contentType());
        assertEquals(
                Result.OK,
                resultFor(FakePeer.raw(
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "2\r\nab\r\n0\r\n\r\n"))
                        .result());
        assertEquals(
                Result.OK,
                resultFor(FakePeer.raw(
                                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + "Content-Length: 0\r\n\r\n"))
                        .result());
    }

    @Test
    void reportsErrorOrMarkedRejection() throws Exception {
        assertEquals(Result.ERROR, resultFor(FakePeer.answer("500 No", "", "")).result());
        assertEquals(Result.ERROR, resultFor(FakePeer.answer("503 No", "", "")).result());
        assertEquals(
                Result.ERROR,
                resultFor(FakePeer.answer("500 No", "X-Turned-Away: 1\r\n", "")).result());
        assertEquals(
                Result.FULL,
                resultFor(FakePeer.answer("503 No", "X-Turned-Away: 1\r\n", "")).result());
        assertEquals(
                Result.FULL,
                resultFor(FakePeer.answer("504 No", "X-Turned-Away: 1\r\n", "")).result());
    }

    @Test
    void reportsResetWhenConnectionBreaksAfterRequestIsWritten() throws Exception {
        assertEquals(Result.RESET, resultFor(FakePeer.RESET).result());
        assertEquals(Result.RESET, resultFor(FakePeer.CLOSE).result());
        assertEquals(
                Result.RESET,
                resultFor((socket, request) -> {
                            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
                            socket.close();
                        })
                        .result());
        assertEquals(
                Result.RESET,
                resultFor((socket, request) -> {
                            // Without a length the end of the connection does not show that the body is complete.
                            FakePeer.write(socket, "HTTP/1.1 200 OK\r\n\r\nmaybe half");
                            socket.close();
                        })
                        .result());
        assertEquals(
                Result.RESET, resultFor(FakePeer.raw("HELLO THERE\r\n\r\n")).result());
    }

    /** The connection stays open after each response, so only the malformed input can end the attempt. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno",
                "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nno",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nno",
                "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nno",
                "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nno",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nno\r\n0\r\n\r\n",
                "HTTP/1.1 OK 200\r\nContent-Length: 2\r\n\r\nno",
                "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nno",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
            })
    void reportsResetAndClosesOnMalformedResponse(String malformed) throws Exception {
        assertEquals(Result.RESET, resultFor(FakePeer.raw(malformed)).result());
        FakePeer.takeWithTimeout(server.closedByClient);
    }

    @Test
    void reportsResetOnEndlessResponseHeads() throws Exception {
        assertEquals(
                Result.RESET,
                resultFor(FakePeer.raw("HTTP/1.1 200 OK\r\n" + "X-Pad: pppppppppppppppp\r\n".repeat(1_000)))
                        .result());
        assertEquals(
                Result.RESET,
                resultFor(FakePeer.raw("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100)
                                + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
                        .result());
    }

    /** Guards against response heads whose decoded fields take many times the memory of their text. */
    @Test
    void reportsResetOnUnfinishedHeadWithTooManyFields() throws Exception {
        String fields = "a:b\r\n".repeat(HeaderFieldLimit.MAX_FIELDS + 1);
        assertEquals(
                Result.RESET,
                resultFor(FakePeer.raw("HTTP/1.1 200 OK\r\n" + fields)).result());
    }

    @Test
    void doesNotUseUnsolicitedResponseForNextRequest() throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource first = new RecordingSource(10);
        start(pool, first);
        assertEquals(Result.OK, first.takeResult().result());
        Socket idle = FakePeer.takeWithTimeout(server.accepted);
        RecordingSource second = new RecordingSource(10);
        loop.submit(() -> {
                    // The event loop is busy here, so the input stays in the socket buffer until later.
                    FakePeer.write(idle, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
                    return pool.start("s", second);
                })
                .get();
        assertEquals("hello", new String(second.takeResult().response().body(), StandardCharsets.UTF_8));
    }

    @Test
    void reportsConnectFailedWhenConnectionIsRefused() throws Exception {
        int port;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        RecordingSource source = new RecordingSource(10);
        start(createPool("127.0.0.1:" + port, SERVER_IDLE_TIMEOUT_US), source);
        assertEquals(Result.CONNECT_FAILED, source.takeResult().result());
    }

    @Test
    void reportsConnectFailedAtConnectTimeout() throws Exception {
        assertConnectFailsWhenNeverAccepted(attempt -> {});
    }

    @Test
    void reportsConnectFailedOnTimeoutWhileConnecting() throws Exception {
        assertConnectFailsWhenNeverAccepted(attempt -> loop.execute(() -> attempt.abandon(Result.TIMEOUT)));
    }

    private void assertConnectFailsWhenNeverAccepted(Consumer<ServerPool.Attempt> meanwhile) throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // Linux drops connection attempts while the accept queue is full.
            List<Socket> fillers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Socket socket = new Socket();
                fillers.add(socket);
                try {
                    socket.connect(full.getLocalSocketAddress(), 200);
                } catch (java.net.SocketTimeoutException e) {
                    break;
                }
            }
            RecordingSource source = new RecordingSource(10);
            meanwhile.accept(start(createPool("127.0.0.1:" + full.getLocalPort(), SERVER_IDLE_TIMEOUT_US), source));
            assertEquals(Result.CONNECT_FAILED, source.takeResult().result());
            for (Socket socket : fillers) {
                socket.close();
            }
        }
    }

    @Test
    void reportsConnectFailedWhenConnectionBreaksBeforeRequestIsWritten() throws Exception {
        try (ServerSocket silentServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RecordingSource source = new RecordingSource(64 << 20);
            start(createPool("127.0.0.1:" + silentServer.getLocalPort(), SERVER_IDLE_TIMEOUT_US), source);
            Socket accepted = silentServer.accept();
            accepted.getInputStream().read();
            accepted.setSoLinger(true, 0);
            accepted.close();
            assertEquals(Result.CONNECT_FAILED, source.takeResult().result());
        }
    }

    @Test
    void closesConnectionOfAbandonedAttempt() throws Exception {
        server.script(FakePeer.SILENT);
        RecordingSource source = new RecordingSource(10);
        ServerPool.Attempt attempt = start(createPool(server.address(), SERVER_IDLE_TIMEOUT_US), source);
        server.nextRequest();
        loop.submit(() -> attempt.abandon(Result.TIMEOUT)).get();
        assertEquals(Result.TIMEOUT, source.takeResult().result());
        FakePeer.takeWithTimeout(server.closedByClient);
    }

    @Test
    void closesIdleConnectionsOfUnresponsiveServer() throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource[] sources = {new RecordingSource(1), new RecordingSource(2)};
        // Answered only once both have arrived, so that neither can use the other's connection.
        CountDownLatch both = new CountDownLatch(2);
        server.script((socket, request) -> {
            both.countDown();
            both.await();
            FakePeer.answer("200 OK", "", "done").run(socket, request);
        });
        start(pool, sources[0]);
        start(pool, sources[1]);
        assertEquals(Result.OK, sources[0].takeResult().result());
        assertEquals(Result.OK, sources[1].takeResult().result());
        server.script(FakePeer.SILENT);
        RecordingSource silent = new RecordingSource(3);
        ServerPool.Attempt attempt = start(pool, silent);
        loop.submit(() -> attempt.abandon(Result.TIMEOUT)).get();
        assertEquals(Result.TIMEOUT, silent.takeResult().result());
        FakePeer.takeWithTimeout(server.closedByClient);
        FakePeer.takeWithTimeout(server.closedByClient);
    }

    @Test
    void doesNotSendAttemptAbandonedWhileConnecting() throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource source = new RecordingSource(10);
        loop.submit(() -> pool.start("s", source).abandon(Result.CANCELLED)).get();
        assertEquals(Result.MOOT, source.takeResult().result());
        // Its connection, once up, carries the next attempt, the only request that the server receives.
        FakePeer.takeWithTimeout(server.accepted);
        RecordingSource next = new RecordingSource(11);
        start(pool, next);
        assertEquals(Result.OK, next.takeResult().result());
        assertEquals("11", FakePeer.header(server.nextRequest(), "Content-Length"));
        assertTrue(server.requests.isEmpty());
    }

    /** The list changes between connect and connection; however late that is up, nothing is sent on it. */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone", "left out"})
    void failsWaitingAttemptsWhenServerDrains(String state) throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource source = new RecordingSource(10);
        boolean isListed = !state.equals("left out");
        String entry = "{\"uid\":\"s\",\"endpoint\":\"" + server.address() + "\",\"state\":\"" + state + "\"}";
        ServerList list = ServerListParser.parse(
                "{\"rev\":2,\"all\":" + !isListed + ",\"targets\":[" + (isListed ? entry : "") + "]}");
        loop.submit(() -> {
                    pool.start("s", source);
                    pool.update(list);
                })
                .get();
        assertEquals(Result.CONNECT_FAILED, source.takeResult().result());
        // The connection is accepted and the event loop has handled it.
        FakePeer.takeWithTimeout(server.accepted);
        loop.submit(() -> {}).get();
        loop.submit(pool::close).get();
        FakePeer.takeWithTimeout(server.closedByClient);
        assertTrue(server.requests.isEmpty(), "sent after the state change");
    }

    @Test
    void reusesMostRecentlyUsedConnectionFirst() throws Exception {
        BlockingQueue<Socket> used = new LinkedBlockingQueue<>();
        server.script((socket, request) -> used.add(socket));
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource first = new RecordingSource(1);
        RecordingSource second = new RecordingSource(2);
        start(pool, first);
        start(pool, second);
        Socket firstUsed = FakePeer.takeWithTimeout(used);
        Socket secondUsed = FakePeer.takeWithTimeout(used);
        FakePeer.write(firstUsed, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.takeWithTimeout(
                first.results.isEmpty() && second.results.isEmpty()
                        ? awaitEitherResult(first, second)
                        : first.results.isEmpty() ? second.results : first.results);
        FakePeer.write(secondUsed, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.takeWithTimeout(awaitEitherResult(first, second));
        RecordingSource third = new RecordingSource(3);
        start(pool, third);
        assertSame(secondUsed, FakePeer.takeWithTimeout(used));
    }

    private static BlockingQueue<AttemptResult> awaitEitherResult(RecordingSource a, RecordingSource b)
            throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        while (a.results.isEmpty() && b.results.isEmpty() && System.nanoTime() < until) {
            AttemptResult attemptResult = a.results.poll(1, TimeUnit.MILLISECONDS);
            if (attemptResult != null) {
                a.results.add(attemptResult);
            }
        }
        return a.results.isEmpty() ? b.results : a.results;
    }

    @Test
    void doesNotReuseConnectionClosedOrWrittenByServer() throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        String wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        for (String unsolicited : Arrays.asList(null, wrong, "HTT")) {
            RecordingSource first = new RecordingSource(10);
            start(pool, first);
            assertEquals(Result.OK, first.takeResult().result());
            Socket idle = FakePeer.takeWithTimeout(server.accepted);
            if (unsolicited == null) {
                idle.close();
            } else {
                FakePeer.write(idle, unsolicited);
            }
            assertSame(idle, FakePeer.takeWithTimeout(server.closedByClient));
            RecordingSource second = new RecordingSource(10);
            start(pool, second);
            assertEquals("hello", new String(second.takeResult().response().body(), StandardCharsets.UTF_8));
            FakePeer.takeWithTimeout(server.accepted).close();
            FakePeer.takeWithTimeout(server.closedByClient);
        }
    }

    @Test
    void closesIdleConnectionBeforeServerTimeout() throws Exception {
        RecordingSource source = new RecordingSource(10);
        start(createPool(server.address(), 100_000), source);
        assertEquals(Result.OK, source.takeResult().result());
        // The fake server never closes, so the pool closed the connection.
        FakePeer.takeWithTimeout(server.closedByClient);
    }

    @Test
    void sendsToNewAddressAfterServerMoved() throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource first = new RecordingSource(10);
        start(pool, first);
        assertEquals(Result.OK, first.takeResult().result());
        try (FakePeer moved = new FakePeer(FakePeer.answer("200 OK", "", "moved"))) {
            updateList(pool, moved.address(), 0);
            FakePeer.takeWithTimeout(server.closedByClient);
            RecordingSource second = new RecordingSource(10);
            start(pool, second);
            assertEquals("moved", new String(second.takeResult().response().body(), StandardCharsets.UTF_8));
        }
    }

    @Test
    void usesResponseReceivedBeforeDelayedTimeout() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        server.script((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            answered.countDown();
        });
        ServerPool pool = loop.submit(
                        () -> new ServerPool(loop, Network.SYSTEM, new SocketBudget(1_024), 2_000_000, 60_000_000))
                .get();
        loop.submit(() -> pool.update(ServerListParser.parse(Fixture.list(1, true, "Ready", server))))
                .get();
        LinkedBlockingQueue<Result> results = new LinkedBlockingQueue<>();
        ServerPool.ExchangeSource source = new ServerPool.ExchangeSource() {
            @Override
            public Exchange exchange() {
                return new PlainExchange(
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER));
            }

            @Override
            public void onEnded(Result result, ServerResponse response) {
                results.add(result);
            }
        };
        String id = "s-" + server.port();
        loop.submit(() -> pool.start(id, source)).get();
        assertEquals(Result.OK, FakePeer.takeWithTimeout(results));
        // The second attempt uses the same connection, and nothing is read until its timeout.
        CountDownLatch answeredAgain = new CountDownLatch(1);
        server.script((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            answeredAgain.countDown();
        });
        loop.submit(() -> {
                    ServerPool.Attempt attempt = pool.start(id, source);
                    await(answeredAgain);
                    attempt.abandon(Result.TIMEOUT);
                })
                .get();
        assertEquals(Result.OK, FakePeer.takeWithTimeout(results));
        loop.submit(pool::close).get();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "the expected event did not happen");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
