package vetchpost.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Who has asked for something lately, by weight. What waits just now doesn't tell: in overload most is turned
 * away when it comes, and a queue that looks empty is not a part that nobody wants.
 */
final class Contention {
    private static final long LATELY_US = 500_000;

    private final Deque<Contender> queue = new ArrayDeque<>();
    private double weight;

    /** One of those that contend. */
    static final class Contender {
        private double weight;
        private long untilUs;
        private boolean in;

        Contender(double weight) {
            this.weight = weight;
        }

        double weight() {
            return weight;
        }
    }

    /** It has asked for something. */
    void asks(Contender one, long nowUs) {
        one.untilUs = nowUs + LATELY_US;
        if (!one.in) {
            one.in = true;
            weight += one.weight;
            queue.add(one);
        }
    }

    /** Its part while all that have asked lately want theirs, itself among them. */
    double share(Contender one, long nowUs) {
        // Each is looked at once in a while: first in the queue is who was looked at longest ago.
        while (!queue.isEmpty() && queue.peek().untilUs <= nowUs) {
            Contender first = queue.poll();
            first.in = false;
            weight = queue.isEmpty() ? 0 : weight - first.weight;
        }
        if (!queue.isEmpty()) {
            queue.add(queue.poll());
        }
        return one.weight / (weight + (one.in ? 0 : one.weight));
    }

    /** Whether it has asked lately. */
    boolean contends(Contender one, long nowUs) {
        return one.in && one.untilUs > nowUs;
    }

    /** Of all that have asked lately, as far as they were looked at; 0 once nobody has. */
    double weight() {
        return weight;
    }

    /** It weighs this from now on. */
    void weigh(Contender one, double other) {
        weight += one.in ? other - one.weight : 0;
        one.weight = other;
    }
}
