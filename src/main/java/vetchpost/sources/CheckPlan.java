package vetchpost.sources;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Which servers are checked when, and what checks come to. Answers of real requests come first: a server that
 * has just served is not checked, and a check that fails while real requests are served counts for nothing.
 * A server is checked regularly by a few nodes of a group only, chosen by hashes of both (rendezvous
 * hashing, Thaler and Ravishankar 1998), so that neither more nodes nor more servers mean more checks for a
 * server; whoever a node's own requests have failed at is checked by that node soon. All of it is bounded by
 * a number of checks a second. Checks take out no more than a share of the fleet, the first that failed: when
 * all fail at once it is the node's own network.
 */
public final class CheckPlan {
    /** Checks that may be made at once after a while without any, in seconds of the budget. */
    private static final double BURST_S = 0.5;
    /** Failures of real requests bring a check on after this part of the usual time. */
    private static final int FAILURE_INTERVAL_DIVISOR = 20;

    private static final double JITTER_FRACTION = 0.1;

    private final CheckRules rules;
    private final SplittableRandom random;
    private final Map<String, CheckedServer> servers = new HashMap<>();
    private double tokens;
    private long tokensUpdatedUs;
    private long checkCount;
    private long skippedCount;
    private long disagreementCount;

    /** What is known of a server by checks. */
    private static final class CheckedServer {
        private final String id;
        private final boolean isCheckedRegularly;
        private long nextCheckUs;
        private boolean isChecking;
        private long checkStartedUs;
        private long lastServedUs = -1;
        private boolean isSuspect;
        private int consecutivePasses;
        private int consecutiveFailures;
        private boolean isDown;
        private long downSinceUs;

        CheckedServer(String id, boolean watched) {
            this.id = id;
            this.isCheckedRegularly = watched;
        }

        /** Whoever is out, or suspected, before whoever is only due. */
        int priority() {
            return isSuspect || isDown || consecutiveFailures > 0 ? 0 : 1;
        }
    }

    /** What a check has found. */
    public enum Finding {
        /** It is well. */
        HEALTHY,
        /** It does not answer, or badly. */
        UNHEALTHY,
        /** Another application answers at its address. */
        WRONG_SERVER
    }

    /** No servers so far. */
    public CheckPlan(CheckRules rules, long seed, long nowUs) {
        this.rules = rules;
        random = new SplittableRandom(seed);
        tokens = rules.budgetPerS() * BURST_S;
        tokensUpdatedUs = nowUs;
    }

    /** The fleet is these now. */
    public void setServers(Set<String> ids, long nowUs) {
        servers.keySet().retainAll(ids);
        for (String id : ids) {
            if (!servers.containsKey(id)) {
                CheckedServer fresh = new CheckedServer(id, isRegularChecker(id));
                // Spread over a whole period: a fleet that comes up at once is not checked at once.
                fresh.nextCheckUs = nowUs + (long) (random.nextDouble() * rules.intervalUs());
                servers.put(id, fresh);
            }
        }
    }

    /** Whether this node is among the few that check the server regularly. */
    private boolean isRegularChecker(String id) {
        if (rules.nodeCount() <= rules.checkersPerServer()) {
            return true;
        }
        long own = hash(id, rules.nodeNumber());
        int before = 0;
        for (int node = 0; node < rules.nodeCount() && before < rules.checkersPerServer(); node++) {
            long other = node == rules.nodeNumber() ? own : hash(id, node);
            before += other > own || other == own && node < rules.nodeNumber() ? 1 : 0;
        }
        return before < rules.checkersPerServer();
    }

    /** Of a server's name and a node's number, well mixed (the finalizer of SplitMix64, Steele 2014). */
    private static long hash(String id, int node) {
        long z = node * 0x9E3779B97F4A7C15L;
        for (int i = 0; i < id.length(); i++) {
            z = (z ^ id.charAt(i)) * 0x100000001B3L;
        }
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return (z ^ z >>> 31) >>> 1;
    }

    /** A real request was served there. */
    public void requestSucceeded(String id, long nowUs) {
        CheckedServer server = servers.get(id);
        if (server == null) {
            return;
        }
        server.lastServedUs = nowUs;
        server.isSuspect = false;
        server.consecutiveFailures = 0;
        if (!server.isDown && !server.isChecking && server.nextCheckUs < nowUs + rules.intervalUs() / 2) {
            server.nextCheckUs = nowUs + withJitter(rules.intervalUs());
            skippedCount++;
        }
    }

    /** A real request failed there, and not by being late alone. */
    public void requestFailed(String id, long nowUs) {
        CheckedServer server = servers.get(id);
        if (server != null && !server.isSuspect) {
            server.isSuspect = true;
            if (!server.isChecking) {
                server.nextCheckUs =
                        Math.min(server.nextCheckUs, nowUs + withJitter(rules.intervalUs() / FAILURE_INTERVAL_DIVISOR));
            }
        }
    }

    private long withJitter(long us) {
        return (long) (us * (1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble()));
    }

    /**
     * The servers to be checked now, as far as the budget goes and so many at most; each is reported once.
     */
    public List<String> dueChecks(long nowUs, int most) {
        refillTokens(nowUs);
        List<CheckedServer> due = new ArrayList<>();
        for (CheckedServer server : servers.values()) {
            if (!server.isChecking && server.nextCheckUs <= nowUs && needsChecks(server)) {
                due.add(server);
            }
        }
        due.sort(Comparator.comparingInt(CheckedServer::priority)
                .thenComparingLong(s -> s.nextCheckUs)
                .thenComparing(s -> s.id));
        List<String> now = new ArrayList<>();
        for (CheckedServer server : due) {
            if (tokens < 1 || now.size() >= most) {
                break;
            }
            tokens--;
            checkCount++;
            server.isChecking = true;
            server.checkStartedUs = nowUs;
            now.add(server.id);
        }
        return now;
    }

    private static boolean needsChecks(CheckedServer server) {
        return server.isCheckedRegularly || server.priority() == 0;
    }

    private void refillTokens(long nowUs) {
        tokens = Math.min(
                Math.max(1, rules.budgetPerS() * BURST_S),
                tokens + rules.budgetPerS() * (nowUs - tokensUpdatedUs) / 1e6);
        tokensUpdatedUs = nowUs;
    }

    /** When the next check is due; the largest number for never. */
    public long nextCheckUs(long nowUs) {
        long next = Long.MAX_VALUE;
        for (CheckedServer server : servers.values()) {
            if (!server.isChecking && needsChecks(server)) {
                next = Math.min(next, server.nextCheckUs);
            }
        }
        if (next == Long.MAX_VALUE) {
            return next;
        }
        refillTokens(nowUs);
        long affordUs = tokens >= 1 ? nowUs : nowUs + (long) Math.ceil((1 - tokens) * 1e6 / rules.budgetPerS());
        return Math.max(next, affordUs);
    }

    /** How a check has ended. */
    public void checkCompleted(String id, Finding finding, long nowUs) {
        CheckedServer server = servers.get(id);
        if (server == null || !server.isChecking) {
            return;
        }
        server.isChecking = false;
        server.nextCheckUs = nowUs + withJitter(rules.intervalUs());
        if (finding == Finding.HEALTHY) {
            server.consecutiveFailures = 0;
            server.isSuspect = false;
            if (server.isDown && ++server.consecutivePasses >= rules.rise()) {
                server.isDown = false;
                server.consecutivePasses = 0;
            } else if (server.isDown) {
                server.nextCheckUs = nowUs + withJitter(rules.intervalUs() / 2);
            }
            return;
        }
        server.consecutivePasses = 0;
        if (server.lastServedUs >= server.checkStartedUs) {
            // What is served meanwhile says more than a path that nobody else asks for.
            disagreementCount++;
            server.consecutiveFailures = 0;
            return;
        }
        server.consecutiveFailures = finding == Finding.WRONG_SERVER ? rules.fall() : server.consecutiveFailures + 1;
        if (!server.isDown && server.consecutiveFailures >= rules.fall()) {
            server.isDown = true;
            server.downSinceUs = nowUs;
        } else if (!server.isDown) {
            // Between the first failure and the last it is asked sooner.
            server.nextCheckUs = nowUs + withJitter(rules.intervalUs() / 4);
        }
    }

    /** Who is out by checks: those that fell first, up to the share that may be out. */
    public Set<String> ejectedServers() {
        List<CheckedServer> down = new ArrayList<>();
        for (CheckedServer server : servers.values()) {
            if (server.isDown) {
                down.add(server);
            }
        }
        int most = (int) (rules.maxEjectedFraction() * servers.size());
        if (down.size() > most) {
            down.sort(
                    Comparator.comparingLong((CheckedServer s) -> s.downSinceUs).thenComparing(s -> s.id));
        }
        Set<String> out = new HashSet<>();
        for (CheckedServer server : down.subList(0, Math.min(most, down.size()))) {
            out.add(server.id);
        }
        return out;
    }

    /** Checks made so far. */
    public long checkCount() {
        return checkCount;
    }

    /** Checks that an answer of a real request has put off. */
    public long skippedCount() {
        return skippedCount;
    }

    /** Checks that failed while real requests were served. */
    public long disagreementCount() {
        return disagreementCount;
    }
}
