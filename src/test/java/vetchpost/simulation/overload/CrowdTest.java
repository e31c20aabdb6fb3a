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
class CrowdTest {
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
    void aQuietSchoolKeepsItsServiceWhileALoudOneTriples() {
        for (int loud = 0; loud < 6; loud++) {
            int asks = loud;
            double[][] kept = IntStream.rangeClosed(1, SEEDS)
                    .parallel()
                    .mapToObj(seed -> {
                        OverloadResult calm = OverloadRun.run(Plan.of(seed, Policy.DOOR, 0.8));
                        OverloadResult loudly =
                                OverloadRun.run(Plan.of(seed, Policy.DOOR, 0.8).loud(asks, 3));
                        assertEquals(0, loudly.stillHeld(), "each request has its answer");
                        // In a crowd by far; in a small one both have nearly all.
                        assertTrue(loudly.serviceOfClass(1) > loudly.serviceOfClass(0) - 0.01, "photos before pages");
                        assertTrue(loudly.serviceOfClass(2) > loudly.serviceOfClass(0) - 0.01, "orders before pages");
                        return IntStream.range(0, 6)
                                .mapToDouble(s -> loudly.service(s) / calm.service(s))
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
    void whoComesBackWhenToldIsMostlyServed() {
        for (double load : new double[] {1.3, 2, 3}) {
            double truth = IntStream.rangeClosed(1, 10)
                    .parallel()
                    .mapToDouble(seed -> OverloadRun.run(
                                    Plan.of(seed, Policy.DOOR, load).patient(20_000_000))
                            .truth())
                    .average()
                    .orElse(0);
            assertTrue(truth >= 0.9, load + ": " + truth);
        }
    }

    @Test
    void theDoorIsFairerThanFirstComeFirstServed() {
        double[] jain = new double[2];
        for (int seed = 1; seed <= 10; seed++) {
            jain[0] += OverloadRun.run(Plan.of(seed, Policy.FIRST_COME, 0.8).loud(0, 3))
                    .jain(OverloadCommand.weights());
            jain[1] +=
                    OverloadRun.run(Plan.of(seed, Policy.DOOR, 0.8).loud(0, 3)).jain(OverloadCommand.weights());
        }
        assertTrue(jain[1] > jain[0], jain[1] / 10 + " for " + jain[0] / 10);
        assertTrue(jain[1] > 9.99, "and next to even: " + jain[1] / 10);
    }

    @Test
    void boxesThatTakeTwiceAsLongCostNoRequestItsAnswer() {
        for (int seed = 1; seed <= 10; seed++) {
            OverloadResult result = OverloadRun.run(
                    Plan.of(seed, Policy.DOOR, 1.3).patient(20_000_000).halve(5_000_000));
            assertEquals(0, result.stillHeld());
            assertTrue(
                    result.late(1) + result.late(2) < 0.02 * result.served(),
                    result.late(1) + " photos and " + result.late(2) + " orders late of " + result.served());
        }
    }

    @Test
    void theSameSeedGivesTheSameResult() {
        Plan plan = Plan.of(3, Policy.DOOR, 2).patient(5_000_000);
        OverloadResult once = OverloadRun.run(plan);
        OverloadResult again = OverloadRun.run(plan);
        assertEquals(once.service(), again.service());
        assertEquals(once.told(), again.told());
    }

    @Test
    void theCommandComparesAndRepeatsItself() {
        String once = run(0, "--load", "1.2", "--loud", "b=3", "--seeds", "2");
        assertTrue(once.contains("first-come") && once.contains("shares") && once.contains("door"), once);
        assertEquals(once, run(0, "--load", "1.2", "--loud", "b=3", "--seeds", "2"));
    }

    @Test
    void theCommandPlotsWhatItTold(@TempDir Path dir) throws IOException {
        Path svg = dir.resolve("honesty.svg");
        run(0, "--honesty", "--seeds", "1", "--svg", svg.toString());
        String text = Files.readString(svg);
        assertTrue(text.startsWith("<svg") && text.contains("<circle"), text.substring(0, 200));
    }

    @Test
    void badArgumentsAreNamed() {
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
