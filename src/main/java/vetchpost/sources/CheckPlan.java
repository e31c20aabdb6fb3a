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
    private static final int SOON = 20;

    private static final double JITTER = 0.1;

    private final CheckRules rules;
    private final SplittableRandom random;
    private final Map<String, Checked> servers = new HashMap<>();
    private double tokens;
    private long tokensUs;
    private long made;
    private long saved;
    private long disagreed;

    /** What is known of a server by checks. */
    private static final class Checked {
        private final String id;
        private final boolean watched;
        private long dueUs;
        private boolean checking;
        private long checkedUs;
        private long servedUs = -1;
        private boolean suspect;
        private int passes;
        private int failures;
        private boolean down;
        private long downUs;

        Checked(String id, boolean watched) {
            this.id = id;
            this.watched = watched;
        }

        /** Whoever is out, or suspected, before whoever is only due. */
        int rank() {
            return suspect || down || failures > 0 ? 0 : 1;
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
        tokensUs = nowUs;
    }

    /** The fleet is these now. */
    public void setServers(Set<String> ids, long nowUs) {
        servers.keySet().retainAll(ids);
        for (String id : ids) {
            if (!servers.containsKey(id)) {
                Checked fresh = new Checked(id, isWatched(id));
                // Spread over a whole period: a fleet that comes up at once is not checked at once.
                fresh.dueUs = nowUs + (long) (random.nextDouble() * rules.intervalUs());
                servers.put(id, fresh);
            }
        }
    }

    /** Whether this node is among the few that check the server regularly. */
    private boolean isWatched(String id) {
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
        Checked server = servers.get(id);
        if (server == null) {
            return;
        }
        server.servedUs = nowUs;
        server.suspect = false;
        server.failures = 0;
        if (!server.down && !server.checking && server.dueUs < nowUs + rules.intervalUs() / 2) {
            server.dueUs = nowUs + jittered(rules.intervalUs());
            saved++;
        }
    }

    /** A real request failed there, and not by being late alone. */
    public void requestFailed(String id, long nowUs) {
        Checked server = servers.get(id);
        if (server != null && !server.suspect) {
            server.suspect = true;
            if (!server.checking) {
                server.dueUs = Math.min(server.dueUs, nowUs + jittered(rules.intervalUs() / SOON));
            }
        }
    }

    private long jittered(long us) {
        return (long) (us * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }

    /**
     * The servers to be checked now, as far as the budget goes and so many at most; each is reported once.
     */
    public List<String> dueChecks(long nowUs, int most) {
        refill(nowUs);
        List<Checked> due = new ArrayList<>();
        for (Checked server : servers.values()) {
            if (!server.checking && server.dueUs <= nowUs && isWanted(server)) {
                due.add(server);
            }
        }
        due.sort(Comparator.comparingInt(Checked::rank)
                .thenComparingLong(s -> s.dueUs)
                .thenComparing(s -> s.id));
        List<String> now = new ArrayList<>();
        for (Checked server : due) {
            if (tokens < 1 || now.size() >= most) {
                break;
            }
            tokens--;
            made++;
            server.checking = true;
            server.checkedUs = nowUs;
            now.add(server.id);
        }
        return now;
    }

    private static boolean isWanted(Checked server) {
        return server.watched || server.rank() == 0;
    }

    private void refill(long nowUs) {
        tokens = Math.min(
                Math.max(1, rules.budgetPerS() * BURST_S), tokens + rules.budgetPerS() * (nowUs - tokensUs) / 1e6);
        tokensUs = nowUs;
    }

    /** When the next check is due; the largest number for never. */
    public long nextUs(long nowUs) {
        long next = Long.MAX_VALUE;
        for (Checked server : servers.values()) {
            if (!server.checking && isWanted(server)) {
                next = Math.min(next, server.dueUs);
            }
        }
        if (next == Long.MAX_VALUE) {
            return next;
        }
        refill(nowUs);
        long affordUs = tokens >= 1 ? nowUs : nowUs + (long) Math.ceil((1 - tokens) * 1e6 / rules.budgetPerS());
        return Math.max(next, affordUs);
    }

    /** How a check has ended. */
    public void checkCompleted(String id, Finding finding, long nowUs) {
        Checked server = servers.get(id);
        if (server == null || !server.checking) {
            return;
        }
        server.checking = false;
        server.dueUs = nowUs + jittered(rules.intervalUs());
        if (finding == Finding.HEALTHY) {
            server.failures = 0;
            server.suspect = false;
            if (server.down && ++server.passes >= rules.rise()) {
                server.down = false;
                server.passes = 0;
            } else if (server.down) {
                server.dueUs = nowUs + jittered(rules.intervalUs() / 2);
            }
            return;
        }
        server.passes = 0;
        if (server.servedUs >= server.checkedUs) {
            // What is served meanwhile says more than a path that nobody else asks for.
            disagreed++;
            server.failures = 0;
            return;
        }
        server.failures = finding == Finding.WRONG_SERVER ? rules.fall() : server.failures + 1;
        if (!server.down && server.failures >= rules.fall()) {
            server.down = true;
            server.downUs = nowUs;
        } else if (!server.down) {
            // Between the first failure and the last it is asked sooner.
            server.dueUs = nowUs + jittered(rules.intervalUs() / 4);
        }
    }

    /** Who is out by checks: those that fell first, up to the share that may be out. */
    public Set<String> ejected() {
        List<Checked> down = new ArrayList<>();
        for (Checked server : servers.values()) {
            if (server.down) {
                down.add(server);
            }
        }
        int most = (int) (rules.maxEjectedFraction() * servers.size());
        if (down.size() > most) {
            down.sort(Comparator.comparingLong((Checked s) -> s.downUs).thenComparing(s -> s.id));
        }
        Set<String> out = new HashSet<>();
        for (Checked server : down.subList(0, Math.min(most, down.size()))) {
            out.add(server.id);
        }
        return out;
    }

    /** Checks made so far. */
    public long checkCount() {
        return made;
    }

    /** Checks that an answer of a real request has put off. */
    public long skippedCount() {
        return saved;
    }

    /** Checks that failed while real requests were served. */
    public long disagreementCount() {
        return disagreed;
    }
}
