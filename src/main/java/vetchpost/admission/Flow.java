package vetchpost.admission;

import java.util.Comparator;

/**
 * One of those that share what its parent gets, in proportion to their weights: a tenant, a class of it, or a
 * line of clients of that. Its tags are of start-time fair queueing: it starts at its parent's virtual time
 * or where its last request finished, whichever is later, and finishes by its cost over its weight later
 * (P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing", IEEE/ACM Transactions on Networking 5(5), 1997).
 */
abstract class Flow {
    /** The next to be served first; of equal ones the one that has waited longer. */
    static final Comparator<Flow> BY_START =
            Comparator.<Flow>comparingDouble(f -> f.startTag).thenComparingLong(f -> f.sequence);

    static final Comparator<Flow> BY_FINISH = Comparator.comparingDouble(f -> f.finishTag);

    final SchedulingNode parent;
    final int key;
    double weight;
    double startTag;
    double finishTag;
    long sequence;
    boolean isReady;
    /** Cost of all that waits in it, and how many requests that is. */
    double backlogCost;

    int waitingCount;

    Flow(SchedulingNode parent, int key, double weight) {
        this.parent = parent;
        this.key = key;
        this.weight = weight;
    }

    /** Its part of what its parent gets while all that have something waiting do, itself among them. */
    final double fraction() {
        return weight / (parent.readyWeight + (isReady ? 0 : weight));
    }
}
