package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.node.NodeHooks;

/** The node's network code with the faults of a thousand seeds. */
@Timeout(600)
class SeedsTest {
    private static final int SEEDS = 1_000;

    @Test
    void noSeedBreaksARule() throws Exception {
        Seeds.assertNoViolations(SEEDS, seed -> Simulation.run(Plan.of(seed)));
    }

    /** Nodes keep snapshots and ask each other for state; half of the restarts have no list. */
    @Test
    void noSeedBreaksARuleWithRecovery() throws Exception {
        Seeds.assertNoViolations(SEEDS / 4, seed -> {
            Plan plan = Plan.of(seed);
            return Simulation.run(plan, StateKeepingNodes.of(plan), null);
        });
    }

    /** Each node has admission control, and recovery as above. */
    @Test
    void noSeedBreaksARuleWithAdmissionControl() throws Exception {
        Seeds.assertNoViolations(SEEDS / 4, seed -> {
            Plan plan = Plan.of(seed);
            return Simulation.run(plan, new AdmissionControlledNodes(StateKeepingNodes.of(plan)), null);
        });
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        for (long seed = 1; seed <= 20; seed++) {
            Result first = Simulation.run(Plan.of(seed));
            Result second = Simulation.run(Plan.of(seed));
            assertEquals(first.digest(), second.digest());
            assertEquals(first.events(), second.events());
            Plan plan = Plan.of(seed);
            AdmissionControlledNodes admissionControlled = new AdmissionControlledNodes(loop -> NodeHooks.NONE);
            assertEquals(
                    Simulation.run(plan, admissionControlled, null).digest(),
                    Simulation.run(plan, admissionControlled, null).digest());
        }
    }
}
