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

/** Nodes with two thousand servers, whose lists come in chunks, and full lists that omit most servers. */
@Timeout(300)
class LargeFleetSeedsTest {
    private static final int SERVERS = 2_000;
    private static final int SEEDS = 6;

    /** A seed's faults spread over the fleet, with more failed servers and a shrunken list among them. */
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
        faults.add(new Fault(1_000, Kind.SHRINK_LISTS, 0, 20 + 150 * seed, 0));
        return new Plan(seed, 2, SERVERS, 40, seed % 2 == 0, 400, 3_000, 15, 2, faults, null);
    }

    @Test
    void noRuleIsBrokenWithTwoThousandServers() throws Exception {
        assertNoViolations(new Subsets(0));
    }

    private static void assertNoViolations(Subsets setup) throws Exception {
        Seeds.assertNoViolations(SEEDS, seed -> Simulation.run(plan(seed), setup, null));
    }

    /** Servers that one wrong list omits still get requests, since the next list names them again. */
    @Test
    void oneShrunkenListIsIgnored() {
        SingleNodeScenario scenario = new SingleNodeScenario(3, 40, 1, true);
        int[] sentToOmitted = new int[1];
        for (SimulatedServer server : scenario.servers.subList(4, 40)) {
            server.setScript((socket, request) -> {
                sentToOmitted[0]++;
                return false;
            });
        }
        scenario.discovery.shrinkOneList();
        List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            clients.add(scenario.viewPage(300));
            scenario.runMs(3);
        }
        scenario.runMs(400);
        assertTrue(sentToOmitted[0] > 70, "only " + sentToOmitted[0] + " requests to the omitted servers");
        clients.forEach(a -> assertEquals(200, a.status()));
        scenario.stopAndCheck();
        assertEquals(List.of(), scenario.violations);
    }

    /** A list that stays shrunken takes effect within the grace period of drains. */
    @Test
    void aListThatStaysShrunkenIsObeyed() {
        SingleNodeScenario scenario = new SingleNodeScenario(3, 40, 1, true);
        scenario.discovery.shrinkLists(10_000);
        scenario.runMs(500);
        int[] sentToOmitted = new int[1];
        for (SimulatedServer server : scenario.servers.subList(4, 40)) {
            server.setScript((socket, request) -> {
                sentToOmitted[0]++;
                return false;
            });
        }
        for (int i = 0; i < 30; i++) {
            scenario.viewPage(300);
            scenario.runMs(20);
        }
        assertEquals(0, sentToOmitted[0]);
        scenario.stopAndCheck();
        assertEquals(List.of(), scenario.violations);
    }

    /** Nodes that use a subset of the servers each. */
    private record Subsets(int subsetSize) implements NodeProcess.Setup {
        @Override
        public NodeHooks hooks(SimLoop loop) {
            return NodeHooks.NONE;
        }
    }

    @Test
    void noRuleIsBrokenWithSubsets() throws Exception {
        assertNoViolations(new Subsets(120));
    }

    /** All four servers of a subset die: the node replaces them without any notice of discovery. */
    @Test
    void aNodeWhoseSubsetIsDeadUsesOtherServers() {
        SingleNodeScenario scenario = new SingleNodeScenario(5, 40, 10, new Subsets(4));
        Set<SimulatedServer> used = new HashSet<>();
        for (SimulatedServer server : scenario.servers) {
            server.setScript((socket, request) -> {
                used.add(server);
                return false;
            });
        }
        sendPageViews(scenario, 300);
        assertEquals(4, used.size(), "servers of the subset");
        List.copyOf(used).forEach(SimulatedServer::kill);
        sendPageViews(scenario, 1_500);
        used.clear();
        List<SingleNodeScenario.TestClient> clients = sendPageViews(scenario, 600);
        clients.forEach(a -> assertEquals(200, a.status()));
        assertTrue(used.size() >= 4, used.size() + " other servers");
        scenario.stopAndCheck();
        assertEquals(List.of(), scenario.violations);
    }

    private static List<SingleNodeScenario.TestClient> sendPageViews(SingleNodeScenario scenario, long ms) {
        List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
        for (long i = 0; i < ms; i += 10) {
            clients.add(scenario.viewPage(300));
            scenario.runMs(10);
        }
        scenario.runMs(300);
        return clients;
    }
}
