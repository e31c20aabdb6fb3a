package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;
import vetchpost.node.NodeHooks;
import vetchpost.routes.FileRoutePolicy;
import vetchpost.routes.RouteValidation;
import vetchpost.routes.RouteValidator;
import vetchpost.routes.file.RouteFile;
import vetchpost.simulation.check.Checker;
import vetchpost.simulation.check.ExpectedRequest;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;
import vetchpost.simulation.check.Violation;
import vetchpost.simulation.net.SimulatedHost;
import vetchpost.simulation.net.SimulatedSocket;
import vetchpost.simulation.net.Tap;
import vetchpost.simulation.net.Tcp;
import vetchpost.simulation.net.VirtualTime;
import vetchpost.simulation.wire.Message;
import vetchpost.simulation.wire.MessageParser;
import vetchpost.simulation.world.Clients;
import vetchpost.simulation.world.NodeProcess;
import vetchpost.simulation.world.Nodes;
import vetchpost.simulation.world.RequestClasses;
import vetchpost.simulation.world.RequestEffects;
import vetchpost.simulation.world.Rules;
import vetchpost.simulation.world.SimulatedDiscovery;
import vetchpost.simulation.world.SimulatedServer;
import vetchpost.simulation.world.World;

/**
 * One node, a few servers and a client, all controlled by a test in simulated time. The checker runs after every
 * step; a test ends with {@link #stopAndCheck()} and asserts that {@code violations} is empty.
 */
final class SingleNodeScenario {
    static final long MS = 1_000_000;

    final VirtualTime time = new VirtualTime();
    final List<Violation> violations = new ArrayList<>();
    final List<SimulatedServer> servers = new ArrayList<>();
    /** Requests that servers have read, in order. */
    final List<Message> receivedRequests = new ArrayList<>();

    final Checker checker = new Checker(time, Rules.limits(), violations::add);
    final SimulatedDiscovery discovery;
    final NodeProcess node;
    final Clients clients;
    private final SimulatedHost client;
    private int txns;

    /** Settings with the request classes of this scenario. */
    static Settings settings() {
        Settings settings = new Settings();
        settings.maxRetryAfterUs = 1_000_000;
        settings.maxAttempts = 4;
        settings.allowsHedging = true;
        settings.classes.add(requestClass("view-page", 320, Idempotency.SAFE));
        settings.classes.add(requestClass("add-photo", 400, Idempotency.KEYED));
        settings.classes.add(requestClass("place-order", 640, Idempotency.UNSAFE));
        settings.tenants.add(new Tenant("school", 1_000));
        return settings;
    }

    /** The policy of a valid route file with this text. */
    static RoutePolicy policy(String routes) {
        Settings settings = settings();
        RouteValidation validation =
                RouteValidator.validate(RouteFile.parse("routes.toml", routes).sections(), settings);
        assertEquals(List.of(), validation.violations());
        return new FileRoutePolicy(validation.table(), settings, 1);
    }

    private static RequestClass requestClass(String name, long timeoutMs, Idempotency repeat) {
        return new RequestClass(name, 0, 0, 1_000 * timeoutMs, 1, 0, repeat, DeduplicationScope.ALL, 1_200_000, false);
    }

    SingleNodeScenario(long seed, int serverCount, int racks, boolean pushed, String routes) {
        this(seed, serverCount, racks, pushed);
        node.setRoutes(policy(routes));
    }

    SingleNodeScenario(long seed, int serverCount, int racks, boolean pushed) {
        this(seed, serverCount, racks, pushed, 10);
    }

    /** With another setup of the node. */
    SingleNodeScenario(long seed, int serverCount, int racks, NodeProcess.Setup setup) {
        this(seed, serverCount, racks, false, 10, setup);
    }

    /** With request classes for this mean processing time in milliseconds. */
    SingleNodeScenario(long seed, int serverCount, int racks, boolean pushed, int workMs) {
        this(seed, serverCount, racks, pushed, workMs, loop -> NodeHooks.NONE);
    }

    private SingleNodeScenario(
            long seed, int serverCount, int racks, boolean pushed, int workMs, NodeProcess.Setup setup) {
        Tcp tcp = new Tcp(time, new SplittableRandom(seed));
        World world =
                new World(seed, time, tcp, checker, new RequestClasses(workMs), (what, who, detail, number) -> {});
        RequestEffects effects = new RequestEffects(world, violations::add);
        clients = new Clients(world, effects);
        client = tcp.host("client", Tap.NONE);
        Nodes nodes = new Nodes();
        discovery = new SimulatedDiscovery(world, nodes);
        node = new NodeProcess(world, clients, discovery, setup, violations::add, pushed, 1, 0);
        nodes.add(node);
        for (int i = 0; i < serverCount; i++) {
            SimulatedServer server = new SimulatedServer(world, effects, i, i % racks, 2);
            server.start(false);
            server.setScript((socket, request) -> {
                receivedRequests.add(request);
                return false;
            });
            discovery.addServer(server);
            node.addServer(server);
            servers.add(server);
        }
        node.start();
        runMs(100);
    }

    /** Has all servers handle each request by the script, and records it. */
    void setScript(SimulatedServer.Script script) {
        servers.forEach(server -> server.setScript((socket, request) -> {
            receivedRequests.add(request);
            return script.handle(socket, request);
        }));
    }

    void runMs(long ms) {
        runUntilNs(time.nanoTime() + ms * MS);
    }

    private void runUntilNs(long ns) {
        boolean[] isOver = new boolean[1];
        time.at(ns, () -> isOver[0] = true);
        while (!isOver[0] && time.step()) {
            checker.afterStep();
        }
    }

    /** A client connection with one request, and its responses. */
    final class TestClient {
        final List<Message> answers = new ArrayList<>();
        private final MessageParser parser = new MessageParser(answers::add);
        private SimulatedSocket socket;
        private boolean sent;

        void disconnect() {
            socket.close();
        }

        int status() {
            return answers.isEmpty() ? 0 : answers.get(0).status();
        }
    }

    /** Sends a request on a connection of its own. */
    TestClient sendRequest(String kind, RetryPolicy retryPolicy, long remainingMs, int bodyBytes) {
        String txn = String.format(Locale.ROOT, "%016x", ++txns);
        String body = "b".repeat(retryPolicy == RetryPolicy.SAFE ? 0 : bodyBytes);
        byte[] bytes = Message.bytes(
                (retryPolicy == RetryPolicy.SAFE ? "GET /" : "POST /") + kind + "/1 HTTP/1.1",
                "Host: b\r\nX-Txn: " + txn + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                        + (retryPolicy == RetryPolicy.KEYED ? "Idempotency-Key: k" + txn + "\r\n" : "")
                        + (retryPolicy == RetryPolicy.SAFE ? "" : "Content-Length: " + body.length() + "\r\n"),
                body);
        TestClient testClient = new TestClient();
        testClient.socket = client.connect(new InetSocketAddress("10.0.0.1", 8443), () -> {
            if (testClient.socket.isOpen() && !testClient.sent) {
                testClient.sent = true;
                checker.expect(new ExpectedRequest(txn, retryPolicy, time.nanoTime() + remainingMs * MS, 10 * MS));
                write(testClient.socket, bytes, 0);
            }
            while (testClient.socket.readable() > 0) {
                testClient.parser.feed(testClient.socket.read(4_096));
            }
        });
        return testClient;
    }

    private void write(SimulatedSocket socket, byte[] bytes, int from) {
        int to;
        try {
            to = from + socket.write(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + 4_096)));
        } catch (IOException e) {
            return;
        }
        if (to < bytes.length) {
            time.after(MS / 10, () -> write(socket, bytes, to));
        }
    }

    TestClient viewPage(long remainingMs) {
        return sendRequest("view-page", RetryPolicy.SAFE, remainingMs, 0);
    }

    TestClient addPhoto(long remainingMs) {
        return sendRequest("add-photo", RetryPolicy.KEYED, remainingMs, 10);
    }

    TestClient placeOrder(long remainingMs) {
        return sendRequest("place-order", RetryPolicy.UNSAFE, remainingMs, 10);
    }

    /** Answers a request as a server would, and reports the response to the checker. */
    void respond(SimulatedSocket socket, Message request) {
        String body = "made for " + request.field("x-txn");
        checker.addResponse(request.field("x-txn"), body);
        socket.put(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
    }

    /** Stops the node, which then checks that nothing is left. */
    void stopAndCheck() {
        node.stop();
        runMs(9_000);
    }
}
