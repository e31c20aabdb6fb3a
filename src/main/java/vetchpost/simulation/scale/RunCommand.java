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

/**
 * The command {@code scale run}: simulates replication at the planned size on virtual time, through several faults, and
 * prints each figure beside its budget.
 */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Simulates faults with the real replication code in lightweight nodes, which " + "share this",
            "process: an ordinary minute, a burst, an isolated region, a control machine lost, all control "
                    + "machines",
            "restarted, a tenth of the nodes restarted at once, one node with old data and one with none."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:all within the budgets", "1:a budget is exceeded or a rule is broken", "2:bad arguments"})
final class RunCommand implements Callable<Integer> {
    private static final long SECOND_US = 1_000_000;
    private static final double MAX_CPU_CORE_FRACTION = 0.013;
    private static final double MAX_BYTES_PER_S = 23_000;
    private static final double MAX_RETAINED_BYTES = 128e6;
    private static final double MAX_PROPAGATION_DELAY_S = 4;
    private static final double BYTES_PER_MB = 1e6;
    /** Bytes of a tree that a change copies, at the full size. */
    private static final double COPIED_BYTES_PER_CHANGE = 3_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--nodes",
            paramLabel = "N",
            defaultValue = "2200",
            description = "Lightweight nodes, 8 to 100000 (${DEFAULT-VALUE}).")
    private int nodes;

    @Option(
            names = "--controls",
            paramLabel = "N",
            defaultValue = "18",
            description = "Control machines, 4 to 1000 (${DEFAULT-VALUE}).")
    private int controls;

    @Option(
            names = "--servers",
            paramLabel = "N",
            defaultValue = "200000",
            description = "Servers in the list of one node's balancer (${DEFAULT-VALUE}).")
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
            description = "Changes submitted at once, in ten batches, at least 10 (${DEFAULT-VALUE}).")
    private int burst;

    @Option(
            names = "--cut",
            paramLabel = "SECONDS",
            defaultValue = "300",
            description = "How long a region is isolated (${DEFAULT-VALUE}).")
    private int isolationS;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Seed of the random choices (${DEFAULT-VALUE}).")
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
                    "--nodes must be from 8 to 100000, --controls from 4 to 1000, --routes and --burst at least 10, "
                            + "--services, --servers and --cut at least 1, --tenants at least 0, "
                            + "--changes above 0 and at most 1000");
        }
        // Nodes start with one shared tree, and each retains what a change copies of it.
        double neededHeapBytes =
                1e9 + (double) nodes * (burst + changesPerS * (isolationS + 300)) * COPIED_BYTES_PER_CHANGE;
        if (neededHeapBytes > Runtime.getRuntime().maxMemory()) {
            throw new ParameterException(
                    spec.commandLine(),
                    String.format(
                            Locale.ROOT,
                            "this run needs about %.0f GB of heap, and the limit is %.1f GB: "
                                    + "start it with java -Xmx%.0fg -jar ...",
                            Math.ceil(neededHeapBytes / 1e9),
                            Runtime.getRuntime().maxMemory() / 1e9,
                            Math.ceil(neededHeapBytes / 1e9)));
        }
        out = spec.commandLine().getOut();
        long startNs = System.nanoTime();
        ConfigurationGenerator generator = new ConfigurationGenerator(seed, services, tenants);
        RouteConfiguration start = generator.generate(routes);
        report(
                startNs,
                String.format(
                        Locale.ROOT,
                        "%,d entries of %.1f MB, and a route index of %.1f MB",
                        start.store().live().size(),
                        start.store().live().retainedBytes() / BYTES_PER_MB,
                        start.indexBytes() / BYTES_PER_MB));
        ReplicationRun run = new ReplicationRun(
                seed,
                generator,
                start,
                controls,
                nodes,
                new Publisher.Budget(18_000, 4_000, 4_000_000, 400),
                ReplicaFactory.DEFAULT,
                false);
        runPhases(run, start, startNs);
        printRetainedBytes(run);
        printServerListCost();
        run.violations().stream()
                .limit(20)
                .forEach(violation -> out.println("BROKEN " + violation.rule() + ": " + violation.details()));
        missedBudgets += run.violations().size();
        out.printf(
                Locale.ROOT,
                "%s%n",
                missedBudgets == 0 ? "all within the budgets" : missedBudgets + " budgets exceeded or rules broken");
        out.flush();
        return missedBudgets == 0 ? 0 : 1;
    }

    private void report(long startNs, String label) {
        out.printf(Locale.ROOT, "%6.1f s  %s%n", (System.nanoTime() - startNs) / 1e9, label);
        out.flush();
    }

    private void runPhases(ReplicationRun run, RouteConfiguration start, long startNs) {
        LightweightFleet fleet = run.fleet();
        fleet.runUntil(5 * SECOND_US);
        runPhase(
                run,
                startNs,
                "an ordinary minute, " + changesPerS + " changes a second",
                60,
                () -> run.scheduleChanges(changesPerS, fleet.nowUs() + 56 * SECOND_US));
        runPhase(run, startNs, "a burst of " + burst + " changes", 15, () -> {
            for (int i = 0; i < 10; i++) {
                run.submitBatch(burst / 10);
            }
        });
        runPhase(run, startNs, "a control machine lost", 40, () -> {
            run.scheduleChanges(changesPerS, fleet.nowUs() + 30 * SECOND_US);
            run.restart(run.controls().get(1), 30 * SECOND_US, null);
        });
        List<Machine> isolatedNodes =
                run.nodes().stream().filter(n -> n.region() == 1).toList();
        long reconnectedUs = fleet.nowUs() + isolationS * SECOND_US;
        run.setIsolated(1, true);
        run.scheduleChanges(changesPerS, reconnectedUs);
        fleet.runUntil(reconnectedUs);
        run.setIsolated(1, false);
        long[] caughtUpUs = {-1};
        watchCatchUp(run, isolatedNodes, caughtUpUs);
        runPhase(run, startNs, "a region reconnected after " + isolationS + " s", 60, () -> {});
        out.printf(
                Locale.ROOT,
                "          its %d nodes had all missed changes %.1f s after reconnecting%n",
                isolatedNodes.size(),
                (caughtUpUs[0] - reconnectedUs) / 1e6);
        runPhase(run, startNs, "all control machines restarted", 40, () -> {
            run.controls().forEach(control -> run.restart(control, 2 * SECOND_US, null));
            run.scheduleChanges(changesPerS, fleet.nowUs() + 30 * SECOND_US);
        });
        runPhase(run, startNs, "a tenth of the nodes restarted at once", 40, () -> {
            for (int i = 0; i < run.nodes().size(); i += 10) {
                run.restart(run.nodes().get(i), SECOND_US, null);
            }
        });
        Machine outdatedNode = run.nodes().get(3);
        run.restart(outdatedNode, SECOND_US, start);
        fleet.runUntil(fleet.nowUs() + 60 * SECOND_US);
        out.printf(
                Locale.ROOT,
                "          a node that restarted with the initial configuration is %s%n",
                outdatedNode.replica().store().version() == run.writer().store().version()
                        ? "at the newest again"
                        : "still behind, at "
                                + Version.format(outdatedNode.replica().store().version()) + " of "
                                + Version.format(run.writer().store().version()) + ", rejected "
                                + outdatedNode.replica().rejectedCount());
        runLostEntries(run, run.nodes().get(7));
        Machine emptyNode = run.nodes().get(4);
        long emptyUs = fleet.nowUs();
        run.restart(emptyNode, 1, RouteConfiguration.empty(ConfigurationGenerator.settings()));
        fleet.runUntil(emptyUs + SECOND_US);
        while (emptyNode.replica().store().version() != run.writer().store().version()
                && fleet.nowUs() < emptyUs + 7_200 * SECOND_US) {
            fleet.runUntil(fleet.nowUs() + 5 * SECOND_US);
        }
        long bytes = emptyNode.usage().sumBytes(emptyUs, fleet.nowUs());
        out.printf(
                Locale.ROOT,
                "          a node without data had all %,.0f s later, with %.1f MB of traffic%n",
                (fleet.nowUs() - emptyUs) / 1e6,
                bytes / BYTES_PER_MB);
        List<String> lagging = run.laggingMachines();
        printFigure("machines that are not at the newest in the end", lagging.size(), 0, "%.0f");
        lagging.stream().limit(5).forEach(machine -> out.println("          " + machine));
    }

    /** Simulates a node whose disk has lost some entries while its version says that it has all. */
    private void runLostEntries(ReplicationRun run, Machine node) {
        VersionedStore original = node.replica().store();
        PackedTree tree = original.live();
        long lost = Math.min(100, tree.size() / 10);
        for (long i = 0; i < lost; i++) {
            tree = tree.remove(tree.at(i * 7_919 % tree.size()).key());
        }
        long fromUs = run.fleet().nowUs();
        run.restart(
                node,
                1,
                VersionedStore.of(tree, original.version()),
                node.replica().index());
        run.fleet().runUntil(fromUs + SECOND_US);
        while (!node.replica().store().live().sum().equals(original.live().sum())
                && run.fleet().nowUs() < fromUs + 600 * SECOND_US) {
            run.fleet().runUntil(run.fleet().nowUs() + SECOND_US);
        }
        out.printf(
                Locale.ROOT,
                "          a node that had lost %d entries unnoticed had them %.0f s "
                        + "later, with "
                        + "%.2f MB of traffic%n",
                lost,
                (run.fleet().nowUs() - fromUs) / 1e6,
                node.usage().sumBytes(fromUs, run.fleet().nowUs() + SECOND_US) / BYTES_PER_MB);
    }

    private void watchCatchUp(ReplicationRun run, List<Machine> isolatedNodes, long[] caughtUpUs) {
        run.fleet().schedule(run.fleet().nowUs() + 50_000, () -> {
            long version = run.writer().store().version();
            if (isolatedNodes.stream().allMatch(n -> n.replica().store().version() >= version)) {
                caughtUpUs[0] = run.fleet().nowUs();
            } else {
                watchCatchUp(run, isolatedNodes, caughtUpUs);
            }
        });
    }

    /**
     * Runs one phase and prints its figures beside their budgets.
     *
     * @param seconds length of the phase in virtual time
     * @param begin starts the phase's changes and faults
     */
    private void runPhase(ReplicationRun run, long startNs, String label, int seconds, Runnable begin) {
        LightweightFleet fleet = run.fleet();
        long fromUs = (fleet.nowUs() / SECOND_US + 1) * SECOND_US;
        fleet.runUntil(fromUs);
        run.propagationDelaysUs().clear();
        run.setMeasuring(true);
        begin.run();
        long toUs = fromUs + seconds * SECOND_US;
        fleet.runUntil(toUs);
        run.setMeasuring(false);
        report(startNs, label + ", " + seconds + " s");
        if (!run.propagationDelaysUs().isEmpty()) {
            List<Long> delays = new ArrayList<>(run.propagationDelaysUs());
            Collections.sort(delays);
            out.printf(
                    Locale.ROOT,
                    "          from submission to applied at a node: p50 %.3f s, p99 %.3f s%n",
                    percentileS(delays, 0.5),
                    percentileS(delays, 0.99));
            if (!label.startsWith("a region")) {
                printFigure(
                        "submission to applied, the last node (s)",
                        percentileS(delays, 1),
                        MAX_PROPAGATION_DELAY_S,
                        "%.3f");
            } else {
                out.printf(
                        Locale.ROOT,
                        "          changes made while it was isolated: at the last node after %.1f " + "s%n",
                        percentileS(delays, 1));
            }
        }
        for (List<Machine> group : List.of(run.nodes(), run.controls())) {
            boolean isNode = group == run.nodes();
            String role = isNode ? "node" : "control machine";
            printFigure(
                    "bytes a second of a " + role + ", mean over all",
                    mean(group, m -> m.usage().sumBytes(fromUs, toUs)) / seconds,
                    isNode ? MAX_BYTES_PER_S : Double.NaN,
                    "%,.0f");
            printFigure(
                    "bytes of a " + role + " in its worst second",
                    max(group, m -> m.usage().maxBytesPerSecond(fromUs, toUs)),
                    isNode ? MAX_BYTES_PER_S : Double.NaN,
                    "%,.0f");
            printFigure(
                    "processor of a " + role + " (% of a core), mean over all",
                    mean(group, m -> m.usage().sumCpuNs(fromUs, toUs)) / seconds / 1e7,
                    isNode ? 100 * MAX_CPU_CORE_FRACTION : Double.NaN,
                    "%.4f");
            printFigure(
                    "processor of a " + role + " (% of a core), worst second",
                    max(group, m -> m.usage().maxCpuNsPerSecond(fromUs, toUs)) / 1e7,
                    isNode ? 100 * MAX_CPU_CORE_FRACTION : Double.NaN,
                    "%.3f");
        }
    }

    private static double percentileS(List<Long> sorted, double quantile) {
        return sorted.get((int) Math.min(sorted.size() - 1L, Math.round(quantile * (sorted.size() - 1)))) / 1e6;
    }

    private static double mean(List<Machine> machines, ToDoubleFunction<Machine> figure) {
        return machines.stream().mapToDouble(figure).average().orElse(0);
    }

    private static double max(List<Machine> machines, ToDoubleFunction<Machine> figure) {
        return machines.stream().mapToDouble(figure).max().orElse(0);
    }

    private void printFigure(String label, double figure, double budget, String format) {
        boolean isWithinBudget = Double.isNaN(budget) || figure <= budget;
        missedBudgets += isWithinBudget ? 0 : 1;
        out.printf(
                Locale.ROOT,
                "          %-64s " + format + "%s%n",
                label,
                figure,
                Double.isNaN(budget)
                        ? ""
                        : String.format(Locale.ROOT, " of " + format + (isWithinBudget ? "" : "  MISSED"), budget));
    }

    private void printRetainedBytes(ReplicationRun run) {
        Machine node = run.nodes().get(0);
        double entries = node.replica().store().live().retainedBytes();
        double index = ((RouteConfiguration) node.replica().index()).indexBytes();
        printFigure(
                "bytes that a node retains: entries and route index (MB)",
                (entries + index) / BYTES_PER_MB,
                MAX_RETAINED_BYTES / BYTES_PER_MB,
                "%.1f");
        out.printf(
                Locale.ROOT,
                "          of which a route %.0f bytes, a tenant %.0f%n",
                Footprint.bytesPerRoute(run.writer().configuration()),
                Footprint.bytesPerTenant(run.writer().configuration()));
    }

    private void printServerListCost() {
        Footprint.ServerListCost cost = Footprint.measureServerList(servers);
        printFigure(
                "a list of all servers in one balancer (MB retained)",
                cost.retainedBytes() / BYTES_PER_MB,
                Double.NaN,
                "%.1f");
        printFigure("updating that list once (ms of the event loop)", cost.updateMs(), Double.NaN, "%.0f");
    }
}
