package vetchpost.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks which contenders (tenants or classes) have sent requests lately, and their total weight. The queues alone
 * don't show that: in overload most requests are rejected on arrival, so an empty queue doesn't mean that nobody wants
 * its share. Used by {@link FairAdmission}, on the node's event loop.
 */
final class Contention {
    /** A request counts for this long. */
    private static final long CONTENTION_WINDOW_US = 500_000;

    private final Deque<Contender> queue = new ArrayDeque<>();
    private double totalWeight;

    /** A contender and its weight. */
    static final class Contender {
        private double weight;
        private long activeUntilUs;
        private boolean isQueued;

        Contender(double weight) {
            this.weight = weight;
        }

        double weight() {
            return weight;
        }
    }

    /** Records a request of this contender. */
    void recordRequest(Contender contender, long nowUs) {
        contender.activeUntilUs = nowUs + CONTENTION_WINDOW_US;
        if (!contender.isQueued) {
            contender.isQueued = true;
            totalWeight += contender.weight;
            queue.add(contender);
        }
    }

    /** The contender's fraction while all that have sent requests lately want theirs; it counts as one of them. */
    double fraction(Contender contender, long nowUs) {
        // Each contender is checked from time to time: the first in the queue was checked the longest ago.
        while (!queue.isEmpty() && queue.peek().activeUntilUs <= nowUs) {
            Contender first = queue.poll();
            first.isQueued = false;
            totalWeight = queue.isEmpty() ? 0 : totalWeight - first.weight;
        }
        if (!queue.isEmpty()) {
            queue.add(queue.poll());
        }
        return contender.weight / (totalWeight + (contender.isQueued ? 0 : contender.weight));
    }

    /** Whether the contender has sent a request lately. */
    boolean isContending(Contender contender, long nowUs) {
        return contender.isQueued && contender.activeUntilUs > nowUs;
    }

    /**
     * Total weight of the contenders that have sent requests lately, as far as they were checked; 0 once there are
     * none.
     */
    double totalWeight() {
        return totalWeight;
    }

    /** Changes a contender's weight. */
    void setWeight(Contender contender, double newWeight) {
        totalWeight += contender.isQueued ? newWeight - contender.weight : 0;
        contender.weight = newWeight;
    }
}
