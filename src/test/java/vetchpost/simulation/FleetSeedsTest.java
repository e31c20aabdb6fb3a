package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import vetchpost.simulation.fleet.FleetRun;
import vetchpost.simulation.fleet.FleetRun.DetectionMode;
import vetchpost.simulation.fleet.FleetRun.Outcome;

/** Runs of the fleet simulation with wrong sources, wrong health checks and faulty servers over a few seeds. */
class FleetSeedsTest {
    private static final int SEEDS = 40;

    @Test
    void noRuleIsBroken() {
        double served = 0;
        for (DetectionMode watch : List.of(DetectionMode.REQUESTS, DetectionMode.BOTH)) {
            List<Outcome> outcomes = LongStream.rangeClosed(1, SEEDS)
                    .parallel()
                    .mapToObj(seed -> FleetRun.run(seed, watch))
                    .toList();
            for (int i = 0; i < SEEDS; i++) {
                assertEquals(List.of(), outcomes.get(i).violations(), "seed " + (i + 1) + " by " + watch);
                served += (double) outcomes.get(i).served() / outcomes.get(i).requests() / SEEDS / 2;
            }
        }
        assertTrue(served > 0.99, "served " + served);
    }

    @Test
    void noRuleIsBrokenWithOperators() {
        LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .forEach(seed -> assertEquals(
                        List.of(), FleetRun.run(seed, DetectionMode.BOTH, true).violations(), "seed " + seed));
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        assertEquals(FleetRun.run(7, DetectionMode.BOTH), FleetRun.run(7, DetectionMode.BOTH));
    }
}
