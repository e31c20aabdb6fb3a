package vetchpost.simulation.world;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import vetchpost.config.NodeConfig;
import vetchpost.core.AdmissionControl;
import vetchpost.core.NodeLifecycle;
import vetchpost.core.RoutePolicy;
import vetchpost.core.Subset;
import vetchpost.decision.Balancer.Settings;
import vetchpost.node.Node;
import vetchpost.node.NodeHooks;
import vetchpost.simulation.check.Checker;
import vetchpost.simulation.check.Violation;
import vetchpost.simulation.check.Violation.Rule;
import vetchpost.simulation.net.SimLoop;
import vetchpost.simulation.net.SimNetwork;
import vetchpost.simulation.net.SimulatedHost;
import vetchpost.simulation.net.SimulatedSocket;

/**
 * A node's machine: it starts, stops, pauses and kills the production node on a simulated event loop and
 * network, and keeps the server list that last reached it, with which the next process starts. When a process
 * has stopped by itself, it checks that no requests, buffers, sockets or timers are left. The simulation calls
 * it on the thread of the run.
 */
public final class NodeProcess {
    /** The platform kills a node this long after SIGTERM. */
    private static final long MAX_STOP_MS = 3_650;
    /** Time for one-shot timers to expire after a node has closed. */
    private static final long REMAINING_TIMERS_MS = 4_000;

    private static final long MIN_STOP_NOTICE_MS = 200;
    private static final int STOP_NOTICE_SPREAD_MS = 200;
    private static final long MIN_CRASH_NOTICE_MS = 1_000;
    private static final int CRASH_NOTICE_SPREAD_MS = 2_900;

    /** Descriptor limits of installations: from the fewest that the platform gives upwards. */
    private static final int MIN_SOCKETS = 256;

    private static final int SOCKETS_SPREAD = 60;
    private static final int MAX_SOCKETS = 512;

    /** How nodes are set up: the defaults are plain nodes, tests inject faults through it. */
    public interface Setup {
        /** Hooks for a node on this event loop. */
        NodeHooks hooks(SimLoop loop);

        /** The route policy that nodes start with. */
        default RoutePolicy routes(Settings settings, long seed) {
            return RoutePolicy.NONE;
        }

        /** Admission control before the balancer; null for none. */
        default AdmissionControl admission(Settings settings, long seed) {
            return null;
        }

        /** Number of servers in each node's subset; 0 for all servers. */
        default int subsetSize() {
            return 0;
        }

        /** Lifecycle to run along with this process; null for none. */
        default NodeLifecycle lifecycle(Start start) {
            return null;
        }

        /** Whether this start (counted from 1) has no server list, as on a platform that keeps none. */
        default boolean startsWithoutList(int number, int start) {
            return false;
        }

        /** Called for each new connection of the node while its pipeline is still empty. */
        default void connectionOpened(Channel channel) {}
    }

    /**
     * A node process that is about to start.
     *
     * @param number number of its machine, from 0
     * @param start how often the machine has started a process, from 1
     * @param nowMs Unix time in milliseconds
     * @param seed seed for its random choices
     */
    public record Start(
            int number, int start, SimLoop loop, SimNetwork network, Settings settings, long nowMs, long seed) {}

    private static final int PORT = 8443;
    /** Machines per value of the third address byte. */
    private static final int HOSTS_PER_SUBNET = 250;

    private final World world;
    private final Clients clients;
    private final SimulatedDiscovery discovery;
    private final Setup setup;
    private final Consumer<Violation> violations;
    private final boolean pushed;
    private final int nodes;
    private final int number;
    private final InetSocketAddress address;
    /** Discovery's entries that last reached this machine, by server id. */
    private final Map<String, String> listedServers = new LinkedHashMap<>();

    private final Map<String, Long> listedStartsNs = new LinkedHashMap<>();
    private final Map<String, Boolean> listedReady = new LinkedHashMap<>();
    private int startCount;
    private Process process;

    /** One process of the machine, from its start to its end. */
    private final class Process {
        private final SimulatedHost host;
        private final SimLoop loop;
        private final SimNetwork network;
        private final Checker.NodeTap tap;
        private final Node node;
        private boolean stopping;
        private boolean stopped;
        private boolean ended;

        Process(NodeConfig config) {
            tap = world.checker.addNode(name(), address);
            host = world.tcp.host(name(), tap);
            loop = SimLoop.open(world.time, world.random("loop" + number, startCount));
            network = new SimNetwork(host, loop, setup::connectionOpened);
            listedReady.forEach((id, ready) -> tap.serverListed(id, ready, listedStartsNs.get(id)));
            node = new Node(config, loop, network, World.EPOCH_MS + world.nowMs(), setup.hooks(loop));
            node.setRoutes(setup.routes(config.settings(), config.seed()));
            node.admission(setup.admission(config.settings(), config.seed()));
            if (setup.subsetSize() > 0) {
                node.setSubset(new Subset(number, nodes, setup.subsetSize(), true));
            }
            NodeLifecycle lifecycle = setup.lifecycle(new Start(
                    number,
                    startCount,
                    loop,
                    network,
                    config.settings(),
                    World.EPOCH_MS + world.nowMs(),
                    world.random("companion" + number, startCount).nextLong()));
            if (lifecycle != null) {
                node.setLifecycle(lifecycle);
            }
            loop.run(() -> node.start(loop, 0, () -> {}));
        }

        void stop() {
            stopping = true;
            loop.run(() -> node.stop(this::stopped));
            world.afterMs(MAX_STOP_MS, () -> {
                if (!ended && !stopped) {
                    kill(false);
                }
            });
        }

        /** Called when all requests are answered: after closing, nothing may be left. */
        private void stopped() {
            if (ended) {
                return;
            }
            stopped = true;
            // A real process would exit here; this one is kept to check that it leaves nothing behind.
            tap.stopping();
            loop.run(node::close);
            world.afterMs(REMAINING_TIMERS_MS, () -> {
                if (!ended) {
                    checkNothingLeft();
                    kill(false);
                }
            });
        }

        private void checkNothingLeft() {
            Node.PendingWork left = node.pendingWork();
            if (left.requests() != 0 || left.bytes() != 0 || left.sockets() != 0) {
                reportLeak("holds " + left);
            }
            if (network.bufferedBytes() != 0) {
                reportLeak("has " + network.bufferedBytes() + " bytes of buffers that nobody released");
            }
            if (!loop.isIdle()) {
                reportLeak("has timers left");
            }
        }

        private void reportLeak(String what) {
            violations.accept(new Violation(Rule.LEAK, world.time.nanoTime(), name() + " has stopped and " + what));
        }

        void kill(boolean crash) {
            ended = true;
            if (crash) {
                tap.killed();
            }
            host.kill();
            tap.killed();
            loop.kill();
        }
    }

    /**
     * A machine without a process yet.
     *
     * @param pushed whether discovery pushes the list, instead of sending it on request
     * @param nodes number of nodes
     * @param number number of this one, from 0
     */
    public NodeProcess(
            World world,
            Clients clients,
            SimulatedDiscovery discovery,
            Setup setup,
            Consumer<Violation> violations,
            boolean pushed,
            int nodes,
            int number) {
        this.world = world;
        this.clients = clients;
        this.discovery = discovery;
        this.setup = setup;
        this.violations = violations;
        this.pushed = pushed;
        this.nodes = nodes;
        this.number = number;
        address = addressOf(number);
    }

    /** Address on which machine {@code number} listens, from 0 to 62,499. */
    public static InetSocketAddress addressOf(int number) {
        return new InetSocketAddress("10.0." + number / HOSTS_PER_SUBNET + "." + (number % HOSTS_PER_SUBNET + 1), PORT);
    }

    private String name() {
        return "node-" + number;
    }

    /** Whether a process runs and is not stopping. */
    public boolean isUp() {
        return process != null && !process.ended && !process.stopping;
    }

    /** Whether a process runs, stopping or not. */
    public boolean isRunning() {
        return process != null && !process.ended;
    }

    /** Starts a process with the last list of this machine, unless one is running. */
    public void start() {
        if (isRunning()) {
            return;
        }
        startCount++;
        world.log.add("start", name(), "", startCount);
        if (setup.startsWithoutList(number, startCount)) {
            listedReady.clear();
            listedStartsNs.clear();
            listedServers.clear();
        }
        process = new Process(NodeConfig.parse(config(), Map.of()));
        clients.addNode(number, address);
    }

    /** The seed decides what differs between installations: descriptors, probes, whether clients mark retries. */
    private String config() {
        SplittableRandom installationRandom = world.random("site", 0);
        int sockets = installationRandom.nextInt(3) == 0
                ? MIN_SOCKETS + installationRandom.nextInt(SOCKETS_SPREAD)
                : MAX_SOCKETS;
        boolean allowsProbes = installationRandom.nextBoolean();
        boolean marksRetries = installationRandom.nextBoolean();
        String discoveryAddress = discovery.address().getAddress().getHostAddress() + ":"
                + discovery.address().getPort();
        return "{\"listen\":\"" + address.getAddress().getHostAddress() + ":" + address.getPort()
                + "\",\"discovery\":\"" + discoveryAddress + "\",\"seed\":\""
                + Long.toHexString(world.random("node" + number, startCount).nextLong())
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":"
                + discovery.list(listedServers.values().stream().toList())
                + ",\"settings\":{\"balancers\":" + nodes + ",\"me\":" + number
                + ",\"zones\":[\"room\"],\"myZone\":\"room\",\"classes\":" + world.classes.json()
                + ",\"realms\":[{\"name\":\"school\",\"quotaPerS\":1000,\"share\":1}],\"membershipMode\":\""
                + (pushed ? "pushed" : "on_request") + "\",\"callers\":{\"marksRetry\":" + marksRetries + "},"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"parallelTries\":true,"
                + "\"retryAfter\":true,\"maxRetryAfterUs\":1000000,\"probes\":" + allowsProbes
                + ",\"dialTimeoutUs\":50000,\"connIdleUs\":60000000},\"rules\":" + Rules.json() + "}}";
    }

    /** An entry of discovery's list has reached this machine. */
    void serverListed(String id, String state, long startedNs, String line) {
        boolean ready = state.equals("Ready");
        listedStartsNs.put(id, startedNs);
        listedReady.put(id, ready);
        if (state.equals("Gone")) {
            listedServers.remove(id);
        } else {
            listedServers.put(id, line);
        }
        if (isRunning()) {
            process.tap.serverListed(id, ready, startedNs);
        }
    }

    /** A full list has reached this machine: servers that it doesn't name are gone. */
    void fullListReceived(Set<String> named) {
        for (String id : listedServers.keySet().stream()
                .filter(id -> !named.contains(id))
                .toList()) {
            serverListed(id, "Gone", listedStartsNs.get(id), "");
        }
    }

    /** Whether the peer of this socket is this machine's process. */
    boolean isPeerOf(SimulatedSocket socket) {
        return isRunning() && socket.peerHost() == process.host;
    }

    /** Adds a server to the list that the first process starts with. */
    public void addServer(SimulatedServer server) {
        listedServers.put(
                server.id(),
                "{\"uid\":\"" + server.id() + "\",\"endpoint\":\"" + server.endpoint()
                        + "\",\"az\":\"room\",\"pod_group\":" + server.rack()
                        + ",\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        listedStartsNs.put(server.id(), server.startedNs());
        listedReady.put(server.id(), true);
    }

    /** Kills the process; clients stop connecting to it only after a delay. */
    public void crash() {
        if (isRunning()) {
            world.log.add("crash", name(), "", 0);
            process.kill(true);
            removeFromFrontAfter(MIN_CRASH_NOTICE_MS
                    + world.random("notice" + number, startCount).nextInt(CRASH_NOTICE_SPREAD_MS));
        }
    }

    private void removeFromFrontAfter(long afterMs) {
        int noticedStart = startCount;
        world.afterMs(afterMs, () -> {
            if (noticedStart == startCount) {
                clients.removeNode(number);
            }
        });
    }

    /** Sends SIGTERM to the process. */
    public void stop() {
        if (isUp()) {
            world.log.add("stop", name(), "", 0);
            process.stop();
            removeFromFrontAfter(MIN_STOP_NOTICE_MS
                    + world.random("front" + number, startCount).nextInt(STOP_NOTICE_SPREAD_MS));
        }
    }

    /** Pauses the process between two turns of its event loop. */
    public void pauseLoop(long forMs) {
        if (isRunning()) {
            world.log.add("stall", name(), "", forMs);
            process.tap.paused(forMs * 1_000_000);
            process.loop.pause(forMs * 1_000_000);
        }
    }

    /** Pauses the process within a turn of its event loop, after it has polled channels and before it runs timers. */
    public void pauseLoopInTurn(long forMs) {
        if (isRunning()) {
            world.log.add("stall in turn", name(), "", forMs);
            process.tap.paused(forMs * 1_000_000);
            process.loop.pauseInTurn(forMs * 1_000_000);
        }
    }

    /** Pauses the process in one of the two ways, by the seed. */
    public void pauseLoopAtRandom(long forMs) {
        if (world.random("stall" + number, world.nowMs()).nextBoolean()) {
            pauseLoopInTurn(forMs);
        } else {
            pauseLoop(forMs);
        }
    }

    /** Replaces the route policy in the next turn of the event loop. */
    public void setRoutes(RoutePolicy policy) {
        Process running = process;
        running.loop.run(() -> running.node.setRoutes(policy));
    }

    /** Sends SIGHUP after discovery's address in the configuration has changed. */
    public void signalReload() {
        if (isUp()) {
            Process running = process;
            NodeConfig reloaded = NodeConfig.parse(config(), Map.of());
            running.loop.run(() -> running.node.moveDiscovery(reloaded));
        }
    }
}
