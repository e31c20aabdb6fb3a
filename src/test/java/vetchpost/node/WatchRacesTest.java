package vetchpost.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.config.NodeConfig;
import vetchpost.discovery.ServerListParser;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** Checks lists, reconfigurations and watch failures between two steps of a node; each order is forced. */
@Timeout(120)
class WatchRacesTest {
    private static final FakePeer.Script SERVED = FakePeer.answer("200 OK", "", "done");

    private EventLoopGroup group;
    private EventLoop loop;
    private FakePeer discovery;
    private FakePeer newDiscovery;
    private FakePeer drainingServer;
    private FakePeer readyServer;
    private NodeConfig config;
    private Node node;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        discovery = new FakePeer(FakePeer.SILENT);
        newDiscovery = new FakePeer(FakePeer.SILENT);
        drainingServer = new FakePeer(SERVED);
        readyServer = new FakePeer(SERVED);
    }

    @AfterEach
    void close() throws Exception {
        loop.submit(node::close).get();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        discovery.close();
        newDiscovery.close();
        drainingServer.close();
        readyServer.close();
    }

    private void createNode(boolean isPushed) throws Exception {
        JsonObject json = Fixture.config(discovery, drainingServer, readyServer);
        if (isPushed) {
            json.getAsJsonObject("settings").addProperty("membershipMode", "pushed");
        }
        config = NodeConfig.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        node = loop.submit(() -> new Node(config, loop)).get();
    }

    /** Returns the node's configuration with another discovery address. */
    private NodeConfig configWithDiscovery(FakePeer otherDiscovery) throws Exception {
        JsonObject json = Fixture.config(otherDiscovery, drainingServer, readyServer);
        return NodeConfig.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
    }

    private CountDownLatch warmUp() {
        CountDownLatch warm = new CountDownLatch(1);
        loop.execute(() -> node.warmUp(20, warm::countDown));
        return warm;
    }

    private int listen() throws Exception {
        Channel channel =
                loop.submit(() -> node.start(group, 0, () -> {})).get().sync().channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    private void assertOnlyReadyServerReceivesRequests(int port) throws Exception {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(FakePeer.TIMEOUT_S));
            for (int i = 0; i < 20; i++) {
                FakePeer.write(client, Fixture.request("GET", "/view", i, "", ""));
                assertTrue(FakePeer.read(client).startsWith("HTTP/1.1 200"));
            }
        }
        assertTrue(drainingServer.requests.isEmpty(), "sent to a draining server");
    }

    /** The agent's list counts as received from the start, so it has to be applied before clients can connect. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void appliesPushedListBeforeListening(boolean isLate) throws Exception {
        createNode(true);
        CountDownLatch listSent = new CountDownLatch(1);
        if (!isLate) {
            listSent.countDown();
        }
        discovery.script((socket, request) -> {
            listSent.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, Fixture.list(42, false, "Terminating", drainingServer));
        });
        CountDownLatch warm = warmUp();
        assertTrue(discovery.nextRequest().contains("&after=41 "));
        if (isLate) {
            assertFalse(warm.await(400, TimeUnit.MILLISECONDS), "did not wait for the agent");
            listSent.countDown();
        }
        assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never warm");
        assertOnlyReadyServerReceivesRequests(listen());
        assertTrue(discovery.requests.isEmpty(), "asked twice");
    }

    /** A silent agent means that discovery is down; the node must start nevertheless. */
    @Test
    void startsWithKnownListWhenAgentIsSilent() throws Exception {
        createNode(true);
        CountDownLatch warm = warmUp();
        discovery.nextRequest();
        assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "still waits for the agent");
        assertEquals(2, loop.submit(node::serverCount).get());
    }

    /** A watch opened before the known list is applied would deliver changes that the known list overwrites. */
    @Test
    void usesNewDiscoveryAddressMovedDuringWarmUp() throws Exception {
        createNode(false);
        FakePeer.Script sendsList = (socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, Fixture.list(7, true, "Ready", readyServer));
        };
        discovery.script(sendsList);
        newDiscovery.script(sendsList);
        NodeConfig newConfig = configWithDiscovery(newDiscovery);
        CountDownLatch warm = new CountDownLatch(1);
        loop.submit(() -> {
                    node.warmUp(20, warm::countDown);
                    node.moveDiscovery(newConfig);
                })
                .get();
        assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never warm");
        assertTrue(
                newDiscovery.nextRequest().startsWith("GET /v1/endpoints?watch=1 "),
                "sent a revision of the old address");
        assertNull(newDiscovery.requests.poll(300, TimeUnit.MILLISECONDS), "asked twice");
        assertTrue(discovery.requests.isEmpty(), "the old address received a request");
        assertOnlyReadyServerReceivesRequests(listen());
    }

    /** The decision module wants its next watch just while the one opened by a move waits for its response. */
    @Test
    void doesNotRepeatPendingWatchRequest() throws Exception {
        discovery.script(FakePeer.answer("503 Later", "", "busy"));
        CountDownLatch answer = new CountDownLatch(1);
        newDiscovery.script((socket, request) -> {
            answer.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, Fixture.list(7, true, "Ready", readyServer));
        });
        createNode(false);
        CountDownLatch warm = warmUp();
        assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never warm");
        discovery.nextRequest();
        FakePeer.takeWithTimeout(discovery.closedByClient);
        NodeConfig newConfig = configWithDiscovery(newDiscovery);
        loop.submit(() -> node.moveDiscovery(newConfig)).get();
        assertNotNull(newDiscovery.nextRequest());
        // The module retries at most 375 ms after the failure.
        assertNull(newDiscovery.requests.poll(800, TimeUnit.MILLISECONDS), "asked twice");
        answer.countDown();
        assertOnlyReadyServerReceivesRequests(listen());
    }

    /** Changes of a large list still queued in the old dispatcher are not sent again by discovery. */
    @Test
    void keepsPartlyAppliedListOnReconfigure() throws Exception {
        createNode(false);
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < 3_000; i++) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"t-")
                    .append(i)
                    .append("\",\"endpoint\":\"")
                    .append("127.0.")
                    .append(i / 250)
                    .append('.')
                    .append(i % 250)
                    .append(":9\",\"state\":\"Ready\"}");
        }
        String largeList = "{\"rev\":42,\"all\":false,\"targets\":[" + targets + "]}";
        assertEquals(
                3_002,
                loop.submit(() -> {
                            node.start(group, 0, () -> {});
                            node.onList(ServerListParser.parse(largeList));
                            node.reconfigure(config);
                            return node.serverCount();
                        })
                        .get());
    }

    /** A lost watch is reopened at once, but with a delay if it was open only briefly. */
    @Test
    void reopensLostPushedWatchWithinDrainGrace() throws Exception {
        createNode(true);
        CountDownLatch watchBegun = new CountDownLatch(1);
        discovery.script((socket, request) -> {
            Fixture.beginWatch(socket);
            watchBegun.countDown();
        });
        loop.submit(() -> node.start(group, 0, () -> {})).get();
        // Otherwise the first request could meet the next script, and the watch would be lost before it is open.
        assertTrue(watchBegun.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
        long requests = 0;
        long startNs = System.nanoTime();
        discovery.script(FakePeer.RESET);
        FakePeer.RESET.run(FakePeer.takeWithTimeout(discovery.accepted), "");
        discovery.nextRequest();
        while (System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(1)) {
            requests += discovery.requests.poll(100, TimeUnit.MILLISECONDS) == null ? 0 : 1;
        }
        // One request per quarter of the drain grace period of 500 ms.
        assertTrue(requests >= 3 && requests <= 9, "watch requests in a second: " + requests);
    }
}
