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

/** A list, a reload or a failed watch that comes between two steps of the node's; each order is forced. */
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

    private void createNode(boolean pushed) throws Exception {
        JsonObject json = Fixture.config(discovery, drainingServer, readyServer);
        if (pushed) {
            json.getAsJsonObject("settings").addProperty("membershipMode", "pushed");
        }
        config = NodeConfig.read(Map.of("LB_CONFIG", Fixture.write(json).toString()));
        node = loop.submit(() -> new Node(config, loop)).get();
    }

    /** The node's configuration, but with discovery elsewhere. */
    private NodeConfig configWithDiscovery(FakePeer elsewhere) throws Exception {
        JsonObject json = Fixture.config(elsewhere, drainingServer, readyServer);
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
        assertTrue(drainingServer.requests.isEmpty(), "sent to what it had been told of");
    }

    /** What the agent has counts as told from the first moment: nobody may come before it is known. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void appliesPushedListBeforeListening(boolean late) throws Exception {
        createNode(true);
        CountDownLatch said = new CountDownLatch(1);
        if (!late) {
            said.countDown();
        }
        discovery.script((socket, request) -> {
            said.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS);
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, Fixture.list(42, false, "Terminating", drainingServer));
        });
        CountDownLatch warm = warmUp();
        assertTrue(discovery.nextRequest().contains("&after=41 "));
        if (late) {
            assertFalse(warm.await(400, TimeUnit.MILLISECONDS), "did not wait for the agent");
            said.countDown();
        }
        assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never warm");
        assertOnlyReadyServerReceivesRequests(listen());
        assertTrue(discovery.requests.isEmpty(), "asked twice");
    }

    /** An agent that is silent, since discovery is down, keeps no node away. */
    @Test
    void startsWithKnownListWhenAgentIsSilent() throws Exception {
        createNode(true);
        CountDownLatch warm = warmUp();
        discovery.nextRequest();
        assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "waits for ever");
        assertEquals(2, loop.submit(node::serverCount).get());
    }

    /** Opened before the known list is taken in, its watch would bring news that the known list goes over. */
    @Test
    void usesNewDiscoveryAddressMovedDuringWarmUp() throws Exception {
        createNode(false);
        FakePeer.Script told = (socket, request) -> {
            Fixture.beginWatch(socket);
            Fixture.writeLine(socket, Fixture.list(7, true, "Ready", readyServer));
        };
        discovery.script(told);
        newDiscovery.script(told);
        NodeConfig elsewhere = configWithDiscovery(newDiscovery);
        CountDownLatch warm = new CountDownLatch(1);
        loop.submit(() -> {
                    node.warmUp(20, warm::countDown);
                    node.moveDiscovery(elsewhere);
                })
                .get();
        assertTrue(warm.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "never warm");
        assertTrue(newDiscovery.nextRequest().startsWith("GET /v1/endpoints?watch=1 "), "a version of the old one");
        assertNull(newDiscovery.requests.poll(300, TimeUnit.MILLISECONDS), "asked twice");
        assertTrue(discovery.requests.isEmpty(), "the old address was asked");
        assertOnlyReadyServerReceivesRequests(listen());
    }

    /** The module's own next call is due just when the one that a move has made waits for its answer. */
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
        NodeConfig elsewhere = configWithDiscovery(newDiscovery);
        loop.submit(() -> node.moveDiscovery(elsewhere)).get();
        assertNotNull(newDiscovery.nextRequest());
        // Its back-off after the failure is 375 ms at most.
        assertNull(newDiscovery.requests.poll(800, TimeUnit.MILLISECONDS), "asked twice");
        answer.countDown();
        assertOnlyReadyServerReceivesRequests(listen());
    }

    /** What waits of a large list in the old core is past the watch's version: nobody tells it again. */
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
        String many = "{\"rev\":42,\"all\":false,\"targets\":[" + targets + "]}";
        assertEquals(
                3_002,
                loop.submit(() -> {
                            node.start(group, 0, () -> {});
                            node.onList(ServerListParser.parse(many));
                            node.reconfigure(config);
                            return node.serverCount();
                        })
                        .get());
    }

    /** Opened again as soon as it is lost, and paced if it is lost at once. */
    @Test
    void reopensLostPushedWatchWithinDrainGrace() throws Exception {
        createNode(true);
        discovery.script((socket, request) -> Fixture.beginWatch(socket));
        loop.submit(() -> node.start(group, 0, () -> {})).get();
        long calls = 0;
        long began = System.nanoTime();
        discovery.script(FakePeer.RESET);
        FakePeer.RESET.run(FakePeer.takeWithTimeout(discovery.accepted), "");
        discovery.nextRequest();
        while (System.nanoTime() - began < TimeUnit.SECONDS.toNanos(1)) {
            calls += discovery.requests.poll(100, TimeUnit.MILLISECONDS) == null ? 0 : 1;
        }
        // A quarter of the grace of half a second.
        assertTrue(calls >= 3 && calls <= 9, "calls in a second: " + calls);
    }
}
