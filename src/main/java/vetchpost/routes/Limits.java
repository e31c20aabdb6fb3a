package vetchpost.routes;

/**
 * The limits of a route's requests. Times are in microseconds.
 *
 * @param attemptTimeoutUs after which an attempt is given up; 0: only with the request
 * @param requestTimeoutUs after which a request is given up; 0: only when its client gives up
 * @param maxAttempts including the first
 * @param backoffUs wait before the second attempt, doubled before each further one
 * @param jitter each wait is lengthened by a random fraction of itself, from 0 to this
 * @param hedgeAfterUs a hedged request is sent after this time without an answer; 0: none, or by the percentile
 * @param hedgePercentile a hedged request is sent after this percentile of the route's latencies; 0: none
 * @param retryBudgetFraction retries as a fraction of first attempts, from 0 to 1; 0: no budget
 * @param maxConcurrency requests in flight; 0: no limit
 * @param maxBodyBytes of a request
 * @param retryAfterUs advised by rejections; -1: as the balancer advises
 */
public record Limits(
        long attemptTimeoutUs,
        long requestTimeoutUs,
        int maxAttempts,
        long backoffUs,
        double jitter,
        long hedgeAfterUs,
        int hedgePercentile,
        double retryBudgetFraction,
        int maxConcurrency,
        long maxBodyBytes,
        long retryAfterUs) {

    /**
     * The latest start of an attempt after that of the first, in microseconds.
     *
     * @param attempt number of the attempt, from 1
     */
    public long latestStartUs(int attempt) {
        double startUs = 0;
        for (int i = 1; i < attempt; i++) {
            startUs += attemptTimeoutUs + backoffUs(i) * (1 + jitter);
        }
        return (long) Math.ceil(startUs);
    }

    /** The latest start of a hedged request with jitter, in microseconds; 0 if none is sent after a fixed time. */
    public long latestHedgeUs() {
        return (long) Math.ceil(hedgeAfterUs * (1 + jitter));
    }

    /**
     * The wait before the next attempt without jitter, in microseconds.
     *
     * @param attemptsMade so far, from 1; the wait is no longer doubled from 11 on
     */
    public long backoffUs(int attemptsMade) {
        return backoffUs << Math.min(attemptsMade - 1, 10);
    }
}
