package vetchpost.simulation.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import vetchpost.replication.Planted;
import vetchpost.simulation.scale.ReplicationRun.Broken;
import vetchpost.simulation.scale.ReplicationRun.Replicas;

/** Cuts, kills, restarts and takeovers by seeds; `scale seeds` plays as many as one likes. */
class ReplicationRunTest {
    @Test
    void whateverHappensNoHalfBatchIsInForceAndAllAreTheSameInTheEnd() {
        List<String> broken = IntStream.rangeClosed(1, 40).parallel().boxed().flatMap(seed ->
                ReplicationRun.seed(seed, 50, Replicas.REAL).stream().map(b -> "seed " + seed + ": "
                        + b)).toList();
        assertEquals(List.of(), broken);
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
        caught("a batch in force before it is whole", Planted::hasty);
        caught("ranges compared without what went away", Planted::hoarding);
    }
}
