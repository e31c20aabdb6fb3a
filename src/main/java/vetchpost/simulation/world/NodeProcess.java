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

/** A node's machine: the production node on a simulated loop and network, started, stopped and killed. */
public final class NodeProcess {
    /** The platform kills a node so long after SIGTERM at the latest. */
    private static final long MAX_STOP_MS = 3_650;
    /** After it has closed, timers of one shot may still have to run out. */
    private static final long REMAINING_TIMERS_MS = 4_000;

    private static final long MIN_STOP_NOTICE_MS = 200;
    private static final int STOP_NOTICE_SPREAD_MS = 200;
    private static final long MIN_CRASH_NOTICE_MS = 1_000;
    private static final int CRASH_NOTICE_SPREAD_MS = 2_900;

    /** Descriptors: as few as the platform gives, or more. */
    private static final int MIN_SOCKETS = 256;

    private static final int SOCKETS_SPREAD = 60;
    private static final int MAX_SOCKETS = 512;

    /** Makes planted faults for tests; none elsewhere. */
    public interface Setup {
        /** The seams of a node on this loop. */
        NodeHooks hooks(SimLoop loop);

        /** The routes that nodes begin with. */
        default RoutePolicy routes(Settings settings, long seed) {
            return RoutePolicy.NONE;
        }

        /** The door that requests stand before; null for none. */
        default AdmissionControl admission(Settings settings, long seed) {
            return null;
        }

        /** Of how many boxes each node has a part; 0 for all. */
        default int subsetSize() {
            return 0;
        }

        /** What goes along with a start of this machine's, counted from 1; null for nothing. */
        default NodeLifecycle lifecycle(Start start) {
            return null;
        }

        /** Whether a start is given no list, as where there is no platform that keeps one. */
        default boolean startsWithoutList(int number, int start) {
            return false;
        }

        /** A connection of the node has been made, its pipeline still empty. */
        default void connectionOpened(Channel channel) {}
    }

    /**
     * A node that is about to begin.
     *
     * @param number of its machine
     * @param start which of its starts it is, from 1
     * @param seed of what is to be chance in it
     */
    public record Start(
            int number, int start, SimLoop loop, SimNetwork network, Settings settings, long nowMs, long seed) {}

    private static final int PORT = 8443;
    /** Machines whose addresses have the same third byte. */
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
    /** The list as this machine was told it last, by id. */
    private final Map<String, String> listedServers = new LinkedHashMap<>();

    private final Map<String, Long> listedStartsNs = new LinkedHashMap<>();
    private final Map<String, Boolean> listedReady = new LinkedHashMap<>();
    private int startCount;
    private Process process;

    /** One process, from its start to its end. */
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
            NodeLifecycle companion = setup.lifecycle(new Start(
                    number,
                    startCount,
                    loop,
                    network,
                    config.settings(),
                    World.EPOCH_MS + world.nowMs(),
                    world.random("companion" + number, startCount).nextLong()));
            if (companion != null) {
                node.setLifecycle(companion);
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

        /** All is answered: nothing may be left once it has closed. */
        private void stopped() {
            if (ended) {
                return;
            }
            stopped = true;
            // In life the process is gone from here on; this one is kept to see whether it leaves anything.
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
                leak("holds " + left);
            }
            if (network.bufferedBytes() != 0) {
                leak("has " + network.bufferedBytes() + " bytes of buffers that nobody released");
            }
            if (!loop.isIdle()) {
                leak("has timers left");
            }
        }

        private void leak(String what) {
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

    /** A machine with no process yet, that has been told the list as it stands. */
    public NodeProcess(
            World world,
            Clients clients,
            SimulatedDiscovery directory,
            Setup planting,
            Consumer<Violation> violations,
            boolean pushed,
            int nodes,
            int number) {
        this.world = world;
        this.clients = clients;
        this.discovery = directory;
        this.setup = planting;
        this.violations = violations;
        this.pushed = pushed;
        this.nodes = nodes;
        this.number = number;
        address = addressOf(number);
    }

    /** Where a machine listens; there is room for 62,500 of them. */
    public static InetSocketAddress addressOf(int number) {
        return new InetSocketAddress("10.0." + number / HOSTS_PER_SUBNET + "." + (number % HOSTS_PER_SUBNET + 1), PORT);
    }

    private String name() {
        return "node-" + number;
    }

    /** Whether a process runs and has not been told to stop. */
    public boolean isUp() {
        return process != null && !process.ended && !process.stopping;
    }

    /** Whether a process runs. */
    public boolean isRunning() {
        return process != null && !process.ended;
    }

    /** Starts a process with the list that this machine was told last. */
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

    /** What differs between installations comes from the seed: descriptors, probes, marked repeats. */
    private String config() {
        SplittableRandom site = world.random("site", 0);
        int sockets = site.nextInt(3) == 0 ? MIN_SOCKETS + site.nextInt(SOCKETS_SPREAD) : MAX_SOCKETS;
        boolean probes = site.nextBoolean();
        boolean marks = site.nextBoolean();
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
                + (pushed ? "pushed" : "on_request") + "\",\"callers\":{\"marksRetry\":" + marks + "},"
                + "\"limits\":{\"attemptsCap\":4,\"cancelling\":true,\"parallelTries\":true,"
                + "\"retryAfter\":true,\"maxRetryAfterUs\":1000000,\"probes\":" + probes
                + ",\"dialTimeoutUs\":50000,\"connIdleUs\":60000000},\"rules\":" + Rules.json() + "}}";
    }

    /** Discovery's word on a box has come to this machine. */
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

    /** A whole list has come: what it doesn't name has gone. */
    void fullListReceived(Set<String> named) {
        for (String id : listedServers.keySet().stream()
                .filter(id -> !named.contains(id))
                .toList()) {
            serverListed(id, "Gone", listedStartsNs.get(id), "");
        }
    }

    /** Whether the other side of this connection is this machine's process. */
    boolean isPeerOf(SimulatedSocket end) {
        return isRunning() && end.peerHost() == process.host;
    }

    /** Before the first start: the machine knows of the box. */
    public void addServer(SimulatedServer box) {
        listedServers.put(
                box.id(),
                "{\"uid\":\"" + box.id() + "\",\"endpoint\":\"" + box.endpoint()
                        + "\",\"az\":\"room\",\"pod_group\":" + box.rack()
                        + ",\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        listedStartsNs.put(box.id(), box.startedNs());
        listedReady.put(box.id(), true);
    }

    /** Kills the process; the front notices only after a while. */
    public void crash() {
        if (isRunning()) {
            world.log.add("crash", name(), "", 0);
            process.kill(true);
            removeFromFrontAfter(MIN_CRASH_NOTICE_MS
                    + world.random("notice" + number, startCount).nextInt(CRASH_NOTICE_SPREAD_MS));
        }
    }

    private void removeFromFrontAfter(long afterMs) {
        int of = startCount;
        world.afterMs(afterMs, () -> {
            if (of == startCount) {
                clients.removeNode(number);
            }
        });
    }

    /** SIGTERM. */
    public void stop() {
        if (isUp()) {
            world.log.add("stop", name(), "", 0);
            process.stop();
            removeFromFrontAfter(MIN_STOP_NOTICE_MS
                    + world.random("front" + number, startCount).nextInt(STOP_NOTICE_SPREAD_MS));
        }
    }

    /** The process does nothing for a while, between two turns of its loop. */
    public void pauseLoop(long forMs) {
        if (isRunning()) {
            world.log.add("stall", name(), "", forMs);
            process.tap.paused(forMs * 1_000_000);
            process.loop.pause(forMs * 1_000_000);
        }
    }

    /** The process does nothing for a while, in a turn that has looked at its channels but not its timers. */
    public void pauseLoopInTurn(long forMs) {
        if (isRunning()) {
            world.log.add("stall in turn", name(), "", forMs);
            process.tap.paused(forMs * 1_000_000);
            process.loop.pauseInTurn(forMs * 1_000_000);
        }
    }

    /** Either of the two, by the seed. */
    public void pauseLoopAtRandom(long forMs) {
        if (world.random("stall" + number, world.nowMs()).nextBoolean()) {
            pauseLoopInTurn(forMs);
        } else {
            pauseLoop(forMs);
        }
    }

    /** These routes hold from the next turn of its loop on. */
    public void setRoutes(RoutePolicy policy) {
        Process now = process;
        now.loop.run(() -> now.node.setRoutes(policy));
    }

    /** SIGHUP, after the configuration has changed. */
    public void signalReload() {
        if (isUp()) {
            Process now = process;
            NodeConfig fresh = NodeConfig.parse(config(), Map.of());
            now.loop.run(() -> now.node.moveDiscovery(fresh));
        }
    }
}
