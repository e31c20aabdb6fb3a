package vetchpost.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.core.ServerList;
import vetchpost.net.Network;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** Checks what the discovery watch delivers, and that each kind of failure is reported exactly once. */
@Timeout(120)
class DiscoveryClientTest implements DiscoveryClient.Listener {
    private final BlockingQueue<ServerList> lists = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> failures = new LinkedBlockingQueue<>();
    /** If set, the next list blocks the event loop until this latch opens. */
    private volatile CountDownLatch listenerRelease;

    private EventLoopGroup group;
    private FakePeer peer;
    private int port;

    @Override
    public void onList(ServerList list) {
        CountDownLatch release = listenerRelease;
        listenerRelease = null;
        lists.add(list);
        if (release != null) {
            try {
                release.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void onWatchFailed(String reason) {
        failures.add(reason);
    }

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        peer = new FakePeer(FakePeer.SILENT);
        port = peer.port();
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        peer.close();
    }

    private DiscoveryClient subscribe(long timeoutMs) throws Exception {
        EventLoop loop = group.next();
        DiscoveryClient discovery = new DiscoveryClient(
                loop, Network.SYSTEM, new InetSocketAddress("127.0.0.1", port), 41, timeoutMs, timeoutMs, 1, this);
        loop.submit(discovery::subscribe).get();
        return discovery;
    }

    private void assertFailsOnce() throws Exception {
        FakePeer.takeWithTimeout(failures);
        FakePeer.takeWithTimeout(peer.closedByClient);
        group.next().submit(() -> {}).get();
        assertTrue(failures.isEmpty(), "reported twice");
    }

    @Test
    void deliversListsFromAnyChunking() throws Exception {
        String changes = Fixture.list(42, false, "Ready", peer);
        String fullList = Fixture.list(50, true, "Terminating", peer);
        peer.script((socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, "");
            Fixture.writeLine(socket, changes + "\n\n" + fullList);
        });
        DiscoveryClient discovery = subscribe(20_000);
        assertEquals(ServerListParser.parse(changes), FakePeer.takeWithTimeout(lists));
        assertEquals(ServerListParser.parse(fullList), FakePeer.takeWithTimeout(lists));
        peer.nextRequest();
        group.next().submit(discovery::subscribe).get();
        assertTrue(peer.nextRequest().contains("&after=50 "), "does not continue from the last revision");
        FakePeer.takeWithTimeout(peer.closedByClient);
        assertTrue(failures.isEmpty(), "a replaced watch was reported as failed");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'rev':42,",
                "[]",
                "{'rev':42,'all':false}",
                "{'rev':42,'all':false,'targets':[{'uid':'s','endpoint':'example:80','state':'Ready'}]}",
                "{'rev':42,'all':false,'targets':[{'uid':'s','endpoint':'127.0.0.1:80','state':'Odd'}]}",
                "{'rev':'x','all':false,'targets':[]}",
                "{'rev':1,'all':true,'targets':[null]}"
            })
    void failsOnMalformedMessageWithoutList(String message) throws Exception {
        peer.script((socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, message.replace('\'', '"'));
        });
        subscribe(20_000);
        assertFailsOnce();
        assertTrue(lists.isEmpty());
    }

    @Test
    void failsWhenConnectionIsReset() throws Exception {
        peer.script((socket, request) -> {
            Fixture.beginWatch(socket);
            FakePeer.RESET.run(socket, request);
        });
        subscribe(20_000);
        assertFailsOnce();
    }

    @Test
    void failsOnErrorStatus() throws Exception {
        peer.script(FakePeer.answer("503 Later", "", "busy"));
        subscribe(20_000);
        assertFailsOnce();
    }

    @Test
    void failsOnSilence() throws Exception {
        peer.script((socket, request) -> Fixture.beginWatch(socket));
        subscribe(200);
        assertFailsOnce();
    }

    /** Only complete lines or many bytes count as progress, not a few bytes of an endless line. */
    @Test
    void failsWhenLineOnlyTrickles() throws Exception {
        subscribe(500);
        Socket watch = FakePeer.takeWithTimeout(peer.accepted);
        peer.nextRequest();
        Fixture.beginWatch(watch);
        String failure = null;
        for (int i = 0; failure == null && i < 100; i++) {
            FakePeer.write(watch, "1\r\n \r\n");
            failure = failures.poll(100, TimeUnit.MILLISECONDS);
        }
        assertEquals("silent", failure);
    }

    /** Handling one line blocks the event loop past the timeout while the next line is already in the socket. */
    @Test
    void readsPendingLineBeforeReportingSilence() throws Exception {
        subscribe(1_000);
        Socket watch = FakePeer.takeWithTimeout(peer.accepted);
        peer.nextRequest();
        CountDownLatch release = new CountDownLatch(1);
        listenerRelease = release;
        Fixture.beginWatch(watch);
        String first = Fixture.list(42, false, "Ready", peer);
        Fixture.writeLine(watch, first);
        assertEquals(ServerListParser.parse(first), FakePeer.takeWithTimeout(lists));
        String unread = Fixture.list(43, false, "Ready", peer);
        Fixture.writeLine(watch, unread);
        // The timeout passes while nothing is read.
        assertEquals(null, failures.poll(1_100, TimeUnit.MILLISECONDS));
        release.countDown();
        assertEquals(ServerListParser.parse(unread), FakePeer.takeWithTimeout(lists));
        assertTrue(failures.isEmpty(), () -> "failed: " + failures);
    }

    @Test
    void failsWhenConnectionIsRefused() throws Exception {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unused.getLocalPort();
        }
        subscribe(20_000);
        FakePeer.takeWithTimeout(failures);
    }

    @Test
    void keepsWatchOpenOnHeartbeats() throws Exception {
        subscribe(3_000);
        Socket watch = FakePeer.takeWithTimeout(peer.accepted);
        peer.nextRequest();
        Fixture.beginWatch(watch);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
        while (System.nanoTime() < until) {
            Fixture.writeLine(watch, "");
            String failure = failures.poll(100, TimeUnit.MILLISECONDS);
            assertEquals(null, failure);
        }
    }
}
