package vetchpost.client.core;

/**
 * The settings of a client's decisions. All times are in milliseconds.
 *
 * @param attempts maximum attempts of one call, the first one, retries and hedges together; 1 to 100
 * @param backoffMs upper bound of the wait before the first retry; it doubles with each failed attempt; at least 1
 * @param backoffMostMs maximum of that bound; at least {@code backoffMs}
 * @param budget maximum retries and hedges in a row while no call succeeds; 0 to 1,000,000
 * @param budgetPerMille what a served call adds to the budget, in thousandths of a retry; 0 to 1,000
 * @param perAttemptMs timeout of one attempt of a safe or keyed call; 0 for none
 * @param secondCopyPerMille a safe call is hedged once its first attempt has taken longer than this many thousandths of
 *     recent answers; 0 for no hedges, at most 999
 * @param limit initial maximum of attempts in flight at one node; 1 to {@code limitMost}
 * @param limitMost maximum that the limit may grow to; 1 to 100,000
 * @param waiting maximum calls that wait for an available node; 0 to 1,000,000
 * @param ejectAfter consecutive failures after which a node is ejected; 1 to 1,000,000
 * @param ejectMs duration of the first ejection; it doubles each time that a trial fails; at least 1
 * @param ejectMostMs maximum duration of an ejection; at least {@code ejectMs}
 */
public record Settings(
        int attempts,
        long backoffMs,
        long backoffMostMs,
        int budget,
        int budgetPerMille,
        long perAttemptMs,
        int secondCopyPerMille,
        int limit,
        int limitMost,
        int waiting,
        int ejectAfter,
        long ejectMs,
        long ejectMostMs) {

    /** Settings that suit most clients. */
    public static final Settings DEFAULT =
            new Settings(3, 50, 2_000, 10, 100, 0, 950, 16, 256, 1_000, 5, 1_000, 30_000);

    private static final int MILLE = 1_000;
    private static final int MILLION = 1_000_000;

    /**
     * Checks all settings.
     *
     * @throws IllegalArgumentException if a setting is out of its range; the message names it
     */
    public Settings {
        requireInRange("attempts", attempts, 1, 100);
        requireInRange("backoffMs", backoffMs, 1, Integer.MAX_VALUE);
        requireInRange("backoffMostMs", backoffMostMs, backoffMs, Integer.MAX_VALUE);
        requireInRange("budget", budget, 0, MILLION);
        requireInRange("budgetPerMille", budgetPerMille, 0, MILLE);
        requireInRange("perAttemptMs", perAttemptMs, 0, Integer.MAX_VALUE);
        requireInRange("secondCopyPerMille", secondCopyPerMille, 0, MILLE - 1);
        requireInRange("limitMost", limitMost, 1, 100_000);
        requireInRange("limit", limit, 1, limitMost);
        requireInRange("waiting", waiting, 0, MILLION);
        requireInRange("ejectAfter", ejectAfter, 1, MILLION);
        requireInRange("ejectMs", ejectMs, 1, Integer.MAX_VALUE);
        requireInRange("ejectMostMs", ejectMostMs, ejectMs, Integer.MAX_VALUE);
    }

    private static void requireInRange(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " is " + value + ", not " + min + " to " + max);
        }
    }
}
