package vetchpost.simulation;

import java.util.function.Supplier;

/** A run of a seed that threw: it names the seed, so that it can be played again. */
public final class SeedRunException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private SeedRunException(long seed, Throwable cause) {
        super("seed " + seed + ": the run threw " + cause, cause);
    }

    /** Plays a seed; what it throws comes out with the seed's name, and fails whoever plays it. */
    public static <T> T withSeed(long seed, Supplier<T> run) {
        try {
            return run.get();
        } catch (RuntimeException | Error e) {
            throw new SeedRunException(seed, e);
        }
    }
}
