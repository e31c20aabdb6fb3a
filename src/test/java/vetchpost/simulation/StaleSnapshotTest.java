package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.simulation.world.NodeProcess;
import vetchpost.simulation.world.World;
import vetchpost.state.ConfirmationSource;
import vetchpost.state.ServerRecord;
import vetchpost.state.SnapshotOrigin;
import vetchpost.state.codec.ChunkCodec;

/** Nodes that start with an old snapshot and without a list while discovery is silent. */
@Timeout(300)
class StaleSnapshotTest {
    private static final int SEEDS = 100;
    private static final long HOUR_MS = 3_600_000;
    private static final int LISTED_SERVERS = 12;
    private static final int RUNNING_SERVERS = 20;
    private static final int RETIRED_SERVERS = 3;

    /** A snapshot with twelve of the running servers and three that have been retired since. */
    private static List<byte[]> snapshot(long ageMs) {
        long observedMs = World.EPOCH_MS - ageMs;
        List<ServerRecord> servers = new ArrayList<>();
        for (int i = 0; i < LISTED_SERVERS; i++) {
            servers.add(serverRecord("s-" + i + "-0", "10.1.0." + (i + 1), i % 4, observedMs));
        }
        for (int i = 0; i < RETIRED_SERVERS; i++) {
            servers.add(serverRecord("s-" + (90 + i) + "-0", "10.1.0." + (200 + i), i, observedMs));
        }
        return List.of(ChunkCodec.write(
                0, 1, new SnapshotOrigin(1, observedMs, observedMs - HOUR_MS, 40, Set.of()), List.of(), servers));
    }

    private static ServerRecord serverRecord(String id, String host, int rack, long observedMs) {
        return new ServerRecord(
                new Target(id, new InetSocketAddress(host, 8443), "room", rack, ServerState.READY, 1, 0),
                observedMs,
                ConfirmationSource.LIST,
                0,
                null);
    }

    /**
     * One node. Discovery is silent for twelve seconds, in which one server is drained and one is replaced;
     * another is drained a second later.
     */
    private static Plan plan(long seed, long durationMs) {
        List<Fault> faults = List.of(
                new Fault(0, Fault.Kind.SILENCE_DISCOVERY, 0, 12_000, 0),
                new Fault(13_000, Fault.Kind.DRAIN, 3, 4_000, 0),
                new Fault(4_000, Fault.Kind.DRAIN, 5, 6_000, 0),
                new Fault(7_000, Fault.Kind.REPLACE, 7, 300, 0));
        return new Plan(seed, 1, RUNNING_SERVERS, 4, false, 100, durationMs, 40, 2, faults, null);
    }

    private static NodeProcess.Setup setup(long ageMs) {
        StateKeepingNodes nodes = new StateKeepingNodes(1, true, false) {
            @Override
            public boolean startsWithoutList(int number, int start) {
                return true;
            }
        };
        if (ageMs >= 0) {
            nodes.setDiskChunks(0, snapshot(ageMs));
        }
        return nodes;
    }

    private static Result run(Plan plan, long ageMs) {
        Result result = Simulation.run(plan, setup(ageMs), null);
        assertTrue(
                result.isGood(), () -> "seed " + result.seed() + ": " + result.violation() + result.precedingEvents());
        return result;
    }

    @Test
    void anHourOldListServesNineInTenWithinTenSecondsWhileDiscoveryIsSilent() {
        double[] servedFractions = IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(seed -> {
                    Result result = run(plan(seed, 10_000), HOUR_MS);
                    return result.served() / (double) result.operations();
                })
                .sorted()
                .toArray();
        System.err.println(
                "served " + servedFractions[0] + " " + servedFractions[SEEDS / 2] + " " + servedFractions[SEEDS - 1]);
        assertTrue(servedFractions[0] >= 0.9, "the worst seed served " + servedFractions[0]);
        Result without = run(plan(1, 10_000), -1);
        assertEquals(0, without.served(), "without a snapshot no server is known");
    }

    /** Discovery answers after twelve seconds; the checker finds no request to a drained server from then on. */
    @Test
    void drainsAreObeyedOnceTheListArrives() {
        int served = IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .map(seed -> run(plan(seed, 24_000), HOUR_MS).served())
                .sum();
        assertTrue(served > SEEDS * 2_000, served + " served");
    }

    @Test
    void aWeekOldListServesWhereServersAnswerWithTheirIds() {
        for (long seed = 1; seed <= 20; seed++) {
            Result result = run(plan(seed, 10_000), 7 * 24 * HOUR_MS);
            assertTrue(result.served() > 0.85 * result.operations(), result.served() + " of " + result.operations());
        }
    }
}
