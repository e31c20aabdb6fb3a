package vetchpost.admission;

import java.util.Comparator;

/**
 * One of the flows that share their parent's capacity in proportion to their weights: a tenant's share, a class in it,
 * or a queue of clients in that. Its tags are those of start-time fair queueing: a request starts at its parent's
 * virtual time or at the finish of its flow's last one, whichever is later, and finishes later by its cost divided by
 * the weight (P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing", IEEE/ACM Transactions on Networking 5(5), 1997).
 */
abstract class Flow {
    /** Order of service: by start tag, and of equal ones the flow that has waited longer. */
    static final Comparator<Flow> BY_START =
            Comparator.<Flow>comparingDouble(flow -> flow.startTag).thenComparingLong(flow -> flow.sequence);

    static final Comparator<Flow> BY_FINISH = Comparator.comparingDouble(flow -> flow.finishTag);

    final SchedulingNode parent;
    final int key;
    double weight;
    double startTag;
    double finishTag;
    long sequence;
    boolean isReady;
    /** Cost of all requests that wait in it, and their number. */
    double backlogCost;

    int waitingCount;

    Flow(SchedulingNode parent, int key, double weight) {
        this.parent = parent;
        this.key = key;
        this.weight = weight;
    }

    /**
     * Its fraction of its parent's capacity while all siblings with waiting requests use theirs; it counts as one of
     * them.
     */
    final double fraction() {
        return weight / (parent.readyWeight + (isReady ? 0 : weight));
    }
}
