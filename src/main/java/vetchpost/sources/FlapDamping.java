package vetchpost.sources;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps out for a while whoever comes and goes: each return adds one to a count that halves with time, as
 * routers do with routes (RFC 2439). Over a bound a server is held back until the count has fallen to half
 * of that bound. At most so many servers are counted; the calmest is forgotten first.
 */
final class FlapDamping {
    private static final int MOST = 20_000;
    private static final double CALM = 0.05;

    private final double bound;
    private final double calmUs;
    private final Map<String, Count> counts = new HashMap<>();

    private static final class Count {
        private double value;
        private long atUs;
        private boolean held;
    }

    /**
     * Nothing counted.
     *
     * @param bound returns from which on a server is held back
     * @param calmUs in which a count halves
     */
    FlapDamping(int bound, long calmUs) {
        this.bound = bound;
        this.calmUs = calmUs;
    }

    private double settle(Count count, long nowUs) {
        count.value *= Math.pow(0.5, (nowUs - count.atUs) / calmUs);
        count.atUs = nowUs;
        return count.value;
    }

    /** A server is back. */
    void returned(String id, long nowUs) {
        if (!counts.containsKey(id) && counts.size() >= MOST) {
            counts.values().removeIf(c -> settle(c, nowUs) < CALM);
            if (counts.size() >= MOST) {
                return;
            }
        }
        Count count = counts.computeIfAbsent(id, i -> new Count());
        settle(count, nowUs);
        count.value++;
        count.held |= count.value >= bound;
    }

    /** Whether it is to be held back now. */
    boolean isHeld(String id, long nowUs) {
        Count count = counts.get(id);
        if (count == null || !count.held) {
            return false;
        }
        count.held = settle(count, nowUs) >= bound / 2;
        return count.held;
    }

    /** When it can come back; now if it is not held back. */
    long freeAtUs(String id, long nowUs) {
        if (!isHeld(id, nowUs)) {
            return nowUs;
        }
        return nowUs + (long) Math.ceil(calmUs * Math.log(counts.get(id).value / (bound / 2)) / Math.log(2)) + 1;
    }
}
