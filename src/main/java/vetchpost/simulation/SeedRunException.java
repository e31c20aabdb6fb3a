package vetchpost.simulation;

import java.util.function.Supplier;

/** An exception of a run. Its message names the seed, so that the run can be repeated. */
public final class SeedRunException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private SeedRunException(long seed, Throwable cause) {
        super("seed " + seed + ": the run threw " + cause, cause);
    }

    /** Runs the supplier and wraps whatever it throws in an exception that names the seed. */
    public static <T> T withSeed(long seed, Supplier<T> run) {
        try {
            return run.get();
        } catch (RuntimeException | Error e) {
            throw new SeedRunException(seed, e);
        }
    }
}
