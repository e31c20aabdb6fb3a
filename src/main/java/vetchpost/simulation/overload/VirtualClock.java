package vetchpost.simulation.overload;

import java.util.PriorityQueue;
import vetchpost.core.Clock;

/**
 * A clock on virtual time. Tasks run in the order of their due times, those of the same time in the order of
 * scheduling, and take no time themselves. Not thread-safe: one simulation owns it.
 */
public final class VirtualClock implements Clock {
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private long nowUs;
    private long nextSequenceNumber;

    private final class ScheduledTask implements Timer, Comparable<ScheduledTask> {
        private final long dueUs;
        private final long sequenceNumber = nextSequenceNumber++;
        private final Runnable task;
        private boolean cancelled;

        ScheduledTask(long dueUs, Runnable task) {
            this.dueUs = dueUs;
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

    /** Creates a clock that shows {@code startUs}, in microseconds. */
    public VirtualClock(long startUs) {
        nowUs = startUs;
    }

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public Timer schedule(long atUs, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(Math.max(atUs, nowUs), task);
        queue.add(scheduled);
        return scheduled;
    }

    /** Runs all tasks due by {@code untilUs}, this included, and leaves the clock at that time. */
    public void runUntil(long untilUs) {
        while (!queue.isEmpty() && queue.peek().dueUs <= untilUs) {
            ScheduledTask scheduled = queue.poll();
            nowUs = scheduled.dueUs;
            if (!scheduled.cancelled) {
                scheduled.task.run();
            }
        }
        nowUs = untilUs;
    }
}
