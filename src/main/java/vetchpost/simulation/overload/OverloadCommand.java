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

/**
 * The command {@code crowd}: compares admission policies on an overloaded simulated fleet. Seeds run in parallel on
 * the common pool.
 */
@Command(
        name = "crowd",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Shows how much service six schools (tenants) get from an overloaded simulated fleet.",
            "Compares first come first served, the balancer's rule on shares, and admission control "
                    + "(docs/admission.md), on virtual time.",
            "The same seeds always give the same figures."
        },
        footer = {
            "",
            "Examples:",
            "  crowd --load 1.3",
            "  crowd --load 0.8 --pairs --seeds 50",
            "  crowd --honesty --seeds 20 --svg honesty.svg"
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:done; the tested target, if any, is met", "1:the tested target is missed", "2:bad arguments"
        })
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
            description = "Offered load over the capacity of the servers (${DEFAULT-VALUE}).")
    private double load;

    @Option(
            names = "--loud",
            paramLabel = "SCHOOL=TIMES",
            description = "A school, a to f, and the factor by which its load grows, 0 to 100.")
    private Map<String, Double> tenantLoadFactors = new TreeMap<>();

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "10",
            description = "Runs seeds 1 to N (${DEFAULT-VALUE}).")
    private int seeds;

    @Option(
            names = "--pairs",
            description = "Triples each school's load in turn and shows the fraction of service that the others "
                    + "keep; fails if one keeps under 95%% with admission control.")
    private boolean comparesPairs;

    @Option(
            names = "--honesty",
            description = "Clients that retry at the advised time, at 1.3, 2 and 3 times the "
                    + "capacity of the servers; fails if under 90%% of those retries are served.")
    private boolean measuresRetryAfter;

    @Option(
            names = "--svg",
            paramLabel = "FILE",
            description = "With --honesty: writes a plot of the advised wait " + "against the actual one.")
    private Path svg;

    @Override
    public Integer call() throws IOException {
        if (comparesPairs && measuresRetryAfter || svg != null && !measuresRetryAfter) {
            throw invalidArgument(svg != null ? "--svg needs --honesty" : "--pairs and --honesty exclude each other");
        }
        if (seeds < 1 || seeds > 10_000 || !(load > 0 && load <= 10)) {
            throw invalidArgument("--seeds must be from 1 to 10000, --load above 0 and at most 10");
        }
        PrintWriter out = spec.commandLine().getOut();
        int exitCode = comparesPairs
                ? comparePairs(out)
                : measuresRetryAfter ? measureRetryAfterAccuracy(out) : comparePolicies(out);
        out.flush();
        return exitCode;
    }

    private ParameterException invalidArgument(String message) {
        return new ParameterException(spec.commandLine(), message);
    }

    private Plan plan(long seed, Policy policy) {
        Plan plan = Plan.of(seed, policy, load);
        for (Map.Entry<String, Double> entry : tenantLoadFactors.entrySet()) {
            int tenant = entry.getKey().length() == 1 ? entry.getKey().charAt(0) - 'a' : -1;
            if (tenant < 0
                    || tenant >= OverloadRun.TENANT_SHARES.length
                    || !(entry.getValue() >= 0)
                    || entry.getValue() > 100) {
                throw invalidArgument("--loud must be SCHOOL=TIMES, with a school from a to f and times from 0 to 100");
            }
            plan = plan.withTenantLoad(tenant, entry.getValue());
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
        out.printf(Locale.ROOT, "load %.2f, %d seeds; value served in time over value requested%n", load, seeds);
        out.println("policy       all   view-page add-photo place-order   a     b     c     d     e     f   "
                + "  Jain   rejected at once");
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
            for (int tenant = 0; tenant < OverloadRun.TENANT_SHARES.length; tenant++) {
                int index = tenant;
                line.append(String.format(Locale.ROOT, " %.3f", mean(results, r -> r.servedValueFraction(index))));
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
        int tenantCount = OverloadRun.TENANT_SHARES.length;
        boolean holds = true;
        for (Policy policy : Policy.values()) {
            List<OverloadResult> baseline = runAll(plans(policy));
            out.println(policy.name().toLowerCase(Locale.ROOT).replace('_', '-')
                    + ": service kept by each school while one has three times its usual load, mean and worst seed");
            for (int loudTenant = 0; loudTenant < tenantCount; loudTenant++) {
                int loudIndex = loudTenant;
                List<OverloadResult> overloaded = runAll(plans(policy).stream()
                        .map(p -> p.withTenantLoad(loudIndex, 3))
                        .toList());
                StringBuilder line = new StringBuilder("  loud " + (char) ('a' + loudTenant) + " ");
                for (int tenant = 0; tenant < tenantCount; tenant++) {
                    int index = tenant;
                    if (index == loudTenant) {
                        line.append("      -      ");
                        continue;
                    }
                    double[] kept = IntStream.range(0, seeds)
                            .mapToDouble(i -> overloaded.get(i).servedValueFraction(index)
                                    / baseline.get(i).servedValueFraction(index))
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
        out.println(
                holds
                        ? "each school keeps 95% with admission control"
                        : "NOT each school keeps 95% with admission control");
        return holds ? 0 : 1;
    }

    private int measureRetryAfterAccuracy(PrintWriter out) throws IOException {
        boolean holds = true;
        Map<Double, List<OverloadResult.RetryAfterSample>> samplesByLoad = new TreeMap<>();
        out.println("load     retried      served  view-page add-photo place-order  reserved  not reserved");
        for (double loadFactor : LOAD_FACTORS) {
            List<Plan> plans = new ArrayList<>();
            for (int seed = 1; seed <= seeds; seed++) {
                plans.add(Plan.of(seed, Policy.DOOR, loadFactor).withPatientClients(MAX_RETRY_AFTER_US));
            }
            List<OverloadResult> results = runAll(plans);
            double successRate = mean(results, OverloadResult::advisedRetrySuccessRate);
            holds &= successRate >= MIN_RETRY_SUCCESS_RATE;
            double[] byClass = new double[OverloadRun.CLASSES.size()];
            for (int classIndex = 0; classIndex < byClass.length; classIndex++) {
                int index = classIndex;
                byClass[classIndex] = results.stream()
                                .mapToLong(r -> r.advisedRetriesServed(index))
                                .sum()
                        / Math.max(
                                1.0,
                                results.stream()
                                        .mapToLong(r -> r.advisedRetries(index))
                                        .sum());
            }
            long advisedRetries = 0;
            for (OverloadResult result : results) {
                for (int classIndex = 0; classIndex < byClass.length; classIndex++) {
                    advisedRetries += result.advisedRetries(classIndex);
                }
            }
            out.printf(
                    Locale.ROOT,
                    "%.1f   %9d  %11.3f  %9.3f %9.3f %11.3f  %8d  %12d%n",
                    loadFactor,
                    advisedRetries / seeds,
                    successRate,
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
            samplesByLoad.put(loadFactor, results.get(0).retryAfterSamples());
        }
        if (svg != null) {
            Files.writeString(svg, RetryAfterAccuracyPlot.svg(samplesByLoad), StandardCharsets.UTF_8);
            out.println("plot written to " + svg);
        }
        out.println(
                holds
                        ? "90% of the retries at the advised time are served"
                        : "NOT 90% of the retries at the advised time are served");
        return holds ? 0 : 1;
    }
}
