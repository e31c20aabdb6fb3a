package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;

/** Fleets of thousands, and lists that do odd things to them. */
class LargeFleetTest {
    private static final int MANY = 10_000;

    private static List<ServerEntry> fleet(int count) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new ServerEntry("s" + i, 0, i / 3, ServerState.READY, 1, 0));
        }
        return entries;
    }

    private static Node node(int count) {
        Node node = new Node();
        node.balancer.onServers(node.now, ListKind.FULL, fleet(count));
        return node;
    }

    private static Node.SentAttempt last(Node node) {
        return node.sent.get(node.sent.size() - 1);
    }

    @Test
    void aKeyedRepeatFindsTheThreeOfItsRackAmongTenThousand() {
        Node node = node(MANY);
        for (int i = 0; i < 50; i++) {
            long id = node.sendRequest(Node.KEYED_CELL);
            String first = last(node).server();
            node.complete(id, Result.RESET, 1_000);
            String second = last(node).server();
            assertEquals(id, last(node).request(), "no repeat was sent");
            assertEquals(Integer.parseInt(first.substring(1)) / 3, Integer.parseInt(second.substring(1)) / 3);
            assertFalse(first.equals(second));
            node.complete(id, Result.OK, 1_000);
        }
    }

    @Test
    void aListThatReordersEverythingChangesNothing() {
        Node node = node(MANY);
        Node same = node(MANY);
        List<ServerEntry> shuffled = new ArrayList<>(fleet(MANY));
        Collections.shuffle(shuffled, new Random(3));
        for (int i = 0; i < 300; i++) {
            if (i % 100 == 50) {
                node.balancer.onServers(node.now, ListKind.FULL, shuffled);
            }
            Result result = i % 7 == 0 ? Result.ERROR : Result.OK;
            node.serve(Node.UNSAFE, result, 1_000);
            same.serve(Node.UNSAFE, result, 1_000);
        }
        assertEquals(same.sent, node.sent);
    }

    @Test
    void aFleetShrinksToOneAndToNoneAndComesBack() {
        Node node = node(MANY);
        node.balancer.onServers(node.now, ListKind.FULL, fleet(1));
        for (int i = 0; i < 20; i++) {
            node.serve(Node.SAFE, Result.OK, 1_000);
        }
        assertEquals(Set.of("s0"), servers(node));
        node.balancer.onServers(node.now, ListKind.FULL, List.of());
        int before = node.sent.size();
        long waits = node.sendRequest(Node.SAFE);
        assertEquals(before, node.sent.size());
        node.balancer.onServers(node.now, ListKind.FULL, fleet(MANY));
        assertEquals(waits, last(node).request(), "what waited goes out when there are servers");
        node.complete(waits, Result.OK, 1_000);
        for (int i = 0; i < 200; i++) {
            node.serve(Node.SAFE, Result.OK, 1_000);
        }
        assertTrue(servers(node).size() > 150);
    }

    private static Set<String> servers(Node node) {
        Set<String> servers = new HashSet<>();
        node.sent.forEach(s -> servers.add(s.server()));
        return servers;
    }

    @Test
    void theLastOfSeveralEntriesOfOneServerHolds() {
        Node node = new Node();
        List<ServerEntry> entries = new ArrayList<>(fleet(4));
        entries.add(new ServerEntry("s0", 0, 0, ServerState.DRAINING, 1, 0));
        entries.add(new ServerEntry("s1", 0, 0, ServerState.GONE, 1, 0));
        entries.add(new ServerEntry("s2", 0, 0, ServerState.GONE, 1, 0));
        entries.addAll(fleet(4).subList(2, 3));
        entries.addAll(fleet(4).subList(3, 4));
        node.balancer.onServers(node.now, ListKind.FULL, entries);
        for (int i = 0; i < 100; i++) {
            node.serve(Node.SAFE, Result.OK, 1_000);
        }
        assertEquals(Set.of("s2", "s3"), servers(node));
    }

    @Test
    void aServerRemovedWhileDrawnIsForgottenWithItsLastAttempt() {
        Node node = node(3);
        long id = node.sendRequest(Node.SAFE);
        String server = last(node).server();
        node.balancer.onServers(
                node.now, ListKind.CHANGES, List.of(new ServerEntry(server, 0, 0, ServerState.GONE, 1, 0)));
        node.complete(id, Result.RESET, 1_000);
        assertFalse(last(node).server().equals(server));
        node.complete(id, Result.OK, 1_000);
        // It comes back as one that nobody has failed at.
        node.balancer.onServers(
                node.now, ListKind.CHANGES, List.of(new ServerEntry(server, 0, 0, ServerState.READY, 1, 0)));
        int before = node.sent.size();
        for (int i = 0; i < 300; i++) {
            node.serve(Node.SAFE, Result.OK, 1_000);
        }
        long back = node.sent.subList(before, node.sent.size()).stream()
                .filter(s -> s.server().equals(server))
                .count();
        assertTrue(back > 60, back + " of 300");
    }

    /** Everything fails, so that every weight changes at once; then everything is served. */
    @Test
    void allServersFailAtOnceAndRecover() {
        Node node = node(1_000);
        for (int i = 0; i < 4_000; i++) {
            node.serve(Node.UNSAFE, Result.ERROR, 1_000);
        }
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < 8_000; i++) {
            long id = node.sendRequest(Node.UNSAFE);
            served.merge(last(node).server(), 1, Integer::sum);
            node.complete(id, Result.OK, 1_000);
        }
        // Whoever answers first is preferred until the others' failures are forgotten, and still nobody is
        // crowded.
        assertTrue(served.size() > 250, served.size() + " of 1000");
        assertTrue(served.values().stream().mapToInt(n -> n).max().orElse(0) < 100);
    }

    @Test
    void sizesOutOfAllMeasureAreBounded() {
        Node node = new Node();
        node.balancer.onServers(
                node.now,
                ListKind.FULL,
                List.of(
                        new ServerEntry("a", 0, 0, ServerState.READY, Double.MAX_VALUE, 0),
                        new ServerEntry("b", 0, 0, ServerState.READY, Double.POSITIVE_INFINITY, 0),
                        new ServerEntry("c", 0, 0, ServerState.READY, Double.NaN, 0),
                        new ServerEntry("d", 0, 0, ServerState.READY, Double.MIN_VALUE, 0)));
        for (int i = 0; i < 50; i++) {
            node.serve(Node.SAFE, Result.OK, 1_000);
        }
        assertEquals(50, node.sent.size());
        assertTrue(servers(node).contains("a") && servers(node).contains("b"));
    }
}
