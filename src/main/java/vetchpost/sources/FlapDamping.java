package vetchpost.sources;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps out for a while whoever comes and goes: each return adds one to a count that halves with time, as
 * routers do with routes (RFC 2439). Over a bound a server is held back until the count has fallen to half
 * of that bound. At most so many servers are counted; the calmest is forgotten first.
 */
final class FlapDamping {
    private static final int MAX_COUNTED_SERVERS = 20_000;
    private static final double NEGLIGIBLE_COUNT = 0.05;

    private final double suppressThreshold;
    private final double halfLifeUs;
    private final Map<String, FlapCount> counts = new HashMap<>();

    private static final class FlapCount {
        private double value;
        private long updatedUs;
        private boolean isSuppressed;
    }

    /**
     * Nothing counted.
     *
     * @param bound returns from which on a server is held back
     * @param calmUs in which a count halves
     */
    FlapDamping(int bound, long calmUs) {
        this.suppressThreshold = bound;
        this.halfLifeUs = calmUs;
    }

    private double decay(FlapCount count, long nowUs) {
        count.value *= Math.pow(0.5, (nowUs - count.updatedUs) / halfLifeUs);
        count.updatedUs = nowUs;
        return count.value;
    }

    /** A server is back. */
    void serverReturned(String id, long nowUs) {
        if (!counts.containsKey(id) && counts.size() >= MAX_COUNTED_SERVERS) {
            counts.values().removeIf(c -> decay(c, nowUs) < NEGLIGIBLE_COUNT);
            if (counts.size() >= MAX_COUNTED_SERVERS) {
                return;
            }
        }
        FlapCount count = counts.computeIfAbsent(id, i -> new FlapCount());
        decay(count, nowUs);
        count.value++;
        count.isSuppressed |= count.value >= suppressThreshold;
    }

    /** Whether it is to be held back now. */
    boolean isSuppressed(String id, long nowUs) {
        FlapCount count = counts.get(id);
        if (count == null || !count.isSuppressed) {
            return false;
        }
        count.isSuppressed = decay(count, nowUs) >= suppressThreshold / 2;
        return count.isSuppressed;
    }

    /** When it can come back; now if it is not held back. */
    long suppressedUntilUs(String id, long nowUs) {
        if (!isSuppressed(id, nowUs)) {
            return nowUs;
        }
        return nowUs
                + (long) Math.ceil(halfLifeUs * Math.log(counts.get(id).value / (suppressThreshold / 2)) / Math.log(2))
                + 1;
    }
}
