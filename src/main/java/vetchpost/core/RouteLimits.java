package vetchpost.core;

import vetchpost.decision.Balancer;

/**
 * The operator's limits for the requests of a route, beside what the decision module decides within them. Called on the
 * node's event loop. Times are microseconds.
 */
public interface RouteLimits extends Balancer.RetryLimits {
    /** No limits: everything is as the settings say. */
    RouteLimits NONE = new RouteLimits() {};

    /** An attempt times out after this; {@link Long#MAX_VALUE} for never. */
    default long attemptTimeoutUs() {
        return Long.MAX_VALUE;
    }

    /** A request times out after this; {@link Long#MAX_VALUE} for never. */
    default long requestTimeoutUs() {
        return Long.MAX_VALUE;
    }

    /** The longest body in bytes; {@link Long#MAX_VALUE} for any. */
    default long maxBodyBytes() {
        return Long.MAX_VALUE;
    }

    /** Counts one more pending request; false if the limit is reached. */
    default boolean tryAcquire() {
        return true;
    }

    /** A request that was counted by {@link #tryAcquire} has its answer, or needs none. */
    default void release() {}

    /**
     * The retry-after of a rejection, where the decision module or the node would say {@code defaultUs}; 0 for none.
     */
    default long retryAfterUs(long defaultUs) {
        return defaultUs;
    }
}
