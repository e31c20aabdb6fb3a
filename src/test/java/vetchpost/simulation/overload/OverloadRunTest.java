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

/** The proofs of the door with the node's core and module behind it. */
class OverloadRunTest {
    private static final int SEEDS = 50;

    private static String run(int code, String... arguments) {
        StringWriter out = new StringWriter();
        CommandLine line = new CommandLine(new OverloadCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(out));
        assertEquals(code, line.execute(arguments), out::toString);
        return out.toString();
    }

    @Test
    void otherTenantsKeepTheirServiceWhenOneTriplesItsLoad() {
        for (int loud = 0; loud < 6; loud++) {
            int asks = loud;
            double[][] kept = IntStream.rangeClosed(1, SEEDS)
                    .parallel()
                    .mapToObj(seed -> {
                        OverloadResult calm = OverloadRun.run(Plan.of(seed, Policy.DOOR, 0.8));
                        OverloadResult loudly =
                                OverloadRun.run(Plan.of(seed, Policy.DOOR, 0.8).withTenantLoad(asks, 3));
                        assertEquals(0, loudly.pendingRequests(), "each request has its answer");
                        // In a crowd by far; in a small one both have nearly all.
                        assertTrue(
                                loudly.servedValueFractionOfClass(1) > loudly.servedValueFractionOfClass(0) - 0.01,
                                "photos before pages");
                        assertTrue(
                                loudly.servedValueFractionOfClass(2) > loudly.servedValueFractionOfClass(0) - 0.01,
                                "orders before pages");
                        return IntStream.range(0, 6)
                                .mapToDouble(s -> loudly.servedValueFraction(s) / calm.servedValueFraction(s))
                                .toArray();
                    })
                    .toArray(double[][]::new);
            for (int quiet = 0; quiet < 6; quiet++) {
                int q = quiet;
                double mean = IntStream.range(0, SEEDS)
                        .mapToDouble(i -> kept[i][q])
                        .average()
                        .orElse(0);
                assertTrue(quiet == loud || mean >= 0.95, "loud " + loud + ", quiet " + quiet + ": " + mean);
            }
        }
    }

    @Test
    void clientsThatRetryAtTheAdvisedTimeAreServed() {
        for (double load : new double[] {1.3, 2, 3}) {
            double truth = IntStream.rangeClosed(1, 10)
                    .parallel()
                    .mapToDouble(seed -> OverloadRun.run(
                                    Plan.of(seed, Policy.DOOR, load).withPatientClients(20_000_000))
                            .advisedRetrySuccessRate())
                    .average()
                    .orElse(0);
            assertTrue(truth >= 0.9, load + ": " + truth);
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
        assertTrue(jain[1] > jain[0], jain[1] / 10 + " for " + jain[0] / 10);
        assertTrue(jain[1] > 9.99, "and next to even: " + jain[1] / 10);
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
        OverloadResult once = OverloadRun.run(plan);
        OverloadResult again = OverloadRun.run(plan);
        assertEquals(once.servedValueFraction(), again.servedValueFraction());
        assertEquals(once.told(), again.told());
    }

    @Test
    void commandComparesPoliciesWithRepeatableOutput() {
        String once = run(0, "--load", "1.2", "--loud", "b=3", "--seeds", "2");
        assertTrue(once.contains("first-come") && once.contains("shares") && once.contains("door"), once);
        assertEquals(once, run(0, "--load", "1.2", "--loud", "b=3", "--seeds", "2"));
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
