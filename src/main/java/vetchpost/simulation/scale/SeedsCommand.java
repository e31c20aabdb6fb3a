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

/** The command {@code scale seeds}: cuts, kills, restarts and takeovers of writers, drawn from seeds. */
@Command(
        name = "seeds",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Plays changes of a configuration under cuts, kills and restarts over hollow nodes, "
                + "and holds "
                + "each node to what was written.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:nothing broken", "1:something is", "2:bad arguments"})
final class SeedsCommand implements Callable<Integer> {
    private static final int MAX_SEEDS_AND_NODES = 100_000;
    private static final int MAX_VIOLATIONS_SHOWN = 20;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "100",
            description = "Plays seeds 1 to N (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--nodes", paramLabel = "N", defaultValue = "50", description = "Hollow nodes (${DEFAULT-VALUE}).")
    private int nodes;

    @Override
    public Integer call() {
        if (seeds < 1 || seeds > MAX_SEEDS_AND_NODES || nodes < 1 || nodes > MAX_SEEDS_AND_NODES) {
            throw new ParameterException(
                    spec.commandLine(), "--seeds and --nodes are from 1 to " + MAX_SEEDS_AND_NODES);
        }
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        AtomicLong done = new AtomicLong();
        boolean watched = System.console() != null;
        List<String> broken = LongStream.rangeClosed(1, seeds)
                .parallel()
                .boxed()
                .flatMap(seed -> {
                    List<String> of =
                            SeedRunException.withSeed(
                                            seed, () -> ReplicationRun.runSeed(seed, nodes, ReplicaFactory.DEFAULT))
                                    .stream()
                                    .map(b -> "seed " + seed + ": " + b.rule() + ": " + b.details())
                                    .toList();
                    if (watched) {
                        err.print("\r" + done.incrementAndGet() + " of " + seeds + " seeds");
                        err.flush();
                    }
                    return of.stream();
                })
                .toList();
        broken.stream().limit(MAX_VIOLATIONS_SHOWN).forEach(out::println);
        out.println(seeds + " seeds over " + nodes + " nodes, " + broken.size() + " times a rule was broken");
        out.flush();
        return broken.isEmpty() ? 0 : 1;
    }
}
