package vetchpost.simulation.scale;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.changes.RouteConfiguration;
import vetchpost.replication.Publisher;
import vetchpost.simulation.scale.LightweightFleet.Machine;
import vetchpost.simulation.scale.ReplicationRun.ReplicaFactory;
import vetchpost.store.PackedTree;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/** The command {@code scale run}: the size that is coming, on virtual time, each figure beside its budget. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Plays a day's bad minutes with the real code of replication in hollow nodes, which " + "share this",
            "process: an ordinary minute, a burst, a region cut off, a control machine lost, all control " + "machines",
            "restarted, a tenth of the nodes restarted at once, one that was set back and one with nothing."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:all within the budgets", "1:something is not", "2:bad arguments"})
final class RunCommand implements Callable<Integer> {
    private static final long SECOND_US = 1_000_000;
    private static final double MAX_CPU_CORE_FRACTION = 0.013;
    private static final double MAX_BYTES_PER_S = 23_000;
    private static final double MAX_RETAINED_BYTES = 128e6;
    private static final double MAX_PROPAGATION_DELAY_S = 4;
    private static final double BYTES_PER_MB = 1e6;
    /** Bytes that a change copies of a tree, as seen at the full size. */
    private static final double COPIED_BYTES_PER_CHANGE = 3_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "2200",
            description = "Hollow nodes (${DEFAULT-VALUE}).")
    private int nodes;

    @Option(
            names = "--controls",
            paramLabel = "N",
            defaultValue = "18",
            description = "Control machines (${DEFAULT-VALUE}).")
    private int controls;

    @Option(
            names = "--servers",
            paramLabel = "N",
            defaultValue = "200000",
            description = "Servers that the module of one node is told, in its pools (${DEFAULT-VALUE}).")
    private int servers;

    @Option(names = "--services", paramLabel = "N", defaultValue = "3700", description = "Services (${DEFAULT-VALUE}).")
    private int services;

    @Option(names = "--routes", paramLabel = "N", defaultValue = "220000", description = "Routes (${DEFAULT-VALUE}).")
    private int routes;

    @Option(names = "--tenants", paramLabel = "N", defaultValue = "420000", description = "Tenants (${DEFAULT-VALUE}).")
    private int tenants;

    @Option(
            names = "--changes",
            paramLabel = "X",
            defaultValue = "0.57",
            description = "Changes a second (${DEFAULT-VALUE}).")
    private double changesPerS;

    @Option(
            names = "--burst",
            paramLabel = "N",
            defaultValue = "1000",
            description = "Changes that are entered at once, in ten batches (${DEFAULT-VALUE}).")
    private int burst;

    @Option(
            names = "--cut",
            paramLabel = "SECONDS",
            defaultValue = "300",
            description = "For how long a region is cut off (${DEFAULT-VALUE}).")
    private int isolationS;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Draws it all (${DEFAULT-VALUE}).")
    private long seed;

    private PrintWriter out;
    private int missedBudgets;

    @Override
    public Integer call() {
        if (nodes < 8
                || nodes > 100_000
                || controls < 4
                || controls > 1_000
                || routes < 10
                || services < 1
                || tenants < 0
                || burst < 10
                || isolationS < 1
                || !(changesPerS > 0 && changesPerS <= 1_000)
                || servers < 1) {
            throw new ParameterException(
                    spec.commandLine(),
                    "there are 8 nodes or more, 4 control machines or more, 10 "
                            + "routes or more, a service or more, and a burst of 10 or more");
        }
        // Nodes begin with the same tree, and keep what each change copies of it.
        double needs = 1e9 + (double) nodes * (burst + changesPerS * (isolationS + 300)) * COPIED_BYTES_PER_CHANGE;
        if (needs > Runtime.getRuntime().maxMemory()) {
            throw new ParameterException(
                    spec.commandLine(),
                    String.format(
                            Locale.ROOT,
                            "that takes a heap of some " + "%.0f GB, and this one has %.1f: java -Xmx%.0fg -jar ...",
                            Math.ceil(needs / 1e9),
                            Runtime.getRuntime().maxMemory() / 1e9,
                            Math.ceil(needs / 1e9)));
        }
        out = spec.commandLine().getOut();
        long began = System.nanoTime();
        ConfigurationGenerator drawn = new ConfigurationGenerator(seed, services, tenants);
        RouteConfiguration start = drawn.generate(routes);
        report(
                began,
                String.format(
                        Locale.ROOT,
                        "%,d entries of %.1f MB, and %.1f MB to find routes by",
                        start.store().live().size(),
                        start.store().live().retainedBytes() / BYTES_PER_MB,
                        start.indexBytes() / BYTES_PER_MB));
        ReplicationRun run = new ReplicationRun(
                seed,
                drawn,
                start,
                controls,
                nodes,
                new Publisher.Budget(18_000, 4_000, 4_000_000, 400),
                ReplicaFactory.DEFAULT,
                false);
        playPhases(run, start, began);
        printRetainedBytes(run);
        printServerListCost();
        run.violations().stream().limit(20).forEach(b -> out.println("BROKEN " + b.rule() + ": " + b.details()));
        missedBudgets += run.violations().size();
        out.printf(
                Locale.ROOT,
                "%s%n",
                missedBudgets == 0 ? "all within the budgets" : missedBudgets + " times not within the budgets");
        out.flush();
        return missedBudgets == 0 ? 0 : 1;
    }

    private void report(long began, String what) {
        out.printf(Locale.ROOT, "%6.1f s  %s%n", (System.nanoTime() - began) / 1e9, what);
        out.flush();
    }

    private void playPhases(ReplicationRun run, RouteConfiguration start, long began) {
        LightweightFleet hollow = run.fleet();
        hollow.runUntil(5 * SECOND_US);
        playPhase(
                run,
                began,
                "an ordinary minute, " + changesPerS + " changes a second",
                60,
                () -> run.scheduleChanges(changesPerS, hollow.nowUs() + 56 * SECOND_US));
        playPhase(run, began, "a burst of " + burst + " changes", 15, () -> {
            for (int i = 0; i < 10; i++) {
                run.submitBatch(burst / 10);
            }
        });
        playPhase(run, began, "a control machine lost", 40, () -> {
            run.scheduleChanges(changesPerS, hollow.nowUs() + 30 * SECOND_US);
            run.restart(run.controls().get(1), 30 * SECOND_US, null);
        });
        List<Machine> away = run.nodes().stream().filter(n -> n.region() == 1).toList();
        long healed = hollow.nowUs() + isolationS * SECOND_US;
        run.setIsolated(1, true);
        run.scheduleChanges(changesPerS, healed);
        hollow.runUntil(healed);
        run.setIsolated(1, false);
        long[] caughtUpUs = {-1};
        watchCatchUp(run, away, caughtUpUs);
        playPhase(run, began, "a region back after " + isolationS + " s", 60, () -> {});
        out.printf(
                Locale.ROOT,
                "          its %d nodes had all that they missed %.1f s after the healing%n",
                away.size(),
                (caughtUpUs[0] - healed) / 1e6);
        playPhase(run, began, "all control machines restarted", 40, () -> {
            run.controls().forEach(c -> run.restart(c, 2 * SECOND_US, null));
            run.scheduleChanges(changesPerS, hollow.nowUs() + 30 * SECOND_US);
        });
        playPhase(run, began, "a tenth of the nodes restarted at once", 40, () -> {
            for (int i = 0; i < run.nodes().size(); i += 10) {
                run.restart(run.nodes().get(i), SECOND_US, null);
            }
        });
        Machine setBack = run.nodes().get(3);
        run.restart(setBack, SECOND_US, start);
        hollow.runUntil(hollow.nowUs() + 60 * SECOND_US);
        out.printf(
                Locale.ROOT,
                "          one that was set back to the beginning is %s%n",
                setBack.replica().store().version() == run.writer().store().version()
                        ? "at the newest again"
                        : "still behind, at "
                                + Version.format(setBack.replica().store().version()) + " of "
                                + Version.format(run.writer().store().version()) + ", refused "
                                + setBack.replica().rejectedCount());
        playLostEntries(run, run.nodes().get(7));
        Machine bare = run.nodes().get(4);
        long bareUs = hollow.nowUs();
        run.restart(bare, 1, RouteConfiguration.empty(ConfigurationGenerator.settings()));
        hollow.runUntil(bareUs + SECOND_US);
        while (bare.replica().store().version() != run.writer().store().version()
                && hollow.nowUs() < bareUs + 7_200 * SECOND_US) {
            hollow.runUntil(hollow.nowUs() + 5 * SECOND_US);
        }
        long bytes = bare.usage().sumBytes(bareUs, hollow.nowUs());
        out.printf(
                Locale.ROOT,
                "          one with nothing had all %,.0f s later, for %.1f MB%n",
                (hollow.nowUs() - bareUs) / 1e6,
                bytes / BYTES_PER_MB);
        List<String> behind = run.laggingMachines();
        printFigure("machines that are not at the newest in the end", behind.size(), 0, "%.0f");
        behind.stream().limit(5).forEach(b -> out.println("          " + b));
    }

    /** A node whose disk has lost some entries, and says that it has all. */
    private void playLostEntries(ReplicationRun run, Machine node) {
        VersionedStore whole = node.replica().store();
        PackedTree live = whole.live();
        long lost = Math.min(100, live.size() / 10);
        for (long i = 0; i < lost; i++) {
            live = live.remove(live.at(i * 7_919 % live.size()).key());
        }
        long fromUs = run.fleet().nowUs();
        run.restart(
                node,
                1,
                VersionedStore.of(live, whole.version()),
                node.replica().index());
        run.fleet().runUntil(fromUs + SECOND_US);
        while (!node.replica().store().live().sum().equals(whole.live().sum())
                && run.fleet().nowUs() < fromUs + 600 * SECOND_US) {
            run.fleet().runUntil(run.fleet().nowUs() + SECOND_US);
        }
        out.printf(
                Locale.ROOT,
                "          one that had lost %d entries and did not know had them %.0f s "
                        + "later, for "
                        + "%.2f MB%n",
                lost,
                (run.fleet().nowUs() - fromUs) / 1e6,
                node.usage().sumBytes(fromUs, run.fleet().nowUs() + SECOND_US) / BYTES_PER_MB);
    }

    private void watchCatchUp(ReplicationRun run, List<Machine> away, long[] caughtUpUs) {
        run.fleet().schedule(run.fleet().nowUs() + 50_000, () -> {
            long version = run.writer().store().version();
            if (away.stream().allMatch(n -> n.replica().store().version() >= version)) {
                caughtUpUs[0] = run.fleet().nowUs();
            } else {
                watchCatchUp(run, away, caughtUpUs);
            }
        });
    }

    /** Plays a while and tells what it came to, each figure beside its budget. */
    private void playPhase(ReplicationRun run, long began, String what, int seconds, Runnable begin) {
        LightweightFleet hollow = run.fleet();
        long fromUs = (hollow.nowUs() / SECOND_US + 1) * SECOND_US;
        hollow.runUntil(fromUs);
        run.propagationDelaysUs().clear();
        run.setMeasuring(true);
        begin.run();
        long toUs = fromUs + seconds * SECOND_US;
        hollow.runUntil(toUs);
        run.setMeasuring(false);
        report(began, what + ", " + seconds + " s");
        if (!run.propagationDelaysUs().isEmpty()) {
            List<Long> delays = new ArrayList<>(run.propagationDelaysUs());
            Collections.sort(delays);
            out.printf(
                    Locale.ROOT,
                    "          from entry to force at a node: p50 %.3f s, p99 %.3f s%n",
                    percentileS(delays, 0.5),
                    percentileS(delays, 0.99));
            if (!what.startsWith("a region")) {
                printFigure(
                        "entry to force, the last node (s)", percentileS(delays, 1), MAX_PROPAGATION_DELAY_S, "%.3f");
            } else {
                out.printf(
                        Locale.ROOT,
                        "          changes made while it was cut off: at the last node %.1f " + "s%n",
                        percentileS(delays, 1));
            }
        }
        for (List<Machine> some : List.of(run.nodes(), run.controls())) {
            boolean isNode = some == run.nodes();
            String who = isNode ? "node" : "control machine";
            printFigure(
                    "bytes a second of a " + who + ", mean over all",
                    mean(some, m -> m.usage().sumBytes(fromUs, toUs)) / seconds,
                    isNode ? MAX_BYTES_PER_S : Double.NaN,
                    "%,.0f");
            printFigure(
                    "bytes of a " + who + " in its worst second",
                    max(some, m -> m.usage().maxBytesPerSecond(fromUs, toUs)),
                    isNode ? MAX_BYTES_PER_S : Double.NaN,
                    "%,.0f");
            printFigure(
                    "processor of a " + who + " (% of a core), mean over all",
                    mean(some, m -> m.usage().sumCpuNs(fromUs, toUs)) / seconds / 1e7,
                    isNode ? 100 * MAX_CPU_CORE_FRACTION : Double.NaN,
                    "%.4f");
            printFigure(
                    "processor of a " + who + " (% of a core), worst second",
                    max(some, m -> m.usage().maxCpuNsPerSecond(fromUs, toUs)) / 1e7,
                    isNode ? 100 * MAX_CPU_CORE_FRACTION : Double.NaN,
                    "%.3f");
        }
    }

    private static double percentileS(List<Long> sorted, double share) {
        return sorted.get((int) Math.min(sorted.size() - 1L, Math.round(share * (sorted.size() - 1)))) / 1e6;
    }

    private static double mean(List<Machine> machines, ToDoubleFunction<Machine> figure) {
        return machines.stream().mapToDouble(figure).average().orElse(0);
    }

    private static double max(List<Machine> machines, ToDoubleFunction<Machine> figure) {
        return machines.stream().mapToDouble(figure).max().orElse(0);
    }

    private void printFigure(String what, double figure, double budget, String format) {
        boolean holds = Double.isNaN(budget) || figure <= budget;
        missedBudgets += holds ? 0 : 1;
        out.printf(
                Locale.ROOT,
                "          %-64s " + format + "%s%n",
                what,
                figure,
                Double.isNaN(budget)
                        ? ""
                        : String.format(Locale.ROOT, " of " + format + (holds ? "" : "  MISSED"), budget));
    }

    private void printRetainedBytes(ReplicationRun run) {
        Machine node = run.nodes().get(0);
        double entries = node.replica().store().live().retainedBytes();
        double index = ((RouteConfiguration) node.replica().index()).indexBytes();
        printFigure(
                "bytes that a node keeps: entries, and to find routes by (MB)",
                (entries + index) / BYTES_PER_MB,
                MAX_RETAINED_BYTES / BYTES_PER_MB,
                "%.1f");
        out.printf(
                Locale.ROOT,
                "          a route %.0f bytes of it, a tenant %.0f%n",
                Footprint.bytesPerRoute(run.writer().configuration()),
                Footprint.bytesPerTenant(run.writer().configuration()));
    }

    private void printServerListCost() {
        Footprint.ServerListCost told = Footprint.measureServerList(servers);
        printFigure(
                "a list of all servers told to one module (MB kept)",
                told.retainedBytes() / BYTES_PER_MB,
                Double.NaN,
                "%.1f");
        printFigure("the same, once (ms of the loop)", told.updateMs(), Double.NaN, "%.0f");
    }
}
