package vetchpost.client.core;

/**
 * A histogram of recent answer times. Each bucket's edge is a fourth above the one before; all counts are halved when
 * they reach {@link #MAX_SAMPLES}. It uses whole numbers only, so that it gives the same results in every language.
 * Used by {@link Caller} on its thread.
 */
final class Latencies {
    private static final int BUCKET_COUNT = 64;
    private static final int MAX_SAMPLES = 1_000;
    private static final int MIN_SAMPLES = 20;
    private static final int MILLE = 1_000;
    private static final long[] UPPER_EDGES_MS = new long[BUCKET_COUNT];

    private final int[] counts = new int[BUCKET_COUNT];
    private int total;

    static {
        long edge = 1;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            UPPER_EDGES_MS[i] = edge;
            edge += edge / 4 + 1;
        }
    }

    void add(long tookMs) {
        int bucket = 0;
        while (bucket < BUCKET_COUNT - 1 && UPPER_EDGES_MS[bucket] < tookMs) {
            bucket++;
        }
        counts[bucket]++;
        total++;
        if (total >= MAX_SAMPLES) {
            total = 0;
            for (int i = 0; i < BUCKET_COUNT; i++) {
                counts[i] /= 2;
                total += counts[i];
            }
        }
    }

    /**
     * Returns the upper edge, in milliseconds, of the bucket that holds a quantile; -1 while there are too few samples.
     *
     * @param perMille the quantile in thousandths, 0 to 1,000
     */
    long quantile(int perMille) {
        if (total < MIN_SAMPLES) {
            return -1;
        }
        long wanted = ((long) total * perMille + MILLE - 1) / MILLE;
        long seen = 0;
        int bucket = -1;
        while (seen < wanted) {
            bucket++;
            seen += counts[bucket];
        }
        return UPPER_EDGES_MS[Math.max(0, bucket)];
    }
}
