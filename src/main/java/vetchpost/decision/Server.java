package vetchpost.decision;

import java.util.Comparator;
import vetchpost.decision.Balancer.ServerState;

/** A server as this node knows it: what the list says of it, and what its answers have told. */
final class Server extends IndexedSet.Member {
    final String id;
    final long sequenceNumber;
    /** Where it stands on the ring of all servers. */
    final long ringPosition;
    /** The last whole list, by number, that named it. */
    int lastListNumber;

    int zone;
    int cell;
    ServerState state;
    long startedAt;
    double weight = 1;
    int inFlight;
    /** Share of its answers that failed, and not by being late or full. */
    double failureFraction;

    double relativeLatency = 1;
    long relativeLatencyAt;
    double limit;
    long limitDecreasedAt;
    /** Until then it gets nothing: this node has had its part of its time. */
    long pausedUntil;
    /** When it was last wanted while at its limit, and since when it is there, or -1. */
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
    /** Ended attempts that told something of it, since it started; and when the last of them ended. */
    int attemptCount;

    long lastAttemptEndedAt;
    /** By class: failures in a row, when it last served it, and until when it gets no more of it. */
    final int[] classFailureStreaks;

    final long[] classLastServedAt;
    final long[] classExcludedUntil;
    /** When it was last sent to while cold, or began, and what part of a gap must have passed since. */
    long coldLastSentAt;

    double coldIntervalFraction;

    /** By the ends of a class's exclusion, or by trials; no lambdas, which cost a start more. */
    static final class DueTimeOrder implements Comparator<Server> {
        static final int TRIALS = -1;
        private final int classIndex;

        DueTimeOrder(int cls) {
            this.classIndex = cls;
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
