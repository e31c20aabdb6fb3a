package vetchpost.decision;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Draws members by the paper's weights, in a time that does not grow with their number. A weight is the member's size
 * times {@code ceil(E / (1 + errors))}, where E, {@code floor((1 + maximum errors)^1.5)}, is the same for all members,
 * so that a change of E would change every weight.
 *
 * <p>Members are therefore kept in buckets of one error count and of sizes that differ by less than a factor of two. A
 * bucket is drawn by its total weight and its member by rejection sampling, with at most two tries on average. A member
 * moves in constant time except for the number of buckets, which is the number of different error counts: one in a
 * healthy fleet, some dozens in a failing one. docs/large-fleets.md describes the alternatives.
 *
 * <p>Not thread-safe; {@link Fleet} and {@link ServiceQBalancer} use it on the balancer's thread.
 *
 * @param <M> type of the members
 */
final class DrawIndex<M extends DrawIndex.Member> {
    /** Indexes that a member can be in at once. */
    static final int MAX_INDEXES_PER_MEMBER = 4;
    /** Number of buckets up to which empty ones are kept, since members of their kind soon return. */
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

    /** A possible member. Errors and size change only while it is in no index, or before it is put again. */
    abstract static class Member {
        /** Failures since the last success. */
        int errors;
        /** Its size as a factor of the weight, finite and above 0. */
        double size = 1;

        final Bucket<?>[] buckets = new Bucket<?>[MAX_INDEXES_PER_MEMBER];
        final int[] bucketPositions = new int[MAX_INDEXES_PER_MEMBER];
        final double[] indexedSizes = new double[MAX_INDEXES_PER_MEMBER];
    }

    /** Members of one error count, with sizes above half of {@code maxSize} and up to it. */
    private static final class Bucket<M extends Member> {
        final int errors;
        final double maxSize;
        Member[] members = new Member[4];
        int count;
        double totalSize;

        Bucket(int errors, double maxSize) {
            this.errors = errors;
            this.maxSize = maxSize;
        }

        @SuppressWarnings("unchecked")
        M get(int i) {
            return (M) members[i];
        }
    }

    /**
     * Creates an empty index.
     *
     * @param slot number of the index among those that its members can be in, from 0
     */
    DrawIndex(int slot) {
        this.slot = slot;
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static <M extends Member> Bucket<M>[] newBuckets(int length) {
        return new Bucket[length];
    }

    int size() {
        return memberCount;
    }

    /** Returns the maximum size of the bucket for a size: the smallest power of two that is not below it. */
    private static double maxSizeOfBucket(double size) {
        double power = Math.scalb(1.0, Math.getExponent(size));
        return size > power ? 2 * power : power;
    }

    /** Adds a member, or moves it to the bucket of its current errors and size. */
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

    private Bucket<M> bucket(int errors, double maxSize) {
        for (int i = 0; i < bucketCount; i++) {
            if (buckets[i].errors == errors && buckets[i].maxSize == maxSize) {
                return buckets[i];
            }
        }
        if (bucketCount == buckets.length) {
            buckets = Arrays.copyOf(buckets, 2 * bucketCount);
            cumulativeWeights = new double[2 * bucketCount];
        }
        buckets[bucketCount] = new Bucket<>(errors, maxSize);
        return buckets[bucketCount++];
    }

    /** Removes a member; no effect if it is not in the index. */
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

    /** Returns the paper's E for the members of this index. */
    double weightScale() {
        int max = 0;
        for (int i = 0; i < bucketCount; i++) {
            max = buckets[i].count > 0 ? Math.max(max, buckets[i].errors) : max;
        }
        if (max != maxErrors) {
            maxErrors = max;
            weightScale = Math.floor(StrictMath.pow(1 + (double) max, 1.5));
        }
        return weightScale;
    }

    /** Returns the paper's weight per unit of size. */
    private static double weight(int errors, double weightScale) {
        return Math.ceil(weightScale / (1 + (double) errors));
    }

    private void updateCumulativeWeights(double weightScale) {
        double sum = 0;
        for (int i = 0; i < bucketCount; i++) {
            sum += buckets[i].totalSize * weight(buckets[i].errors, weightScale);
            cumulativeWeights[i] = sum;
        }
        weightsOutdated = false;
        cumulativeWeightScale = weightScale;
    }

    /**
     * Draws a member by weight; null if there is none.
     *
     * @param weightScale the paper's E
     */
    M draw(SplittableRandom random, double weightScale) {
        if (memberCount == 0) {
            return null;
        }
        if (weightsOutdated || cumulativeWeightScale != weightScale) {
            updateCumulativeWeights(weightScale);
        }
        double target = random.nextDouble() * cumulativeWeights[bucketCount - 1];
        int i = 0;
        while (i < bucketCount - 1 && cumulativeWeights[i] <= target) {
            i++;
        }
        while (buckets[i].count == 0) {
            i--; // Rounding selected the end of the table, past the last bucket that is not empty.
        }
        Bucket<M> bucket = buckets[i];
        M drawn = bucket.get(random.nextInt(bucket.count));
        while (drawn.size < bucket.maxSize && random.nextDouble() * bucket.maxSize >= drawn.size) {
            drawn = bucket.get(random.nextInt(bucket.count));
        }
        return drawn;
    }

    /**
     * Draws one of the members that match, by weight, or null. All members are scanned if there are no more than {@code
     * maxScanned}, else that many in a row from a random position.
     */
    M drawAmong(int maxScanned, SplittableRandom random, double weightScale, Predicate<M> matches) {
        int skip = memberCount <= maxScanned ? 0 : random.nextInt(memberCount);
        int i = 0;
        while (skip > 0 && skip >= buckets[i].count) {
            skip -= buckets[i++].count;
        }
        M drawn = null;
        double total = 0;
        for (int scanned = 0; scanned < Math.min(maxScanned, memberCount); scanned++, skip++) {
            while (skip >= buckets[i].count) {
                skip = 0;
                i = (i + 1) % bucketCount;
            }
            M member = buckets[i].get(skip);
            if (matches.test(member)) {
                double weight = member.size * weight(member.errors, weightScale);
                total += weight;
                drawn = random.nextDouble() * total < weight ? member : drawn;
            }
        }
        return drawn;
    }
}
