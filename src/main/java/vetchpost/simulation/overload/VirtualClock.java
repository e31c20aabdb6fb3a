package vetchpost.simulation.overload;

import java.util.PriorityQueue;
import vetchpost.core.Clock;

/** Virtual time: what is due runs in its order, and nothing takes any. */
public final class VirtualClock implements Clock {
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private long nowUs;
    private long nextSequenceNumber;

    private final class ScheduledTask implements Timer, Comparable<ScheduledTask> {
        private final long dueUs;
        private final long sequenceNumber = nextSequenceNumber++;
        private final Runnable task;
        private boolean cancelled;

        ScheduledTask(long us, Runnable task) {
            this.dueUs = us;
            this.task = task;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            return dueUs != other.dueUs
                    ? Long.compare(dueUs, other.dueUs)
                    : Long.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    /** Begins at this time. */
    public VirtualClock(long startUs) {
        nowUs = startUs;
    }

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public Timer schedule(long us, Runnable task) {
        ScheduledTask due = new ScheduledTask(Math.max(us, nowUs), task);
        queue.add(due);
        return due;
    }

    /** Runs all that is due by this time. */
    public void runUntil(long us) {
        while (!queue.isEmpty() && queue.peek().dueUs <= us) {
            ScheduledTask due = queue.poll();
            nowUs = due.dueUs;
            if (!due.cancelled) {
                due.task.run();
            }
        }
        nowUs = us;
    }
}
