package vetchpost.replication;

import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the publisher that a replica connects to. Each replica has its own order (rendezvous hashing), so the
 * replicas of a failed publisher spread over all others and return once it recovers. A publisher that fails is
 * avoided with exponential backoff. Used by {@link PublisherFailover}; not thread-safe.
 */
public final class PublisherChoice {
    private static final long MIN_BACKOFF_US = 100_000;
    private static final long MAX_BACKOFF_US = 5_000_000;

    private final long[] ranks;
    private final long[] retryAtUs;
    private final int[] failures;
    private final long seed;

    /**
     * Creates a choice among publishers.
     *
     * @param name name of the replica
     * @param publishers names or addresses, identical at all replicas, in any order
     * @throws IllegalArgumentException if there are no publishers
     */
    public PublisherChoice(String name, List<String> publishers) {
        this(name, publishers, publisher -> false);
    }

    /** As above, with publishers that match {@code isPreferred} before all others. */
    public PublisherChoice(String name, List<String> publishers, Predicate<String> isPreferred) {
        if (publishers.isEmpty()) {
            throw new IllegalArgumentException("no publishers");
        }
        seed = mix(name.hashCode());
        ranks = publishers.stream()
                .mapToLong(p -> mix(seed ^ mix(p.hashCode())) >>> 2 | (isPreferred.test(p) ? 1L << 62 : 0))
                .toArray();
        retryAtUs = new long[ranks.length];
        failures = new int[ranks.length];
    }

    private static long mix(long value) {
        long hash = value + 0x9E3779B97F4A7C15L;
        hash = (hash ^ hash >>> 30) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ hash >>> 27) * 0x94D049BB133111EBL;
        return hash ^ hash >>> 31;
    }

    /** Returns the index of the best publisher that may be tried now, else of the one that may be tried soonest. */
    public int next(long nowUs) {
        int best = 0;
        for (int i = 1; i < ranks.length; i++) {
            boolean isAvailable = retryAtUs[i] <= nowUs;
            boolean isBestAvailable = retryAtUs[best] <= nowUs;
            if (isAvailable != isBestAvailable
                    ? isAvailable
                    : isAvailable ? ranks[i] > ranks[best] : retryAtUs[i] < retryAtUs[best]) {
                best = i;
            }
        }
        return best;
    }

    /** Returns when a publisher may be tried, in microseconds. */
    public long retryAtUs(int publisher) {
        return retryAtUs[publisher];
    }

    /** Records that a publisher was unreachable, disconnected or rejected. */
    public void failed(int publisher, long nowUs) {
        long waitUs = Math.min(MAX_BACKOFF_US, MIN_BACKOFF_US << Math.min(10, failures[publisher]++));
        // Jitter between half and all of the backoff, so that replicas do not reconnect at the same time.
        long jitter = mix(seed + 31L * publisher + failures[publisher]) >>> 1;
        retryAtUs[publisher] = nowUs + waitUs / 2 + jitter % (waitUs / 2);
    }

    /** Records that a publisher confirmed the replica's version as the newest. */
    public void succeeded(int publisher) {
        failures[publisher] = 0;
        retryAtUs[publisher] = 0;
    }

    /** Whether a publisher earlier in the order may be tried again. */
    public boolean hasBetter(int publisher, long nowUs) {
        return next(nowUs) != publisher && retryAtUs[next(nowUs)] <= nowUs;
    }
}
