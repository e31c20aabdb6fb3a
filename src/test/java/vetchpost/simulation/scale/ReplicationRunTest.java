package vetchpost.simulation.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import vetchpost.replication.InjectedFaults;
import vetchpost.replication.Publisher;
import vetchpost.simulation.scale.ReplicationRun.Broken;
import vetchpost.simulation.scale.ReplicationRun.Replicas;

/** Cuts, kills, restarts and takeovers by seeds; `scale seeds` plays as many as one likes. */
class ReplicationRunTest {
    @Test
    void whateverHappensNoHalfBatchIsInForceAndAllAreTheSameInTheEnd() {
        List<String> broken = IntStream.rangeClosed(1, 40)
                .parallel()
                .boxed()
                .flatMap(seed ->
                        ReplicationRun.seed(seed, 50, Replicas.REAL).stream().map(b -> "seed " + seed + ": " + b))
                .toList();
        assertEquals(List.of(), broken);
    }

    /** Nodes restarted meanwhile begin with what they had, and have the rest within seconds of the return. */
    @Test
    void withAllControlMachinesAwayForTenMinutesNodesKeepWhatTheyHave() {
        Configurations drawn = new Configurations(9, 5, 20);
        ReplicationRun run = new ReplicationRun(
                9,
                drawn,
                drawn.whole(200),
                4,
                30,
                new Publisher.Budget(18_000, 4_000, 1_000_000, 400),
                Replicas.REAL,
                true);
        LightweightFleet hollow = run.hollow();
        hollow.run(5_000_000);
        run.change(10);
        hollow.run(10_000_000);
        long version = run.writer().store().version();
        run.controls().forEach(c -> run.restart(c, 600_000_000, null));
        for (int i = 0; i < 5; i++) {
            run.change(50);
        }
        for (int i = 0; i < 30; i += 2) {
            LightweightFleet.Machine node = run.nodes().get(i);
            hollow.at(60_000_000L + i * 15_000_000L, () -> run.restart(node, 1_000_000, null));
        }
        hollow.run(605_000_000);
        for (LightweightFleet.Machine node : run.nodes()) {
            assertEquals(version, node.replica().store().version(), node.name() + " has lost what it had");
        }
        hollow.run(625_000_000);
        assertEquals(List.of(), run.behind());
        assertEquals(List.of(), run.broken());
    }

    private static void caught(String fault, Replicas planted) {
        for (int seed = 1; seed <= 40; seed++) {
            List<Broken> broken = ReplicationRun.seed(seed, 20, planted);
            if (!broken.isEmpty()) {
                System.out.println(fault + ": found by seed " + seed + ", " + broken.get(0));
                return;
            }
        }
        assertTrue(false, fault + " was not found by 40 seeds");
    }

    @Test
    void plantedFaultsAreFound() {
        caught("a batch in force before it is whole", InjectedFaults::applyingPartialBatches);
        caught("ranges compared without what went away", InjectedFaults::ignoringRemovals);
    }
}
