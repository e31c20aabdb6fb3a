package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;

/** Rule 4: a node's part of a cold server's budget. */
class ColdServerTest {

    private static ServerEntry started(String id, long atUs) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, atUs);
    }

    @Test
    void aColdServerGetsAtMostItsShareOfAnEvenPartEvenWhenClientsAskManyTimesOver() {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
        // 100 answers a second from five servers: an even part is 20 a second, a fifth of which a cold
        // one can do.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(node.sendRequest(Node.SAFE));
            }
            node.advance(10_000);
            // Only one of ten is answered, so that arrivals are ten times what the fleet gets done.
            burst.stream()
                    .map(node::lastAttempt)
                    .filter(s -> s != null && !s.server().equals("cold"))
                    .findFirst()
                    .ifPresent(s -> node.complete(s.request(), Result.OK, 0));
        }
        long toCold = node.sentTo("cold");
        assertTrue(toCold >= 1 && toCold <= 16, "sent to the cold server in two seconds: " + toCold);
    }

    @Test
    void aNodeThatHasJustStartedDoesNotFloodAColdServer() {
        Node node = new Node();
        node.list(ListKind.CACHED, List.of(started("cold", node.now - 100_000), Node.server("warm")));
        for (int i = 0; i < 200; i++) {
            node.sendRequest(Node.SAFE);
            node.advance(1_000);
        }
        long toCold = node.sentTo("cold");
        assertTrue(toCold <= 2, "sent to the cold server in 0.2 s: " + toCold);
    }

    /**
     * Where all servers are cold, a node that has never sent anything waits a moment, not until they are
     * warm.
     */
    @Test
    void theFirstRequestsOfANodeWithOnlyColdServersAreSent() {
        for (long begins : new long[] {0, 1_700_000_000_000_000L}) {
            Node node = new Node();
            node.now += begins;
            node.list(ListKind.CACHED, List.of(started("cold", node.now)));
            node.sendRequest(Node.SAFE);
            long until = node.now + 5_000_000;
            while (node.now < until && node.sentTo("cold") == 0) {
                node.advance(100_000);
                node.sendRequest(Node.SAFE);
            }
            assertTrue(node.sentTo("cold") > 0, "nothing was sent in 5 s");
        }
    }

    @Test
    void slowStartDoesNotDependOnWhereTheClockBegins() {
        // Guards against a first gap between answers that was counted from the start of the clock.
        List<Long> sentToCold = new ArrayList<>();
        for (long epoch : new long[] {1_000_000, 900_000_000_000L}) {
            Node node = new Node();
            node.now = epoch;
            node.withServers(3);
            for (int i = 0; i < 100; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
            }
            node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 300; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
            }
            sentToCold.add(node.sentTo("cold"));
        }
        assertEquals(sentToCold.get(0), sentToCold.get(1));
        assertTrue(sentToCold.get(0) > 1, "sent to the cold server in three seconds: " + sentToCold.get(0));
    }

    @Test
    void aColdServersLimitDoesNotGrowPastTheOthersWhileOnlySlowStartHoldsItBack() {
        // Guards i3a094a: quick answers to single requests raised limits that choked servers once warm.
        Balancer.Settings set = Node.settings();
        set.nodes = 8;
        Node node = new Node(set, 5);
        node.list(ListKind.CACHED, List.of(started("cold", node.now), Node.server("warm")));
        long warmAt = node.now + set.coldUs;
        int answered = 0;
        while (node.now < warmAt) {
            for (int i = 0; i < 3; i++) {
                node.sendRequest(Node.SAFE);
            }
            for (; answered < node.sent.size(); answered++) {
                Node.SentAttempt sent = node.sent.get(answered);
                node.complete(sent.request(), Result.OK, sent.server().equals("cold") ? 10_000 : 150_000);
            }
            node.advance(50_000);
        }
        node.advance(3_000_000);
        long before = node.sentTo("cold");
        for (int i = 0; i < 20; i++) {
            node.sendRequest(Node.SAFE);
        }
        long atOnce = node.sentTo("cold") - before;
        assertTrue(atOnce <= 1, "sent at once to the server that is now warm: " + atOnce);
    }

    @Test
    void manyNodesThatLearnOfAStartAtOnceDoNotTogetherPushTheServerOver() {
        // Guards icd7515: each node's first request to a cold server went out as soon as it was drawn.
        Balancer.Settings set = Node.settings();
        set.nodes = 100;
        set.coldStartFraction = 0.2;
        set.coldUs = 20_000_000;
        int toCold = 0;
        for (int n = 0; n < set.nodes; n++) {
            set.node = n;
            Node node = new Node(set, n);
            node.withServers(10);
            // Two requests a second: all nodes together give each of ten servers twenty.
            for (int i = 0; i < 20; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
                node.advance(490_000);
            }
            node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
            for (int i = 0; i < 4; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
                node.advance(490_000);
            }
            toCold += (int) node.sentTo("cold");
        }
        // A fifth of 200/11 a second, times two seconds, times the rule's three: 22 at most.
        assertTrue(toCold >= 1 && toCold <= 22, "sent by all nodes in two seconds: " + toCold);
    }

    @Test
    void aColdServerGetsNoLessBecauseTheLoadHasFallen() {
        // Guards the many-node days: where 36 of 60 servers were cold the rest drowned, since the cold ones'
        // budgets followed what was answered just then, which had fallen with the rest.
        long[] toCold = new long[2];
        for (int quieter = 0; quieter < 2; quieter++) {
            Node node = new Node().withServers(4);
            for (int i = 0; i < 600; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
            }
            // Then the same, or a quarter of it, and one server in five is new.
            long pauseUs = quieter * 30_000;
            for (int i = 0; i < 50; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
                node.advance(pauseUs);
            }
            node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
            long until = node.now + 4_000_000;
            while (node.now < until) {
                node.serve(Node.SAFE, Result.OK, 10_000);
                node.advance(pauseUs);
            }
            toCold[quieter] = node.sentTo("cold");
        }
        assertTrue(
                toCold[1] >= 0.45 * toCold[0],
                "sent to the cold server at full load and at a quarter: " + toCold[0] + " and " + toCold[1]);
    }
}
