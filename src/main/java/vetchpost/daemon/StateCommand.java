package vetchpost.daemon;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import vetchpost.decision.ServerStatistics.PerServer;
import vetchpost.state.ClassState;
import vetchpost.state.SelfFault;
import vetchpost.state.SelfFaultDetector;
import vetchpost.state.ServerRecord;
import vetchpost.state.Snapshot;
import vetchpost.state.disk.StateFile;

/** The command {@code state}: shows the snapshot that a node has saved, as the next start would read it. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Shows the snapshot that a node has saved, as the next start would read it.",
            "Prints its age, the statistics of servers and classes, and whether they would be used."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:there is a snapshot", "1:there is none that can be used", "2:bad arguments, or no such file"
        })
final class StateCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The file that [state] names.")
    private Path file;

    @Option(
            names = "--most",
            paramLabel = "N",
            defaultValue = "50",
            description = "Maximum number of servers to show, those that fail most first; 50 by default.")
    private int maxServers;

    @Override
    public Integer call() {
        if (maxServers < 0) {
            throw new ParameterException(spec.commandLine(), "--most must be 0 or more");
        }
        if (!Files.exists(file) && !Files.exists(Path.of(file + ".old"))) {
            throw new ParameterException(
                    spec.commandLine(),
                    "there is no file " + file + "; use the one that [state] in the operator's file names");
        }
        PrintWriter out = spec.commandLine().getOut();
        long nowMs = System.currentTimeMillis();
        Snapshot snapshot = new StateFile(file).read(nowMs, out::println);
        if (snapshot == null) {
            out.println("no usable snapshot: the next start has only the list from discovery");
            out.flush();
            return 1;
        }
        print(snapshot, nowMs, out);
        out.flush();
        return 0;
    }

    private void print(Snapshot snapshot, long nowMs, PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "saved %s ago by a node that had run for %s; list %d, %d servers%n",
                formatDuration(nowMs - snapshot.origin().takenMs()),
                formatDuration(snapshot.origin().takenMs() - snapshot.origin().startedMs()),
                snapshot.origin().revision(),
                snapshot.servers().size());
        Set<SelfFault> selfFaults = SelfFaultDetector.inSnapshot(snapshot, nowMs);
        out.println(
                selfFaults.isEmpty()
                        ? "its server statistics would be used, as far as their age allows"
                        : "its server statistics would not be used: "
                                + String.join(
                                        ", ",
                                        selfFaults.stream()
                                                .map(SelfFault::description)
                                                .sorted()
                                                .toList()));
        for (ClassState state : snapshot.classes()) {
            out.printf(
                    Locale.ROOT,
                    "class %-16s usual latency %8.1f ms, %d responses%n",
                    state.name(),
                    state.latencyUs() / 1_000,
                    state.sampleCount());
        }
        if (snapshot.servers().isEmpty() || maxServers == 0) {
            return;
        }
        out.printf(
                "%n%-20s %-22s %10s %-8s %8s %6s %6s %6s %s%n",
                "server", "address", "confirmed", "by", "attempts", "errors", "latency", "limit", "");
        List<ServerRecord> servers = new ArrayList<>(snapshot.servers());
        servers.sort(Comparator.comparingInt((ServerRecord server) ->
                        server.statistics() == null ? 0 : -server.statistics().recentFailures())
                .thenComparing(server -> server.target().id()));
        for (ServerRecord server : servers.subList(0, Math.min(maxServers, servers.size()))) {
            PerServer statistics = server.statistics();
            String address = server.target().address().getAddress().getHostAddress() + ":"
                    + server.target().address().getPort();
            out.printf(
                    Locale.ROOT,
                    "%-20s %-22s %10s %-8s %8s %6s %6s %6s %s%n",
                    server.target().id(),
                    address,
                    formatDuration(nowMs - server.confirmedMs()),
                    server.confirmedBy().name().toLowerCase(Locale.ROOT),
                    statistics == null ? "-" : statistics.attemptCount(),
                    statistics == null ? "-" : statistics.consecutiveErrors(),
                    statistics == null ? "-" : formatNumber(statistics.relativeLatency()),
                    statistics == null ? "-" : formatNumber(statistics.relativeLimit()),
                    statistics != null && statistics.ejected() ? "ejected" : "");
        }
        if (servers.size() > maxServers) {
            out.println("and " + (servers.size() - maxServers) + " more; --most shows more of them");
        }
    }

    private static String formatNumber(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static String formatDuration(long ms) {
        return ms < 120_000
                ? String.format(Locale.ROOT, "%.1f s", ms / 1e3)
                : ms < 7_200_000
                        ? ms / 60_000 + " min"
                        : ms < 172_800_000 ? ms / 3_600_000 + " h" : ms / 86_400_000 + " d";
    }
}
