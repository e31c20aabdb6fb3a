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
 * Decides which servers to check when, and which ones the results eject. Real requests come first: a server that has
 * just served one is not checked, and a check that fails while real requests succeed is ignored.
 *
 * <p>A server is checked regularly by only a few nodes of a group, chosen by rendezvous hashing (Thaler and Ravishankar
 * 1998), so that neither more nodes nor more servers mean more checks of one server. A server at which a node's own
 * requests have failed is checked by that node soon. A budget bounds the checks per second. Checks eject at most a
 * fraction of the fleet, those that failed first: when all fail at once, the fault is in the node's own network.
 *
 * <p>{@code SourceWatcher} runs the checks and reports their results, on the event loop.
 */
public final class CheckPlan {
    /** Checks that may be made at once after a pause, in seconds of the budget. */
    private static final double BURST_S = 0.5;
    /** A failed request brings the next check forward to this part of the interval. */
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

    /** The state of one server. */
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

        CheckedServer(String id, boolean isCheckedRegularly) {
            this.id = id;
            this.isCheckedRegularly = isCheckedRegularly;
        }

        /** Ejected and suspect servers come before those that are only due. */
        int priority() {
            return isSuspect || isDown || consecutiveFailures > 0 ? 0 : 1;
        }
    }

    /** The result of a check. */
    public enum Finding {
        /** The server is healthy. */
        HEALTHY,
        /** The server does not answer, or answers with an error. */
        UNHEALTHY,
        /** A different application answers at its address. */
        WRONG_SERVER
    }

    /**
     * Creates a plan without servers.
     *
     * @param seed for the jitter
     * @param nowUs monotonic time in microseconds
     */
    public CheckPlan(CheckRules rules, long seed, long nowUs) {
        this.rules = rules;
        random = new SplittableRandom(seed);
        tokens = rules.budgetPerS() * BURST_S;
        tokensUpdatedUs = nowUs;
    }

    /** Replaces the servers of the fleet. */
    public void setServers(Set<String> ids, long nowUs) {
        servers.keySet().retainAll(ids);
        for (String id : ids) {
            if (!servers.containsKey(id)) {
                CheckedServer server = new CheckedServer(id, isRegularChecker(id));
                // Spread over a whole interval, so that a fleet that appears at once is not checked at once.
                server.nextCheckUs = nowUs + (long) (random.nextDouble() * rules.intervalUs());
                servers.put(id, server);
            }
        }
    }

    /** Whether this node is one of the few that check the server regularly. */
    private boolean isRegularChecker(String id) {
        if (rules.nodeCount() <= rules.checkersPerServer()) {
            return true;
        }
        long ownHash = hash(id, rules.nodeNumber());
        int nodesBefore = 0;
        for (int node = 0; node < rules.nodeCount() && nodesBefore < rules.checkersPerServer(); node++) {
            long nodeHash = node == rules.nodeNumber() ? ownHash : hash(id, node);
            nodesBefore += nodeHash > ownHash || nodeHash == ownHash && node < rules.nodeNumber() ? 1 : 0;
        }
        return nodesBefore < rules.checkersPerServer();
    }

    /** Hash of a server's id and a node's number, mixed by the finalizer of SplitMix64 (Steele 2014). */
    private static long hash(String id, int node) {
        long z = node * 0x9E3779B97F4A7C15L;
        for (int i = 0; i < id.length(); i++) {
            z = (z ^ id.charAt(i)) * 0x100000001B3L;
        }
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return (z ^ z >>> 31) >>> 1;
    }

    /** A real request succeeded at this server. */
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

    /** A real request failed at this server, for another reason than a timeout alone. */
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
     * Starts the checks that are due, as far as the budget allows; each is returned once.
     *
     * @param nowUs monotonic time in microseconds
     * @param maxChecks largest number of checks to start
     * @return ids of the servers to check now
     */
    public List<String> dueChecks(long nowUs, int maxChecks) {
        refillTokens(nowUs);
        List<CheckedServer> due = new ArrayList<>();
        for (CheckedServer server : servers.values()) {
            if (!server.isChecking && server.nextCheckUs <= nowUs && needsChecks(server)) {
                due.add(server);
            }
        }
        due.sort(Comparator.comparingInt(CheckedServer::priority)
                .thenComparingLong(server -> server.nextCheckUs)
                .thenComparing(server -> server.id));
        List<String> started = new ArrayList<>();
        for (CheckedServer server : due) {
            if (tokens < 1 || started.size() >= maxChecks) {
                break;
            }
            tokens--;
            checkCount++;
            server.isChecking = true;
            server.checkStartedUs = nowUs;
            started.add(server.id);
        }
        return started;
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

    /** When the next check is due, in microseconds; {@link Long#MAX_VALUE} for never. */
    public long nextCheckUs(long nowUs) {
        long nextUs = Long.MAX_VALUE;
        for (CheckedServer server : servers.values()) {
            if (!server.isChecking && needsChecks(server)) {
                nextUs = Math.min(nextUs, server.nextCheckUs);
            }
        }
        if (nextUs == Long.MAX_VALUE) {
            return nextUs;
        }
        refillTokens(nowUs);
        long budgetUs = tokens >= 1 ? nowUs : nowUs + (long) Math.ceil((1 - tokens) * 1e6 / rules.budgetPerS());
        return Math.max(nextUs, budgetUs);
    }

    /** Records the result of a check. */
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
            // Requests that succeed meanwhile are better evidence than a path that no client requests.
            disagreementCount++;
            server.consecutiveFailures = 0;
            return;
        }
        server.consecutiveFailures = finding == Finding.WRONG_SERVER ? rules.fall() : server.consecutiveFailures + 1;
        if (!server.isDown && server.consecutiveFailures >= rules.fall()) {
            server.isDown = true;
            server.downSinceUs = nowUs;
        } else if (!server.isDown) {
            // Between the first failure and ejection it is checked more often.
            server.nextCheckUs = nowUs + withJitter(rules.intervalUs() / 4);
        }
    }

    /** The servers that checks eject: those that failed first, up to the largest fraction. */
    public Set<String> ejectedServers() {
        List<CheckedServer> failed = new ArrayList<>();
        for (CheckedServer server : servers.values()) {
            if (server.isDown) {
                failed.add(server);
            }
        }
        int maxEjected = (int) (rules.maxEjectedFraction() * servers.size());
        if (failed.size() > maxEjected) {
            failed.sort(Comparator.comparingLong((CheckedServer server) -> server.downSinceUs)
                    .thenComparing(server -> server.id));
        }
        Set<String> ejected = new HashSet<>();
        for (CheckedServer server : failed.subList(0, Math.min(maxEjected, failed.size()))) {
            ejected.add(server.id);
        }
        return ejected;
    }

    /** Number of checks made so far. */
    public long checkCount() {
        return checkCount;
    }

    /** Number of checks postponed because a real request succeeded. */
    public long skippedCount() {
        return skippedCount;
    }

    /** Number of checks that failed while real requests succeeded. */
    public long disagreementCount() {
        return disagreementCount;
    }
}
