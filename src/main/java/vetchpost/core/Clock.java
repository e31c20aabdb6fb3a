package vetchpost.core;

/**
 * The node's time and its timers, in microseconds. The clock starts at Unix time and then only follows a
 * monotonic one. Timers run on the node's one event loop, never from within {@link #schedule}.
 */
public interface Clock {
    /** A timer that has been set. */
    interface Timer {
        /** Has it not run any more; without effect once it has. */
        void cancel();
    }

    long nowUs();

    /** Runs the task at this time, or as soon as it can if that has passed. */
    Timer schedule(long us, Runnable task);
}
