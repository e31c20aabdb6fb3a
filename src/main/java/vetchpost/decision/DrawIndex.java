package vetchpost.decision;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Members to be drawn by the paper's weights, in a time that does not grow with their number. A weight is the
 * member's size times {@code ceil(E / (1 + errors))}, where E, {@code floor((1 + most errors)^1.5)}, is the
 * same for all: a change of E would change every weight. So members lie in buckets of one count of errors and
 * of sizes that differ by less than twice; a bucket is drawn by its sum, and its member by rejection, with
 * two tries on average at most. A member moves in constant time but for the number of buckets, which is that
 * of the different counts at hand: one in a healthy fleet, some dozens in a failing one.
 * docs/large-fleets.md has what else was weighed.
 *
 * @param <M> what is drawn
 */
final class DrawIndex<M extends DrawIndex.Member> {
    /** Indexes that a member can be in at once. */
    static final int MAX_INDEXES_PER_MEMBER = 4;
    /** So many buckets stay when they are empty: their kind comes again soon. */
    private static final int MIN_RETAINED_BUCKETS = 8;

    private final int slot;
    private Bucket<M>[] buckets = newBuckets(4);
    private double[] cumulativeWeights = new double[4];
    private int bucketCount;
    private int memberCount;
    private boolean weightsOutdated = true;
    private double cumulativeWeightScale;
    private int maxErrors;
    private double weightScale = 1;

    /** What can be drawn. Errors and size change only while it is in no index, or before it is put anew. */
    abstract static class Member {
        /** Failures since the last success. */
        int errors;
        /** Its part in the weight, finite and above 0. */
        double size = 1;

        final Bucket<?>[] buckets = new Bucket<?>[MAX_INDEXES_PER_MEMBER];
        final int[] bucketPositions = new int[MAX_INDEXES_PER_MEMBER];
        final double[] indexedSizes = new double[MAX_INDEXES_PER_MEMBER];
    }

    /** Members of one count of errors, with sizes above half of {@code top} and up to it. */
    private static final class Bucket<M extends Member> {
        final int errors;
        final double maxSize;
        Member[] members = new Member[4];
        int count;
        double totalSize;

        Bucket(int errors, double top) {
            this.errors = errors;
            this.maxSize = top;
        }

        @SuppressWarnings("unchecked")
        M get(int i) {
            return (M) members[i];
        }
    }

    /** Nobody yet; {@code place} tells it from the others that its members are in, from 0. */
    DrawIndex(int place) {
        this.slot = place;
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static <M extends Member> Bucket<M>[] newBuckets(int length) {
        return new Bucket[length];
    }

    int size() {
        return memberCount;
    }

    /** The largest power of two under which sizes of its bucket lie, or reach. */
    private static double maxSizeOfBucket(double size) {
        double power = Math.scalb(1.0, Math.getExponent(size));
        return size > power ? 2 * power : power;
    }

    /** Takes a member in, or to where it belongs by now. */
    void put(M member) {
        Bucket<?> old = member.buckets[slot];
        if (old != null && old.errors == member.errors && member.indexedSizes[slot] == member.size) {
            return;
        }
        remove(member);
        Bucket<M> bucket = bucket(member.errors, maxSizeOfBucket(member.size));
        if (bucket.count == bucket.members.length) {
            bucket.members = Arrays.copyOf(bucket.members, 2 * bucket.count);
        }
        member.buckets[slot] = bucket;
        member.bucketPositions[slot] = bucket.count;
        member.indexedSizes[slot] = member.size;
        bucket.members[bucket.count++] = member;
        bucket.totalSize += member.size;
        memberCount++;
        weightsOutdated = true;
    }

    private Bucket<M> bucket(int errors, double top) {
        for (int i = 0; i < bucketCount; i++) {
            if (buckets[i].errors == errors && buckets[i].maxSize == top) {
                return buckets[i];
            }
        }
        if (bucketCount == buckets.length) {
            buckets = Arrays.copyOf(buckets, 2 * bucketCount);
            cumulativeWeights = new double[2 * bucketCount];
        }
        buckets[bucketCount] = new Bucket<>(errors, top);
        return buckets[bucketCount++];
    }

    /** Without effect on who is not in it. */
    void remove(M member) {
        Bucket<?> bucket = member.buckets[slot];
        if (bucket == null) {
            return;
        }
        Member last = bucket.members[--bucket.count];
        bucket.members[bucket.count] = null;
        if (last != member) {
            bucket.members[member.bucketPositions[slot]] = last;
            last.bucketPositions[slot] = member.bucketPositions[slot];
        }
        bucket.totalSize -= member.indexedSizes[slot];
        member.buckets[slot] = null;
        memberCount--;
        weightsOutdated = true;
        if (bucket.count == 0) {
            bucket.totalSize = 0;
            discardIfSurplus(bucket);
        }
    }

    private void discardIfSurplus(Bucket<?> empty) {
        for (int i = 0; i < bucketCount && bucketCount > MIN_RETAINED_BUCKETS; i++) {
            if (buckets[i] == empty) {
                buckets[i] = buckets[--bucketCount];
                buckets[bucketCount] = null;
                return;
            }
        }
    }

    /** The paper's E of the members in it. */
    double weightScale() {
        int most = 0;
        for (int i = 0; i < bucketCount; i++) {
            most = buckets[i].count > 0 ? Math.max(most, buckets[i].errors) : most;
        }
        if (most != maxErrors) {
            maxErrors = most;
            weightScale = Math.floor(StrictMath.pow(1 + (double) most, 1.5));
        }
        return weightScale;
    }

    /** The paper's weight for one unit of size. */
    private static double weight(int errors, double largestEffect) {
        return Math.ceil(largestEffect / (1 + (double) errors));
    }

    private void updateCumulativeWeights(double largestEffect) {
        double sum = 0;
        for (int i = 0; i < bucketCount; i++) {
            sum += buckets[i].totalSize * weight(buckets[i].errors, largestEffect);
            cumulativeWeights[i] = sum;
        }
        weightsOutdated = false;
        cumulativeWeightScale = largestEffect;
    }

    /** One of them by weight, or null if there is none. */
    M draw(SplittableRandom random, double largestEffect) {
        if (memberCount == 0) {
            return null;
        }
        if (weightsOutdated || cumulativeWeightScale != largestEffect) {
            updateCumulativeWeights(largestEffect);
        }
        double at = random.nextDouble() * cumulativeWeights[bucketCount - 1];
        int i = 0;
        while (i < bucketCount - 1 && cumulativeWeights[i] <= at) {
            i++;
        }
        while (buckets[i].count == 0) {
            i--; // Rounded up to the sum of all, past the last that is not empty.
        }
        Bucket<M> bucket = buckets[i];
        M drawn = bucket.get(random.nextInt(bucket.count));
        while (drawn.size < bucket.maxSize && random.nextDouble() * bucket.maxSize >= drawn.size) {
            drawn = bucket.get(random.nextInt(bucket.count));
        }
        return drawn;
    }

    /**
     * One of those that fit, by weight, or null: all are looked at if they are no more than {@code most},
     * else so many in a row, from anywhere.
     */
    M drawAmong(int most, SplittableRandom random, double largestEffect, Predicate<M> fits) {
        int skip = memberCount <= most ? 0 : random.nextInt(memberCount);
        int i = 0;
        while (skip > 0 && skip >= buckets[i].count) {
            skip -= buckets[i++].count;
        }
        M drawn = null;
        double total = 0;
        for (int looked = 0; looked < Math.min(most, memberCount); looked++, skip++) {
            while (skip >= buckets[i].count) {
                skip = 0;
                i = (i + 1) % bucketCount;
            }
            M member = buckets[i].get(skip);
            if (fits.test(member)) {
                double weight = member.size * weight(member.errors, largestEffect);
                total += weight;
                drawn = random.nextDouble() * total < weight ? member : drawn;
            }
        }
        return drawn;
    }
}
