package vetchpost.decision;

import java.util.Comparator;
import vetchpost.decision.Balancer.ServerState;

/**
 * A server of the list with this node's statistics of it, which the balancer updates from its own thread. Times are
 * microseconds of the balancer's clock.
 */
final class Server extends IndexedSet.Member {
    final String id;
    final long sequenceNumber;
    /** Its position on the hash ring of all servers. */
    final long ringPosition;
    /** Number of the last list event that named it. */
    int lastListNumber;

    int zone;
    int cell;
    ServerState state;
    long startedAt;
    double weight = 1;
    int inFlight;
    /** Running mean of its answers that failed other than by timeout or rejection, from 0 to 1. */
    double failureFraction;

    double relativeLatency = 1;
    long relativeLatencyAt;
    double limit;
    long limitDecreasedAt;
    /** Until then it gets no requests of this node, whose limit there is below one. */
    long pausedUntil;
    /** When a request was last held back by its limit, and since when it has been at its limit, or -1. */
    long limitedDemandAt;

    long atLimitSince = -1;
    int failureHistory;
    boolean ejected;
    boolean unreachable;
    long nextTrialAt;
    long ejectionUs;
    int successfulTrials;
    long lastResponseAt;
    long lastServedAt;
    /** Ended attempts since it started that say something about it, and when the last of them ended. */
    int attemptCount;

    long lastAttemptEndedAt;
    /** By class: consecutive failures, when it last served the class, and until when it is excluded from it. */
    final int[] classFailureStreaks;

    final long[] classLastServedAt;
    final long[] classExcludedUntil;
    /**
     * When it was last sent a request while cold, or started, and the fraction of an interval that must pass after
     * that.
     */
    long coldLastSentAt;

    double coldIntervalFraction;

    /**
     * Orders servers by the end of a class's exclusion, or by their next trial. Not lambdas, which slow down the start.
     */
    static final class DueTimeOrder implements Comparator<Server> {
        static final int TRIALS = -1;
        private final int classIndex;

        DueTimeOrder(int classIndex) {
            this.classIndex = classIndex;
        }

        private long dueTime(Server server) {
            return classIndex == TRIALS ? server.nextTrialAt : server.classExcludedUntil[classIndex];
        }

        @Override
        public int compare(Server a, Server b) {
            int byTime = Long.compare(dueTime(a), dueTime(b));
            return byTime != 0 ? byTime : Long.compare(a.sequenceNumber, b.sequenceNumber);
        }
    }

    Server(String id, long number, double limit, int classes) {
        this.id = id;
        ringPosition = HashRing.position(id);
        this.sequenceNumber = number;
        this.limit = limit;
        classFailureStreaks = new int[classes];
        classLastServedAt = new long[classes];
        classExcludedUntil = new long[classes];
    }
}
