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

/** Every line of the protocol's table of outcomes, and the care of connections. */
@Timeout(120)
class ServerPoolTest {
    private static final long SERVER_IDLE_TIMEOUT_US = 60_000_000;

    private EventLoopGroup group;
    private EventLoop loop;
    private FakePeer server;

    /** The report on an attempt. */
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
        public void onEnded(Result result, ServerResponse answer) {
            results.add(new AttemptResult(result, answer));
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

    private ServerPool createPool(String address, long idleUs) throws Exception {
        SocketBudget sockets = new SocketBudget(1_024);
        ServerPool pool = loop.submit(() -> new ServerPool(loop, Network.SYSTEM, sockets, 300_000, idleUs))
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

    private ServerPool.Attempt start(ServerPool pool, RecordingSource probe) throws Exception {
        return loop.submit(() -> pool.start("s", probe)).get();
    }

    private AttemptResult resultFor(FakePeer.Script script) throws Exception {
        server.script(script);
        RecordingSource probe = new RecordingSource(10);
        start(createPool(server.address(), SERVER_IDLE_TIMEOUT_US), probe);
        AttemptResult report = probe.takeResult();
        loop.submit(() -> {}).get();
        assertTrue(probe.results.isEmpty(), "reported twice");
        return report;
    }

    @Test
    void passesOnComplete200Unchanged() throws Exception {
        AttemptResult report = resultFor(FakePeer.answer("200 OK", "Content-Type: text/x\r\n", "h\u00e9llo"));
        assertEquals(Result.OK, report.result());
        assertArrayEquals(
                "h\u00e9llo".getBytes(StandardCharsets.ISO_8859_1),
                report.response().body());
        assertEquals("text/x", report.response().contentType());
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
                            // Without a length the end of the connection is all there is, and says nothing.
                            FakePeer.write(socket, "HTTP/1.1 200 OK\r\n\r\nmaybe half");
                            socket.close();
                        })
                        .result());
        assertEquals(
                Result.RESET, resultFor(FakePeer.raw("HELLO THERE\r\n\r\n")).result());
    }

    /** The connection stays open behind each of these: nothing but the reading may end the attempt. */
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
    void reportsResetAndClosesOnMalformedResponse(String spoilt) throws Exception {
        assertEquals(Result.RESET, resultFor(FakePeer.raw(spoilt)).result());
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

    @Test
    void doesNotUseUnsolicitedResponseForNextRequest() throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource first = new RecordingSource(10);
        start(pool, first);
        assertEquals(Result.OK, first.takeResult().result());
        Socket idle = FakePeer.takeWithTimeout(server.accepted);
        RecordingSource second = new RecordingSource(10);
        loop.submit(() -> {
                    // The loop is busy here: what comes is in the system's buffer and read only afterwards.
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
        RecordingSource probe = new RecordingSource(10);
        start(createPool("127.0.0.1:" + port, SERVER_IDLE_TIMEOUT_US), probe);
        assertEquals(Result.CONNECT_FAILED, probe.takeResult().result());
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
            // Linux drops what comes when the queue of connections not accepted is full.
            List<Socket> fill = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Socket socket = new Socket();
                fill.add(socket);
                try {
                    socket.connect(full.getLocalSocketAddress(), 200);
                } catch (java.net.SocketTimeoutException e) {
                    break;
                }
            }
            RecordingSource probe = new RecordingSource(10);
            meanwhile.accept(start(createPool("127.0.0.1:" + full.getLocalPort(), SERVER_IDLE_TIMEOUT_US), probe));
            assertEquals(Result.CONNECT_FAILED, probe.takeResult().result());
            for (Socket socket : fill) {
                socket.close();
            }
        }
    }

    @Test
    void reportsConnectFailedWhenConnectionBreaksBeforeRequestIsWritten() throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            RecordingSource probe = new RecordingSource(64 << 20);
            start(createPool("127.0.0.1:" + deaf.getLocalPort(), SERVER_IDLE_TIMEOUT_US), probe);
            Socket accepted = deaf.accept();
            accepted.getInputStream().read();
            accepted.setSoLinger(true, 0);
            accepted.close();
            assertEquals(Result.CONNECT_FAILED, probe.takeResult().result());
        }
    }

    @Test
    void closesConnectionOfAbandonedAttempt() throws Exception {
        server.script(FakePeer.SILENT);
        RecordingSource probe = new RecordingSource(10);
        ServerPool.Attempt attempt = start(createPool(server.address(), SERVER_IDLE_TIMEOUT_US), probe);
        server.nextRequest();
        loop.submit(() -> attempt.abandon(Result.TIMEOUT)).get();
        assertEquals(Result.TIMEOUT, probe.takeResult().result());
        FakePeer.takeWithTimeout(server.closedByClient);
    }

    @Test
    void closesIdleConnectionsOfUnresponsiveServer() throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource[] probes = {new RecordingSource(1), new RecordingSource(2)};
        // Answered only once both are there, so that neither can use the other's connection.
        CountDownLatch both = new CountDownLatch(2);
        server.script((socket, request) -> {
            both.countDown();
            both.await();
            FakePeer.answer("200 OK", "", "done").run(socket, request);
        });
        start(pool, probes[0]);
        start(pool, probes[1]);
        assertEquals(Result.OK, probes[0].takeResult().result());
        assertEquals(Result.OK, probes[1].takeResult().result());
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
        RecordingSource probe = new RecordingSource(10);
        loop.submit(() -> pool.start("s", probe).abandon(Result.CANCELLED)).get();
        assertEquals(Result.MOOT, probe.takeResult().result());
        // Its connection, once up, carries the next attempt: the only request that the server sees.
        FakePeer.takeWithTimeout(server.accepted);
        RecordingSource next = new RecordingSource(11);
        start(pool, next);
        assertEquals(Result.OK, next.takeResult().result());
        assertEquals("11", FakePeer.header(server.nextRequest(), "Content-Length"));
        assertTrue(server.requests.isEmpty());
    }

    /** Told between the dial and the connection: however late that comes up, nothing is sent on it. */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone", "left out"})
    void failsWaitingAttemptsWhenServerDrains(String state) throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        RecordingSource probe = new RecordingSource(10);
        boolean named = !state.equals("left out");
        String entry = "{\"uid\":\"s\",\"endpoint\":\"" + server.address() + "\",\"state\":\"" + state + "\"}";
        ServerList list =
                ServerListParser.parse("{\"rev\":2,\"all\":" + !named + ",\"targets\":[" + (named ? entry : "") + "]}");
        loop.submit(() -> {
                    pool.start("s", probe);
                    pool.update(list);
                })
                .get();
        assertEquals(Result.CONNECT_FAILED, probe.takeResult().result());
        // Its dial is through, and has been looked at.
        FakePeer.takeWithTimeout(server.accepted);
        loop.submit(() -> {}).get();
        loop.submit(pool::close).get();
        FakePeer.takeWithTimeout(server.closedByClient);
        assertTrue(server.requests.isEmpty(), "sent after it was told");
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
        Socket a = FakePeer.takeWithTimeout(used);
        Socket b = FakePeer.takeWithTimeout(used);
        FakePeer.write(a, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.takeWithTimeout(
                first.results.isEmpty() && second.results.isEmpty()
                        ? awaitEitherResult(first, second)
                        : first.results.isEmpty() ? second.results : first.results);
        FakePeer.write(b, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        FakePeer.takeWithTimeout(awaitEitherResult(first, second));
        RecordingSource third = new RecordingSource(3);
        start(pool, third);
        assertSame(b, FakePeer.takeWithTimeout(used));
    }

    private static BlockingQueue<AttemptResult> awaitEitherResult(RecordingSource a, RecordingSource b)
            throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakePeer.TIMEOUT_S);
        while (a.results.isEmpty() && b.results.isEmpty() && System.nanoTime() < until) {
            AttemptResult report = a.results.poll(1, TimeUnit.MILLISECONDS);
            if (report != null) {
                a.results.add(report);
            }
        }
        return a.results.isEmpty() ? b.results : a.results;
    }

    @Test
    void doesNotReuseConnectionClosedOrWrittenByServer() throws Exception {
        ServerPool pool = createPool(server.address(), SERVER_IDLE_TIMEOUT_US);
        String wrong = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
        for (String unasked : Arrays.asList(null, wrong, "HTT")) {
            RecordingSource first = new RecordingSource(10);
            start(pool, first);
            assertEquals(Result.OK, first.takeResult().result());
            Socket idle = FakePeer.takeWithTimeout(server.accepted);
            if (unasked == null) {
                idle.close();
            } else {
                FakePeer.write(idle, unasked);
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
        RecordingSource probe = new RecordingSource(10);
        start(createPool(server.address(), 100_000), probe);
        assertEquals(Result.OK, probe.takeResult().result());
        // The fake never closes: the end of the connection is the pool's doing.
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
        ServerPool.ExchangeSource caller = new ServerPool.ExchangeSource() {
            @Override
            public Exchange exchange() {
                return new PlainExchange(
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER));
            }

            @Override
            public void onEnded(Result result, ServerResponse answer) {
                results.add(result);
            }
        };
        String id = "s-" + server.port();
        loop.submit(() -> pool.start(id, caller)).get();
        assertEquals(Result.OK, FakePeer.takeWithTimeout(results));
        // The second goes out on the first one's connection, and nothing is read until its time is up.
        CountDownLatch again = new CountDownLatch(1);
        server.script((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
            again.countDown();
        });
        loop.submit(() -> {
                    ServerPool.Attempt attempt = pool.start(id, caller);
                    await(again);
                    attempt.abandon(Result.TIMEOUT);
                })
                .get();
        assertEquals(Result.OK, FakePeer.takeWithTimeout(results));
        loop.submit(pool::close).get();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "nothing came");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
