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

/** Each node's part of a fleet: even, lasting, and never all ill. */
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

    /** A node that knows what it is told, and no more. */
    private static final class SimulatedNode {
        private final Subset subset;
        private final Map<String, Target> servers = new HashMap<>();

        SimulatedNode(int node, int nodes, int size, boolean byCell, List<Target> fleet) {
            subset = new Subset(node, nodes, size, byCell);
            apply(ListKind.FULL, fleet);
        }

        void apply(ListKind kind, List<Target> targets) {
            ListChunk slice = subset.filter(new ListChunk(kind, new ServerList(1, kind == ListKind.FULL, targets)));
            assertEquals(kind, slice.kind());
            if (kind != ListKind.CHANGES) {
                servers.clear();
            }
            slice.list().targets().forEach(this::apply);
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

    private static List<SimulatedNode> nodes(int nodes, int size, boolean byCell, List<Target> fleet) {
        List<SimulatedNode> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            all.add(new SimulatedNode(i, nodes, size, byCell, fleet));
        }
        return all;
    }

    /** Nodes at the server with the fewest and with the most of them. */
    private static int[] nodesPerServerRange(List<SimulatedNode> nodes, int fleet) {
        Map<String, Integer> at = new HashMap<>();
        nodes.forEach(n -> n.servers.keySet().forEach(id -> at.merge(id, 1, Integer::sum)));
        int least = at.size() < fleet
                ? 0
                : at.values().stream().mapToInt(n -> n).min().orElse(0);
        return new int[] {least, at.values().stream().mapToInt(n -> n).max().orElse(0)};
    }

    @ParameterizedTest
    @CsvSource({"40, 1000, 50", "40, 1003, 50", "200, 5000, 100", "7, 100, 30", "3, 20, 5"})
    void spreadsNodesOverServersEvenly(int nodes, int servers, int size) {
        List<SimulatedNode> all = nodes(nodes, size, false, fleet(servers));
        all.forEach(n -> assertEquals(Math.min(size, servers), n.servers.size()));
        int[] spread = nodesPerServerRange(all, servers);
        assertTrue(spread[1] - spread[0] <= 1, spread[0] + " to " + spread[1]);
    }

    @Test
    void movesFewServersWhenOneGoes() {
        List<SimulatedNode> before = nodes(40, 50, false, fleet(1_000));
        int moved = 0;
        int most = 0;
        for (int i = 0; i < 20; i++) {
            for (SimulatedNode node : before) {
                Set<String> had = new HashSet<>(node.servers.keySet());
                node.apply(ListKind.CHANGES, List.of(target(i * 37, ServerState.GONE)));
                Set<String> has = new HashSet<>(node.servers.keySet());
                assertEquals(50, has.size());
                has.removeAll(had);
                moved += has.size();
                most = Math.max(most, has.size());
            }
        }
        System.out.println("one server of 1000 gone, 40 nodes of 50: " + moved / 800.0
                + " new servers a node on average, " + most + " at most");
        assertTrue(most <= 2, most + " at one node");
        assertEquals(0, nodesPerServerRange(before, 980)[0] - 2, "two nodes at least at each: 40 x 50 / 980");
    }

    @Test
    void selectsTheSameServersForAnyListOrder() {
        List<Target> turned = new ArrayList<>(fleet(500));
        Collections.reverse(turned);
        for (int i = 0; i < 10; i++) {
            assertEquals(
                    new SimulatedNode(i, 10, 20, false, fleet(500)).servers,
                    new SimulatedNode(i, 10, 20, false, turned).servers);
        }
    }

    /** Repeats of keyed requests stay in a cell: a node has all of it, or nothing. */
    @Test
    void selectsWholeCells() {
        for (SimulatedNode node : nodes(9, 25, true, fleet(400))) {
            Map<Integer, Integer> byCell = new HashMap<>();
            node.servers.values().forEach(t -> byCell.merge(t.cell(), 1, Integer::sum));
            byCell.values().forEach(n -> assertEquals(10, n));
            assertEquals(3, byCell.size());
        }
    }

    @Test
    void replacesDrainingServers() {
        SimulatedNode node = new SimulatedNode(2, 5, 10, false, fleet(100));
        String drained = node.servers.keySet().iterator().next();
        int number = Integer.parseInt(drained.substring(1));
        node.apply(ListKind.CHANGES, List.of(target(number, ServerState.DRAINING)));
        assertEquals(ServerState.DRAINING, node.servers.get(drained).state());
        assertEquals(
                10,
                node.servers.values().stream()
                        .filter(t -> t.state() == ServerState.READY)
                        .count());
        node.apply(ListKind.CHANGES, List.of(target(number, ServerState.GONE)));
        assertEquals(10, node.servers.size());
        int other = 0;
        while (node.servers.containsKey("s" + other)) {
            other++;
        }
        node.apply(ListKind.CHANGES, List.of(target(other, ServerState.DRAINING)));
        assertEquals(10, node.servers.size(), "what is not its own is nothing to it");
    }

    @Test
    void widensWhileServersAreUnhealthyAndNarrowsAfterwards() {
        SimulatedNode node = new SimulatedNode(1, 8, 6, false, fleet(100));
        Set<String> own = Set.copyOf(node.servers.keySet());
        for (int round = 0; round < Subset.UNHEALTHY_FAILURE_COUNT; round++) {
            for (String id : own) {
                node.attemptEnded(id, Result.TIMEOUT, 1_000_000);
            }
        }
        assertTrue(node.servers.size() >= 12, "still " + node.servers.size());
        assertTrue(node.servers.keySet().containsAll(own));
        // Nearly everybody is ill: in the end it has the whole fleet, and goes on with it.
        for (int round = 0; round < 200; round++) {
            for (String id : List.copyOf(node.servers.keySet())) {
                node.attemptEnded(id, Result.CONNECT_FAILED, 2_000_000);
            }
        }
        assertEquals(100, node.servers.size());
        for (long at = 3_000_000; at < 120_000_000; at += 500_000) {
            for (String id : List.copyOf(node.servers.keySet())) {
                node.attemptEnded(id, Result.OK, at);
            }
        }
        assertEquals(own, node.servers.keySet());
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
