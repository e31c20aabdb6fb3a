package vetchpost.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import vetchpost.decision.ServerStatistics;
import vetchpost.decision.ServerStatistics.PerServer;

/** What of a snapshot a module is told, and how strongly. */
class PriorStatisticsTest {
    private static final long NOW = TestSnapshots.NOW_MS;

    private static ServerStatistics priors(Snapshot snapshot, long nowMs) {
        return PriorStatistics.of(snapshot, TestSnapshots.CLASSES, nowMs, true, Map.of());
    }

    @Test
    void freshStatisticsAreNearlyUnchanged() {
        ServerStatistics prior = priors(TestSnapshots.of(4, 1, NOW), NOW + 500);
        assertEquals(4, prior.servers().size());
        PerServer ill = prior.servers().get(0);
        assertTrue(
                ill.consecutiveErrors() >= 5 && ill.recentFailures() >= 9 && ill.relativeLatency() > 4.5,
                ill.toString());
        assertEquals(List.of(2, 0, 4), ill.classFailureStreaks());
        assertFalse(ill.ejected(), "a prior is no verdict");
        assertEquals(1.5, prior.servers().get(1).relativeLatency(), 0.05);
    }

    @Test
    void healthFadesInSecondsRelativeLatencyInMinutesAndLatencyInHours() {
        Snapshot snapshot = TestSnapshots.of(4, 1, NOW);
        int before = Integer.MAX_VALUE;
        for (long ageMs : new long[] {0, 10_000, 20_000, 40_000}) {
            PerServer ill = priors(snapshot, NOW + ageMs).servers().get(0);
            assertTrue(ill.consecutiveErrors() < before, ageMs + ": " + ill);
            before = ill.consecutiveErrors();
        }
        PerServer old = priors(snapshot, NOW + 120_000).servers().get(0);
        assertEquals(0, old.consecutiveErrors());
        assertEquals(0, old.recentFailures());
        assertTrue(old.relativeLatency() > 3 && old.relativeLatency() < 4.9, old.toString());
        ServerStatistics hour = priors(snapshot, NOW + 3_600_000);
        assertTrue(hour.servers().isEmpty(), "nothing of boxes is left after an hour");
        assertEquals(25, hour.classes().get(0).answerCount());
        assertEquals(20_000, hour.classes().get(0).latencyUs());
    }

    @Test
    void fewSamplesGiveWeakPriors() {
        PerServer many = TestSnapshots.failing(0, NOW);
        PerServer one =
                new PerServer(many.id(), 0, 1, many.lastAnswerAtUs(), 0, 6, 1, 0.9, 5, 0.25, false, List.of(0, 0, 0));
        ServerStatistics prior = priors(TestSnapshots.snapshot(NOW, List.of(TestSnapshots.server(0, NOW, one))), NOW);
        assertTrue(prior.servers().get(0).consecutiveErrors() <= 1, prior.toString());
        assertTrue(prior.servers().get(0).relativeLatency() < 2, prior.toString());
    }

    /** A snapshot taken now may repeat what a box did ten minutes ago. */
    @Test
    void ageIsMeasuredFromTheLastAnswer() {
        Snapshot snapshot = TestSnapshots.snapshot(
                NOW, List.of(TestSnapshots.server(0, NOW, TestSnapshots.failing(0, NOW - 60_000))));
        assertEquals(0, priors(snapshot, NOW).servers().get(0).consecutiveErrors());
    }

    @Test
    void unconfirmedServerStartsWithASmallLimitAndNoFailures() {
        ServerStatistics prior =
                PriorStatistics.of(TestSnapshots.of(2, 2, NOW), TestSnapshots.CLASSES, NOW, true, Map.of("s-0", 0.4));
        PerServer unsure = prior.servers().get(0);
        assertEquals(0, unsure.consecutiveErrors());
        assertEquals(0.4, unsure.relativeLimit(), 1e-9);
        assertTrue(unsure.attemptCount() > 1_000, "the limit holds in full");
        assertTrue(prior.servers().get(1).consecutiveErrors() > 0);
        assertTrue(
                PriorStatistics.of(TestSnapshots.of(1, 1, NOW), TestSnapshots.CLASSES, NOW, true, Map.of("s-0", 0.95))
                                .servers()
                                .get(0)
                                .consecutiveErrors()
                        > 0,
                "surely the same box");
    }

    @Test
    void healthIsOmittedWhenItIsNotTrusted() {
        ServerStatistics prior =
                PriorStatistics.of(TestSnapshots.of(4, 1, NOW), TestSnapshots.CLASSES, NOW, false, Map.of("s-3", 0.4));
        assertEquals(List.of("s-3"), prior.servers().stream().map(PerServer::id).toList());
        assertTrue(prior.classes().isEmpty());
    }

    @Test
    void classesAreMatchedByName() {
        ServerStatistics prior =
                PriorStatistics.of(TestSnapshots.of(2, 1, NOW), List.of("new", "order", "view"), NOW, true, Map.of());
        assertEquals(List.of(0, 4, 2), prior.servers().get(0).classFailureStreaks());
        assertEquals(
                List.of(2, 1),
                prior.classes().stream().map(ServerStatistics.PerClass::index).toList());
    }
}
