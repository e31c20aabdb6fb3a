package vetchpost.simulation.scale;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.simulation.SeedRunException;
import vetchpost.simulation.scale.ReplicationRun.ReplicaFactory;

/**
 * The command {@code scale seeds}: simulates replication under isolated regions, restarts and writer takeovers, all
 * drawn from seeds. Seeds run in parallel on the common pool.
 */
@Command(
        name = "seeds",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Simulates configuration changes on lightweight nodes under network faults and restarts, "
                + "and compares "
                + "each node with what was written.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:no rule broken", "1:some run breaks a rule", "2:bad arguments"})
final class SeedsCommand implements Callable<Integer> {
    private static final int MAX_SEEDS_AND_NODES = 100_000;
    private static final int MAX_VIOLATIONS_SHOWN = 20;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "100",
            description = "Runs seeds 1 to N (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "50",
            description = "Lightweight nodes (${DEFAULT-VALUE}).")
    private int nodes;

    @Override
    public Integer call() {
        if (seeds < 1 || seeds > MAX_SEEDS_AND_NODES || nodes < 1 || nodes > MAX_SEEDS_AND_NODES) {
            throw new ParameterException(
                    spec.commandLine(), "--seeds and --nodes must be from 1 to " + MAX_SEEDS_AND_NODES);
        }
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        AtomicLong finishedSeeds = new AtomicLong();
        boolean showsProgress = System.console() != null;
        List<String> violations = LongStream.rangeClosed(1, seeds)
                .parallel()
                .boxed()
                .flatMap(seed -> {
                    List<String> seedViolations =
                            SeedRunException.withSeed(
                                            seed, () -> ReplicationRun.runSeed(seed, nodes, ReplicaFactory.DEFAULT))
                                    .stream()
                                    .map(violation ->
                                            "seed " + seed + ": " + violation.rule() + ": " + violation.details())
                                    .toList();
                    if (showsProgress) {
                        err.print("\r" + finishedSeeds.incrementAndGet() + " of " + seeds + " seeds");
                        err.flush();
                    }
                    return seedViolations.stream();
                })
                .toList();
        violations.stream().limit(MAX_VIOLATIONS_SHOWN).forEach(out::println);
        out.println(seeds + " seeds over " + nodes + " nodes, " + violations.size() + " times a rule was broken");
        out.flush();
        return violations.isEmpty() ? 0 : 1;
    }
}
