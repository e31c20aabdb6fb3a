package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Fourteen nodes and a large fleet: nodes killed at once, a rack restarted cold at once, most servers replaced. */
@Timeout(300)
class ManyNodesSeedsTest {
    private static final int NODES = 14;
    private static final int SEEDS = 24;

    @Test
    void noSeedBreaksARule() throws Exception {
        Seeds.assertNoViolations(SEEDS, seed -> Simulation.run(Plan.ofManyNodes(seed, NODES)));
    }

    @Test
    void plansContainManyNodesAndLargeFaults() {
        Set<Fault.Kind> seen = EnumSet.noneOf(Fault.Kind.class);
        for (long seed = 1; seed <= SEEDS; seed++) {
            Plan plan = Plan.ofManyNodes(seed, NODES);
            assertEquals(NODES, plan.nodes());
            assertTrue(plan.servers() >= 40 && plan.servers() <= 60, plan.servers() + " servers");
            plan.faults().forEach(f -> seen.add(f.kind()));
        }
        assertTrue(
                seen.containsAll(List.of(
                        Fault.Kind.CRASH,
                        Fault.Kind.KILL,
                        Fault.Kind.REPLACE,
                        Fault.Kind.DRAIN,
                        Fault.Kind.SILENCE_DISCOVERY,
                        Fault.Kind.DELAY_DISCOVERY,
                        Fault.Kind.SLOW)),
                seen.toString());
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        assertEquals(
                Simulation.run(Plan.ofManyNodes(3, NODES)).digest(),
                Simulation.run(Plan.ofManyNodes(3, NODES)).digest());
    }
}
