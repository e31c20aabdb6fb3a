package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a checker that misses faults: every injected fault is found within 200 seeds. */
@Timeout(300)
class InjectedFaultsTest {
    private static final int SEEDS = 200;

    @ParameterizedTest
    @EnumSource
    void everyInjectedFaultIsCaught(InjectedFaults fault) {
        Result caught = null;
        for (long seed = 1; seed <= SEEDS && caught == null; seed++) {
            Result result = Simulation.run(Plan.of(seed), fault, null);
            caught = result.isGood() ? null : result;
        }
        assertNotNull(caught, fault + " is not found by any seed");
        System.out.println(fault + " is found by seed " + caught.seed() + ": "
                + caught.violation().description());
        assertEquals(fault.rule, caught.violation().rule(), caught.violation().description());
    }
}
