package vetchpost.replication;

/**
 * A token bucket that may be overdrawn: spending is allowed while any token is left, and a larger amount has to
 * be refilled before the next one. Used by {@link Publisher}; not thread-safe.
 */
final class TokenBucket {
    private static final double SECOND_US = 1e6;

    private final double tokensPerS;
    private final double maxTokens;
    private double tokens;
    private long refilledUs;

    /** Creates a full bucket. */
    TokenBucket(double tokensPerS, double maxTokens, long nowUs) {
        this.tokensPerS = tokensPerS;
        this.maxTokens = maxTokens;
        tokens = maxTokens;
        refilledUs = nowUs;
    }

    private void refill(long nowUs) {
        tokens = Math.min(maxTokens, tokens + tokensPerS * (nowUs - refilledUs) / SECOND_US);
        refilledUs = nowUs;
    }

    /** Whether any token is left. */
    boolean hasAny(long nowUs) {
        refill(nowUs);
        return tokens > 0;
    }

    void spend(double amount) {
        tokens -= amount;
    }

    /** Returns when a token will be available, in microseconds; {@code nowUs} if one is now. */
    long availableAtUs(long nowUs) {
        refill(nowUs);
        return tokens > 0 ? nowUs : nowUs + (long) Math.ceil((1 - tokens) / tokensPerS * SECOND_US);
    }
}
