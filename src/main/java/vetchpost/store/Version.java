package vetchpost.store;

/**
 * The position of a change in the order of all changes: the epoch of its writer, then its number within the epoch.
 * The changes of a writer that was replaced thus always come before those of its successor. A version is stored in
 * 63 bits of a long, and versions compare as longs do. Stateless.
 */
public final class Version {
    /** The version before all changes. */
    public static final long NONE = 0;
    /** Enough for a trillion changes of one writer. */
    private static final int NUMBER_BITS = 40;
    /** Epochs are below this. */
    public static final long EPOCH_LIMIT = 1L << 63 - NUMBER_BITS;

    private static final long NUMBER_LIMIT = 1L << NUMBER_BITS;

    private Version() {}

    /**
     * The version of a change.
     *
     * @param epoch of the writer, from 0 to below {@link #EPOCH_LIMIT}
     * @param number of the change within the epoch, 0 or more and below 2^40
     * @throws IllegalArgumentException if either is out of range
     */
    public static long of(long epoch, long number) {
        if (epoch < 0 || epoch >= EPOCH_LIMIT || number < 0 || number >= NUMBER_LIMIT) {
            throw new IllegalArgumentException("out of range: epoch " + epoch + ", number " + number);
        }
        return epoch << NUMBER_BITS | number;
    }

    /** The epoch of a version. */
    public static long epoch(long version) {
        return version >>> NUMBER_BITS;
    }

    /** The number of a version within its epoch. */
    public static long number(long version) {
        return version & NUMBER_LIMIT - 1;
    }

    /** A version as {@code EPOCH.NUMBER}, for messages. */
    public static String format(long version) {
        return epoch(version) + "." + number(version);
    }
}
