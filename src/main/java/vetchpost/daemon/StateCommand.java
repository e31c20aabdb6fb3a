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

/** The command {@code state}: what a node has kept, as the next one would find it. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Shows the snapshot that a node has kept, as the next start would find it.",
            "Its age, what is known of boxes and classes, and whether that would be believed."
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
            description = "Shows so many boxes, the ones that fail most first; 50 if not said.")
    private int maxServers;

    @Override
    public Integer call() {
        if (maxServers < 0) {
            throw new ParameterException(spec.commandLine(), "--most is under 0");
        }
        if (!Files.exists(file) && !Files.exists(Path.of(file + ".old"))) {
            throw new ParameterException(
                    spec.commandLine(),
                    "there is no file " + file + "; name the one that [state] in the operator's file does");
        }
        PrintWriter out = spec.commandLine().getOut();
        long nowMs = System.currentTimeMillis();
        Snapshot snapshot = new StateFile(file).read(nowMs, out::println);
        if (snapshot == null) {
            out.println("no snapshot can be used: the next start has discovery's list and nothing else");
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
                "taken %s ago by a node that had run for %s; list %d, %d boxes%n",
                formatDuration(nowMs - snapshot.origin().takenMs()),
                formatDuration(snapshot.origin().takenMs() - snapshot.origin().startedMs()),
                snapshot.origin().revision(),
                snapshot.servers().size());
        Set<SelfFault> doubts = SelfFaultDetector.inSnapshot(snapshot, nowMs);
        out.println(
                doubts.isEmpty()
                        ? "its word on how boxes are would be believed, as far as its age allows"
                        : "its word on how boxes are would not be believed: "
                                + String.join(
                                        ", ",
                                        doubts.stream()
                                                .map(SelfFault::description)
                                                .sorted()
                                                .toList()));
        for (ClassState state : snapshot.classes()) {
            out.printf(
                    Locale.ROOT,
                    "class %-16s usual latency %8.1f ms, %d answers%n",
                    state.name(),
                    state.latencyUs() / 1_000,
                    state.sampleCount());
        }
        if (snapshot.servers().isEmpty() || maxServers == 0) {
            return;
        }
        out.printf(
                "%n%-20s %-22s %10s %-8s %8s %6s %6s %6s %s%n",
                "box", "address", "confirmed", "by", "answers", "errors", "pace", "limit", "");
        List<ServerRecord> boxes = new ArrayList<>(snapshot.servers());
        boxes.sort(Comparator.comparingInt((ServerRecord b) ->
                        b.statistics() == null ? 0 : -b.statistics().recentFailures())
                .thenComparing(b -> b.target().id()));
        for (ServerRecord box : boxes.subList(0, Math.min(maxServers, boxes.size()))) {
            PerServer known = box.statistics();
            String address = box.target().address().getAddress().getHostAddress() + ":"
                    + box.target().address().getPort();
            out.printf(
                    Locale.ROOT,
                    "%-20s %-22s %10s %-8s %8s %6s %6s %6s %s%n",
                    box.target().id(),
                    address,
                    formatDuration(nowMs - box.confirmedMs()),
                    box.confirmedBy().name().toLowerCase(Locale.ROOT),
                    known == null ? "-" : known.attemptCount(),
                    known == null ? "-" : known.consecutiveErrors(),
                    known == null ? "-" : formatNumber(known.relativeLatency()),
                    known == null ? "-" : formatNumber(known.relativeLimit()),
                    known != null && known.ejected() ? "ejected" : "");
        }
        if (boxes.size() > maxServers) {
            out.println("and " + (boxes.size() - maxServers) + " more; --most shows more of them");
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
