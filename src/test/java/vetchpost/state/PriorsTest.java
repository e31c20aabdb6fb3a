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
class PriorsTest {
    private static final long NOW = States.NOW_MS;

    private static ServerStatistics priors(Snapshot snapshot, long nowMs) {
        return PriorStatistics.of(snapshot, States.CLASSES, nowMs, true, Map.of());
    }

    @Test
    void freshKnowledgeIsNearlyWhatItWas() {
        ServerStatistics prior = priors(States.of(4, 1, NOW), NOW + 500);
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
    void troubleIsForgottenInSecondsPaceInMinutesAndLatenciesInHours() {
        Snapshot snapshot = States.of(4, 1, NOW);
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
    void fewAnswersAreLittleEvidence() {
        PerServer many = States.failing(0, NOW);
        PerServer one =
                new PerServer(many.id(), 0, 1, many.lastAnswerAtUs(), 0, 6, 1, 0.9, 5, 0.25, false, List.of(0, 0, 0));
        ServerStatistics prior = priors(States.snapshot(NOW, List.of(States.server(0, NOW, one))), NOW);
        assertTrue(prior.servers().get(0).consecutiveErrors() <= 1, prior.toString());
        assertTrue(prior.servers().get(0).relativeLatency() < 2, prior.toString());
    }

    /** A snapshot taken now may repeat what a box did ten minutes ago. */
    @Test
    void ageCountsFromABoxesLastAnswer() {
        Snapshot snapshot = States.snapshot(NOW, List.of(States.server(0, NOW, States.failing(0, NOW - 60_000))));
        assertEquals(0, priors(snapshot, NOW).servers().get(0).consecutiveErrors());
    }

    @Test
    void whoIsInDoubtBeginsWithLittleAndUnjudged() {
        ServerStatistics prior =
                PriorStatistics.of(States.of(2, 2, NOW), States.CLASSES, NOW, true, Map.of("s-0", 0.4));
        PerServer unsure = prior.servers().get(0);
        assertEquals(0, unsure.consecutiveErrors());
        assertEquals(0.4, unsure.relativeLimit(), 1e-9);
        assertTrue(unsure.attemptCount() > 1_000, "the limit holds in full");
        assertTrue(prior.servers().get(1).consecutiveErrors() > 0);
        assertTrue(
                PriorStatistics.of(States.of(1, 1, NOW), States.CLASSES, NOW, true, Map.of("s-0", 0.95))
                                .servers()
                                .get(0)
                                .consecutiveErrors()
                        > 0,
                "surely the same box");
    }

    @Test
    void aConfusedNodesWordOnHealthIsLeftOut() {
        ServerStatistics prior =
                PriorStatistics.of(States.of(4, 1, NOW), States.CLASSES, NOW, false, Map.of("s-3", 0.4));
        assertEquals(List.of("s-3"), prior.servers().stream().map(PerServer::id).toList());
        assertTrue(prior.classes().isEmpty());
    }

    @Test
    void classesGoByTheirNames() {
        ServerStatistics prior =
                PriorStatistics.of(States.of(2, 1, NOW), List.of("new", "order", "view"), NOW, true, Map.of());
        assertEquals(List.of(0, 4, 2), prior.servers().get(0).classFailureStreaks());
        assertEquals(
                List.of(2, 1),
                prior.classes().stream().map(ServerStatistics.PerClass::index).toList());
    }
}
