package vetchpost.state;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import vetchpost.decision.ServerStatistics;
import vetchpost.decision.ServerStatistics.PerServer;

/**
 * Detects whether a node's statistics of its servers can be trusted: a faulty node blames them for its own fault,
 * or for a shared one that will have passed. The origin of a snapshot reports its own faults, and the reader checks
 * the content regardless. Only health is distrusted; which servers exist is reliable even from a faulty node.
 * Called by {@code Recovery} on the node's event loop; stateless.
 */
public final class SelfFaultDetector {
    /** Time until a node's statistics are significant: as long as a server stays cold. */
    static final long MIN_UPTIME_MS = 20_000;
    /** A delay this long spans several heartbeats of the event loop. */
    static final long MIN_STALLED_DELAY_US = 100_000;
    /** Failures among the last 16 attempts that mark a server as failing; the balancer ejects at the same number. */
    private static final int MIN_RECENT_FAILURES = 4;
    /** Consecutive errors that mark a server as failing. */
    private static final int MIN_CONSECUTIVE_ERRORS = 3;

    private SelfFaultDetector() {}

    /**
     * Returns the faults that a node finds in itself.
     *
     * @param loopDelayUs delay of its event loop in microseconds
     * @param uptimeMs time since its start in milliseconds
     */
    public static Set<SelfFault> inOwnStatistics(ServerStatistics statistics, long loopDelayUs, long uptimeMs) {
        EnumSet<SelfFault> faults = EnumSet.noneOf(SelfFault.class);
        if (statistics.readyCount() > 0 && 2 * statistics.ejectedCount() >= statistics.readyCount()) {
            faults.add(SelfFault.MOST_SERVERS_FAILING);
        }
        if (statistics.throttled()) {
            faults.add(SelfFault.THROTTLED);
        }
        if (loopDelayUs >= MIN_STALLED_DELAY_US) {
            faults.add(SelfFault.STALLED);
        }
        if (uptimeMs < MIN_UPTIME_MS) {
            faults.add(SelfFault.JUST_STARTED);
        }
        return faults;
    }

    /** Returns the reasons to distrust the health statistics of a snapshot; empty if there are none. */
    public static Set<SelfFault> inSnapshot(Snapshot snapshot, long nowMs) {
        EnumSet<SelfFault> faults = EnumSet.noneOf(SelfFault.class);
        faults.addAll(snapshot.origin().selfFaults());
        if (snapshot.origin().takenMs() > nowMs + Confidence.MAX_CLOCK_SKEW_MS
                || snapshot.origin().startedMs() > snapshot.origin().takenMs() + Confidence.MAX_CLOCK_SKEW_MS) {
            faults.add(SelfFault.FUTURE);
        }
        if (areMostFailing(snapshot.servers())) {
            faults.add(SelfFault.MOST_SERVERS_FAILING);
        }
        return faults;
    }

    /** Whether at least half of the servers with samples are failing: believing that would leave too few. */
    private static boolean areMostFailing(List<ServerRecord> servers) {
        int withSamples = 0;
        int failing = 0;
        for (ServerRecord server : servers) {
            PerServer statistics = server.statistics();
            if (statistics != null && statistics.attemptCount() > 0) {
                withSamples++;
                failing += isFailing(statistics) ? 1 : 0;
            }
        }
        return failing > 0 && 2 * failing >= withSamples;
    }

    static boolean isFailing(PerServer statistics) {
        return statistics.ejected()
                || statistics.recentFailures() >= MIN_RECENT_FAILURES
                || statistics.consecutiveErrors() >= MIN_CONSECUTIVE_ERRORS;
    }
}
