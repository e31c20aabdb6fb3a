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

/** The command {@code simulate}. Exit codes: 0 no rule broken, 1 some seed breaks one, 2 bad arguments. */
@Command(
        name = "simulate",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Runs the node's own network code on a virtual clock and network, with clients, "
                    + "boxes, discovery and faults drawn from a seed, and checks the four rules after every step.",
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
            description = "So many nodes, 1 to 2048, before 40 to 60 servers, and what goes wrong then.")
    private Integer nodes;

    @Option(names = "--jobs", paramLabel = "N", description = "Runs so many seeds at a time; all cores if not said.")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Option(names = "--trace", paramLabel = "FILE", description = "Keeps all events of the one run.")
    private Path trace;

    @Option(
            names = "--recovery",
            description = {
                "Nodes keep what they know and ask each other at a start;",
                "half of later starts have no list."
            })
    private boolean recovery;

    @Option(names = "--admission", description = "Requests stand before the door (docs/admission.md).")
    private boolean admission;

    @Option(names = "--shrink", description = "Prints the smallest script found that breaks the same rule.")
    private boolean shrink;

    @Option(names = "--print", description = "Prints the script of the seed and runs nothing.")
    private boolean print;

    private final boolean showsProgress;
    private long lastProgressNs;

    /** Tells of progress on a terminal only: what is piped or kept in a file stays clean. */
    public SimulateCommand() {
        this(System.console() != null);
    }

    SimulateCommand(boolean watched) {
        this.showsProgress = watched;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        int ways = (seeds == null ? 0 : 1) + (seed == null ? 0 : 1) + (script == null ? 0 : 1);
        if (ways != 1) {
            throw usageError("give one of --seeds, --seed and --script");
        }
        if (nodes != null && (nodes < 1 || nodes > MAX_NODES)) {
            throw usageError("--nodes is not from 1 to " + MAX_NODES);
        }
        if (nodes != null && script != null) {
            throw usageError("--nodes goes with --seed or --seeds: a script says itself how many there are");
        }
        if (jobs < 1 || jobs > 1_024) {
            throw usageError("--jobs is not from 1 to 1024");
        }
        return seeds != null ? runMany() : runOne(plan());
    }

    private ParameterException usageError(String why) {
        return new ParameterException(spec.commandLine(), why);
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

    private Plan planOf(long of) {
        return nodes == null ? Plan.of(of) : Plan.ofManyNodes(of, nodes);
    }

    private NodeProcess.Setup setup(Plan plan) {
        NodeProcess.Setup nodes = recovery ? StateKeepingNodes.of(plan) : NO_FAULTS;
        return admission ? new AdmissionControlledNodes(nodes) : nodes;
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
            Plan small = shrinker.shrink(plan);
            out.println("# breaks " + result.violation().rule() + ", found in " + shrinker.runs() + " runs");
            out.print(PlanText.write(small));
            out.flush();
            return 1;
        }
        if (!result.isGood()) {
            out.println("the events just before:");
            result.precedingEvents().forEach(line -> out.println("  " + line));
        }
        out.println(verdict(result));
        out.printf(
                Locale.ROOT,
                "digest %s, %d events, %.3f simulated s, %d requests, %d of %d wants " + "served%n",
                result.digest(),
                result.events(),
                result.simulatedNs() / 1e9,
                result.requestsSent(),
                result.served(),
                result.wants());
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
            throw usageError("--trace, --shrink and --print want one --seed or --script");
        }
        String[] ends = seeds.matches("\\d{1,15}\\.\\.\\d{1,15}") ? seeds.split("\\.\\.") : null;
        if (ends == null
                || Long.parseLong(ends[1]) < Long.parseLong(ends[0])
                || Long.parseLong(ends[1]) - Long.parseLong(ends[0]) >= MAX_SEEDS) {
            throw usageError("--seeds is not A..B, two numbers in order, up to " + MAX_SEEDS + " of them");
        }
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        SeedRuns runs = new SeedRuns(Long.parseLong(ends[0]), Long.parseLong(ends[1]), jobs, n -> run(planOf(n)));
        long began = System.nanoTime();
        lastProgressNs = began;
        runs.run((done, of, failed) -> {
            if (showsProgress && (System.nanoTime() - lastProgressNs > PROGRESS_INTERVAL_NS || done == of)) {
                lastProgressNs = System.nanoTime();
                err.printf("\r%d of %d seeds, %d failed", done, of, failed);
                err.flush();
            }
        });
        double wall = (System.nanoTime() - began) / 1e9;
        if (showsProgress) {
            err.println();
            err.flush();
        }
        for (Map.Entry<Long, Result> each : runs.failed().entrySet()) {
            out.println(verdict(each.getValue()));
        }
        runs.thrown()
                .forEach((n, fault) -> out.println("seed " + n + ": the run threw " + fault + ", at "
                        + (fault.getStackTrace().length == 0 ? "a place not known" : fault.getStackTrace()[0])));
        out.println(runs.summary());
        out.printf(
                Locale.ROOT,
                "%.1f s on %d threads, %.0f simulated s a second and thread%n",
                wall,
                jobs,
                runs.simulatedSeconds() / wall / jobs);
        out.flush();
        return runs.haveAllPassed() ? 0 : 1;
    }
}
