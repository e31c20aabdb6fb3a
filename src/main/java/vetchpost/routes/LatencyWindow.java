package vetchpost.routes;

import java.util.Arrays;

/** A percentile of a route's last answers; of so few that a change of pace shows within seconds. */
final class LatencyWindow {
    private static final int KEPT = 128;
    /** Answers before which there is no percentile to speak of. */
    private static final int LEAST = 20;
    /** Sorted anew after so many answers: the percentile moves by less than that. */
    private static final int EVERY = 16;

    private final int percentile;
    private final long[] last = new long[KEPT];
    private int seen;
    private long valueUs;

    LatencyWindow(int percentile) {
        this.percentile = percentile;
    }

    void add(long latencyUs) {
        last[seen % KEPT] = latencyUs;
        seen = seen == Integer.MAX_VALUE ? KEPT : seen + 1;
        if (seen >= LEAST && (seen % EVERY == 0 || valueUs == 0)) {
            long[] sorted = Arrays.copyOf(last, Math.min(seen, KEPT));
            Arrays.sort(sorted);
            valueUs = Math.max(1, sorted[(int) Math.min(sorted.length - 1L, sorted.length * (long) percentile / 100)]);
        }
    }

    /** In microseconds; 0 as long as too few answers are known. */
    long percentileUs() {
        return seen < LEAST ? 0 : valueUs;
    }
}
