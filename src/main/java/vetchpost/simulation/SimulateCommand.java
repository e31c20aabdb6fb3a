package vetchpost.simulation;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.node.NodeHooks;
import vetchpost.simulation.world.NodeProcess;

/** The command {@code simulate}. Exit codes: 0 no rule broken, 1 some run breaks a rule, 2 bad arguments. */
@Command(
        name = "simulate",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Runs the node's own network code on a virtual clock and network, with clients, "
                    + "servers, discovery and faults drawn from a seed, and checks the rules after every step.",
            "The same seed gives the same run, and the same digest, every time."
        },
        footer = {
            "",
            "Examples:",
            "  simulate --seeds 1..500",
            "  simulate --seed 17 --trace seed-17.txt",
            "  simulate --seed 17 --shrink > small.txt && simulate --script small.txt",
            "  simulate --nodes 14 --seeds 1..100"
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:no rule broken", "1:some run breaks a rule", "2:bad arguments or script"})
public final class SimulateCommand implements Callable<Integer> {
    private static final NodeProcess.Setup NO_FAULTS = loop -> NodeHooks.NONE;
    private static final long MAX_SEEDS = 10_000_000;
    private static final int MAX_NODES = 2_048;
    private static final long PROGRESS_INTERVAL_NS = 1_000_000_000L;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seeds", paramLabel = "A..B", description = "Runs these seeds.")
    private String seeds;

    @Option(
            names = "--seed",
            paramLabel = "N",
            description = "Runs one seed: rule, time, the events just before, and the digest of all events.")
    private Long seed;

    @Option(names = "--script", paramLabel = "FILE", description = "Runs the scenario of a script.")
    private Path script;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            description = "Draws plans with this many nodes, 1 to 2048, 41 to 60 servers and large faults.")
    private Integer nodes;

    @Option(
            names = "--jobs",
            paramLabel = "N",
            description = "Runs this many seeds at a time, 1 to 1024; one per core by default.")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Option(names = "--trace", paramLabel = "FILE", description = "Writes all events of the run to this file.")
    private Path trace;

    @Option(
            names = "--recovery",
            description = {
                "Nodes keep snapshots and ask each other for state at a start;",
                "half of the later starts have no server list."
            })
    private boolean recovery;

    @Option(names = "--admission", description = "Requests pass admission control (docs/admission.md).")
    private boolean admission;

    @Option(names = "--shrink", description = "Prints the smallest script found that breaks the same rule.")
    private boolean shrink;

    @Option(names = "--print", description = "Prints the script of the seed and runs nothing.")
    private boolean print;

    private final boolean showsProgress;
    private long lastProgressNs;

    /** Shows progress on a terminal only, so that redirected output has results alone. */
    public SimulateCommand() {
        this(System.console() != null);
    }

    SimulateCommand(boolean showsProgress) {
        this.showsProgress = showsProgress;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        int inputs = (seeds == null ? 0 : 1) + (seed == null ? 0 : 1) + (script == null ? 0 : 1);
        if (inputs != 1) {
            throw usageError("give exactly one of --seeds, --seed and --script");
        }
        if (nodes != null && (nodes < 1 || nodes > MAX_NODES)) {
            throw usageError("--nodes must be from 1 to " + MAX_NODES);
        }
        if (nodes != null && script != null) {
            throw usageError("--nodes can't be used with --script: set 'nodes' in the script");
        }
        if (jobs < 1 || jobs > 1_024) {
            throw usageError("--jobs must be from 1 to 1024");
        }
        return seeds != null ? runMany() : runOne(plan());
    }

    private ParameterException usageError(String problem) {
        return new ParameterException(spec.commandLine(), problem);
    }

    private Plan plan() throws IOException {
        if (script == null) {
            return planOf(seed);
        }
        try {
            return PlanText.parse(Files.readAllLines(script, StandardCharsets.UTF_8));
        } catch (PlanText.ScriptException e) {
            throw usageError(script + ", " + e.getMessage());
        } catch (IOException e) {
            throw usageError(script + " can't be read: " + e);
        }
    }

    private Plan planOf(long planSeed) {
        return nodes == null ? Plan.of(planSeed) : Plan.ofManyNodes(planSeed, nodes);
    }

    private NodeProcess.Setup setup(Plan plan) {
        NodeProcess.Setup setup = recovery ? StateKeepingNodes.of(plan) : NO_FAULTS;
        return admission ? new AdmissionControlledNodes(setup) : setup;
    }

    private Result run(Plan plan) {
        return Simulation.run(plan, setup(plan), null);
    }

    private int runOne(Plan plan) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        if (print) {
            out.print(PlanText.write(plan));
            out.flush();
            return 0;
        }
        Result result;
        if (trace == null) {
            result = run(plan);
        } else {
            try (PrintWriter file = new PrintWriter(Files.newBufferedWriter(trace, StandardCharsets.UTF_8))) {
                result = Simulation.run(plan, setup(plan), file);
            }
        }
        if (shrink && !result.isGood()) {
            Shrinker shrinker = new Shrinker(this::run, result.violation().rule());
            Plan shrunk = shrinker.shrink(plan);
            out.println("# breaks " + result.violation().rule() + ", found in " + shrinker.runs() + " runs");
            out.print(PlanText.write(shrunk));
            out.flush();
            return 1;
        }
        if (!result.isGood()) {
            out.println("events just before the broken rule:");
            result.precedingEvents().forEach(line -> out.println("  " + line));
        }
        out.println(verdict(result));
        out.printf(
                Locale.ROOT,
                "digest %s, %d events, %.3f simulated s, %d requests, %d of %d operations " + "served%n",
                result.digest(),
                result.events(),
                result.simulatedNs() / 1e9,
                result.requestsSent(),
                result.served(),
                result.operations());
        out.flush();
        return result.isGood() ? 0 : 1;
    }

    private static String verdict(Result result) {
        return result.isGood()
                ? "seed " + result.seed() + ": no rule broken"
                : String.format(
                        Locale.ROOT,
                        "seed %d: broken at %.6f s: %s: %s",
                        result.seed(),
                        result.violation().atNs() / 1e9,
                        result.violation().rule().statement(),
                        result.violation().description());
    }

    private int runMany() throws InterruptedException {
        if (trace != null || shrink || print) {
            throw usageError("--trace, --shrink and --print need --seed or --script");
        }
        String[] bounds = seeds.matches("\\d{1,15}\\.\\.\\d{1,15}") ? seeds.split("\\.\\.") : null;
        if (bounds == null
                || Long.parseLong(bounds[1]) < Long.parseLong(bounds[0])
                || Long.parseLong(bounds[1]) - Long.parseLong(bounds[0]) >= MAX_SEEDS) {
            throw usageError("--seeds must be A..B with A not above B, at most " + MAX_SEEDS + " seeds");
        }
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        SeedRuns runs = new SeedRuns(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]), jobs, n -> run(planOf(n)));
        long startedNs = System.nanoTime();
        lastProgressNs = startedNs;
        runs.run((done, total, failed) -> {
            if (showsProgress && (System.nanoTime() - lastProgressNs > PROGRESS_INTERVAL_NS || done == total)) {
                lastProgressNs = System.nanoTime();
                err.printf("\r%d of %d seeds, %d failed", done, total, failed);
                err.flush();
            }
        });
        double wallSeconds = (System.nanoTime() - startedNs) / 1e9;
        if (showsProgress) {
            err.println();
            err.flush();
        }
        for (Map.Entry<Long, Result> each : runs.failed().entrySet()) {
            out.println(verdict(each.getValue()));
        }
        runs.thrown()
                .forEach((n, thrown) -> out.println("seed " + n + ": the run threw " + thrown + ", at "
                        + (thrown.getStackTrace().length == 0 ? "an unknown place" : thrown.getStackTrace()[0])));
        out.println(runs.summary());
        out.printf(
                Locale.ROOT,
                "%.1f s on %d threads, %.0f simulated s per second and thread%n",
                wallSeconds,
                jobs,
                runs.simulatedSeconds() / wallSeconds / jobs);
        out.flush();
        return runs.haveAllPassed() ? 0 : 1;
    }
}
