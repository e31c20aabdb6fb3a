package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;

/** An operator's routes in force, on the production node in simulated time. */
@Timeout(120)
class RoutesTest {
    private static final long WAIT_MS = 300;

    private static SingleNodeScenario scenario(int serverCount, String routes) {
        return new SingleNodeScenario(3, serverCount, 1, false, routes);
    }

    private static long countRequests(SingleNodeScenario stage, String requestClass) {
        return stage.receivedRequests.stream()
                .filter(r -> r.start().contains(requestClass))
                .count();
    }

    private static void stopAndCheck(SingleNodeScenario stage) {
        stage.stopAndCheck();
        assertEquals(List.of(), stage.violations);
    }

    @Test
    void anAttemptThatTimesOutIsRetriedAtAnotherServer() {
        SingleNodeScenario stage = scenario(2, "[class.view-page]\nattempt-timeout = \"40ms\"\nattempts = 2\n");
        stage.script((end, request) -> stage.receivedRequests.size() == 1);
        SingleNodeScenario.TestClient view = stage.viewPage(WAIT_MS);
        stage.runMs(80);
        assertEquals(200, view.status(), "the second attempt came after 40 ms");
        stopAndCheck(stage);
    }

    @Test
    void aSlowRequestIsHedgedAndAnsweredOnce() {
        SingleNodeScenario stage =
                scenario(2, "[class.view-page]\ncopy-after = \"30ms\"\n" + "[class.add-photo]\ncopy-after = \"30ms\"\n");
        stage.servers.get(0).slow(30, 10_000);
        stage.servers.get(1).slow(30, 40);
        SingleNodeScenario.TestClient view = stage.viewPage(WAIT_MS);
        SingleNodeScenario.TestClient photo = stage.addPhoto(WAIT_MS);
        SingleNodeScenario.TestClient order = stage.placeOrder(WAIT_MS);
        stage.runMs(25);
        assertEquals(3, stage.receivedRequests.size(), "before its time a copy is sent");
        stage.runMs(15);
        assertEquals(2, countRequests(stage, "view-page"));
        assertEquals(2, countRequests(stage, "add-photo"));
        assertEquals(1, countRequests(stage, "place-order"), "an order is never copied");
        stage.runMs(2 * WAIT_MS);
        assertEquals(1, view.answers.size());
        assertEquals(1, photo.answers.size());
        assertEquals(1, order.answers.size());
        stopAndCheck(stage);
    }

    @Test
    void aHedgeIsSentAfterTheLatencyPercentile() {
        SingleNodeScenario stage = scenario(3, "[class.view-page]\ncopy-percentile = 90\n");
        SingleNodeScenario.TestClient first = stage.viewPage(WAIT_MS);
        for (int i = 0; i < 60; i++) {
            stage.viewPage(WAIT_MS);
            stage.runMs(12);
        }
        stage.runMs(WAIT_MS);
        int before = stage.receivedRequests.size();
        stage.script((end, request) -> stage.receivedRequests.size() == before + 1);
        SingleNodeScenario.TestClient late = stage.viewPage(WAIT_MS);
        stage.runMs(60);
        assertEquals(200, first.status());
        assertEquals(200, late.status(), "the copy has answered");
        assertEquals(before + 2, stage.receivedRequests.size());
        stopAndCheck(stage);
    }

    @Test
    void noMoreAttemptsThanTheRouteAllows() {
        for (int attempts = 1; attempts <= 3; attempts++) {
            SingleNodeScenario stage = scenario(6, "[class.view-page]\nattempts = " + attempts + "\n");
            stage.servers.forEach(b -> b.fail(1, 10_000));
            SingleNodeScenario.TestClient view = stage.viewPage(WAIT_MS);
            stage.runMs(2 * WAIT_MS);
            assertEquals(1, view.answers.size());
            assertEquals(attempts, countRequests(stage, "view-page"));
            stopAndCheck(stage);
        }
    }

    @Test
    void aRetryWaitsForItsBackoff() {
        SingleNodeScenario stage = scenario(4, "[class.view-page]\nattempts = 2\nbackoff = \"30ms\"\njitter = 0.5\n");
        stage.servers.forEach(b -> b.fail(1, 10_000));
        stage.viewPage(WAIT_MS);
        stage.runMs(25);
        assertEquals(1, countRequests(stage, "view-page"));
        stage.runMs(35);
        assertEquals(2, countRequests(stage, "view-page"));
        stopAndCheck(stage);
    }

    @Test
    void beyondItsConcurrencyARouteRejectsAtOnceWithRetryAfter() {
        SingleNodeScenario stage =
                scenario(4, "[[route]]\npath = \"/view-page/*\"\nconcurrency = 2\n" + "retry-after = \"250ms\"\n");
        List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
        stage.script((end, request) -> true);
        for (int i = 0; i < 5; i++) {
            clients.add(stage.viewPage(WAIT_MS));
        }
        SingleNodeScenario.TestClient order = stage.placeOrder(WAIT_MS);
        stage.runMs(20);
        List<SingleNodeScenario.TestClient> rejected =
                clients.stream().filter(a -> a.status() == 503).toList();
        assertEquals(3, rejected.size());
        rejected.forEach(a -> assertEquals("0.25", a.answers.get(0).field("retry-after")));
        assertEquals(0, order.status(), "another class has its own limits");
        stage.runMs(2 * WAIT_MS);
        stage.script((end, request) -> false);
        SingleNodeScenario.TestClient later = stage.viewPage(WAIT_MS);
        stage.runMs(WAIT_MS);
        assertEquals(200, later.status(), "what has ended makes room");
        stopAndCheck(stage);
    }

    @Test
    void aRequestEndsWithItsRouteOrItsClientWhicheverIsFirst() {
        SingleNodeScenario stage = scenario(2, "[class.place-order]\ntotal-timeout = \"100ms\"\n");
        stage.script((end, request) -> true);
        SingleNodeScenario.TestClient byRoute = stage.placeOrder(WAIT_MS);
        SingleNodeScenario.TestClient byClient = stage.placeOrder(50);
        stage.runMs(60);
        assertEquals(502, byClient.status(), "legal at load, and longer than this client waits");
        assertEquals(0, byRoute.status());
        stage.runMs(50);
        assertEquals(502, byRoute.status());
        stopAndCheck(stage);
    }

    @Test
    void aBodyBeyondTheLimitOfItsRouteIsRejected() {
        SingleNodeScenario stage = scenario(2, "[class.place-order]\nmax-body = \"100B\"\n");
        SingleNodeScenario.TestClient small = stage.sendRequest("place-order", RetryPolicy.UNSAFE, WAIT_MS, 100);
        SingleNodeScenario.TestClient large = stage.sendRequest("place-order", RetryPolicy.UNSAFE, WAIT_MS, 101);
        stage.runMs(WAIT_MS);
        assertEquals(200, small.status());
        assertEquals(413, large.status());
        stopAndCheck(stage);
    }

    /** Boxes fail 60% of what they get; see docs/routes.md for the figures. */
    @Test
    void aRetryBudgetLimitsARetryStorm() {
        double[] perRequest = new double[3];
        int[] servedAtTheEnd = new int[3];
        for (int budget = 0; budget < 3; budget++) {
            SingleNodeScenario stage = scenario(
                    8,
                    "[class.view-page]\nattempts = " + (budget == 2 ? 1 : 4) + "\n"
                            + (budget == 1 ? "retry-budget = 0.1\n" : ""));
            stage.servers.forEach(b -> b.fail(0.6, 100_000));
            List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 900; i++) {
                clients.add(stage.viewPage(WAIT_MS));
                stage.runMs(8);
            }
            stage.runMs(WAIT_MS);
            perRequest[budget] = stage.receivedRequests.size() / 900.0;
            servedAtTheEnd[budget] = (int) clients.subList(600, 900).stream()
                    .filter(a -> a.status() == 200)
                    .count();
            stopAndCheck(stage);
        }
        System.out.println("attempts a request without a budget, with one, and without repeats: "
                + Arrays.toString(perRequest) + "; served of 300 in the last third: "
                + Arrays.toString(servedAtTheEnd));
        assertTrue(perRequest[0] > 1.4, "no storm to speak of: " + perRequest[0]);
        assertTrue(perRequest[1] < 1.2, "attempts a request: " + perRequest[1]);
        assertTrue(servedAtTheEnd[1] >= servedAtTheEnd[2], "worse than without repeats");
    }

    /** The requests in hand keep what they began with; new ones have the new routes, or none. */
    @Test
    void aReloadLeavesPendingRequestsUnchanged() {
        SingleNodeScenario stage = scenario(2, "[[route]]\npath = \"/view-page/{n}\"\nconcurrency = 1\n");
        stage.script((end, request) -> true);
        SingleNodeScenario.TestClient first = stage.viewPage(WAIT_MS);
        stage.runMs(20);
        stage.node.setRoutes(SingleNodeScenario.policy(""));
        SingleNodeScenario.TestClient second = stage.viewPage(WAIT_MS);
        stage.runMs(20);
        assertEquals(0, second.status(), "its route is gone, and its limit");
        stage.node.setRoutes(SingleNodeScenario.policy("[[route]]\npath = \"/view-page/{n}\"\nconcurrency = 1\n"));
        SingleNodeScenario.TestClient third = stage.viewPage(WAIT_MS);
        stage.runMs(20);
        assertEquals(0, third.status(), "a new route counts from nothing");
        stage.runMs(2 * WAIT_MS);
        assertEquals(1, first.answers.size());
        assertEquals(1, second.answers.size());
        stopAndCheck(stage);
    }
}
