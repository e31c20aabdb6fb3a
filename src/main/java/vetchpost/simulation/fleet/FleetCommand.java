package vetchpost.simulation.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.logging.Logger;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.simulation.SeedRunException;
import vetchpost.simulation.fleet.FleetRun.DetectionMode;
import vetchpost.simulation.fleet.FleetRun.Outcome;

/** The command {@code fleet}: sources that err, checks that lie and boxes that fall ill, by seeds. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Plays a node before boxes that fall ill and recover, with servers by sources "
                    + "that err and "
                    + "checks that lie, all drawn from a seed, and checks the rules.",
            "Compares who finds out what is ill: requests alone, checks that know nothing of them, and " + "both."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:no rule broken", "1:some run breaks a rule", "2:bad arguments"},
        footer = {"", "Example:", "  fleet --seeds 2000 --svg notice.svg"})
public final class FleetCommand implements Callable<Integer> {
    /** A strong reference: a logger that nobody holds loses its settings. */
    private static final Logger LOGGER = Logger.getLogger("vetchpost");

    private static final int MAX_SEEDS = 100_000;
    private static final int MAX_VIOLATIONS_SHOWN = 10;
    private static final int CHART_HEIGHT_PX = 220;
    private static final int CHART_WIDTH_PX = 150;
    private static final int GAP_PX = 70;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "200",
            description = "Plays seeds 1 to N (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(
            names = "--operators",
            description = {"Operators drain, weigh and freeze as chance has it", "(docs/control.md)."})
    private boolean operators;

    @Option(names = "--svg", paramLabel = "FILE", description = "A picture of the comparison.")
    private Path svg;

    /** What all seeds come to under one way to watch. */
    private record Summary(
            DetectionMode detectionMode, double served, double wasted, double meanDetectionMs, double checksPerS) {}

    @Override
    public Integer call() throws IOException {
        if (seeds < 1 || seeds > MAX_SEEDS) {
            throw new ParameterException(spec.commandLine(), "--seeds is from 1 to " + MAX_SEEDS);
        }
        // What each module says of its servers is of no use here.
        LOGGER.setUseParentHandlers(false);
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%-9s %10s %16s %14s %10s%n", "watch", "served", "wasted attempts", "time to notice", "checks/s");
        List<Summary> sums = new ArrayList<>();
        List<String> broken = new ArrayList<>();
        for (DetectionMode watch : DetectionMode.values()) {
            List<Outcome> outcomes = LongStream.rangeClosed(1, seeds)
                    .parallel()
                    .mapToObj(seed -> SeedRunException.withSeed(seed, () -> FleetRun.run(seed, watch, operators)))
                    .toList();
            for (int i = 0; i < outcomes.size(); i++) {
                for (String each : outcomes.get(i).violations()) {
                    broken.add("seed " + (i + 1) + ", " + watch.name().toLowerCase(Locale.ROOT) + ": " + each);
                }
            }
            Summary sum = new Summary(
                    watch,
                    mean(outcomes, o -> (double) o.served() / o.requests()),
                    mean(outcomes, o -> (double) o.wasted() / o.attempts()),
                    mean(outcomes, Outcome::meanDetectionUs) / 1_000,
                    mean(outcomes, Outcome::checks) * 1e6 / FleetRun.RUN_LENGTH_US);
            sums.add(sum);
            out.printf(
                    Locale.ROOT,
                    "%-9s %9.3f%% %15.3f%% %11.0f ms %10.2f%n",
                    watch.name().toLowerCase(Locale.ROOT),
                    100 * sum.served,
                    100 * sum.wasted,
                    sum.meanDetectionMs,
                    sum.checksPerS);
            out.flush();
        }
        broken.stream().limit(MAX_VIOLATIONS_SHOWN).forEach(out::println);
        out.println(seeds + " seeds, " + broken.size() + " times a rule was broken");
        if (svg != null) {
            Files.writeString(svg, svg(sums));
        }
        out.flush();
        return broken.isEmpty() ? 0 : 1;
    }

    private interface Figure {
        double of(Outcome outcome);
    }

    private static double mean(List<Outcome> outcomes, Figure figure) {
        return outcomes.stream().mapToDouble(figure::of).average().orElse(0);
    }

    private static String svg(List<Summary> sums) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\""
                        + " viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"13\">%n<title>Who finds "
                        + "out what "
                        + "is ill</title>%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                GAP_PX + 3 * (CHART_WIDTH_PX + GAP_PX),
                CHART_HEIGHT_PX + 2 * GAP_PX));
        bars(text, 0, "requests not served, %", sums, s -> 100 * (1 - s.served));
        bars(text, 1, "attempts wasted, %", sums, s -> 100 * s.wasted);
        bars(text, 2, "time to notice, ms", sums, s -> s.meanDetectionMs);
        return text.append("</svg>\n").toString();
    }

    private interface Bar {
        double of(Summary sum);
    }

    private static void bars(StringBuilder text, int panel, String name, List<Summary> sums, Bar bar) {
        double most = sums.stream().mapToDouble(bar::of).max().orElse(1);
        int left = GAP_PX + panel * (CHART_WIDTH_PX + GAP_PX);
        int step = CHART_WIDTH_PX / sums.size();
        text.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>%n",
                left + CHART_WIDTH_PX / 2,
                GAP_PX / 2,
                name));
        for (int i = 0; i < sums.size(); i++) {
            double value = bar.of(sums.get(i));
            double height = most == 0 ? 0 : value / most * CHART_HEIGHT_PX;
            text.append(String.format(
                    Locale.ROOT,
                    "<rect x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" "
                            + "fill=\"#1f6fb4\"/>%n<text x=\"%d\" y=\"%.1f\" text-anchor=\"middle\">%.2f</text>%n"
                            + "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\" font-size=\"11\">%s</text>%n",
                    left + i * step + 6,
                    GAP_PX + CHART_HEIGHT_PX - height,
                    step - 12,
                    height,
                    left + i * step + step / 2,
                    GAP_PX + CHART_HEIGHT_PX - height - 5,
                    value,
                    left + i * step + step / 2,
                    GAP_PX + CHART_HEIGHT_PX + 18,
                    sums.get(i).detectionMode.name().toLowerCase(Locale.ROOT)));
        }
    }
}
