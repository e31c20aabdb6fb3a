package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongFunction;

/** Runs many seeds of a test on all cores. */
final class Seeds {
    private Seeds() {}

    /** Runs the seeds from 1 on; fails with the seeds and violations if any rule is broken. */
    static void assertNoViolations(int seeds, LongFunction<Result> run) throws InterruptedException {
        SeedRuns runs = new SeedRuns(1, seeds, Runtime.getRuntime().availableProcessors(), run);
        runs.run((done, of, failed) -> {});
        System.out.println(runs.summary());
        assertTrue(
                runs.failed().isEmpty(),
                () -> runs.failed().values().stream()
                        .map(r -> "seed " + r.seed() + " " + r.violation())
                        .toList()
                        .toString());
    }
}
