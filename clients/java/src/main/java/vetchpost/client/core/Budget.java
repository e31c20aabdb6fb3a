package vetchpost.client.core;

/** Repeats that calls may cost in all: a token bucket that served calls fill, so that a failing fleet is not
 * asked twice as often as a healthy one. In thousandths of a repeat. */
final class Budget {
    private static final long REPEAT = 1_000;

    private final long most;
    private final long earned;
    private long tokens;

    Budget(int most, int perMille) {
        this.most = most * REPEAT;
        this.earned = perMille;
        tokens = this.most;
    }

    boolean has() {
        return tokens >= REPEAT;
    }

    void take() {
        tokens -= REPEAT;
    }

    void served() {
        tokens = Math.min(most, tokens + earned);
    }
}
