package vetchpost.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import vetchpost.decision.Balancer.Actions;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Outcome;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;

/**
 * Simulates many nodes' balancers before servers that process one request at a time, first come first served, and are
 * cold after a start. Shows what all nodes together do to one server, reproducibly by seed. There is no network:
 * answers arrive without delay.
 */
final class SimulatedCluster {
    static final long WORK_US = 60_000;
    /** How long clients wait for an answer. */
    static final long DEADLINE_US = 1_000_000;

    /** A simulated server: its queue, and the requests that reached it within the rule's time window. */
    final class SimulatedServer {
        final long startedAt;
        private long busyUntil;
        private final Deque<Long> windowSends = new ArrayDeque<>();
        /** Maximum work sent within any window, as a multiple of what the rule allows. */
        double maxOverloadRatio;
        /** Nodes that have sent to it; each would hold a connection. */
        final Set<Integer> nodes = new HashSet<>();

        SimulatedServer(long startedAt) {
            this.startedAt = startedAt;
        }

        /** Returns the minimum fraction of its capacity that it may have, by the settings. */
        private double capacityFraction() {
            return startedAt == 0
                    ? 1
                    : Math.min(
                            1,
                            settings.coldStartFraction
                                    + (1 - settings.coldStartFraction) * (now - startedAt) / (double) settings.coldUs);
        }

        long accept(int node) {
            nodes.add(node);
            windowSends.add(now);
            while (windowSends.peek() <= now - settings.coldOverloadWindowUs) {
                windowSends.poll();
            }
            if (startedAt > 0 && now < startedAt + settings.coldUs) {
                double maxWorkUs = settings.coldOverloadMultiple * capacityFraction() * settings.coldOverloadWindowUs;
                maxOverloadRatio = Math.max(maxOverloadRatio, windowSends.size() * WORK_US / maxWorkUs);
            }
            busyUntil = Math.max(now, busyUntil) + (long) (WORK_US / capacityFraction() * (0.5 + random.nextDouble()));
            return busyUntil;
        }
    }

    /** A simulated node: its balancer and its attempts in flight. */
    final class SimulatedNode implements Actions {
        private final Balancer balancer;
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final boolean[] dead = new boolean[1];
        private final int number;
        private long wakeAt = Long.MAX_VALUE;

        SimulatedNode(int number, long seed) {
            this.number = number;
            Settings nodeSettings = settings(number);
            balancer = new ServiceQBalancer(nodeSettings, seed, this);
            balancer.onServers(now, ListKind.CACHED, serverList);
        }

        void sendRequest() {
            long id = ++requestCount;
            attempts.put(id, 0);
            balancer.onRequest(now, new Request(id, Node.UNSAFE, 0, DEADLINE_US, 0, false));
        }

        @Override
        public void send(long requestId, String serverId, long untilUs) {
            int attempt = attempts.merge(requestId, 1, Integer::sum) - 1;
            long sentAt = now;
            long doneAt = servers.get(serverId).accept(number);
            boolean inTime = doneAt <= untilUs;
            schedule(inTime ? doneAt : untilUs, () -> {
                if (!dead[0]) {
                    served += inTime ? 1 : 0;
                    Result result = inTime ? Result.OK : Result.TIMEOUT;
                    balancer.onOutcome(now, new Outcome(requestId, attempt, result, now - sentAt, inTime, null));
                }
            });
        }

        @Override
        public void cancel(long requestId, int attempt) {}

        @Override
        public void reject(long requestId, long retryAfterUs) {
            rejected++;
        }

        @Override
        public void fail(long requestId) {}

        @Override
        public void wakeAt(long atUs) {
            wakeAt = atUs;
            schedule(atUs, () -> {
                if (!dead[0] && wakeAt == atUs) {
                    wakeAt = Long.MAX_VALUE;
                    balancer.onWake(now);
                }
            });
        }

        @Override
        public void probe(String serverId) {}

        @Override
        public void subscribe() {}

        @Override
        public void log(String line) {}
    }

    private record Event(long timeUs, long number, Runnable action) {}

    final Settings settings;
    final Map<String, SimulatedServer> servers = new HashMap<>();
    final List<SimulatedNode> nodes = new ArrayList<>();
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.timeUs != b.timeUs ? Long.compare(a.timeUs, b.timeUs) : Long.compare(a.number, b.number));
    private List<ServerEntry> serverList = new ArrayList<>();
    private long eventCount;
    private long requestCount;
    private int serverCount;
    long now = 1_000_000;
    int served;
    int rejected;

    /** Creates nodes and warm servers; the nodes send nothing yet. */
    SimulatedCluster(int nodeCount, int initialServers, long seed) {
        random = new SplittableRandom(seed);
        settings = settings(0);
        settings.nodes = nodeCount;
        for (int i = 0; i < initialServers; i++) {
            addServer(0);
        }
        for (int n = 0; n < nodeCount; n++) {
            nodes.add(new SimulatedNode(n, random.nextLong()));
        }
    }

    private Settings settings(int node) {
        Settings nodeSettings = Node.settings();
        nodeSettings.nodes = settings == null ? 1 : settings.nodes;
        nodeSettings.node = node;
        nodeSettings.coldStartFraction = 0.12;
        nodeSettings.coldUs = 23_000_000;
        nodeSettings.coldOverloadMultiple = 4;
        nodeSettings.coldOverloadWindowUs = 2_000_000;
        return nodeSettings;
    }

    private void addServer(long startedAt) {
        String id = "s" + serverCount++;
        servers.put(id, new SimulatedServer(startedAt));
        serverList.add(new ServerEntry(id, 0, serverCount / 8, ServerState.READY, 1, startedAt));
    }

    private void schedule(long timeUs, Runnable action) {
        events.add(new Event(timeUs, eventCount++, action));
    }

    /** Has a node send requests at random times from now on, at this mean rate. */
    void generateLoad(int node, double perSecond, long untilUs) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) * 1e6 / perSecond);
        if (next < untilUs) {
            schedule(next, () -> {
                nodes.get(node).sendRequest();
                generateLoad(node, perSecond, untilUs);
            });
        }
    }

    /** Replaces servers by cold ones and notifies all nodes at once. */
    void replace(int count) {
        serverList = new ArrayList<>(serverList.subList(count, serverList.size()));
        for (int i = 0; i < count; i++) {
            addServer(now);
        }
        nodes.forEach(node -> node.balancer.onServers(now, ListKind.FULL, serverList));
    }

    /** Restarts the first nodes without statistics; they know the list. */
    void restart(int count) {
        for (int n = 0; n < count; n++) {
            nodes.get(n).dead[0] = true;
            nodes.set(n, new SimulatedNode(n, random.nextLong()));
        }
    }

    void run(long untilUs) {
        while (!events.isEmpty() && events.peek().timeUs <= untilUs) {
            Event event = events.poll();
            now = event.timeUs;
            event.action.run();
        }
        now = untilUs;
    }

    /** Returns the maximum that any cold server was sent within a window, as a multiple of what the rule allows. */
    double maxOverloadRatio() {
        return servers.values().stream()
                .mapToDouble(server -> server.maxOverloadRatio)
                .max()
                .orElse(0);
    }
}
