package vetchpost.simulation.overload;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.simulation.SeedRunException;
import vetchpost.simulation.overload.OverloadRun.Plan;
import vetchpost.simulation.overload.OverloadRun.Policy;

/** The command {@code crowd}. */
@Command(
        name = "crowd",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Tells what six schools get of a modelled fleet that can do less than they ask.",
            "First come first served, by the module's rule on shares, and behind the door "
                    + "(docs/admission.md), on virtual time.",
            "The same seeds give the same figures every time."
        },
        footer = {
            "",
            "Examples:",
            "  crowd --load 1.3",
            "  crowd --load 0.8 --pairs --seeds 50",
            "  crowd --honesty --seeds 20 --svg honesty.svg"
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:done, and what was to be shown holds", "1:it does not hold", "2:bad arguments"})
public final class OverloadCommand implements Callable<Integer> {
    private static final double MIN_KEPT_SERVICE_FRACTION = 0.95;
    private static final double MIN_RETRY_SUCCESS_RATE = 0.90;
    private static final double[] LOAD_FACTORS = {1.3, 2, 3};
    private static final long MAX_RETRY_AFTER_US = 20_000_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--load",
            paramLabel = "X",
            defaultValue = "1.3",
            description = "What is asked over what the boxes can do (${DEFAULT-VALUE}).")
    private double load;

    @Option(
            names = "--loud",
            paramLabel = "SCHOOL=TIMES",
            description = "A school, a to f, that asks so many times its usual.")
    private Map<String, Double> tenantLoadFactors = new TreeMap<>();

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "10",
            description = "Plays seeds 1 to N (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(
            names = "--pairs",
            description = "Triples each school in turn and shows what each of the others "
                    + "keeps of its service; fails if one keeps under 95%% behind the door.")
    private boolean comparesPairs;

    @Option(
            names = "--honesty",
            description = "Clients that come back when told, at 1.3, 2 and 3 times what "
                    + "the boxes can do; fails if under 90%% of them are served then.")
    private boolean measuresRetryAfter;

    @Option(
            names = "--svg",
            paramLabel = "FILE",
            description = "With --honesty: a plot of what was told " + "against what it took.")
    private Path svg;

    @Override
    public Integer call() throws IOException {
        if (comparesPairs && measuresRetryAfter || svg != null && !measuresRetryAfter) {
            throw invalidArgument(svg != null ? "--svg goes with --honesty" : "give one of --pairs and --honesty");
        }
        if (seeds < 1 || seeds > 10_000 || !(load > 0 && load <= 10)) {
            throw invalidArgument("--seeds is from 1 to 10000, --load from 0 to 10");
        }
        PrintWriter out = spec.commandLine().getOut();
        int code = comparesPairs
                ? comparePairs(out)
                : measuresRetryAfter ? measureRetryAfterAccuracy(out) : comparePolicies(out);
        out.flush();
        return code;
    }

    private ParameterException invalidArgument(String why) {
        return new ParameterException(spec.commandLine(), why);
    }

    private Plan plan(long seed, Policy policy) {
        Plan plan = Plan.of(seed, policy, load);
        for (Map.Entry<String, Double> entry : tenantLoadFactors.entrySet()) {
            int school = entry.getKey().length() == 1 ? entry.getKey().charAt(0) - 'a' : -1;
            if (school < 0
                    || school >= OverloadRun.TENANT_SHARES.length
                    || !(entry.getValue() >= 0)
                    || entry.getValue() > 100) {
                throw invalidArgument("--loud takes a school, a to f, and how many times, from 0 to 100");
            }
            plan = plan.withTenantLoad(school, entry.getValue());
        }
        return plan;
    }

    static List<Double> tenantWeights() {
        return Arrays.stream(OverloadRun.TENANT_SHARES).boxed().toList();
    }

    private List<OverloadResult> runAll(List<Plan> plans) {
        return plans.parallelStream()
                .map(plan -> SeedRunException.withSeed(plan.seed(), () -> OverloadRun.run(plan)))
                .toList();
    }

    private List<Plan> plans(Policy policy) {
        List<Plan> plans = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            plans.add(plan(seed, policy));
        }
        return plans;
    }

    private int comparePolicies(PrintWriter out) {
        out.printf(Locale.ROOT, "load %.2f, %d seeds; worth answered in time over worth asked for%n", load, seeds);
        out.println("policy       all   view-page add-photo place-order   a     b     c     d     e     f   "
                + "  Jain   told at once");
        for (Policy policy : Policy.values()) {
            List<OverloadResult> results = runAll(plans(policy));
            StringBuilder line = new StringBuilder(String.format(
                    Locale.ROOT,
                    "%-11s %.3f   %.3f     %.3f   " + "  %.3f     ",
                    policy.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                    mean(results, OverloadResult::servedValueFraction),
                    mean(results, r -> r.servedValueFractionOfClass(0)),
                    mean(results, r -> r.servedValueFractionOfClass(1)),
                    mean(results, r -> r.servedValueFractionOfClass(2))));
            for (int school = 0; school < OverloadRun.TENANT_SHARES.length; school++) {
                int s = school;
                line.append(String.format(Locale.ROOT, " %.3f", mean(results, r -> r.servedValueFraction(s))));
            }
            out.println(line
                    + String.format(
                            Locale.ROOT,
                            "  %.4f  %.2f",
                            mean(results, r -> r.jainFairnessIndex(tenantWeights())),
                            mean(results, OverloadResult::immediateRejectionFraction)));
        }
        return 0;
    }

    private interface Figure {
        double of(OverloadResult result);
    }

    private static double mean(List<OverloadResult> results, Figure figure) {
        return results.stream().mapToDouble(figure::of).average().orElse(0);
    }

    private int comparePairs(PrintWriter out) {
        int schools = OverloadRun.TENANT_SHARES.length;
        boolean holds = true;
        for (Policy policy : Policy.values()) {
            List<OverloadResult> calm = runAll(plans(policy));
            out.println(policy.name().toLowerCase(Locale.ROOT).replace('_', '-')
                    + ": what each keeps while one asks three times its usual, mean and worst seed");
            for (int one = 0; one < schools; one++) {
                int asks = one;
                List<OverloadResult> loudly = runAll(plans(policy).stream()
                        .map(p -> p.withTenantLoad(asks, 3))
                        .toList());
                StringBuilder line = new StringBuilder("  loud " + (char) ('a' + one) + " ");
                for (int school = 0; school < schools; school++) {
                    int s = school;
                    if (s == one) {
                        line.append("      -      ");
                        continue;
                    }
                    double[] kept = IntStream.range(0, seeds)
                            .mapToDouble(i -> loudly.get(i).servedValueFraction(s)
                                    / calm.get(i).servedValueFraction(s))
                            .toArray();
                    double mean = Arrays.stream(kept).average().orElse(0);
                    holds &= policy != Policy.DOOR || mean >= MIN_KEPT_SERVICE_FRACTION;
                    line.append(String.format(
                            Locale.ROOT,
                            " %.3f (%.3f)",
                            mean,
                            Arrays.stream(kept).min().orElse(0)));
                }
                out.println(line);
                out.flush();
            }
        }
        out.println(holds ? "each keeps 95% behind the door" : "NOT each keeps 95% behind the door");
        return holds ? 0 : 1;
    }

    private int measureRetryAfterAccuracy(PrintWriter out) throws IOException {
        boolean holds = true;
        Map<Double, List<OverloadResult.RetryAfterSample>> told = new TreeMap<>();
        out.println("load   came back  served then  view-page add-photo place-order  promised  not promised");
        for (double times : LOAD_FACTORS) {
            List<Plan> plans = new ArrayList<>();
            for (int seed = 1; seed <= seeds; seed++) {
                plans.add(Plan.of(seed, Policy.DOOR, times).withPatientClients(MAX_RETRY_AFTER_US));
            }
            List<OverloadResult> results = runAll(plans);
            double truth = mean(results, OverloadResult::advisedRetrySuccessRate);
            holds &= truth >= MIN_RETRY_SUCCESS_RATE;
            double[] byClass = new double[OverloadRun.CLASSES.size()];
            for (int kind = 0; kind < byClass.length; kind++) {
                int k = kind;
                byClass[kind] = results.stream()
                                .mapToLong(r -> r.advisedRetriesServed(k))
                                .sum()
                        / Math.max(
                                1.0,
                                results.stream()
                                        .mapToLong(r -> r.advisedRetries(k))
                                        .sum());
            }
            long back = 0;
            for (OverloadResult result : results) {
                for (int kind = 0; kind < byClass.length; kind++) {
                    back += result.advisedRetries(kind);
                }
            }
            out.printf(
                    Locale.ROOT,
                    "%.1f   %9d  %11.3f  %9.3f %9.3f %11.3f  %8d  %12d%n",
                    times,
                    back / seeds,
                    truth,
                    byClass[0],
                    byClass[1],
                    byClass[2],
                    results.stream()
                                    .mapToLong(r -> r.counts().reservationsMade())
                                    .sum()
                            / seeds,
                    results.stream()
                                    .mapToLong(r -> r.counts().rejectedWithoutReservation())
                                    .sum()
                            / seeds);
            out.flush();
            told.put(times, results.get(0).told());
        }
        if (svg != null) {
            Files.writeString(svg, RetryAfterAccuracyPlot.svg(told), StandardCharsets.UTF_8);
            out.println("plot in " + svg);
        }
        out.println(
                holds
                        ? "90% of those that come back when told are served then"
                        : "NOT 90% of those that come back when told are served then");
        return holds ? 0 : 1;
    }
}
