package vetchpost.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Who has asked for something lately, by weight. What waits just now doesn't tell: in overload most is turned
 * away when it comes, and a queue that looks empty is not a part that nobody wants.
 */
final class Contention {
    private static final long CONTENTION_WINDOW_US = 500_000;

    private final Deque<Contender> queue = new ArrayDeque<>();
    private double totalWeight;

    /** One of those that contend. */
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

    /** It has asked for something. */
    void recordRequest(Contender one, long nowUs) {
        one.activeUntilUs = nowUs + CONTENTION_WINDOW_US;
        if (!one.isQueued) {
            one.isQueued = true;
            totalWeight += one.weight;
            queue.add(one);
        }
    }

    /** Its part while all that have asked lately want theirs, itself among them. */
    double fraction(Contender one, long nowUs) {
        // Each is looked at once in a while: first in the queue is who was looked at longest ago.
        while (!queue.isEmpty() && queue.peek().activeUntilUs <= nowUs) {
            Contender first = queue.poll();
            first.isQueued = false;
            totalWeight = queue.isEmpty() ? 0 : totalWeight - first.weight;
        }
        if (!queue.isEmpty()) {
            queue.add(queue.poll());
        }
        return one.weight / (totalWeight + (one.isQueued ? 0 : one.weight));
    }

    /** Whether it has asked lately. */
    boolean isContending(Contender one, long nowUs) {
        return one.isQueued && one.activeUntilUs > nowUs;
    }

    /** Of all that have asked lately, as far as they were looked at; 0 once nobody has. */
    double totalWeight() {
        return totalWeight;
    }

    /** It weighs this from now on. */
    void setWeight(Contender one, double other) {
        totalWeight += one.isQueued ? other - one.weight : 0;
        one.weight = other;
    }
}
