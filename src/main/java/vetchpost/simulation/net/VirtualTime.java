package vetchpost.simulation.net;

import io.netty.util.concurrent.Ticker;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Simulated time in nanoseconds from 0, with the queue of scheduled events. Events of the same time run in the
 * order in which they were scheduled, so that the same calls always give the same run. One run has one instance,
 * which only its thread uses.
 */
public final class VirtualTime implements Ticker {
    /** A scheduled task. */
    public static final class Event implements Comparable<Event> {
        private final long atNs;
        private final long order;
        private Runnable task;

        private Event(long atNs, long order, Runnable task) {
            this.atNs = atNs;
            this.order = order;
            this.task = task;
        }

        /** Cancels the task. */
        public void cancel() {
            task = null;
        }

        /** Simulated time at which it is due, in nanoseconds. */
        public long atNs() {
            return atNs;
        }

        @Override
        public int compareTo(Event other) {
            int timeOrder = Long.compare(atNs, other.atNs);
            return timeOrder != 0 ? timeOrder : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNs;
    private long nextOrder;

    /** Schedules the task for this time, or for now if that has passed; it never runs within this call. */
    public Event at(long ns, Runnable task) {
        Event event = new Event(Math.max(ns, nowNs), nextOrder++, task);
        events.add(event);
        return event;
    }

    /** Schedules the task to run this many nanoseconds from now. */
    public Event after(long ns, Runnable task) {
        return at(nowNs + ns, task);
    }

    /** Advances to the next event and runs it; returns false if there is none. */
    public boolean step() {
        Event next = events.poll();
        while (next != null && next.task == null) {
            next = events.poll();
        }
        if (next == null) {
            return false;
        }
        nowNs = next.atNs;
        next.task.run();
        return true;
    }

    @Override
    public long initialNanoTime() {
        return 0;
    }

    @Override
    public long nanoTime() {
        return nowNs;
    }

    /** Not supported: simulated time advances only between events. */
    @Override
    public void sleep(long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("simulated time does not pass by waiting");
    }
}
