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

/** The module says why, and deciding is the same whether anybody asks or not. */
class ExplanationTest {
    /** The node of the other tests, which wants to be told. */
    private static Node node(Settings settings) {
        Node node = new Node(settings, 7);
        node.wantsExplanations = true;
        return node;
    }

    @Test
    void whatIsNeverSentIsToldWhy() {
        Node node = node(Node.settings());
        long none = node.sendRequest(Node.SAFE);
        node.advance(1_000_000);
        assertEquals(UnservedReason.NO_CAPACITY, node.reasons.get(none));
        node.withServers(2);
        long old = 1_000;
        node.balancer.onRequest(node.now, new Request(old, Node.SAFE, -1, 500_000, 0, false, 300_000));
        assertEquals(UnservedReason.TOO_LATE_ON_ARRIVAL, node.reasons.get(old));
        node.balancer.onRequest(node.now, new Request(old + 1, Node.SAFE, -1, 800_000, 0, false, 150_000));
        assertEquals(UnservedReason.EVENT_LOOP_DELAY, node.reasons.get(old + 1));
    }

    @Test
    void whatMayNotBeSentAgainIsToldWhy() {
        Node node = node(Node.settings()).withServers(4);
        long unsafe = node.sendRequest(Node.UNSAFE);
        node.complete(unsafe, Result.ERROR, 1_000);
        assertEquals(UnservedReason.MAY_HAVE_RUN, node.reasons.get(unsafe));
        long four = node.sendRequest(Node.SAFE);
        for (int i = 0; i < 4; i++) {
            node.complete(four, Result.ERROR, 1_000);
        }
        assertEquals(UnservedReason.ATTEMPTS_EXHAUSTED, node.reasons.get(four));
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
    void aKeyThatServersNoLongerKnowIsToldApart() {
        Settings settings = Node.settingsWithLateValue();
        Node node = node(settings).withServers(4);
        long keyed = node.sendRequest(Node.KEYED_ALL);
        node.complete(keyed, Result.ERROR, 450_000);
        assertEquals(UnservedReason.DEDUPLICATION_WINDOW_EXPIRED, node.reasons.get(keyed));
    }

    @Test
    void bothDrawnAreToldWithWhatDecided() {
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

    private static String all(Node node, String server) {
        return String.join("; ", node.balancer.explainServer(node.now, server));
    }

    @Test
    void aServerThatGetsNothingIsToldWhy() {
        Node node = new Node().withServers(3);
        assertEquals("", all(node, "s0"));
        assertEquals("the list does not name it", all(node, "s9"));
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s1", 0, 0, ServerState.DRAINING, 1, 0)));
        assertTrue(all(node, "s1").startsWith("it drains"), all(node, "s1"));
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s3", 0, 0, ServerState.READY, 1, node.now)));
        assertTrue(all(node, "s3").contains("it has just started, and gets its next request in "), all(node, "s3"));
        for (int i = 0; i < 12; i++) {
            node.sendRequest(Node.UNSAFE);
        }
        assertTrue(all(node, "s0").contains("it is at its limit: 4 in flight of 4.0"), all(node, "s0"));
    }

    @Test
    void aServerThatFailsOneClassIsToldToGetNoneOfIt() {
        Node node = new Node().withServers(5);
        for (int i = 0; i < 300 && !all(node, "s0").contains("it gets no"); i++) {
            long id = node.sendRequest(Node.UNSAFE);
            node.complete(id, node.lastAttempt(id).server().equals("s0") ? Result.RESET : Result.OK, 2_000);
        }
        assertTrue(
                all(node, "s0").matches("it gets no unsafe for \\d+ ms: 2 failed in a row;" + " it is drawn less.*"),
                all(node, "s0"));
        assertEquals("", all(node, "s1"));
    }

    @Test
    void whoseNumberIsOfAnotherPartIsToldSo() {
        Settings settings = Node.settings();
        settings.nodes = 50;
        settings.node = 3;
        Node node = new Node(settings, 7).withServers(100);
        long apart = 0;
        for (int i = 0; i < 100; i++) {
            apart += all(node, "s" + i).contains("not among the part of the servers") ? 1 : 0;
        }
        assertEquals(92, apart);
    }

    @Test
    void decisionsAreTheSameWhetherAnybodyAsksOrNot() {
        Node plain = new Node(Node.settings(), 7).withServers(5);
        Node asked = node(Node.settings()).withServers(5);
        for (Node node : List.of(plain, asked)) {
            for (int i = 0; i < 400; i++) {
                long id = node.sendRequest(i % 5);
                if (node.lastAttempt(id) != null && i % 3 == 0) {
                    node.complete(id, i % 7 == 0 ? Result.ERROR : Result.OK, 3_000 + i * 10);
                }
                node.advance(2_000);
            }
        }
        assertEquals(plain.sent, asked.sent);
        assertEquals(plain.rejected, asked.rejected);
        assertEquals(plain.failed, asked.failed);
    }
}
