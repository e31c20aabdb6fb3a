package vetchpost.sources;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps out servers that come and go repeatedly. Each return adds one to a count that decays exponentially, as route
 * flap damping does (RFC 2439). At a threshold the server is suppressed until its count has fallen to half of that. The
 * number of counted servers is bounded; negligible counts are discarded first. Used by {@link Membership} on the event
 * loop.
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
     * Creates empty counts.
     *
     * @param suppressThreshold count from which on a server is suppressed
     * @param halfLifeUs time in which a count halves, in microseconds
     */
    FlapDamping(int suppressThreshold, long halfLifeUs) {
        this.suppressThreshold = suppressThreshold;
        this.halfLifeUs = halfLifeUs;
    }

    private double decay(FlapCount count, long nowUs) {
        count.value *= Math.pow(0.5, (nowUs - count.updatedUs) / halfLifeUs);
        count.updatedUs = nowUs;
        return count.value;
    }

    /** A server has returned after an absence. */
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

    /** Whether a server is suppressed now. */
    boolean isSuppressed(String id, long nowUs) {
        FlapCount count = counts.get(id);
        if (count == null || !count.isSuppressed) {
            return false;
        }
        count.isSuppressed = decay(count, nowUs) >= suppressThreshold / 2;
        return count.isSuppressed;
    }

    /** When a server's suppression ends, in microseconds; now if it is not suppressed. */
    long suppressedUntilUs(String id, long nowUs) {
        if (!isSuppressed(id, nowUs)) {
            return nowUs;
        }
        return nowUs
                + (long) Math.ceil(halfLifeUs * Math.log(counts.get(id).value / (suppressThreshold / 2)) / Math.log(2))
                + 1;
    }
}
