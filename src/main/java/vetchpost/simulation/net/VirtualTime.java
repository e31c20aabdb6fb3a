package vetchpost.simulation.net;

import io.netty.util.concurrent.Ticker;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Simulated time in nanoseconds from 0, and what is to happen in it. What is due at the same time happens in
 * the order in which it was asked for, so that the same calls always give the same history.
 */
public final class VirtualTime implements Ticker {
    /** Something that is to happen. */
    public static final class Event implements Comparable<Event> {
        private final long atNs;
        private final long order;
        private Runnable task;

        private Event(long atNs, long order, Runnable task) {
            this.atNs = atNs;
            this.order = order;
            this.task = task;
        }

        /** Has it not happen. */
        public void cancel() {
            task = null;
        }

        /** When it is due, in nanoseconds. */
        public long atNs() {
            return atNs;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNs, other.atNs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowNs;
    private long nextOrder;

    /** Has the task run at this time, or now if that has passed, but never from within this call. */
    public Event at(long ns, Runnable task) {
        Event event = new Event(Math.max(ns, nowNs), nextOrder++, task);
        events.add(event);
        return event;
    }

    /** Has the task run so many nanoseconds from now. */
    public Event after(long ns, Runnable task) {
        return at(nowNs + ns, task);
    }

    /** Goes on to the next event and runs it; false if there is none. */
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

    /** Nobody may wait for a time that passes only when all have done their work. */
    @Override
    public void sleep(long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("simulated time does not pass by waiting");
    }
}
