package vetchpost.state;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import vetchpost.decision.ServerStatistics;
import vetchpost.decision.ServerStatistics.PerServer;

/**
 * Whether a node's knowledge of its boxes is worth taking: a confused one blames them for its own trouble, or
 * for one that they share and that will have passed. The giver says what it knows of its own state, and the
 * taker looks at what it gets, whatever the giver says. Who is there is told apart from how well they are: a
 * confused node knows the former as well as any.
 */
public final class SelfFaultDetector {
    /** A node learns for so long before its knowledge is more than chance: as long as a box stays cold. */
    static final long MIN_UPTIME_MS = 20_000;
    /** A loop this far behind has been at it for several beats. */
    static final long MIN_STALLED_DELAY_US = 100_000;
    /** Failures among the last 16 from which on a box counts as ill; the module ejects at as many. */
    private static final int MIN_RECENT_FAILURES = 4;
    /** Failures in a row that say the same. */
    private static final int MIN_CONSECUTIVE_ERRORS = 3;

    private SelfFaultDetector() {}

    /**
     * What a node has to say of itself.
     *
     * @param stallUs how far its loop is behind
     * @param upMs since when it runs
     */
    public static Set<SelfFault> inOwnStatistics(ServerStatistics knowledge, long stallUs, long upMs) {
        EnumSet<SelfFault> troubles = EnumSet.noneOf(SelfFault.class);
        if (knowledge.readyCount() > 0 && 2 * knowledge.ejectedCount() >= knowledge.readyCount()) {
            troubles.add(SelfFault.MOST_SERVERS_FAILING);
        }
        if (knowledge.throttled()) {
            troubles.add(SelfFault.THROTTLED);
        }
        if (stallUs >= MIN_STALLED_DELAY_US) {
            troubles.add(SelfFault.STALLED);
        }
        if (upMs < MIN_UPTIME_MS) {
            troubles.add(SelfFault.JUST_STARTED);
        }
        return troubles;
    }

    /** What speaks against a snapshot's word on how well its boxes are; empty if nothing does. */
    public static Set<SelfFault> inSnapshot(Snapshot snapshot, long nowMs) {
        EnumSet<SelfFault> troubles = EnumSet.noneOf(SelfFault.class);
        troubles.addAll(snapshot.origin().selfFaults());
        if (snapshot.origin().takenMs() > nowMs + Confidence.MAX_CLOCK_SKEW_MS
                || snapshot.origin().startedMs() > snapshot.origin().takenMs() + Confidence.MAX_CLOCK_SKEW_MS) {
            troubles.add(SelfFault.FUTURE);
        }
        if (areMostFailing(snapshot.servers())) {
            troubles.add(SelfFault.MOST_SERVERS_FAILING);
        }
        return troubles;
    }

    /** Were they believed, too few would be left: half of those of which anything is known, or more. */
    private static boolean areMostFailing(List<ServerRecord> boxes) {
        int known = 0;
        int ill = 0;
        for (ServerRecord box : boxes) {
            PerServer knowledge = box.statistics();
            if (knowledge != null && knowledge.attemptCount() > 0) {
                known++;
                ill += isFailing(knowledge) ? 1 : 0;
            }
        }
        return ill > 0 && 2 * ill >= known;
    }

    static boolean isFailing(PerServer knowledge) {
        return knowledge.ejected()
                || knowledge.recentFailures() >= MIN_RECENT_FAILURES
                || knowledge.consecutiveErrors() >= MIN_CONSECUTIVE_ERRORS;
    }
}
