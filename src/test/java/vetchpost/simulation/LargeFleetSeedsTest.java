package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.node.NodeHooks;
import vetchpost.simulation.Fault.Kind;
import vetchpost.simulation.net.SimLoop;
import vetchpost.simulation.world.NodeProcess;
import vetchpost.simulation.world.SimulatedServer;

/** Nodes before two thousand boxes, whose lists come in slices, and lists that shrink. */
@Timeout(300)
class LargeFleetSeedsTest {
    private static final int SERVERS = 2_000;
    private static final int SEEDS = 6;

    /** What a seed has go wrong, spread over the fleet, with a shrunken list amid it. */
    private static Plan plan(long seed) {
        List<Fault> faults = new ArrayList<>();
        for (Fault fault : Plan.of(seed).faults()) {
            faults.add(new Fault(
                    fault.atMs() % 3_000,
                    fault.kind(),
                    (int) (fault.target() * 131L % SERVERS),
                    fault.durationMs(),
                    fault.amount()));
        }
        for (int i = 0; i < SERVERS; i += 10) {
            faults.add(new Fault(700 + i / 10, i % 20 == 0 ? Kind.KILL : Kind.FAIL, i, 1_500, 0.8));
        }
        faults.add(new Fault(1_000, Kind.SHRINK, 0, 20 + 150 * seed, 0));
        return new Plan(seed, 2, SERVERS, 40, seed % 2 == 0, 400, 3_000, 15, 2, faults, null);
    }

    @Test
    void noRuleIsBrokenWithTwoThousandServers() throws Exception {
        assertNoneBreaksARule(new Subsets(0));
    }

    private static void assertNoneBreaksARule(Subsets setup) throws Exception {
        Seeds.assertNoViolations(SEEDS, seed -> Simulation.run(plan(seed), setup, null));
    }

    /** The boxes that one wrong list leaves out go on being asked: the next list names them. */
    @Test
    void oneShrunkenListIsIgnored() {
        SingleNodeScenario stage = new SingleNodeScenario(3, 40, 1, true);
        int[] sentToOmitted = new int[1];
        for (SimulatedServer server : stage.servers.subList(4, 40)) {
            server.script((end, request) -> {
                sentToOmitted[0]++;
                return false;
            });
        }
        stage.discovery.shrinkOneList();
        List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            clients.add(stage.viewPage(300));
            stage.runMs(3);
        }
        stage.runMs(400);
        assertTrue(sentToOmitted[0] > 70, "only " + sentToOmitted[0] + " to those that were left out");
        clients.forEach(a -> assertEquals(200, a.status()));
        stage.stopAndCheck();
        assertEquals(List.of(), stage.violations);
    }

    /** One that stays shrunken is obeyed inside the grace of drains. */
    @Test
    void aListThatStaysShrunkenIsObeyed() {
        SingleNodeScenario stage = new SingleNodeScenario(3, 40, 1, true);
        stage.discovery.shrinkLists(10_000);
        stage.runMs(500);
        int[] sentToOmitted = new int[1];
        for (SimulatedServer server : stage.servers.subList(4, 40)) {
            server.script((end, request) -> {
                sentToOmitted[0]++;
                return false;
            });
        }
        for (int i = 0; i < 30; i++) {
            stage.viewPage(300);
            stage.runMs(20);
        }
        assertEquals(0, sentToOmitted[0]);
        stage.stopAndCheck();
        assertEquals(List.of(), stage.violations);
    }

    /** Nodes that have a part of the fleet each. */
    private record Subsets(int subsetSize) implements NodeProcess.Setup {
        @Override
        public NodeHooks hooks(SimLoop loop) {
            return NodeHooks.NONE;
        }
    }

    @Test
    void noRuleIsBrokenWithSubsets() throws Exception {
        assertNoneBreaksARule(new Subsets(120));
    }

    /** The four boxes that a node has all die: it turns to others by itself, with nobody to tell it. */
    @Test
    void aNodeWhoseSubsetIsDeadUsesOtherServers() {
        SingleNodeScenario stage = new SingleNodeScenario(5, 40, 10, new Subsets(4));
        Set<SimulatedServer> used = new HashSet<>();
        for (SimulatedServer server : stage.servers) {
            server.script((end, request) -> {
                used.add(server);
                return false;
            });
        }
        sendPageViews(stage, 300);
        assertEquals(4, used.size(), "a rack, and no more");
        List.copyOf(used).forEach(SimulatedServer::kill);
        sendPageViews(stage, 1_500);
        used.clear();
        List<SingleNodeScenario.TestClient> clients = sendPageViews(stage, 600);
        clients.forEach(a -> assertEquals(200, a.status()));
        assertTrue(used.size() >= 4, used.size() + " others");
        stage.stopAndCheck();
        assertEquals(List.of(), stage.violations);
    }

    private static List<SingleNodeScenario.TestClient> sendPageViews(SingleNodeScenario stage, long ms) {
        List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
        for (long i = 0; i < ms; i += 10) {
            clients.add(stage.viewPage(300));
            stage.runMs(10);
        }
        stage.runMs(300);
        return clients;
    }
}
