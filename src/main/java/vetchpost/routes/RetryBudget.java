package vetchpost.routes;

/**
 * Limits retries to a fraction of first attempts, as Finagle's RetryBudget and gRPC's retry throttling do: each
 * first attempt adds the fraction, each retry takes one. The balance is bounded, so that a long quiet period does
 * not pay for a retry storm. {@link FileRoutePolicy} has one for each tenant of a route. Not thread-safe.
 */
final class RetryBudget {
    /** Maximum and initial balance; a route starts with it, as its first few failures are not a retry storm. */
    private static final double MAX_SAVED_RETRIES = 10;

    private final double retriesPerFirstAttempt;
    private double savedRetries = MAX_SAVED_RETRIES;

    RetryBudget(double retriesPerFirstAttempt) {
        this.retriesPerFirstAttempt = retriesPerFirstAttempt;
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
