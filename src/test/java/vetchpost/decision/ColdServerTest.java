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

/** Rule 4: a node's fraction of a cold server's budget. */
class ColdServerTest {

    private static ServerEntry started(String id, long atUs) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, atUs);
    }

    @Test
    void limitsAColdServerToItsBudgetWhateverClientsRequest() {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        node.list(ListKind.CHANGES, List.of(started("cold", node.now)));
        // 100 answers a second from five servers: 20 a second each, a fifth of which a cold server can handle.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(node.sendRequest(Node.SAFE));
            }
            node.advance(10_000);
            // Only one request in ten is answered, so that arrivals are ten times the answers.
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
    void doesNotFloodAColdServerFromAFreshlyStartedNode() {
        Node node = new Node();
        node.list(ListKind.CACHED, List.of(started("cold", node.now - 100_000), Node.server("warm")));
        for (int i = 0; i < 200; i++) {
            node.sendRequest(Node.SAFE);
            node.advance(1_000);
        }
        long toCold = node.sentTo("cold");
        assertTrue(toCold <= 2, "sent to the cold server in 0.2 s: " + toCold);
    }

    /** Where all servers are cold, a node that has never sent anything waits a moment, not until they are warm. */
    @Test
    void sendsFirstRequestsWhereAllServersAreCold() {
        for (long clockOrigin : new long[] {0, 1_700_000_000_000_000L}) {
            Node node = new Node();
            node.now += clockOrigin;
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
    void isIndependentOfTheClocksOrigin() {
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
    void doesNotRaiseAColdServersLimitAboveTheOthers() {
        // Guards i3a094a: quick answers to single requests raised limits, which overloaded servers once they were warm.
        Balancer.Settings settings = Node.settings();
        settings.nodes = 8;
        Node node = new Node(settings, 5);
        node.list(ListKind.CACHED, List.of(started("cold", node.now), Node.server("warm")));
        long warmAt = node.now + settings.coldUs;
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
    void doesNotOverloadAServerWhoseStartAllNodesLearnOfAtOnce() {
        // Guards icd7515: each node's first request to a cold server was sent as soon as the server was drawn.
        Balancer.Settings settings = Node.settings();
        settings.nodes = 100;
        settings.coldStartFraction = 0.2;
        settings.coldUs = 20_000_000;
        int toCold = 0;
        for (int n = 0; n < settings.nodes; n++) {
            settings.node = n;
            Node node = new Node(settings, n);
            node.withServers(10);
            // Two requests a second per node: all nodes together send twenty to each of ten servers.
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
        // A fifth of 200/11 a second, times two seconds, times the rule's multiple of three: at most 22.
        assertTrue(toCold >= 1 && toCold <= 22, "sent by all nodes in two seconds: " + toCold);
    }

    @Test
    void keepsAColdServersBudgetWhenTheLoadFalls() {
        // Guards against overload of the warm servers where 36 of 60 are cold: budgets of the cold ones followed the
        // current rate of answers, which had fallen with the warm ones.
        long[] toCold = new long[2];
        for (int run = 0; run < 2; run++) {
            Node node = new Node().withServers(4);
            for (int i = 0; i < 600; i++) {
                node.serve(Node.SAFE, Result.OK, 10_000);
            }
            // Then the same load or a quarter of it, and one server in five is new.
            long pauseUs = run * 30_000;
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
            toCold[run] = node.sentTo("cold");
        }
        assertTrue(
                toCold[1] >= 0.45 * toCold[0],
                "sent to the cold server at full load and at a quarter: " + toCold[0] + " and " + toCold[1]);
    }
}
