package vetchpost.routes;

import java.util.Arrays;

/**
 * A percentile of a route's latest latencies. The window is small, so that a change of latency shows within
 * seconds. {@link FileRoutePolicy} uses it for hedging. Not thread-safe.
 */
final class LatencyWindow {
    private static final int WINDOW_SAMPLES = 128;
    /** With fewer samples no percentile is given. */
    private static final int MIN_SAMPLES = 20;
    /** Sorting after each sample would cost more, and the percentile moves little within this many. */
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

    /** The percentile in microseconds; 0 while there are too few samples. */
    long percentileUs() {
        return sampleCount < MIN_SAMPLES ? 0 : percentileUs;
    }
}
