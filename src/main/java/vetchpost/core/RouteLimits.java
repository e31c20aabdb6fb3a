package vetchpost.core;

import vetchpost.decision.Balancer;

/** What an operator allows to the requests of a route, beside what the module decides within it. */
public interface RouteLimits extends Balancer.RetryLimits {
    /** Of no route: all is as the settings say. */
    RouteLimits NONE = new RouteLimits() {};

    /** An attempt is given up after so long, in microseconds; the largest number for never. */
    default long attemptTimeoutUs() {
        return Long.MAX_VALUE;
    }

    /** A request is given up after so long. */
    default long requestTimeoutUs() {
        return Long.MAX_VALUE;
    }

    /** The longest body, in bytes; the largest number for any. */
    default long maxBodyBytes() {
        return Long.MAX_VALUE;
    }

    /** Takes one more request in hand; false if there are as many as may be. */
    default boolean tryAcquire() {
        return true;
    }

    /** A request that had entered has its answer, or needs none. */
    default void release() {}

    /** What a refusal advises, where the module or the node would say this; 0 for nothing. */
    default long retryAfterUs(long otherwiseUs) {
        return otherwiseUs;
    }
}
