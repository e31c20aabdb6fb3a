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
 * Many modules before servers that work on one request at a time, first come first served, and are cold
 * after a start: what all nodes together do to one server, by a seed. No network; answers take no time on
 * their way.
 */
final class SimulatedCluster {
    static final long WORK_US = 60_000;
    /** Nobody waits longer for an answer. */
    static final long DEADLINE_US = 1_000_000;

    /** A server: its queue, and the sends that have reached it in the rule's span. */
    final class SimulatedServer {
        final long startedAt;
        private long busyUntil;
        private final Deque<Long> windowSends = new ArrayDeque<>();
        /** Most work sent in any span, over what the rule allows there. */
        double maxOverloadRatio;
        /** Which nodes have sent to it: each would hold a connection. */
        final Set<Integer> nodes = new HashSet<>();

        SimulatedServer(long startedAt) {
            this.startedAt = startedAt;
        }

        /** The least share of its capacity that it may have, by the settings. */
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
                double most = settings.coldOverloadMultiple * capacityFraction() * settings.coldOverloadWindowUs;
                maxOverloadRatio = Math.max(maxOverloadRatio, windowSends.size() * WORK_US / most);
            }
            busyUntil = Math.max(now, busyUntil) + (long) (WORK_US / capacityFraction() * (0.5 + random.nextDouble()));
            return busyUntil;
        }
    }

    /** A node's module, its clock and what it has out. */
    final class SimulatedNode implements Actions {
        private final Balancer balancer;
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final boolean[] dead = new boolean[1];
        private final int number;
        private long wakeAt = Long.MAX_VALUE;

        SimulatedNode(int number, long seed) {
            this.number = number;
            Settings own = settings(number);
            balancer = new ServiceQBalancer(own, seed, this);
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

    /** So many nodes before so many warm servers; they ask nothing yet. */
    SimulatedCluster(int nodes, int servers, long seed) {
        random = new SplittableRandom(seed);
        settings = settings(0);
        settings.nodes = nodes;
        for (int i = 0; i < servers; i++) {
            addServer(0);
        }
        for (int n = 0; n < nodes; n++) {
            nodes.add(new SimulatedNode(n, random.nextLong()));
        }
    }

    private Settings settings(int node) {
        Settings set = Node.settings();
        set.nodes = settings == null ? 1 : settings.nodes;
        set.node = node;
        set.coldStartFraction = 0.12;
        set.coldUs = 23_000_000;
        set.coldOverloadMultiple = 4;
        set.coldOverloadWindowUs = 2_000_000;
        return set;
    }

    private void addServer(long startedAt) {
        String id = "s" + serverCount++;
        servers.put(id, new SimulatedServer(startedAt));
        serverList.add(new ServerEntry(id, 0, serverCount / 8, ServerState.READY, 1, startedAt));
    }

    private void schedule(long when, Runnable what) {
        events.add(new Event(when, eventCount++, what));
    }

    /** Has a node ask so often from now on, as chance will have it. */
    void generateLoad(int node, double perSecond, long untilUs) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) * 1e6 / perSecond);
        if (next < untilUs) {
            schedule(next, () -> {
                nodes.get(node).sendRequest();
                generateLoad(node, perSecond, untilUs);
            });
        }
    }

    /** So many of the servers are replaced by cold ones, and all nodes told at once. */
    void replace(int servers) {
        serverList = new ArrayList<>(serverList.subList(servers, serverList.size()));
        for (int i = 0; i < servers; i++) {
            addServer(now);
        }
        nodes.forEach(m -> m.balancer.onServers(now, ListKind.FULL, serverList));
    }

    /** These nodes are killed and back from nothing, knowing the list. */
    void restart(int nodes) {
        for (int n = 0; n < nodes; n++) {
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

    /** The most that any cold server was sent in a span, over what the rule allows. */
    double maxOverloadRatio() {
        return servers.values().stream()
                .mapToDouble(b -> b.maxOverloadRatio)
                .max()
                .orElse(0);
    }
}
