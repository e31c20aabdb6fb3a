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

/** The watch: what it tells, and each way in which it fails, told once. */
@Timeout(120)
class DiscoveryClientTest implements DiscoveryClient.Listener {
    private final BlockingQueue<ServerList> lists = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> failures = new LinkedBlockingQueue<>();
    /** The next list holds the loop up until this. */
    private volatile CountDownLatch listenerRelease;

    private EventLoopGroup group;
    private FakePeer peer;
    private int port;

    @Override
    public void onList(ServerList list) {
        CountDownLatch go = listenerRelease;
        listenerRelease = null;
        lists.add(list);
        if (go != null) {
            try {
                go.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
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

    private DiscoveryClient subscribe(long silentMs) throws Exception {
        EventLoop loop = group.next();
        DiscoveryClient discovery = new DiscoveryClient(
                loop, Network.SYSTEM, new InetSocketAddress("127.0.0.1", port), 41, silentMs, silentMs, 1, this);
        loop.submit(discovery::subscribe).get();
        return discovery;
    }

    private void assertFailsOnce() throws Exception {
        FakePeer.takeWithTimeout(failures);
        FakePeer.takeWithTimeout(peer.closedByClient);
        group.next().submit(() -> {}).get();
        assertTrue(failures.isEmpty(), "told twice");
    }

    @Test
    void deliversListsFromAnyChunking() throws Exception {
        String changes = Fixture.list(42, false, "Ready", peer);
        String whole = Fixture.list(50, true, "Terminating", peer);
        peer.script((socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, "");
            Fixture.writeLine(socket, changes + "\n\n" + whole);
        });
        DiscoveryClient discovery = subscribe(20_000);
        assertEquals(ServerListParser.parse(changes), FakePeer.takeWithTimeout(lists));
        assertEquals(ServerListParser.parse(whole), FakePeer.takeWithTimeout(lists));
        peer.nextRequest();
        group.next().submit(discovery::subscribe).get();
        assertTrue(peer.nextRequest().contains("&after=50 "), "asks from the version told last");
        FakePeer.takeWithTimeout(peer.closedByClient);
        assertTrue(failures.isEmpty(), "a watch replaced is not one that failed");
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

    /** Bytes that never make a line are no news: only whole lines are, or many bytes. */
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

    /** The loop is held up past the time by what a line brought, and the next line lies unread meanwhile. */
    @Test
    void readsPendingLineBeforeReportingSilence() throws Exception {
        subscribe(1_000);
        Socket watch = FakePeer.takeWithTimeout(peer.accepted);
        peer.nextRequest();
        CountDownLatch go = new CountDownLatch(1);
        listenerRelease = go;
        Fixture.beginWatch(watch);
        String held = Fixture.list(42, false, "Ready", peer);
        Fixture.writeLine(watch, held);
        assertEquals(ServerListParser.parse(held), FakePeer.takeWithTimeout(lists));
        String unread = Fixture.list(43, false, "Ready", peer);
        Fixture.writeLine(watch, unread);
        // Its time passes, and nothing is read.
        assertEquals(null, failures.poll(1_100, TimeUnit.MILLISECONDS));
        go.countDown();
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
