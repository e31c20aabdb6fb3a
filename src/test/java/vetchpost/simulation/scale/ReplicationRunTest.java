package vetchpost.simulation.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import vetchpost.replication.InjectedFaults;
import vetchpost.replication.Publisher;
import vetchpost.simulation.scale.ReplicationRun.ReplicaFactory;
import vetchpost.simulation.scale.ReplicationRun.RuleViolation;

/** Runs replication under random faults for a few seeds; the command {@code scale seeds} runs more. */
class ReplicationRunTest {
    @Test
    void replicasApplyWholeBatchesAndConvergeAfterFaults() {
        List<String> violations = IntStream.rangeClosed(1, 40)
                .parallel()
                .boxed()
                .flatMap(seed -> ReplicationRun.runSeed(seed, 50, ReplicaFactory.DEFAULT).stream()
                        .map(violation -> "seed " + seed + ": " + violation))
                .toList();
        assertEquals(List.of(), violations);
    }

    /**
     * Nodes that restart during a ten-minute outage of all control machines must not lose their configuration, and must
     * catch up within seconds after it.
     */
    @Test
    void nodesKeepTheirConfigurationWhileAllControlMachinesAreDown() {
        ConfigurationGenerator generator = new ConfigurationGenerator(9, 5, 20);
        ReplicationRun run = new ReplicationRun(
                9,
                generator,
                generator.generate(200),
                4,
                30,
                new Publisher.Budget(18_000, 4_000, 1_000_000, 400),
                ReplicaFactory.DEFAULT,
                true);
        LightweightFleet fleet = run.fleet();
        fleet.runUntil(5_000_000);
        run.submitBatch(10);
        fleet.runUntil(10_000_000);
        long version = run.writer().store().version();
        run.controls().forEach(control -> run.restart(control, 600_000_000, null));
        for (int i = 0; i < 5; i++) {
            run.submitBatch(50);
        }
        for (int i = 0; i < 30; i += 2) {
            LightweightFleet.Machine node = run.nodes().get(i);
            fleet.schedule(60_000_000L + i * 15_000_000L, () -> run.restart(node, 1_000_000, null));
        }
        fleet.runUntil(605_000_000);
        for (LightweightFleet.Machine node : run.nodes()) {
            assertEquals(
                    version, node.replica().store().version(), node.name() + " changed its version during the outage");
        }
        fleet.runUntil(625_000_000);
        assertEquals(List.of(), run.laggingMachines());
        assertEquals(List.of(), run.violations());
    }

    private static void assertDetected(String fault, ReplicaFactory faultyReplicas) {
        for (int seed = 1; seed <= 40; seed++) {
            List<RuleViolation> violations = ReplicationRun.runSeed(seed, 20, faultyReplicas);
            if (!violations.isEmpty()) {
                System.out.println(fault + ": detected by seed " + seed + ", " + violations.get(0));
                return;
            }
        }
        assertTrue(false, fault + " was not detected by 40 seeds");
    }

    @Test
    void injectedFaultsAreDetected() {
        assertDetected("partial batches are applied", InjectedFaults::applyingPartialBatches);
        assertDetected("removals are ignored when ranges are compared", InjectedFaults::ignoringRemovals);
    }
}
