package vetchpost.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import vetchpost.core.ServerList.Target;
import vetchpost.core.ServerListQueue.ListChunk;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerState;

/**
 * Each node's subset of a fleet: spread evenly over the servers, changed little by a change of the fleet, and widened
 * while most of its servers are unhealthy, so that a node never depends on unhealthy servers only.
 */
class SubsetTest {
    private static Target target(int i, ServerState state) {
        return new Target(
                "s" + i, new InetSocketAddress("10.0." + i / 200 + "." + i % 200, 80), "z", i / 10, state, 1, 0);
    }

    private static List<Target> fleet(int count) {
        List<Target> fleet = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            fleet.add(target(i, ServerState.READY));
        }
        return fleet;
    }

    /** A node that applies what its subset passes on. */
    private static final class SimulatedNode {
        private final Subset subset;
        private final Map<String, Target> servers = new HashMap<>();

        SimulatedNode(int index, int nodeCount, int minServers, boolean selectsWholeCells, List<Target> fleet) {
            subset = new Subset(index, nodeCount, minServers, selectsWholeCells);
            apply(ListKind.FULL, fleet);
        }

        void apply(ListKind kind, List<Target> targets) {
            ListChunk chunk = subset.filter(new ListChunk(kind, new ServerList(1, kind == ListKind.FULL, targets)));
            assertEquals(kind, chunk.kind());
            if (kind != ListKind.CHANGES) {
                servers.clear();
            }
            chunk.list().targets().forEach(this::apply);
        }

        private void apply(Target target) {
            if (target.state() == ServerState.GONE) {
                servers.remove(target.id());
            } else {
                servers.put(target.id(), target);
            }
        }

        void attemptEnded(String id, Result result, long nowUs) {
            subset.onAttemptEnded(id, result, nowUs).forEach(this::apply);
        }
    }

    private static List<SimulatedNode> nodes(
            int nodeCount, int minServers, boolean selectsWholeCells, List<Target> fleet) {
        List<SimulatedNode> all = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            all.add(new SimulatedNode(i, nodeCount, minServers, selectsWholeCells, fleet));
        }
        return all;
    }

    /** The least and the greatest number of nodes at one server. */
    private static int[] nodesPerServerRange(List<SimulatedNode> nodes, int serverCount) {
        Map<String, Integer> nodesByServer = new HashMap<>();
        nodes.forEach(n -> n.servers.keySet().forEach(id -> nodesByServer.merge(id, 1, Integer::sum)));
        int min = nodesByServer.size() < serverCount
                ? 0
                : nodesByServer.values().stream().mapToInt(n -> n).min().orElse(0);
        return new int[] {
            min, nodesByServer.values().stream().mapToInt(n -> n).max().orElse(0)
        };
    }

    @ParameterizedTest
    @CsvSource({"40, 1000, 50", "40, 1003, 50", "200, 5000, 100", "7, 100, 30", "3, 20, 5"})
    void spreadsNodesOverServersEvenly(int nodeCount, int serverCount, int minServers) {
        List<SimulatedNode> simulatedNodes = nodes(nodeCount, minServers, false, fleet(serverCount));
        simulatedNodes.forEach(n -> assertEquals(Math.min(minServers, serverCount), n.servers.size()));
        int[] range = nodesPerServerRange(simulatedNodes, serverCount);
        assertTrue(range[1] - range[0] <= 1, range[0] + " to " + range[1]);
    }

    @Test
    void movesFewServersWhenOneGoes() {
        List<SimulatedNode> nodes = nodes(40, 50, false, fleet(1_000));
        int movedTotal = 0;
        int maxMoved = 0;
        for (int i = 0; i < 20; i++) {
            for (SimulatedNode node : nodes) {
                Set<String> idsBefore = new HashSet<>(node.servers.keySet());
                node.apply(ListKind.CHANGES, List.of(target(i * 37, ServerState.GONE)));
                Set<String> newIds = new HashSet<>(node.servers.keySet());
                assertEquals(50, newIds.size());
                newIds.removeAll(idsBefore);
                movedTotal += newIds.size();
                maxMoved = Math.max(maxMoved, newIds.size());
            }
        }
        System.out.println("one server of 1000 gone, 40 nodes of 50: " + movedTotal / 800.0
                + " new servers a node on average, " + maxMoved + " at most");
        assertTrue(maxMoved <= 2, maxMoved + " at one node");
        assertEquals(0, nodesPerServerRange(nodes, 980)[0] - 2, "at least two nodes at each server: 40 x 50 / 980");
    }

    @Test
    void selectsTheSameServersForAnyListOrder() {
        List<Target> reversed = new ArrayList<>(fleet(500));
        Collections.reverse(reversed);
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    new SimulatedNode(i, 10, 20, false, fleet(500)).servers,
                    new SimulatedNode(i, 10, 20, false, reversed).servers);
        }
    }

    /** Retries of keyed requests must stay in a cell, so a node has all servers of a cell or none. */
    @Test
    void selectsWholeCells() {
        for (SimulatedNode node : nodes(9, 25, true, fleet(400))) {
            Map<Integer, Integer> byCell = new HashMap<>();
            node.servers.values().forEach(target -> byCell.merge(target.cell(), 1, Integer::sum));
            byCell.values().forEach(n -> assertEquals(10, n));
            assertEquals(3, byCell.size());
        }
    }

    @Test
    void replacesDrainingServers() {
        SimulatedNode node = new SimulatedNode(2, 5, 10, false, fleet(100));
        String drained = node.servers.keySet().iterator().next();
        int drainedIndex = Integer.parseInt(drained.substring(1));
        node.apply(ListKind.CHANGES, List.of(target(drainedIndex, ServerState.DRAINING)));
        assertEquals(ServerState.DRAINING, node.servers.get(drained).state());
        assertEquals(
                10,
                node.servers.values().stream()
                        .filter(target -> target.state() == ServerState.READY)
                        .count());
        node.apply(ListKind.CHANGES, List.of(target(drainedIndex, ServerState.GONE)));
        assertEquals(10, node.servers.size());
        int otherIndex = 0;
        while (node.servers.containsKey("s" + otherIndex)) {
            otherIndex++;
        }
        node.apply(ListKind.CHANGES, List.of(target(otherIndex, ServerState.DRAINING)));
        assertEquals(10, node.servers.size(), "changes of servers outside the subset are ignored");
    }

    @Test
    void widensWhileServersAreUnhealthyAndNarrowsAfterwards() {
        SimulatedNode node = new SimulatedNode(1, 8, 6, false, fleet(100));
        Set<String> ownServers = Set.copyOf(node.servers.keySet());
        for (int round = 0; round < Subset.UNHEALTHY_FAILURE_COUNT; round++) {
            for (String id : ownServers) {
                node.attemptEnded(id, Result.TIMEOUT, 1_000_000);
            }
        }
        assertTrue(node.servers.size() >= 12, "still " + node.servers.size());
        assertTrue(node.servers.keySet().containsAll(ownServers));
        // Nearly all servers are unhealthy: the subset grows to the whole fleet and stays that way.
        for (int round = 0; round < 200; round++) {
            for (String id : List.copyOf(node.servers.keySet())) {
                node.attemptEnded(id, Result.CONNECT_FAILED, 2_000_000);
            }
        }
        assertEquals(100, node.servers.size());
        for (long nowUs = 3_000_000; nowUs < 120_000_000; nowUs += 500_000) {
            for (String id : List.copyOf(node.servers.keySet())) {
                node.attemptEnded(id, Result.OK, nowUs);
            }
        }
        assertEquals(ownServers, node.servers.keySet());
    }

    @Test
    void countsNeitherFullNorCancelledAsUnhealthy() {
        SimulatedNode node = new SimulatedNode(1, 8, 6, false, fleet(100));
        for (int i = 0; i < 50; i++) {
            for (String id : List.copyOf(node.servers.keySet())) {
                node.attemptEnded(id, i % 2 == 0 ? Result.FULL : Result.CANCELLED, 1_000_000);
            }
        }
        assertEquals(6, node.servers.size());
    }

    @Test
    void rejectsArgumentsOutOfRange() {
        assertThrows(IllegalArgumentException.class, () -> new Subset(3, 3, 5, false));
        assertThrows(IllegalArgumentException.class, () -> new Subset(0, 3, 0, false));
        assertThrows(IllegalArgumentException.class, () -> new Subset(-1, 3, 5, false));
    }
}
