package vetchpost.client.core;

/** How long answers have taken lately: counts in buckets, each a fourth wider than the one before, halved
 * when they hold 1,000. Whole numbers only, so that it is the same in every language. */
final class Latencies {
    private static final int BUCKETS = 64;
    private static final int MOST = 1_000;
    private static final int LEAST = 20;
    private static final long[] EDGES = new long[BUCKETS];

    private final int[] counts = new int[BUCKETS];
    private int total;

    static {
        long edge = 1;
        for (int i = 0; i < BUCKETS; i++) {
            EDGES[i] = edge;
            edge += edge / 4 + 1;
        }
    }

    void add(long tookMs) {
        int bucket = 0;
        while (bucket < BUCKETS - 1 && EDGES[bucket] < tookMs) {
            bucket++;
        }
        counts[bucket]++;
        total++;
        if (total >= MOST) {
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                counts[i] /= 2;
                total += counts[i];
            }
        }
    }

    /** The upper edge of the bucket where so many thousandths of answers have come; -1 while too few have. */
    long quantile(int perMille) {
        if (total < LEAST) {
            return -1;
        }
        long wanted = ((long) total * perMille + MOST - 1) / MOST;
        long seen = 0;
        int bucket = -1;
        while (seen < wanted) {
            bucket++;
            seen += counts[bucket];
        }
        return EDGES[Math.max(0, bucket)];
    }
}
