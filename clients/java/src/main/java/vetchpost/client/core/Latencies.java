package vetchpost.client.core;

/** How long answers have taken lately: counts in buckets, each a fourth wider than the one before, halved
 * when they hold 1,000. Whole numbers only, so that it is the same in every language. */
final class Latencies {
    private static final int BUCKET_COUNT = 64;
    private static final int MAX_SAMPLES = 1_000;
    private static final int MIN_SAMPLES = 20;
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

    /** The upper edge of the bucket where so many thousandths of answers have come; -1 while too few have. */
    long quantile(int perMille) {
        if (total < MIN_SAMPLES) {
            return -1;
        }
        long wanted = ((long) total * perMille + MAX_SAMPLES - 1) / MAX_SAMPLES;
        long seen = 0;
        int bucket = -1;
        while (seen < wanted) {
            bucket++;
            seen += counts[bucket];
        }
        return UPPER_EDGES_MS[Math.max(0, bucket)];
    }
}
