package vetchpost.core;

/**
 * The node's time and its timers, in microseconds. The clock starts at Unix time and from then on only follows a
 * monotonic clock. Timers run on the node's one event loop, never from within {@link #schedule}.
 */
public interface Clock {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; without effect once it has run. */
        void cancel();
    }

    long nowUs();

    /** Runs the task at this time of the clock, or as soon as possible if that has passed. */
    Timer schedule(long us, Runnable task);
}
