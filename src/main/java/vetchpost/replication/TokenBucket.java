package vetchpost.replication;

/**
 * A budget that refills evenly: so much a second, and no more saved up than so much. What is spent may be
 * more than is there, once; then nothing may be until it is paid back.
 */
final class TokenBucket {
    private static final double SECOND_US = 1e6;

    private final double perS;
    private final double most;
    private double left;
    private long seenUs;

    /** Full. */
    TokenBucket(double perS, double most, long nowUs) {
        this.perS = perS;
        this.most = most;
        left = most;
        seenUs = nowUs;
    }

    private void refill(long nowUs) {
        left = Math.min(most, left + perS * (nowUs - seenUs) / SECOND_US);
        seenUs = nowUs;
    }

    /** Whether anything may be spent. */
    boolean hasAny(long nowUs) {
        refill(nowUs);
        return left > 0;
    }

    void spend(double amount) {
        left -= amount;
    }

    /** When something may be spent again, if nothing may now. */
    long againUs(long nowUs) {
        refill(nowUs);
        return left > 0 ? nowUs : nowUs + (long) Math.ceil((1 - left) / perS * SECOND_US);
    }
}
