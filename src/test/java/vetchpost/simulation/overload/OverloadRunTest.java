package vetchpost.simulation.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import vetchpost.simulation.overload.OverloadRun.Plan;
import vetchpost.simulation.overload.OverloadRun.Policy;

/** Checks fairness, retry-after accuracy and completeness of admission control in an overloaded simulated fleet. */
class OverloadRunTest {
    private static final int SEEDS = 50;

    private static String run(int expectedExitCode, String... arguments) {
        StringWriter out = new StringWriter();
        CommandLine command = new CommandLine(new OverloadCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out));
        assertEquals(expectedExitCode, command.execute(arguments), out::toString);
        return out.toString();
    }

    @Test
    void otherTenantsKeepTheirServiceWhenOneTriplesItsLoad() {
        for (int loudTenant = 0; loudTenant < 6; loudTenant++) {
            int loudIndex = loudTenant;
            double[][] kept = IntStream.rangeClosed(1, SEEDS)
                    .parallel()
                    .mapToObj(seed -> {
                        OverloadResult baseline = OverloadRun.run(Plan.of(seed, Policy.DOOR, 0.8));
                        OverloadResult overloaded =
                                OverloadRun.run(Plan.of(seed, Policy.DOOR, 0.8).withTenantLoad(loudIndex, 3));
                        assertEquals(0, overloaded.pendingRequests(), "requests left without a reply");
                        // The margin is for light overload, where nearly all requests of both classes are served.
                        assertTrue(
                                overloaded.servedValueFractionOfClass(1)
                                        > overloaded.servedValueFractionOfClass(0) - 0.01,
                                "add-photo has priority over view-page");
                        assertTrue(
                                overloaded.servedValueFractionOfClass(2)
                                        > overloaded.servedValueFractionOfClass(0) - 0.01,
                                "place-order has priority over view-page");
                        return IntStream.range(0, 6)
                                .mapToDouble(s -> overloaded.servedValueFraction(s) / baseline.servedValueFraction(s))
                                .toArray();
                    })
                    .toArray(double[][]::new);
            for (int otherTenant = 0; otherTenant < 6; otherTenant++) {
                int index = otherTenant;
                double mean = IntStream.range(0, SEEDS)
                        .mapToDouble(i -> kept[i][index])
                        .average()
                        .orElse(0);
                assertTrue(
                        otherTenant == loudTenant || mean >= 0.95,
                        "tripled " + loudTenant + ", other " + otherTenant + ": " + mean);
            }
        }
    }

    @Test
    void clientsThatRetryAtTheAdvisedTimeAreServed() {
        for (double load : new double[] {1.3, 2, 3}) {
            double successRate = IntStream.rangeClosed(1, 10)
                    .parallel()
                    .mapToDouble(seed -> OverloadRun.run(
                                    Plan.of(seed, Policy.DOOR, load).withPatientClients(20_000_000))
                            .advisedRetrySuccessRate())
                    .average()
                    .orElse(0);
            assertTrue(successRate >= 0.9, load + ": " + successRate);
        }
    }

    @Test
    void admissionControlIsFairerThanFirstComeFirstServed() {
        double[] jain = new double[2];
        for (int seed = 1; seed <= 10; seed++) {
            jain[0] += OverloadRun.run(Plan.of(seed, Policy.FIRST_COME, 0.8).withTenantLoad(0, 3))
                    .jainFairnessIndex(OverloadCommand.tenantWeights());
            jain[1] += OverloadRun.run(Plan.of(seed, Policy.DOOR, 0.8).withTenantLoad(0, 3))
                    .jainFairnessIndex(OverloadCommand.tenantWeights());
        }
        assertTrue(jain[1] > jain[0], jain[1] / 10 + " against " + jain[0] / 10);
        assertTrue(jain[1] > 9.99, "nearly 1 on average: " + jain[1] / 10);
    }

    @Test
    void everyRequestIsAnsweredWhenServersBecomeTwiceAsSlow() {
        for (int seed = 1; seed <= 10; seed++) {
            OverloadResult result = OverloadRun.run(Plan.of(seed, Policy.DOOR, 1.3)
                    .withPatientClients(20_000_000)
                    .withSlowdownAt(5_000_000));
            assertEquals(0, result.pendingRequests());
            assertTrue(
                    result.lateResponses(1) + result.lateResponses(2) < 0.02 * result.served(),
                    result.lateResponses(1) + " photos and " + result.lateResponses(2) + " orders late of "
                            + result.served());
        }
    }

    @Test
    void sameSeedGivesSameResult() {
        Plan plan = Plan.of(3, Policy.DOOR, 2).withPatientClients(5_000_000);
        OverloadResult first = OverloadRun.run(plan);
        OverloadResult second = OverloadRun.run(plan);
        assertEquals(first.servedValueFraction(), second.servedValueFraction());
        assertEquals(first.retryAfterSamples(), second.retryAfterSamples());
    }

    @Test
    void commandComparesPoliciesWithRepeatableOutput() {
        String first = run(0, "--load", "1.2", "--loud", "b=3", "--seeds", "2");
        assertTrue(first.contains("first-come") && first.contains("shares") && first.contains("door"), first);
        assertEquals(first, run(0, "--load", "1.2", "--loud", "b=3", "--seeds", "2"));
    }

    @Test
    void commandPlotsRetryAfterAccuracy(@TempDir Path dir) throws IOException {
        Path svg = dir.resolve("honesty.svg");
        run(0, "--honesty", "--seeds", "1", "--svg", svg.toString());
        String text = Files.readString(svg);
        assertTrue(text.startsWith("<svg") && text.contains("<circle"), text.substring(0, 200));
    }

    @Test
    void invalidArgumentsAreRejected() {
        for (List<String> bad : List.of(
                List.of("--load", "0"),
                List.of("--seeds", "0"),
                List.of("--loud", "z=2"),
                List.of("--svg", "x.svg"),
                List.of("--pairs", "--honesty"),
                List.of("--loud", "a=-1"))) {
            run(2, bad.toArray(String[]::new));
        }
    }
}
