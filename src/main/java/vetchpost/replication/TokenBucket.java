package vetchpost.replication;

/**
 * A budget that refills evenly: so much a second, and no more saved up than so much. What is spent may be
 * more than is there, once; then nothing may be until it is paid back.
 */
final class TokenBucket {
    private static final double SECOND_US = 1e6;

    private final double tokensPerS;
    private final double maxTokens;
    private double tokens;
    private long refilledUs;

    /** Full. */
    TokenBucket(double perS, double most, long nowUs) {
        this.tokensPerS = perS;
        this.maxTokens = most;
        tokens = most;
        refilledUs = nowUs;
    }

    private void refill(long nowUs) {
        tokens = Math.min(maxTokens, tokens + tokensPerS * (nowUs - refilledUs) / SECOND_US);
        refilledUs = nowUs;
    }

    /** Whether anything may be spent. */
    boolean hasAny(long nowUs) {
        refill(nowUs);
        return tokens > 0;
    }

    void spend(double amount) {
        tokens -= amount;
    }

    /** When something may be spent again, if nothing may now. */
    long availableAtUs(long nowUs) {
        refill(nowUs);
        return tokens > 0 ? nowUs : nowUs + (long) Math.ceil((1 - tokens) / tokensPerS * SECOND_US);
    }
}
