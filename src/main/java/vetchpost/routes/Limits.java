package vetchpost.routes;

/**
 * What holds for the requests of a route.
 *
 * @param attemptUs an attempt is given up after so long; 0: with the request
 * @param totalUs a request is given up after so long; 0: with its client
 * @param attempts how many attempts may have run, the first included
 * @param backoffUs wait before the second attempt, doubled before each further one
 * @param jitter each wait is drawn from itself to this share longer
 * @param copyUs a second copy is sent after so long without an answer; 0: none, or by the percentile
 * @param copyPercentile or after this percentile of the route's own answers; 0: none
 * @param retryBudget repeats as a share of first tries; 0: without a budget
 * @param concurrency requests in hand at a time; 0: without a limit
 * @param bodyBytes longest body
 * @param retryAfterUs what refusals advise; -1: as the module says
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

    /** When the latest attempt of so many could begin, counted from the first, in microseconds. */
    public long latestStartUs(int attempt) {
        double at = 0;
        for (int i = 1; i < attempt; i++) {
            at += attemptTimeoutUs + backoffUs(i) * (1 + jitter);
        }
        return (long) Math.ceil(at);
    }

    /**
     * When a second copy could be sent at the latest, with its jitter; 0 if there are none by a fixed
     * wait.
     */
    public long latestHedgeUs() {
        return (long) Math.ceil(hedgeAfterUs * (1 + jitter));
    }

    /** The shortest wait after so many attempts. */
    public long backoffUs(int attemptsMade) {
        return backoffUs << Math.min(attemptsMade - 1, 10);
    }
}
