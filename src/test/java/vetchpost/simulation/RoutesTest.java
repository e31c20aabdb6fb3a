package vetchpost.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.simulation.check.ExpectedRequest.RetryPolicy;

/** Limits and retries of an operator's route file on the production node in simulated time. */
@Timeout(120)
class RoutesTest {
    private static final long WAIT_MS = 300;

    private static SingleNodeScenario scenario(int serverCount, String routes) {
        return new SingleNodeScenario(3, serverCount, 1, false, routes);
    }

    private static long countRequests(SingleNodeScenario scenario, String requestClass) {
        return scenario.receivedRequests.stream()
                .filter(r -> r.start().contains(requestClass))
                .count();
    }

    private static void stopAndCheck(SingleNodeScenario scenario) {
        scenario.stopAndCheck();
        assertEquals(List.of(), scenario.violations);
    }

    @Test
    void anAttemptThatTimesOutIsRetriedAtAnotherServer() {
        SingleNodeScenario scenario = scenario(2, "[class.view-page]\nattempt-timeout = \"40ms\"\nattempts = 2\n");
        scenario.setScript((socket, request) -> scenario.receivedRequests.size() == 1);
        SingleNodeScenario.TestClient view = scenario.viewPage(WAIT_MS);
        scenario.runMs(80);
        assertEquals(200, view.status(), "the second attempt came after 40 ms");
        stopAndCheck(scenario);
    }

    @Test
    void aSlowRequestIsHedgedAndAnsweredOnce() {
        SingleNodeScenario scenario = scenario(
                2, "[class.view-page]\ncopy-after = \"30ms\"\n" + "[class.add-photo]\ncopy-after = \"30ms\"\n");
        scenario.servers.get(0).slow(30, 10_000);
        scenario.servers.get(1).slow(30, 40);
        SingleNodeScenario.TestClient view = scenario.viewPage(WAIT_MS);
        SingleNodeScenario.TestClient photo = scenario.addPhoto(WAIT_MS);
        SingleNodeScenario.TestClient order = scenario.placeOrder(WAIT_MS);
        scenario.runMs(25);
        assertEquals(3, scenario.receivedRequests.size(), "a hedge was sent before its delay");
        scenario.runMs(15);
        assertEquals(2, countRequests(scenario, "view-page"));
        assertEquals(2, countRequests(scenario, "add-photo"));
        assertEquals(1, countRequests(scenario, "place-order"), "an order is never hedged");
        scenario.runMs(2 * WAIT_MS);
        assertEquals(1, view.answers.size());
        assertEquals(1, photo.answers.size());
        assertEquals(1, order.answers.size());
        stopAndCheck(scenario);
    }

    @Test
    void aHedgeIsSentAfterTheLatencyPercentile() {
        SingleNodeScenario scenario = scenario(3, "[class.view-page]\ncopy-percentile = 90\n");
        SingleNodeScenario.TestClient first = scenario.viewPage(WAIT_MS);
        for (int i = 0; i < 60; i++) {
            scenario.viewPage(WAIT_MS);
            scenario.runMs(12);
        }
        scenario.runMs(WAIT_MS);
        int before = scenario.receivedRequests.size();
        scenario.setScript((socket, request) -> scenario.receivedRequests.size() == before + 1);
        SingleNodeScenario.TestClient late = scenario.viewPage(WAIT_MS);
        scenario.runMs(60);
        assertEquals(200, first.status());
        assertEquals(200, late.status(), "the hedge has answered");
        assertEquals(before + 2, scenario.receivedRequests.size());
        stopAndCheck(scenario);
    }

    @Test
    void noMoreAttemptsThanTheRouteAllows() {
        for (int attempts = 1; attempts <= 3; attempts++) {
            SingleNodeScenario scenario = scenario(6, "[class.view-page]\nattempts = " + attempts + "\n");
            scenario.servers.forEach(b -> b.fail(1, 10_000));
            SingleNodeScenario.TestClient view = scenario.viewPage(WAIT_MS);
            scenario.runMs(2 * WAIT_MS);
            assertEquals(1, view.answers.size());
            assertEquals(attempts, countRequests(scenario, "view-page"));
            stopAndCheck(scenario);
        }
    }

    @Test
    void aRetryWaitsForItsBackoff() {
        SingleNodeScenario scenario =
                scenario(4, "[class.view-page]\nattempts = 2\nbackoff = \"30ms\"\njitter = 0.5\n");
        scenario.servers.forEach(b -> b.fail(1, 10_000));
        scenario.viewPage(WAIT_MS);
        scenario.runMs(25);
        assertEquals(1, countRequests(scenario, "view-page"));
        scenario.runMs(35);
        assertEquals(2, countRequests(scenario, "view-page"));
        stopAndCheck(scenario);
    }

    @Test
    void beyondItsConcurrencyARouteRejectsAtOnceWithRetryAfter() {
        SingleNodeScenario scenario =
                scenario(4, "[[route]]\npath = \"/view-page/*\"\nconcurrency = 2\n" + "retry-after = \"250ms\"\n");
        List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
        scenario.setScript((socket, request) -> true);
        for (int i = 0; i < 5; i++) {
            clients.add(scenario.viewPage(WAIT_MS));
        }
        SingleNodeScenario.TestClient order = scenario.placeOrder(WAIT_MS);
        scenario.runMs(20);
        List<SingleNodeScenario.TestClient> rejected =
                clients.stream().filter(a -> a.status() == 503).toList();
        assertEquals(3, rejected.size());
        rejected.forEach(a -> assertEquals("0.25", a.answers.get(0).field("retry-after")));
        assertEquals(0, order.status(), "another class has its own limits");
        scenario.runMs(2 * WAIT_MS);
        scenario.setScript((socket, request) -> false);
        SingleNodeScenario.TestClient later = scenario.viewPage(WAIT_MS);
        scenario.runMs(WAIT_MS);
        assertEquals(200, later.status(), "ended requests free their places");
        stopAndCheck(scenario);
    }

    @Test
    void aRequestEndsWithItsRouteOrItsClientWhicheverIsFirst() {
        SingleNodeScenario scenario = scenario(2, "[class.place-order]\ntotal-timeout = \"100ms\"\n");
        scenario.setScript((socket, request) -> true);
        SingleNodeScenario.TestClient byRoute = scenario.placeOrder(WAIT_MS);
        SingleNodeScenario.TestClient byClient = scenario.placeOrder(50);
        scenario.runMs(60);
        assertEquals(502, byClient.status(), "the route allows more time than this client waits");
        assertEquals(0, byRoute.status());
        scenario.runMs(50);
        assertEquals(502, byRoute.status());
        stopAndCheck(scenario);
    }

    @Test
    void aBodyBeyondTheLimitOfItsRouteIsRejected() {
        SingleNodeScenario scenario = scenario(2, "[class.place-order]\nmax-body = \"100B\"\n");
        SingleNodeScenario.TestClient small = scenario.sendRequest("place-order", RetryPolicy.UNSAFE, WAIT_MS, 100);
        SingleNodeScenario.TestClient large = scenario.sendRequest("place-order", RetryPolicy.UNSAFE, WAIT_MS, 101);
        scenario.runMs(WAIT_MS);
        assertEquals(200, small.status());
        assertEquals(413, large.status());
        stopAndCheck(scenario);
    }

    /** Servers fail 60% of requests; docs/routes.md has the figures. */
    @Test
    void aRetryBudgetLimitsARetryStorm() {
        double[] perRequest = new double[3];
        int[] servedAtTheEnd = new int[3];
        for (int budget = 0; budget < 3; budget++) {
            SingleNodeScenario scenario = scenario(
                    8,
                    "[class.view-page]\nattempts = " + (budget == 2 ? 1 : 4) + "\n"
                            + (budget == 1 ? "retry-budget = 0.1\n" : ""));
            scenario.servers.forEach(b -> b.fail(0.6, 100_000));
            List<SingleNodeScenario.TestClient> clients = new ArrayList<>();
            for (int i = 0; i < 900; i++) {
                clients.add(scenario.viewPage(WAIT_MS));
                scenario.runMs(8);
            }
            scenario.runMs(WAIT_MS);
            perRequest[budget] = scenario.receivedRequests.size() / 900.0;
            servedAtTheEnd[budget] = (int) clients.subList(600, 900).stream()
                    .filter(a -> a.status() == 200)
                    .count();
            stopAndCheck(scenario);
        }
        System.out.println("attempts per request without a budget, with one, and without retries: "
                + Arrays.toString(perRequest) + "; served of 300 in the last third: "
                + Arrays.toString(servedAtTheEnd));
        assertTrue(perRequest[0] > 1.4, "no retry storm without a budget: " + perRequest[0]);
        assertTrue(perRequest[1] < 1.2, "attempts per request with a budget: " + perRequest[1]);
        assertTrue(servedAtTheEnd[1] >= servedAtTheEnd[2], "fewer served than without retries");
    }

    /** Pending requests keep the routes that they started with; new ones use the new routes. */
    @Test
    void aReloadLeavesPendingRequestsUnchanged() {
        SingleNodeScenario scenario = scenario(2, "[[route]]\npath = \"/view-page/{n}\"\nconcurrency = 1\n");
        scenario.setScript((socket, request) -> true);
        SingleNodeScenario.TestClient first = scenario.viewPage(WAIT_MS);
        scenario.runMs(20);
        scenario.node.setRoutes(SingleNodeScenario.policy(""));
        SingleNodeScenario.TestClient second = scenario.viewPage(WAIT_MS);
        scenario.runMs(20);
        assertEquals(0, second.status(), "its route and limit no longer exist");
        scenario.node.setRoutes(SingleNodeScenario.policy("[[route]]\npath = \"/view-page/{n}\"\nconcurrency = 1\n"));
        SingleNodeScenario.TestClient third = scenario.viewPage(WAIT_MS);
        scenario.runMs(20);
        assertEquals(0, third.status(), "a new route starts with no requests counted");
        scenario.runMs(2 * WAIT_MS);
        assertEquals(1, first.answers.size());
        assertEquals(1, second.answers.size());
        stopAndCheck(scenario);
    }
}
