package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.Settings;

/** Which servers each of many nodes has: as many nodes for each, more for a node that is asked for more. */
class ApertureTest {
    private static final double CONCURRENCY_PER_SERVER = 4;
    private static final long SECOND_US = 1_000_000;

    private static Aperture of(int node, int nodes, int servers) {
        Aperture aperture = new Aperture(node, nodes, CONCURRENCY_PER_SERVER);
        for (int i = 0; i < servers; i++) {
            aperture.add(new Server("s" + i, i, 1, 1));
        }
        return aperture;
    }

    private static List<String> part(Aperture aperture) {
        List<String> ids = new ArrayList<>();
        aperture.serversToAdd(new IndexedSet<>(0)).forEach(s -> ids.add(s.id));
        return ids;
    }

    /** Requests that take servers so long, evenly spread over so many seconds. */
    private static long asked(Aperture aperture, long fromUs, int seconds, double busyServers) {
        for (int i = 0; i < seconds * 20; i++) {
            aperture.recordRequest(fromUs + i * 50_000L, busyServers * 50_000);
        }
        return fromUs + seconds * SECOND_US;
    }

    @ParameterizedTest
    @CsvSource({"94, 60", "100, 200", "14, 60", "50, 20", "7, 200", "200, 3", "120, 600", "1024, 1024", "1025, 1025"})
    void eachServerHasAsManyNodesAsAnyOtherButForOne(int nodes, int servers) {
        Map<String, Integer> has = new HashMap<>();
        for (int n = 0; n < nodes; n++) {
            Aperture aperture = of(n, nodes, servers);
            assertEquals(aperture.size(), part(aperture).size());
            part(aperture).forEach(id -> has.merge(id, 1, Integer::sum));
        }
        int least = has.values().stream().mapToInt(x -> x).min().orElseThrow();
        int most = has.values().stream().mapToInt(x -> x).max().orElseThrow();
        assertEquals(servers, has.size(), "servers that any node has");
        assertTrue(most <= least + 1, least + " to " + most);
        assertTrue(least >= 4 || nodes < 4, "a node's part of a server is one request at most: " + least);
    }

    @Test
    void fewNodesHaveAllServersAndSoHaveManyWithFewServers() {
        assertEquals(60, of(2, 4, 60).size());
        assertEquals(4, of(2, 4, 60).meanNodesPerServer());
        assertEquals(3, of(9, 94, 3).size());
        assertEquals(94, of(9, 94, 3).meanNodesPerServer());
        assertEquals(0, of(9, 94, 0).size());
        assertEquals(94, of(9, 94, 0).meanNodesPerServer());
    }

    @Test
    void aNodeThatIsAskedForMoreThanItsPartTakesAsManyTimesAsMuch() {
        Aperture aperture = of(3, 60, 60);
        assertEquals(4, aperture.size());
        // Its part of what 60 servers can do is one server's; it is asked for the work of three.
        long at = asked(aperture, SECOND_US, 8, 3);
        assertTrue(aperture.hasChangedSinceLastCheck());
        assertEquals(12, aperture.size());
        // What it had stays.
        assertTrue(part(aperture).containsAll(part(of(3, 60, 60))));
        at = asked(aperture, at, 3, 0.5);
        assertEquals(12, aperture.size(), "a short pause is no change");
        asked(aperture, at, 20, 0.5);
        assertEquals(4, aperture.size());
    }

    @Test
    void workThatIsNotKnownCountsForNothing() {
        Aperture aperture = of(3, 60, 60);
        for (int i = 0; i < 200; i++) {
            aperture.recordRequest(SECOND_US + i * 50_000L, Double.MAX_VALUE);
        }
        assertEquals(4, aperture.size());
    }

    @Test
    void itMovesOnlyWhenServersOrItsWidthDo() {
        Aperture aperture = of(3, 60, 60);
        assertTrue(aperture.hasChangedSinceLastCheck());
        assertFalse(aperture.hasChangedSinceLastCheck());
        aperture.add(new Server("s1", 1, 1, 1));
        assertFalse(aperture.hasChangedSinceLastCheck(), "it stands there already");
        aperture.remove(new Server("none", 1, 1, 1));
        assertFalse(aperture.hasChangedSinceLastCheck());
        aperture.remove(new Server("s1", 1, 1, 1));
        assertTrue(aperture.hasChangedSinceLastCheck());
    }

    @Test
    void oneServerMoreMovesNoNodesPartByMoreThanAStep() {
        int changes = 0;
        for (int n = 0; n < 94; n++) {
            Set<String> before = new HashSet<>(part(of(n, 94, 60)));
            List<String> after = part(of(n, 94, 61));
            after.removeAll(before);
            changes += after.size();
            assertTrue(after.size() <= 1, "node " + n + " has new " + after);
        }
        assertTrue(changes <= 94, "new ones over all nodes: " + changes);
    }

    /** What 94 nodes before 60 servers send, if one is asked so many times as much as the others. */
    private static Map<String, Integer> load(int times, Set<String> byHot) {
        Map<String, Integer> load = new HashMap<>();
        for (int n = 0; n < 94; n++) {
            Settings set = Node.settings();
            set.nodes = 94;
            set.node = n;
            Node node = new Node(set, n).withServers(60);
            int asks = n == 47 ? 5 * times : 5;
            // The first seconds are for what a node learns of its part.
            for (int second = 0; second < 16; second++) {
                int sent = node.sent.size();
                for (int i = 0; i < asks; i++) {
                    long id = node.sendRequest(Node.UNSAFE);
                    if (node.lastAttempt(id) != null) {
                        node.complete(id, Result.OK, 60_000);
                    }
                    node.advance(Math.max(0, SECOND_US / asks - 60_000));
                }
                if (second >= 8) {
                    for (Node.SentAttempt each : node.sent.subList(sent, node.sent.size())) {
                        load.merge(each.server(), 1, Integer::sum);
                        if (n == 47) {
                            byHot.add(each.server());
                        }
                    }
                }
            }
        }
        return load;
    }

    @Test
    void aNodeOfManyKeepsToItsPartAndALoudOneSpreads() {
        Set<String> quiet = new HashSet<>();
        Set<String> loud = new HashSet<>();
        load(1, quiet);
        Map<String, Integer> load = load(4, loud);
        assertEquals(3, quiet.size());
        assertTrue(loud.size() >= 6, "servers of a node with thrice the load and more: " + loud);
        double mean = load.values().stream().mapToInt(x -> x).average().orElseThrow();
        int most = load.values().stream().mapToInt(x -> x).max().orElseThrow();
        assertTrue(most < 1.6 * mean, "most " + most + ", in the mean " + mean);
    }

    @Test
    void aNodeWhoseServersAreIllTakesOthers() {
        Settings set = Node.settings();
        set.nodes = 94;
        set.node = 5;
        Node node = new Node(set, 2).withServers(60);
        Set<String> ill = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            long id = node.sendRequest(Node.SAFE);
            Node.SentAttempt sent = node.lastAttempt(id);
            ill.add(sent.server());
            node.complete(id, ill.size() <= 3 ? Result.ERROR : Result.OK, 20_000);
            for (Node.SentAttempt more : List.copyOf(node.outstanding)) {
                node.complete(more.request(), ill.contains(more.server()) ? Result.ERROR : Result.OK, 20_000);
            }
            node.advance(100_000);
        }
        assertTrue(ill.size() > 3, "servers sent to: " + ill);
    }

    @Test
    void limitsGrowAsTheNodesAtAServerAreManyAndNotAllNodes() {
        // By all of 94 a limit grew by a twentieth for a good answer, where five share a server.
        Settings set = Node.settings();
        set.nodes = 94;
        set.node = 5;
        Node node = new Node(set, 2).withServers(60);
        List<Long> asked = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            asked.add(node.sendRequest(Node.SAFE));
        }
        String server = node.lastAttempt(asked.get(0)).server();
        node.complete(asked.get(0), Result.OK, 20_000);
        double grown =
                node.balancer.statistics(List.of(server)).servers().get(0).relativeLimit();
        assertTrue(grown > 1.1 && grown < 1.2, "limit as a multiple of the first: " + grown);
    }
}
