package vetchpost.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.config.NodeConfig;
import vetchpost.core.EventLoopDelay;
import vetchpost.net.LoopClock;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** A node whose event loop is behind with its sockets. */
@Timeout(120)
class EventLoopDelayTest {
    private static final int DELAY_MS = 500;
    /** A beat and what the test's own threads take. */
    private static final int TOLERANCE_MS = 100;

    private EventLoopGroup group;
    private EventLoop loop;
    private FakePeer discovery;
    private FakePeer server;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(FakePeer.answer("200 OK", "", "done"));
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        discovery.close();
        server.close();
    }

    private int start() throws Exception {
        NodeConfig config = NodeConfig.read(Map.of(
                "LB_CONFIG", Fixture.write(Fixture.config(discovery, server)).toString()));
        Node node = loop.submit(() -> new Node(config, loop)).get();
        CountDownLatch ready = new CountDownLatch(1);
        Channel channel = loop.submit(() -> node.start(group, 8, ready::countDown))
                .get()
                .sync()
                .channel();
        assertTrue(ready.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never ready");
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Keeps the loop from everything until the latch opens, and for some time after. */
    private void blockLoop(CountDownLatch until, int thenMs) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        loop.execute(() -> {
            begun.countDown();
            await(until);
            park(thenMs);
        });
        await(begun);
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "nothing came");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void park(int ms) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        while (System.nanoTime() - end < 0) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }

    private static Socket connect(int port) throws Exception {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
        return socket;
    }

    private static String viewRequest(int id) {
        return Fixture.request("GET", "/view/1", id, "", "");
    }

    @Test
    void doesNotForwardRequestOfDisconnectedClient() throws Exception {
        int port = start();
        CountDownLatch left = new CountDownLatch(1);
        try (Socket kept = connect(port)) {
            // Accepted and heard from before, so that both requests are read in the turn after the stall.
            FakePeer.write(kept, viewRequest(1));
            FakePeer.read(kept);
            server.nextRequest();
            try (Socket leaves = connect(port)) {
                FakePeer.write(leaves, viewRequest(2));
                FakePeer.read(leaves);
                server.nextRequest();
                blockLoop(left, 0);
                FakePeer.write(leaves, viewRequest(3));
            }
            left.countDown();
            FakePeer.write(kept, viewRequest(4));
            assertTrue(FakePeer.read(kept).startsWith("HTTP/1.1 200 "));
            FakePeer.write(kept, viewRequest(5));
            assertTrue(FakePeer.read(kept).startsWith("HTTP/1.1 200 "));
        }
        assertEquals("0000000000000004", FakePeer.header(server.nextRequest(), "X-Txn"));
        assertEquals("0000000000000005", FakePeer.header(server.nextRequest(), "X-Txn"));
        assertTrue(server.requests.isEmpty(), "sent on for nobody");
    }

    @Test
    void countsUnreadTimeAgainstDeadline() throws Exception {
        int port = start();
        CountDownLatch sent = new CountDownLatch(1);
        try (Socket client = connect(port)) {
            blockLoop(sent, DELAY_MS);
            FakePeer.write(client, viewRequest(1));
            sent.countDown();
            FakePeer.read(client);
        }
        int left = Integer.parseInt(FakePeer.header(server.nextRequest(), "X-Remaining-Ms"));
        assertTrue(left <= Fixture.REMAINING_MS - DELAY_MS + TOLERANCE_MS, "waits for " + left);
    }

    @Test
    void reportsDelayAfterBlockedLoop() throws Exception {
        EventLoopDelay stall = new EventLoopDelay(new LoopClock(loop, 0));
        loop.submit(stall::start).get();
        blockLoop(new CountDownLatch(0), DELAY_MS);
        // In the turn after: what came during the stall is read then.
        long us = loop.submit(stall::currentUs).get();
        assertTrue(us >= TimeUnit.MILLISECONDS.toMicros(DELAY_MS - TOLERANCE_MS), us + " us");
        loop.submit(stall::close).get();
    }
}
