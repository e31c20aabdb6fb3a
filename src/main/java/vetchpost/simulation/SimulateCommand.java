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
    private static final NodeProcess.Setup NONE = loop -> NodeHooks.NONE;
    private static final long MOST_SEEDS = 10_000_000;
    private static final int MOST_NODES = 2_048;
    private static final long PROGRESS_NS = 1_000_000_000L;

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

    private final boolean watched;
    private long saidNs;

    /** Tells of progress on a terminal only: what is piped or kept in a file stays clean. */
    public SimulateCommand() {
        this(System.console() != null);
    }

    SimulateCommand(boolean watched) {
        this.watched = watched;
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        int ways = (seeds == null ? 0 : 1) + (seed == null ? 0 : 1) + (script == null ? 0 : 1);
        if (ways != 1) {
            throw bad("give one of --seeds, --seed and --script");
        }
        if (nodes != null && (nodes < 1 || nodes > MOST_NODES)) {
            throw bad("--nodes is not from 1 to " + MOST_NODES);
        }
        if (nodes != null && script != null) {
            throw bad("--nodes goes with --seed or --seeds: a script says itself how many there are");
        }
        if (jobs < 1 || jobs > 1_024) {
            throw bad("--jobs is not from 1 to 1024");
        }
        return seeds != null ? many() : one(plan());
    }

    private ParameterException bad(String why) {
        return new ParameterException(spec.commandLine(), why);
    }

    private Plan plan() throws IOException {
        if (script == null) {
            return drawn(seed);
        }
        try {
            return PlanText.parse(Files.readAllLines(script, StandardCharsets.UTF_8));
        } catch (PlanText.Bad e) {
            throw bad(script + ", " + e.getMessage());
        } catch (IOException e) {
            throw bad(script + " can't be read: " + e);
        }
    }

    private Plan drawn(long of) {
        return nodes == null ? Plan.of(of) : Plan.many(of, nodes);
    }

    private NodeProcess.Setup planting(Plan plan) {
        NodeProcess.Setup nodes = recovery ? StateKeepingNodes.of(plan) : NONE;
        return admission ? new AdmissionControlledNodes(nodes) : nodes;
    }

    private Result run(Plan plan) {
        return Simulation.run(plan, planting(plan), null);
    }

    private int one(Plan plan) throws IOException {
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
                result = Simulation.run(plan, planting(plan), file);
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
                        result.violation().rule().words(),
                        result.violation().description());
    }

    private int many() throws InterruptedException {
        if (trace != null || shrink || print) {
            throw bad("--trace, --shrink and --print want one --seed or --script");
        }
        String[] ends = seeds.matches("\\d{1,15}\\.\\.\\d{1,15}") ? seeds.split("\\.\\.") : null;
        if (ends == null
                || Long.parseLong(ends[1]) < Long.parseLong(ends[0])
                || Long.parseLong(ends[1]) - Long.parseLong(ends[0]) >= MOST_SEEDS) {
            throw bad("--seeds is not A..B, two numbers in order, up to " + MOST_SEEDS + " of them");
        }
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        SeedRuns runs = new SeedRuns(Long.parseLong(ends[0]), Long.parseLong(ends[1]), jobs, n -> run(drawn(n)));
        long began = System.nanoTime();
        saidNs = began;
        runs.run((done, of, failed) -> {
            if (watched && (System.nanoTime() - saidNs > PROGRESS_NS || done == of)) {
                saidNs = System.nanoTime();
                err.printf("\r%d of %d seeds, %d failed", done, of, failed);
                err.flush();
            }
        });
        double wall = (System.nanoTime() - began) / 1e9;
        if (watched) {
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
        return runs.areGood() ? 0 : 1;
    }
}
