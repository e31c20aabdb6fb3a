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

/** Statistics can be exported, and restored as initial values that never decide by themselves. */
class RestoredStatisticsTest {
    private static final List<Integer> NO_FAILURE_STREAKS = List.of(0, 0, 0, 0, 0);

    private static PerServer perServer(String id, int answers, int errors, int failures, double limit) {
        return new PerServer(id, 0, answers, 1, 1, errors, failures, 0, 1, limit, false, NO_FAILURE_STREAKS);
    }

    private static ServerStatistics prior(PerServer... servers) {
        return new ServerStatistics(List.of(servers), List.of(), 0, 0, false);
    }

    private static int sentTo(Node node, String id) {
        return (int) node.sent.stream().filter(s -> s.server().equals(id)).count();
    }

    /** Sends requests six at a time and completes them a little later, with the given result at {@code s0}. */
    private static void serve(Node node, int requests, Result resultOfS0) {
        for (int i = 0; i < requests; i += 6) {
            node.advance(5_000);
            int before = node.sent.size();
            for (int j = 0; j < 6; j++) {
                node.sendRequest(Node.UNSAFE);
            }
            node.advance(2_000);
            for (Node.SentAttempt sent : List.copyOf(node.sent.subList(before, node.sent.size()))) {
                node.complete(sent.request(), sent.server().equals("s0") ? resultOfS0 : Result.OK, 0);
            }
        }
    }

    @Test
    void exportsWhatWasObserved() {
        Node node = new Node().withServers(2);
        // Of all classes in turn: a server that fails only one class is excluded from that class alone.
        for (int i = 0; i < 300; i++) {
            node.advance(1_000);
            long id = node.sendRequest(i % 5);
            for (int attempt = 0; attempt < node.attemptCount(id); attempt++) {
                node.complete(id, node.lastAttempt(id).server().equals("s0") ? Result.ERROR : Result.OK, 2_000);
            }
        }
        ServerStatistics statistics = node.balancer.statistics(List.of("s0", "s1", "unknown"));
        assertEquals(2, statistics.servers().size());
        assertEquals(2, statistics.readyCount());
        assertEquals(1, statistics.ejectedCount());
        PerServer failing = statistics.servers().get(0);
        assertTrue(failing.ejected(), failing.toString());
        assertTrue(
                failing.consecutiveErrors() > 0 && failing.recentFailures() >= 4 && failing.attemptCount() >= 4,
                failing.toString());
        assertEquals(0, failing.lastServedAtUs());
        PerServer healthy = statistics.servers().get(1);
        assertTrue(healthy.attemptCount() > 0
                && healthy.consecutiveErrors() == 0
                && healthy.lastServedAtUs() > 0
                && !healthy.ejected());
        PerClass perClass = statistics.classes().get(Node.UNSAFE);
        assertEquals(2_000, perClass.latencyUs(), 1);
    }

    @Test
    void sendsLessToAServerThatThePriorReportsAsFailing() {
        Node withoutPrior = new Node().withServers(6);
        Node withPrior = new Node().withServers(6);
        withPrior.balancer.onPrior(withPrior.now, prior(perServer("s0", 16, 6, 6, 1)));
        for (Node node : List.of(withoutPrior, withPrior)) {
            serve(node, 80, Result.ERROR);
        }
        assertTrue(
                sentTo(withPrior, "s0") < sentTo(withoutPrior, "s0"),
                sentTo(withPrior, "s0") + " with a prior, " + sentTo(withoutPrior, "s0") + " without");
        assertTrue(withPrior.balancer.statistics(List.of("s0")).servers().get(0).recentFailures() >= 1);
    }

    @Test
    void doesNotEjectByAPriorAndClearsItOnTheFirstSuccess() {
        Node node = new Node().withServers(4);
        node.balancer.onPrior(node.now, prior(perServer("s0", 1_000, 1_000_000, 16, 1)));
        PerServer restored = node.balancer.statistics(List.of("s0")).servers().get(0);
        assertFalse(restored.ejected());
        assertEquals(3, restored.recentFailures());
        assertTrue(restored.consecutiveErrors() <= 8);
        serve(node, 200, Result.OK);
        assertTrue(sentTo(node, "s0") > 20, sentTo(node, "s0") + " of 200: an incorrect prior lasted");
        assertEquals(0, node.balancer.statistics(List.of("s0")).servers().get(0).consecutiveErrors());
    }

    @Test
    void ignoresAPriorForAServerWithOwnAnswers() {
        Node node = new Node().withServers(4);
        serve(node, 40, Result.OK);
        PerServer before = node.balancer.statistics(List.of("s0")).servers().get(0);
        assertTrue(before.attemptCount() > 0);
        node.balancer.onPrior(node.now, prior(perServer("s0", 1_000, 8, 3, 0.25)));
        assertEquals(before, node.balancer.statistics(List.of("s0")).servers().get(0));
    }

    @Test
    void ignoresAPriorOfAnEarlierProcess() {
        Node node = new Node()
                .list(
                        ListKind.CACHED,
                        List.of(new ServerEntry("s0", 0, 0, ServerState.READY, 1, 500_000), Node.server("s1")));
        node.balancer.onPrior(node.now, prior(perServer("s0", 100, 6, 3, 4), perServer("s1", 100, 6, 3, 4)));
        List<PerServer> statistics =
                node.balancer.statistics(List.of("s0", "s1")).servers();
        assertEquals(0, statistics.get(0).consecutiveErrors(), "s0 has started since");
        assertEquals(6, statistics.get(1).consecutiveErrors());
    }

    @Test
    void discardsAPriorWhenTheServerRestarts() {
        Node node = new Node().withServers(2);
        node.balancer.onPrior(node.now, prior(perServer("s0", 100, 6, 3, 4)));
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s0", 0, 0, ServerState.READY, 1, node.now)));
        PerServer statistics = node.balancer.statistics(List.of("s0")).servers().get(0);
        assertEquals(0, statistics.consecutiveErrors());
        assertEquals(0, statistics.recentFailures());
        assertEquals(1, statistics.relativeLimit(), 1e-9);
        assertEquals(0, statistics.attemptCount());
    }

    @Test
    void startsAServerWithASmallRestoredLimitWithOneRequestAtATime() {
        Node node = new Node().withServers(2);
        List<PerServer> smallLimits = new ArrayList<>();
        smallLimits.add(perServer("s0", Integer.MAX_VALUE / 2, 0, 0, 0.01));
        smallLimits.add(perServer("s1", Integer.MAX_VALUE / 2, 0, 0, 0.01));
        node.balancer.onPrior(node.now, new ServerStatistics(smallLimits, List.of(), 0, 0, false));
        for (int i = 0; i < 12; i++) {
            node.sendRequest(Node.SAFE);
        }
        assertTrue(sentTo(node, "s0") <= 2 && sentTo(node, "s1") <= 2, node.sent.toString());
        assertTrue(node.sent.size() >= 2);
        Node unrestored = new Node().withServers(2);
        for (int i = 0; i < 12; i++) {
            unrestored.sendRequest(Node.SAFE);
        }
        assertTrue(unrestored.sent.size() > 2 * node.sent.size(), unrestored.sent.size() + " and " + node.sent.size());
    }

    /** The sum of the limits bounds a node that is one of many, and must follow what a prior changes. */
    @Test
    void adaptsTheSumOfLimitsToAPrior() {
        Balancer.Settings settings = Node.settings();
        settings.nodes = 16;
        int[] sentAttempts = new int[2];
        for (int run = 0; run < 2; run++) {
            Node node = new Node(settings, 7).withServers(4);
            if (run == 1) {
                List<PerServer> smallLimits = new ArrayList<>();
                for (int i = 0; i < 4; i++) {
                    smallLimits.add(perServer("s" + i, Integer.MAX_VALUE / 2, 0, 0, 0.25));
                }
                node.balancer.onPrior(node.now, new ServerStatistics(smallLimits, List.of(), 0, 0, false));
            }
            for (int i = 0; i < 12; i++) {
                node.sendRequest(Node.SAFE);
            }
            sentAttempts[run] = node.sent.size();
        }
        assertEquals(3, sentAttempts[0]);
        assertEquals(1, sentAttempts[1]);
    }

    @Test
    void boundsInvalidStatistics() {
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
                                perServer("s2", -4, 0, 0, Double.POSITIVE_INFINITY)),
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
            PerServer statistics =
                    node.balancer.statistics(List.of(id)).servers().get(0);
            assertTrue(
                    statistics.relativeLimit() > 0
                            && statistics.relativeLimit() < 100
                            && statistics.relativeLatency() > 0
                            && statistics.relativeLatency() <= 5,
                    statistics.toString());
        }
    }

    @Test
    void weightsARestoredLatencyAsFewAnswers() {
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
