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

/** Cuts, kills, restarts and takeovers by seeds; `scale seeds` plays as many as one likes. */
class ReplicationRunTest {
    @Test
    void replicasApplyWholeBatchesAndConvergeAfterFaults() {
        List<String> broken = IntStream.rangeClosed(1, 40)
                .parallel()
                .boxed()
                .flatMap(seed -> ReplicationRun.runSeed(seed, 50, ReplicaFactory.DEFAULT).stream()
                        .map(b -> "seed " + seed + ": " + b))
                .toList();
        assertEquals(List.of(), broken);
    }

    /** Nodes restarted meanwhile begin with what they had, and have the rest within seconds of the return. */
    @Test
    void nodesKeepTheirConfigurationWhileAllControlMachinesAreDown() {
        ConfigurationGenerator drawn = new ConfigurationGenerator(9, 5, 20);
        ReplicationRun run = new ReplicationRun(
                9,
                drawn,
                drawn.generate(200),
                4,
                30,
                new Publisher.Budget(18_000, 4_000, 1_000_000, 400),
                ReplicaFactory.DEFAULT,
                true);
        LightweightFleet hollow = run.fleet();
        hollow.runUntil(5_000_000);
        run.submitBatch(10);
        hollow.runUntil(10_000_000);
        long version = run.writer().store().version();
        run.controls().forEach(c -> run.restart(c, 600_000_000, null));
        for (int i = 0; i < 5; i++) {
            run.submitBatch(50);
        }
        for (int i = 0; i < 30; i += 2) {
            LightweightFleet.Machine node = run.nodes().get(i);
            hollow.schedule(60_000_000L + i * 15_000_000L, () -> run.restart(node, 1_000_000, null));
        }
        hollow.runUntil(605_000_000);
        for (LightweightFleet.Machine node : run.nodes()) {
            assertEquals(version, node.replica().store().version(), node.name() + " has lost what it had");
        }
        hollow.runUntil(625_000_000);
        assertEquals(List.of(), run.laggingMachines());
        assertEquals(List.of(), run.violations());
    }

    private static void assertDetected(String fault, ReplicaFactory planted) {
        for (int seed = 1; seed <= 40; seed++) {
            List<RuleViolation> broken = ReplicationRun.runSeed(seed, 20, planted);
            if (!broken.isEmpty()) {
                System.out.println(fault + ": found by seed " + seed + ", " + broken.get(0));
                return;
            }
        }
        assertTrue(false, fault + " was not found by 40 seeds");
    }

    @Test
    void injectedFaultsAreDetected() {
        assertDetected("a batch in force before it is whole", InjectedFaults::applyingPartialBatches);
        assertDetected("ranges compared without what went away", InjectedFaults::ignoringRemovals);
    }
}
