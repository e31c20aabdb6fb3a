package vetchpost.routes;

/**
 * Repeats as a share of first tries, as in Finagle's RetryBudget and gRPC's retry throttling: each first try
 * pays in the share, each repeat takes one out. What is saved up is bounded, so that a long calm does not
 * pay for a storm.
 */
final class RetryBudget {
    /** Repeats that can be saved up, and that a route begins with: its first failures are no storm. */
    private static final double MAX_SAVED_RETRIES = 10;

    private final double retriesPerFirstAttempt;
    private double savedRetries = MAX_SAVED_RETRIES;

    RetryBudget(double share) {
        this.retriesPerFirstAttempt = share;
    }

    void recordFirstAttempt() {
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + retriesPerFirstAttempt);
    }

    boolean hasRetryLeft() {
        return savedRetries >= 1;
    }

    void spendRetry() {
        savedRetries--;
    }
}
