package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.ServerStatistics.PerClass;
import vetchpost.decision.ServerStatistics.PerServer;

/** What a module learns can be taken down, and is a beginning for another, but never its verdict. */
class RestoredStatisticsTest {
    private static final List<Integer> NO_MISSES = List.of(0, 0, 0, 0, 0);

    private static PerServer of(String id, int answers, int errors, int failures, double limit) {
        return new PerServer(id, 0, answers, 1, 1, errors, failures, 0, 1, limit, false, NO_MISSES);
    }

    private static ServerStatistics prior(PerServer... servers) {
        return new ServerStatistics(List.of(servers), List.of(), 0, 0, false);
    }

    private static int sentTo(Node node, String id) {
        return (int) node.sent.stream().filter(s -> s.server().equals(id)).count();
    }

    /** Six ask at a time and are answered a little later. */
    private static void serve(Node node, int requests, Result ofS0) {
        for (int i = 0; i < requests; i += 6) {
            node.advance(5_000);
            int before = node.sent.size();
            for (int j = 0; j < 6; j++) {
                node.sendRequest(Node.UNSAFE);
            }
            node.advance(2_000);
            for (Node.SentAttempt sent : List.copyOf(node.sent.subList(before, node.sent.size()))) {
                node.complete(sent.request(), sent.server().equals("s0") ? ofS0 : Result.OK, 0);
            }
        }
    }

    @Test
    void whatIsLearnedCanBeTakenDown() {
        Node node = new Node().withServers(2);
        // Of all classes in turn: one that only one class fails at is kept from that class alone.
        for (int i = 0; i < 300; i++) {
            node.advance(1_000);
            long id = node.sendRequest(i % 5);
            for (int attempt = 0; attempt < node.attemptCount(id); attempt++) {
                node.complete(id, node.lastAttempt(id).server().equals("s0") ? Result.ERROR : Result.OK, 2_000);
            }
        }
        ServerStatistics known = node.balancer.statistics(List.of("s0", "s1", "nobody"));
        assertEquals(2, known.servers().size());
        assertEquals(2, known.readyCount());
        assertEquals(1, known.ejectedCount());
        PerServer ill = known.servers().get(0);
        assertTrue(ill.ejected(), ill.toString());
        assertTrue(ill.consecutiveErrors() > 0 && ill.recentFailures() >= 4 && ill.attemptCount() >= 4, ill.toString());
        assertEquals(0, ill.lastServedAtUs());
        PerServer well = known.servers().get(1);
        assertTrue(well.attemptCount() > 0
                && well.consecutiveErrors() == 0
                && well.lastServedAtUs() > 0
                && !well.ejected());
        PerClass usual = known.classes().get(Node.UNSAFE);
        assertEquals(2_000, usual.latencyUs(), 1);
    }

    @Test
    void whoIsSaidToFailIsSentLessAndEjectedSooner() {
        Node cold = new Node().withServers(6);
        Node taught = new Node().withServers(6);
        taught.balancer.onPrior(taught.now, prior(of("s0", 16, 6, 6, 1)));
        for (Node node : List.of(cold, taught)) {
            serve(node, 80, Result.ERROR);
        }
        assertTrue(
                sentTo(taught, "s0") < sentTo(cold, "s0"),
                sentTo(taught, "s0") + " with a prior, " + sentTo(cold, "s0") + " without");
        assertTrue(taught.balancer.statistics(List.of("s0")).servers().get(0).recentFailures() >= 1);
    }

    @Test
    void aPriorEjectsNobodyAndItsFirstSuccessClearsIt() {
        Node node = new Node().withServers(4);
        node.balancer.onPrior(node.now, prior(of("s0", 1_000, 1_000_000, 16, 1)));
        PerServer told = node.balancer.statistics(List.of("s0")).servers().get(0);
        assertFalse(told.ejected());
        assertEquals(3, told.recentFailures());
        assertTrue(told.consecutiveErrors() <= 8);
        serve(node, 200, Result.OK);
        assertTrue(sentTo(node, "s0") > 20, sentTo(node, "s0") + " of 200: a false word lasted");
        assertEquals(0, node.balancer.statistics(List.of("s0")).servers().get(0).consecutiveErrors());
    }

    @Test
    void ownAnswersOutweighAPrior() {
        Node node = new Node().withServers(4);
        serve(node, 40, Result.OK);
        PerServer before = node.balancer.statistics(List.of("s0")).servers().get(0);
        assertTrue(before.attemptCount() > 0);
        node.balancer.onPrior(node.now, prior(of("s0", 1_000, 8, 3, 0.25)));
        assertEquals(before, node.balancer.statistics(List.of("s0")).servers().get(0));
    }

    @Test
    void whatWasLearnedOfAnEarlierProcessIsVoid() {
        Node node = new Node()
                .list(
                        ListKind.CACHED,
                        List.of(new ServerEntry("s0", 0, 0, ServerState.READY, 1, 500_000), Node.server("s1")));
        node.balancer.onPrior(node.now, prior(of("s0", 100, 6, 3, 4), of("s1", 100, 6, 3, 4)));
        List<PerServer> known = node.balancer.statistics(List.of("s0", "s1")).servers();
        assertEquals(0, known.get(0).consecutiveErrors(), "s0 has started since");
        assertEquals(6, known.get(1).consecutiveErrors());
    }

    @Test
    void aRestartVoidsAPriorThatWasTaken() {
        Node node = new Node().withServers(2);
        node.balancer.onPrior(node.now, prior(of("s0", 100, 6, 3, 4)));
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s0", 0, 0, ServerState.READY, 1, node.now)));
        PerServer known = node.balancer.statistics(List.of("s0")).servers().get(0);
        assertEquals(0, known.consecutiveErrors());
        assertEquals(0, known.recentFailures());
        assertEquals(1, known.relativeLimit(), 1e-9);
        assertEquals(0, known.attemptCount());
    }

    @Test
    void anUnsureServerBeginsWithOneRequestAtATime() {
        Node node = new Node().withServers(2);
        List<PerServer> unsure = new ArrayList<>();
        unsure.add(of("s0", Integer.MAX_VALUE / 2, 0, 0, 0.01));
        unsure.add(of("s1", Integer.MAX_VALUE / 2, 0, 0, 0.01));
        node.balancer.onPrior(node.now, new ServerStatistics(unsure, List.of(), 0, 0, false));
        for (int i = 0; i < 12; i++) {
            node.sendRequest(Node.SAFE);
        }
        assertTrue(sentTo(node, "s0") <= 2 && sentTo(node, "s1") <= 2, node.sent.toString());
        assertTrue(node.sent.size() >= 2);
        Node sure = new Node().withServers(2);
        for (int i = 0; i < 12; i++) {
            sure.sendRequest(Node.SAFE);
        }
        assertTrue(sure.sent.size() > 2 * node.sent.size(), sure.sent.size() + " and " + node.sent.size());
    }

    /** The sum of the limits holds a node back that is one of many, and must follow what a prior changes. */
    @Test
    void theSumOfLimitsFollowsAPrior() {
        Balancer.Settings settings = Node.settings();
        settings.nodes = 16;
        int[] out = new int[2];
        for (int taught = 0; taught < 2; taught++) {
            Node node = new Node(settings, 7).withServers(4);
            if (taught == 1) {
                List<PerServer> little = new ArrayList<>();
                for (int i = 0; i < 4; i++) {
                    little.add(of("s" + i, Integer.MAX_VALUE / 2, 0, 0, 0.25));
                }
                node.balancer.onPrior(node.now, new ServerStatistics(little, List.of(), 0, 0, false));
            }
            for (int i = 0; i < 12; i++) {
                node.sendRequest(Node.SAFE);
            }
            out[taught] = node.sent.size();
        }
        assertEquals(3, out[0]);
        assertEquals(1, out[1]);
    }

    @Test
    void nonsenseIsBounded() {
        Node node = new Node().withServers(3);
        node.balancer.onPrior(
                node.now,
                new ServerStatistics(
                        List.of(
                                new PerServer(
                                        "s0",
                                        0,
                                        Integer.MAX_VALUE,
                                        Long.MAX_VALUE,
                                        -5,
                                        Integer.MIN_VALUE,
                                        Integer.MAX_VALUE,
                                        Double.NaN,
                                        Double.POSITIVE_INFINITY,
                                        Double.NaN,
                                        true,
                                        List.of(-7, Integer.MAX_VALUE)),
                                new PerServer(
                                        "s1", 0, -4, 0, 0, 3, -2, -1, Double.NEGATIVE_INFINITY, 1e300, true, List.of()),
                                of("s2", -4, 0, 0, Double.POSITIVE_INFINITY)),
                        List.of(
                                new PerClass(-1, 5, 1, 1),
                                new PerClass(99, 5, 1, 1),
                                new PerClass(0, Integer.MAX_VALUE, Double.NaN, -1)),
                        -1,
                        7,
                        true));
        serve(node, 600, Result.OK);
        assertEquals(600, node.sent.size());
        for (String id : List.of("s0", "s1", "s2")) {
            assertTrue(sentTo(node, id) > 5, id + " was sent " + sentTo(node, id));
            PerServer known = node.balancer.statistics(List.of(id)).servers().get(0);
            assertTrue(
                    known.relativeLimit() > 0
                            && known.relativeLimit() < 100
                            && known.relativeLatency() > 0
                            && known.relativeLatency() <= 5,
                    known.toString());
        }
    }

    @Test
    void aUsualLatencyCountsForFewAnswers() {
        Node node = new Node().withServers(2);
        node.balancer.onPrior(
                node.now,
                new ServerStatistics(List.of(), List.of(new PerClass(Node.UNSAFE, 1_000_000, 50_000, 0)), 0, 0, false));
        assertEquals(
                50_000,
                node.balancer.statistics(List.of()).classes().get(Node.UNSAFE).latencyUs(),
                1e-9);
        serve(node, 60, Result.OK);
        assertEquals(
                2_000,
                node.balancer.statistics(List.of()).classes().get(Node.UNSAFE).latencyUs(),
                6_000);
    }
}
