package vetchpost.replication;

import java.util.List;
import java.util.function.Predicate;

/**
 * Which publisher a replica asks: each has an order of its own (rendezvous hashing), so that the replicas of
 * one that fails are spread over all others, and come back to it once it is well. One that fails, or is of no
 * use, is left alone for a while, longer each time.
 */
public final class PublisherChoice {
    private static final long MIN_BACKOFF_US = 100_000;
    private static final long MAX_BACKOFF_US = 5_000_000;

    private final long[] ranks;
    private final long[] retryAtUs;
    private final int[] failures;
    private final long seed;

    /**
     * Among these.
     *
     * @param name of the replica
     * @param publishers names or addresses, the same at all replicas, in any order
     */
    public PublisherChoice(String name, List<String> publishers) {
        this(name, publishers, publisher -> false);
    }

    /** The same, where those that are near come before all others. */
    public PublisherChoice(String name, List<String> publishers, Predicate<String> near) {
        if (publishers.isEmpty()) {
            throw new IllegalArgumentException("no publishers");
        }
        seed = mix(name.hashCode());
        ranks = publishers.stream()
                .mapToLong(p -> mix(seed ^ mix(p.hashCode())) >>> 2 | (near.test(p) ? 1L << 62 : 0))
                .toArray();
        retryAtUs = new long[ranks.length];
        failures = new int[ranks.length];
    }

    private static long mix(long of) {
        long hash = of + 0x9E3779B97F4A7C15L;
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
        return hash ^ hash >>> 31;
    }

    /** The one to ask now; the one that may be asked soonest if none may. */
    public int next(long nowUs) {
        int best = 0;
        for (int i = 1; i < ranks.length; i++) {
            boolean may = retryAtUs[i] <= nowUs;
            boolean mayBest = retryAtUs[best] <= nowUs;
            if (may != mayBest ? may : may ? ranks[i] > ranks[best] : retryAtUs[i] < retryAtUs[best]) {
                best = i;
            }
        }
        return best;
    }

    /** When that one may be asked, in microseconds. */
    public long retryAtUs(int publisher) {
        return retryAtUs[publisher];
    }

    /** It could not be reached, broke off, or was of no use. */
    public void failed(int publisher, long nowUs) {
        long waitUs = Math.min(MAX_BACKOFF_US, MIN_BACKOFF_US << Math.min(10, failures[publisher]++));
        // Between half of it and all, by its own draw: many that fail at once don't come back at once.
        long share = mix(seed + 31L * publisher + failures[publisher]) >>> 1;
        retryAtUs[publisher] = nowUs + waitUs / 2 + share % (waitUs / 2);
    }

    /** It has told that what the replica has is the newest. */
    public void succeeded(int publisher) {
        failures[publisher] = 0;
        retryAtUs[publisher] = 0;
    }

    /** Whether one that comes before it could be asked again. */
    public boolean hasBetter(int publisher, long nowUs) {
        return next(nowUs) != publisher && retryAtUs[next(nowUs)] <= nowUs;
    }
}
