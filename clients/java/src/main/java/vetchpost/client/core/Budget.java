package vetchpost.client.core;

/**
 * The budget of retries and hedges of one client: a token bucket that served calls fill, so that a failing fleet is not
 * sent twice as many requests as a healthy one. Used by {@link Caller} on its thread.
 */
final class Budget {
    /** Tokens are thousandths of a retry. */
    private static final long TOKENS_PER_RETRY = 1_000;

    private final long maxTokens;
    private final long tokensPerServedCall;
    private long tokens;

    /**
     * Creates a full budget.
     *
     * @param maxRetries the maximum number of retries and hedges in the budget
     * @param perMille what a served call adds, in thousandths of a retry
     */
    Budget(int maxRetries, int perMille) {
        this.maxTokens = maxRetries * TOKENS_PER_RETRY;
        this.tokensPerServedCall = perMille;
        tokens = this.maxTokens;
    }

    boolean hasRetry() {
        return tokens >= TOKENS_PER_RETRY;
    }

    void spendRetry() {
        tokens -= TOKENS_PER_RETRY;
    }

    void creditServedCall() {
        tokens = Math.min(maxTokens, tokens + tokensPerServedCall);
    }
}
