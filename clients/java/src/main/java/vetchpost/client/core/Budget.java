package vetchpost.client.core;

/** Repeats that calls may cost in all: a token bucket that served calls fill, so that a failing fleet is not
 * asked twice as often as a healthy one. In thousandths of a repeat. */
final class Budget {
    private static final long TOKENS_PER_RETRY = 1_000;

    private final long maxTokens;
    private final long tokensPerServedCall;
    private long tokens;

    Budget(int most, int perMille) {
        this.maxTokens = most * TOKENS_PER_RETRY;
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
