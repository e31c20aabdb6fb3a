package vetchpost.routes;

import java.util.Arrays;

/** A percentile of a route's last answers; of so few that a change of pace shows within seconds. */
final class LatencyWindow {
    private static final int WINDOW_SAMPLES = 128;
    /** Answers before which there is no percentile to speak of. */
    private static final int MIN_SAMPLES = 20;
    /** Sorted anew after so many answers: the percentile moves by less than that. */
    private static final int SAMPLES_PER_UPDATE = 16;

    private final int percentile;
    private final long[] samplesUs = new long[WINDOW_SAMPLES];
    private int sampleCount;
    private long percentileUs;

    LatencyWindow(int percentile) {
        this.percentile = percentile;
    }

    void add(long latencyUs) {
        samplesUs[sampleCount % WINDOW_SAMPLES] = latencyUs;
        sampleCount = sampleCount == Integer.MAX_VALUE ? WINDOW_SAMPLES : sampleCount + 1;
        if (sampleCount >= MIN_SAMPLES && (sampleCount % SAMPLES_PER_UPDATE == 0 || percentileUs == 0)) {
            long[] sorted = Arrays.copyOf(samplesUs, Math.min(sampleCount, WINDOW_SAMPLES));
            Arrays.sort(sorted);
            percentileUs =
                    Math.max(1, sorted[(int) Math.min(sorted.length - 1L, sorted.length * (long) percentile / 100)]);
        }
    }

    /** In microseconds; 0 as long as too few answers are known. */
    long percentileUs() {
        return sampleCount < MIN_SAMPLES ? 0 : percentileUs;
    }
}
