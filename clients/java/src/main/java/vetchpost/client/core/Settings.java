package vetchpost.client.core;

/**
 * The figures that decisions go by. All times are in milliseconds.
 *
 * @param attempts most sendings of one call, the first and second copies among them; 1 to 100
 * @param backoffMs the first bound of the wait before a repeat; it doubles with each failed attempt; at
 *     least 1
 * @param backoffMostMs where it stops doubling; at least {@code backoffMs}
 * @param budget most repeats and second copies in a row, until calls succeed; 0 to 1,000,000
 * @param budgetPerMille how much of one more repeat a served call earns, in thousandths; 0 to 1,000
 * @param perAttemptMs an attempt of a safe or keyed call that has no answer by then is given up; 0 for never
 * @param secondCopyPerMille a safe call's second copy goes out once the first has taken longer than so many
 *     thousandths of answers did; 0 for no second copies, at most 999
 * @param limit calls that one node has in flight at most, at the beginning; 1 to {@code limitMost}
 * @param limitMost the most that the limit may grow to; up to 100,000
 * @param waiting most calls that wait for a node to have room; 0 to 1,000,000
 * @param ejectAfter failures in a row after which a node gets no calls for a while; at least 1
 * @param ejectMs for how long the first time; it doubles each time that a trial fails; at least 1
 * @param ejectMostMs where it stops doubling; at least {@code ejectMs}
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

    /** The settings that fit most callers. */
    public static final Settings DEFAULT =
            new Settings(3, 50, 2_000, 10, 100, 0, 950, 16, 256, 1_000, 5, 1_000, 30_000);

    private static final int MILLE = 1_000;
    private static final int MILLION = 1_000_000;

    /**
     * The figures as given.
     *
     * @throws IllegalArgumentException if one is out of its range; the message names it
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

    private static void requireInRange(String name, long value, long least, long most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(name + " is " + value + ", not " + least + " to " + most);
        }
    }
}
