package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.RetryLimits;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.UnservedReason;

/** Candidates and reasons are reported as they are, and asking for them changes no decision. */
class ExplanationTest {
    /** A node that asks for candidates and reasons. */
    private static Node node(Settings settings) {
        Node node = new Node(settings, 7);
        node.wantsExplanations = true;
        return node;
    }

    @Test
    void reportsTheReasonForARequestThatIsNeverSent() {
        Node node = node(Node.settings());
        long unserved = node.sendRequest(Node.SAFE);
        node.advance(1_000_000);
        assertEquals(UnservedReason.NO_CAPACITY, node.reasons.get(unserved));
        node.withServers(2);
        long stale = 1_000;
        node.balancer.onRequest(node.now, new Request(stale, Node.SAFE, -1, 500_000, 0, false, 300_000));
        assertEquals(UnservedReason.TOO_LATE_ON_ARRIVAL, node.reasons.get(stale));
        node.balancer.onRequest(node.now, new Request(stale + 1, Node.SAFE, -1, 800_000, 0, false, 150_000));
        assertEquals(UnservedReason.EVENT_LOOP_DELAY, node.reasons.get(stale + 1));
    }

    @Test
    void reportsTheReasonForARequestThatMayNotBeRetried() {
        Node node = node(Node.settings()).withServers(4);
        long unsafe = node.sendRequest(Node.UNSAFE);
        node.complete(unsafe, Result.ERROR, 1_000);
        assertEquals(UnservedReason.MAY_HAVE_RUN, node.reasons.get(unsafe));
        long exhausted = node.sendRequest(Node.SAFE);
        for (int i = 0; i < 4; i++) {
            node.complete(exhausted, Result.ERROR, 1_000);
        }
        assertEquals(UnservedReason.ATTEMPTS_EXHAUSTED, node.reasons.get(exhausted));
        long slow = node.sendRequest(Node.SAFE);
        node.complete(slow, Result.ERROR, 250_000);
        assertEquals(UnservedReason.DEADLINE_EXCEEDED, node.reasons.get(slow));
        long bounded = 2_000;
        node.balancer.onRequest(
                node.now, new Request(bounded, Node.SAFE, -1, 1_000_000, 0, false, 0, 0, new RetryLimits() {
                    @Override
                    public int maxAttempts() {
                        return 1;
                    }
                }));
        node.complete(bounded, Result.ERROR, 1_000);
        assertEquals(UnservedReason.ROUTE_LIMIT, node.reasons.get(bounded));
    }

    @Test
    void reportsAnExpiredDeduplicationWindow() {
        Settings settings = Node.settingsWithLateValue();
        Node node = node(settings).withServers(4);
        long keyed = node.sendRequest(Node.KEYED_ALL);
        node.complete(keyed, Result.ERROR, 450_000);
        assertEquals(UnservedReason.DEDUPLICATION_WINDOW_EXPIRED, node.reasons.get(keyed));
    }

    @Test
    void reportsBothCandidatesWithLoadAndLimit() {
        Node node = node(Node.settings()).withServers(2);
        long first = node.sendRequest(Node.SAFE);
        long second = node.sendRequest(Node.SAFE);
        List<Candidate> both = node.candidates.get(second);
        assertEquals(2, both.size());
        Candidate busy = both.stream()
                .filter(c -> c.serverId().equals(node.lastAttempt(first).server()))
                .findFirst()
                .orElseThrow();
        assertEquals(1, busy.inFlight());
        assertEquals(4, busy.limit());
        assertTrue(!busy.serverId().equals(node.lastAttempt(second).server()), "the busier one was chosen");
    }

    private static String explain(Node node, String server) {
        return String.join("; ", node.balancer.explainServer(node.now, server));
    }

    @Test
    void explainsWhyAServerGetsNothing() {
        Node node = new Node().withServers(3);
        assertEquals("", explain(node, "s0"));
        assertEquals("it is not in the server list", explain(node, "s9"));
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s1", 0, 0, ServerState.DRAINING, 1, 0)));
        assertTrue(explain(node, "s1").startsWith("it drains"), explain(node, "s1"));
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s3", 0, 0, ServerState.READY, 1, node.now)));
        assertTrue(
                explain(node, "s3").contains("it is in slow start, and gets its next request in "),
                explain(node, "s3"));
        for (int i = 0; i < 12; i++) {
            node.sendRequest(Node.UNSAFE);
        }
        assertTrue(explain(node, "s0").contains("it is at its limit: 4 in flight of 4.0"), explain(node, "s0"));
    }

    @Test
    void explainsThatAServerIsExcludedFromOneClass() {
        Node node = new Node().withServers(5);
        for (int i = 0; i < 300 && !explain(node, "s0").contains("it gets no"); i++) {
            long id = node.sendRequest(Node.UNSAFE);
            node.complete(id, node.lastAttempt(id).server().equals("s0") ? Result.RESET : Result.OK, 2_000);
        }
        assertTrue(
                explain(node, "s0")
                        .matches("it gets no unsafe requests for \\d+ ms: 2 failed in a row;"
                                + " it is drawn less often.*"),
                explain(node, "s0"));
        assertEquals("", explain(node, "s1"));
    }

    @Test
    void explainsThatAServerIsOutsideTheNodesSubset() {
        Settings settings = Node.settings();
        settings.nodes = 50;
        settings.node = 3;
        Node node = new Node(settings, 7).withServers(100);
        long outsideSubset = 0;
        for (int i = 0; i < 100; i++) {
            outsideSubset += explain(node, "s" + i).contains("not in this node's subset of the servers") ? 1 : 0;
        }
        assertEquals(92, outsideSubset);
    }

    @Test
    void decidesTheSameWithAndWithoutExplanations() {
        Node plain = new Node(Node.settings(), 7).withServers(5);
        Node explained = node(Node.settings()).withServers(5);
        for (Node node : List.of(plain, explained)) {
            for (int i = 0; i < 400; i++) {
                long id = node.sendRequest(i % 5);
                if (node.lastAttempt(id) != null && i % 3 == 0) {
                    node.complete(id, i % 7 == 0 ? Result.ERROR : Result.OK, 3_000 + i * 10);
                }
                node.advance(2_000);
            }
        }
        assertEquals(plain.sent, explained.sent);
        assertEquals(plain.rejected, explained.rejected);
        assertEquals(plain.failed, explained.failed);
    }
}
