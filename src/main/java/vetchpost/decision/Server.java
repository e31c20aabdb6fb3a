package vetchpost.decision;

import java.util.Comparator;
import vetchpost.decision.Balancer.ServerState;

/** A server as this node knows it: what the list says of it, and what its answers have told. */
final class Server extends IndexedSet.Member {
    final String id;
    final long number;
    /** Where it stands on the ring of all servers. */
    final long seat;
    /** The last whole list, by number, that named it. */
    int named;

    int zone;
    int cell;
    ServerState state;
    long startedAt;
    double weight = 1;
    int inFlight;
    /** Share of its answers that failed, and not by being late or full. */
    double faults;

    double pace = 1;
    long paceAt;
    double limit;
    long limitCutAt;
    /** Until then it gets nothing: this node has had its part of its time. */
    long restUntil;
    /** When it was last wanted while at its limit, and since when it is there, or -1. */
    long wantedAt;

    long fullSince = -1;
    int history;
    boolean ejected;
    boolean unreachable;
    long trialAt;
    long ejectedForUs;
    int trialsWon;
    long answeredAt;
    long servedAt;
    /** Ended attempts that told something of it, since it started; and when the last of them ended. */
    int answers;

    long toldAt;
    /** By class: failures in a row, when it last served it, and until when it gets no more of it. */
    final int[] misses;

    final long[] heardAt;
    final long[] outUntil;
    /** When it was last sent to while cold, or began, and what part of a gap must have passed since. */
    long coldSentAt;

    double coldPhase;

    /** By the ends of a class's exclusion, or by trials; no lambdas, which cost a start more. */
    static final class ByTime implements Comparator<Server> {
        static final int TRIALS = -1;
        private final int cls;

        ByTime(int cls) {
            this.cls = cls;
        }

        private long time(Server server) {
            return cls == TRIALS ? server.trialAt : server.outUntil[cls];
        }

        @Override
        public int compare(Server a, Server b) {
            int byTime = Long.compare(time(a), time(b));
            return byTime != 0 ? byTime : Long.compare(a.number, b.number);
        }
    }

    Server(String id, long number, double limit, int classes) {
        this.id = id;
        seat = HashRing.position(id);
        this.number = number;
        this.limit = limit;
        misses = new int[classes];
        heardAt = new long[classes];
        outUntil = new long[classes];
    }
}
