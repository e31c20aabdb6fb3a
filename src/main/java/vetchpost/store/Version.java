package vetchpost.store;

/**
 * A place in the order of changes. A writer's epoch comes before its numbers, so that a writer that was
 * replaced can't come before the one in its place. Kept as one number of 63 bits, by which versions compare.
 */
public final class Version {
    /** Before all changes. */
    public static final long NONE = 0;
    /** A trillion changes of one writer. */
    private static final int NUMBER_BITS = 40;
    /** Over the largest epoch. */
    public static final long EPOCH_LIMIT = 1L << 63 - NUMBER_BITS;

    private static final long NUMBER_LIMIT = 1L << NUMBER_BITS;

    private Version() {}

    /** The version of a writer's change. */
    public static long of(long epoch, long number) {
        if (epoch < 0 || epoch >= EPOCH_LIMIT || number < 0 || number >= NUMBER_LIMIT) {
            throw new IllegalArgumentException("epoch " + epoch + ", number " + number);
        }
        return epoch << NUMBER_BITS | number;
    }

    /** Of which writer it is. */
    public static long epoch(long version) {
        return version >>> NUMBER_BITS;
    }

    /** The how many-th change of its writer. */
    public static long number(long version) {
        return version & NUMBER_LIMIT - 1;
    }

    /** For people: epoch and number. */
    public static String format(long version) {
        return epoch(version) + "." + number(version);
    }
}
