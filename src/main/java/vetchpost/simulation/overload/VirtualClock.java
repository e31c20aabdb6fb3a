package vetchpost.simulation.overload;

import java.util.PriorityQueue;
import vetchpost.core.Clock;

/** Virtual time: what is due runs in its order, and nothing takes any. */
public final class VirtualClock implements Clock {
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private long now;
    private long numbers;

    private final class Due implements Timer, Comparable<Due> {
        private final long us;
        private final long number = numbers++;
        private final Runnable task;
        private boolean cancelled;

        Due(long us, Runnable task) {
            this.us = us;
            this.task = task;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public int compareTo(Due other) {
            return us != other.us ? Long.compare(us, other.us) : Long.compare(number, other.number);
        }
    }

    /** Begins at this time. */
    public VirtualClock(long startUs) {
        now = startUs;
    }

    @Override
    public long nowUs() {
        return now;
    }

    @Override
    public Timer schedule(long us, Runnable task) {
        Due due = new Due(Math.max(us, now), task);
        queue.add(due);
        return due;
    }

    /** Runs all that is due by this time. */
    public void runUntil(long us) {
        while (!queue.isEmpty() && queue.peek().us <= us) {
            Due due = queue.poll();
            now = due.us;
            if (!due.cancelled) {
                due.task.run();
            }
        }
        now = us;
    }
}
