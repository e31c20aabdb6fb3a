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

/** Which servers each of many nodes uses: as many nodes per server, and more servers for a node with more demand. */
class ApertureTest {
    private static final double CONCURRENCY_PER_SERVER = 4;
    private static final long SECOND_US = 1_000_000;

    private static Aperture aperture(int node, int nodes, int servers) {
        Aperture aperture = new Aperture(node, nodes, CONCURRENCY_PER_SERVER);
        for (int i = 0; i < servers; i++) {
            aperture.add(new Server("s" + i, i, 1, 1));
        }
        return aperture;
    }

    private static List<String> subset(Aperture aperture) {
        List<String> ids = new ArrayList<>();
        aperture.serversToAdd(new IndexedSet<>(0)).forEach(s -> ids.add(s.id));
        return ids;
    }

    /** Records requests, evenly spread over these seconds, that keep this many servers busy; returns the end time. */
    private static long recordRequests(Aperture aperture, long fromUs, int seconds, double busyServers) {
        for (int i = 0; i < seconds * 20; i++) {
            aperture.recordRequest(fromUs + i * 50_000L, busyServers * 50_000);
        }
        return fromUs + seconds * SECOND_US;
    }

    @ParameterizedTest
    @CsvSource({"94, 60", "100, 200", "14, 60", "50, 20", "7, 200", "200, 3", "120, 600", "1024, 1024", "1025, 1025"})
    void spreadsNodesOverServersWithADifferenceOfAtMostOne(int nodes, int servers) {
        Map<String, Integer> nodesByServer = new HashMap<>();
        for (int n = 0; n < nodes; n++) {
            Aperture aperture = aperture(n, nodes, servers);
            assertEquals(aperture.size(), subset(aperture).size());
            subset(aperture).forEach(id -> nodesByServer.merge(id, 1, Integer::sum));
        }
        int min = nodesByServer.values().stream().mapToInt(x -> x).min().orElseThrow();
        int max = nodesByServer.values().stream().mapToInt(x -> x).max().orElseThrow();
        assertEquals(servers, nodesByServer.size(), "servers in use by any node");
        assertTrue(max <= min + 1, min + " to " + max);
        assertTrue(
                min >= 4 || nodes < 4, "a node's fraction of a server is at most one request; minimum nodes: " + min);
    }

    @Test
    void usesAllServersWithFewNodesOrFewServers() {
        assertEquals(60, aperture(2, 4, 60).size());
        assertEquals(4, aperture(2, 4, 60).meanNodesPerServer());
        assertEquals(3, aperture(9, 94, 3).size());
        assertEquals(94, aperture(9, 94, 3).meanNodesPerServer());
        assertEquals(0, aperture(9, 94, 0).size());
        assertEquals(94, aperture(9, 94, 0).meanNodesPerServer());
    }

    @Test
    void widensInProportionToDemandAndNarrowsAfterAWhile() {
        Aperture aperture = aperture(3, 60, 60);
        assertEquals(4, aperture.size());
        // Its fraction of 60 servers' capacity is one server; it is asked for the work of three.
        long timeUs = recordRequests(aperture, SECOND_US, 8, 3);
        assertTrue(aperture.hasChangedSinceLastCheck());
        assertEquals(12, aperture.size());
        // It keeps the servers that it had.
        assertTrue(subset(aperture).containsAll(subset(aperture(3, 60, 60))));
        timeUs = recordRequests(aperture, timeUs, 3, 0.5);
        assertEquals(12, aperture.size(), "a short pause is no change");
        recordRequests(aperture, timeUs, 20, 0.5);
        assertEquals(4, aperture.size());
    }

    @Test
    void ignoresRequestsOfUnknownWork() {
        Aperture aperture = aperture(3, 60, 60);
        for (int i = 0; i < 200; i++) {
            aperture.recordRequest(SECOND_US + i * 50_000L, Double.MAX_VALUE);
        }
        assertEquals(4, aperture.size());
    }

    @Test
    void changesOnlyWithServersOrDemand() {
        Aperture aperture = aperture(3, 60, 60);
        assertTrue(aperture.hasChangedSinceLastCheck());
        assertFalse(aperture.hasChangedSinceLastCheck());
        aperture.add(new Server("s1", 1, 1, 1));
        assertFalse(aperture.hasChangedSinceLastCheck(), "it is present already");
        aperture.remove(new Server("none", 1, 1, 1));
        assertFalse(aperture.hasChangedSinceLastCheck());
        aperture.remove(new Server("s1", 1, 1, 1));
        assertTrue(aperture.hasChangedSinceLastCheck());
    }

    @Test
    void changesAtMostOneServerPerNodeWhenAServerIsAdded() {
        int changes = 0;
        for (int n = 0; n < 94; n++) {
            Set<String> before = new HashSet<>(subset(aperture(n, 94, 60)));
            List<String> after = subset(aperture(n, 94, 61));
            after.removeAll(before);
            changes += after.size();
            assertTrue(after.size() <= 1, "node " + n + " has new " + after);
        }
        assertTrue(changes <= 94, "new servers over all nodes: " + changes);
    }

    /** Returns the requests by server of 94 nodes and 60 servers, one node with this multiple of the others' demand. */
    private static Map<String, Integer> load(int times, Set<String> highDemandServers) {
        Map<String, Integer> load = new HashMap<>();
        for (int n = 0; n < 94; n++) {
            Settings settings = Node.settings();
            settings.nodes = 94;
            settings.node = n;
            Node node = new Node(settings, n).withServers(60);
            int requestsPerSecond = n == 47 ? 5 * times : 5;
            // In the first seconds a node learns its demand.
            for (int second = 0; second < 16; second++) {
                int sent = node.sent.size();
                for (int i = 0; i < requestsPerSecond; i++) {
                    long id = node.sendRequest(Node.UNSAFE);
                    if (node.lastAttempt(id) != null) {
                        node.complete(id, Result.OK, 60_000);
                    }
                    node.advance(Math.max(0, SECOND_US / requestsPerSecond - 60_000));
                }
                if (second >= 8) {
                    for (Node.SentAttempt attempt : node.sent.subList(sent, node.sent.size())) {
                        load.merge(attempt.server(), 1, Integer::sum);
                        if (n == 47) {
                            highDemandServers.add(attempt.server());
                        }
                    }
                }
            }
        }
        return load;
    }

    @Test
    void keepsANodeToItsSubsetAndSpreadsOneWithHighDemand() {
        Set<String> lowDemandServers = new HashSet<>();
        Set<String> highDemandServers = new HashSet<>();
        load(1, lowDemandServers);
        Map<String, Integer> load = load(4, highDemandServers);
        assertEquals(3, lowDemandServers.size());
        assertTrue(highDemandServers.size() >= 6, "servers of a node with three times the load: " + highDemandServers);
        double mean = load.values().stream().mapToInt(x -> x).average().orElseThrow();
        int max = load.values().stream().mapToInt(x -> x).max().orElseThrow();
        assertTrue(max < 1.6 * mean, "maximum " + max + ", mean " + mean);
    }

    @Test
    void widensWhenServersOfTheSubsetFail() {
        Settings settings = Node.settings();
        settings.nodes = 94;
        settings.node = 5;
        Node node = new Node(settings, 2).withServers(60);
        Set<String> failing = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            long id = node.sendRequest(Node.SAFE);
            Node.SentAttempt sent = node.lastAttempt(id);
            failing.add(sent.server());
            node.complete(id, failing.size() <= 3 ? Result.ERROR : Result.OK, 20_000);
            for (Node.SentAttempt more : List.copyOf(node.outstanding)) {
                node.complete(more.request(), failing.contains(more.server()) ? Result.ERROR : Result.OK, 20_000);
            }
            node.advance(100_000);
        }
        assertTrue(failing.size() > 3, "servers sent to: " + failing);
    }

    @Test
    void scalesLimitGrowthByTheNodesPerServer() {
        // Divided by all 94 nodes, a limit grew by a twentieth per good answer, although only five share a server.
        Settings settings = Node.settings();
        settings.nodes = 94;
        settings.node = 5;
        Node node = new Node(settings, 2).withServers(60);
        List<Long> recordRequests = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            recordRequests.add(node.sendRequest(Node.SAFE));
        }
        String server = node.lastAttempt(recordRequests.get(0)).server();
        node.complete(recordRequests.get(0), Result.OK, 20_000);
        double relativeLimit =
                node.balancer.statistics(List.of(server)).servers().get(0).relativeLimit();
        assertTrue(relativeLimit > 1.1 && relativeLimit < 1.2, "limit as a multiple of the first: " + relativeLimit);
    }
}
