package vetchpost.sources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import vetchpost.sources.CheckPlan.Finding;

/**
 * Which servers are checked, how often, and which ones checks eject. Guards against checks that grow with the fleet,
 * and against ejecting servers over a fault of the node's own network.
 */
class CheckPlanTest {
    private static final long SECOND_US = 1_000_000;
    private static final long TICK_US = 20_000;
    private long nowUs = SECOND_US;

    private static CheckRules rules(int nodes, int number, double budget) {
        return new CheckRules("/", "a", 200, 399, 5 * SECOND_US, SECOND_US, 2, 3, budget, 3, nodes, number, 0.5);
    }

    private static Set<String> fleet(int size) {
        Set<String> ids = new LinkedHashSet<>();
        for (int i = 0; i < size; i++) {
            ids.add("s-" + i);
        }
        return ids;
    }

    private CheckPlan plan(int servers) {
        CheckPlan plan = new CheckPlan(rules(1, 0, 100), 1, nowUs);
        plan.setServers(fleet(servers), nowUs);
        return plan;
    }

    /**
     * Runs checks that end at once with these results.
     *
     * @return the number of checks made
     */
    private int run(CheckPlan plan, long durationUs, Function<String, Finding> findings) {
        int checkCount = 0;
        for (long endUs = nowUs + durationUs; nowUs < endUs; nowUs += TICK_US) {
            for (String id : plan.dueChecks(nowUs, 32)) {
                checkCount++;
                plan.checkCompleted(id, findings.apply(id), nowUs);
            }
        }
        return checkCount;
    }

    private static Function<String, Finding> unhealthy(String... ids) {
        return id -> List.of(ids).contains(id) ? Finding.UNHEALTHY : Finding.HEALTHY;
    }

    @Test
    void ejectsAfterThreeFailuresAndReturnsAfterTwoPasses() {
        CheckPlan plan = plan(10);
        run(plan, 30 * SECOND_US, unhealthy("s-3"));
        assertEquals(Set.of("s-3"), plan.ejectedServers());
        long startUs = nowUs;
        while (!plan.ejectedServers().isEmpty() && nowUs < startUs + 60 * SECOND_US) {
            run(plan, TICK_US, unhealthy());
        }
        assertTrue(nowUs - startUs < 10 * SECOND_US, "returned after " + (nowUs - startUs) / SECOND_US + " s");
        assertTrue(nowUs - startUs > 2 * SECOND_US, "returned after a single check");
    }

    @Test
    void singleFailureDoesNotEject() {
        CheckPlan plan = plan(4);
        Map<String, Integer> checks = new HashMap<>();
        run(
                plan,
                60 * SECOND_US,
                id -> checks.merge(id, 1, Integer::sum) % 3 == 0 ? Finding.UNHEALTHY : Finding.HEALTHY);
        assertEquals(Set.of(), plan.ejectedServers());
    }

    /**
     * When no server answers, the fault is in the node's own network: only those that failed first stay ejected, up to
     * the largest fraction.
     */
    @Test
    void limitsEjectionsWhenAllChecksFail() {
        CheckPlan plan = plan(10);
        run(plan, 30 * SECOND_US, unhealthy("s-1", "s-2"));
        assertEquals(Set.of("s-1", "s-2"), plan.ejectedServers());
        run(plan, 30 * SECOND_US, id -> Finding.UNHEALTHY);
        assertEquals(5, plan.ejectedServers().size(), "at most half");
        assertTrue(plan.ejectedServers().containsAll(Set.of("s-1", "s-2")), "those that failed first stay ejected");
        run(plan, 60 * SECOND_US, unhealthy("s-1"));
        assertEquals(Set.of("s-1"), plan.ejectedServers());
    }

    @Test
    void ignoresFailedCheckWhileRequestsSucceed() {
        CheckPlan plan = plan(3);
        for (int i = 0; i < 2_000; i++) {
            nowUs += TICK_US;
            for (String id : plan.dueChecks(nowUs, 32)) {
                // A real request succeeds while the check is running.
                plan.requestSucceeded(id, nowUs + 1);
                plan.checkCompleted(id, Finding.UNHEALTHY, nowUs + 2);
            }
        }
        assertEquals(Set.of(), plan.ejectedServers());
        assertTrue(plan.disagreementCount() > 0);
    }

    @Test
    void skipsChecksOfServingServers() {
        CheckPlan idlePlan = plan(20);
        int idleChecks = run(idlePlan, 60 * SECOND_US, unhealthy());
        CheckPlan busyPlan = plan(20);
        int busyChecks = 0;
        for (long endUs = nowUs + 60 * SECOND_US; nowUs < endUs; nowUs += TICK_US) {
            fleet(20).forEach(id -> busyPlan.requestSucceeded(id, nowUs));
            busyChecks += run(busyPlan, TICK_US, unhealthy());
            nowUs -= TICK_US;
        }
        assertTrue(idleChecks > 200, idleChecks + " checks without requests");
        assertTrue(busyChecks < idleChecks / 10, busyChecks + " with them, and " + idleChecks + " without");
    }

    @Test
    void checksServerSoonAfterFailedRequest() {
        CheckPlan plan = plan(100);
        run(plan, 10 * SECOND_US, unhealthy());
        plan.requestFailed("s-7", nowUs);
        long startUs = nowUs;
        List<String> checked = new ArrayList<>();
        while (!checked.contains("s-7") && nowUs < startUs + 10 * SECOND_US) {
            nowUs += TICK_US;
            checked.addAll(plan.dueChecks(nowUs, 32));
        }
        assertTrue(nowUs - startUs < SECOND_US, "checked after " + (nowUs - startUs) / 1_000 + " ms");
    }

    @Test
    void ejectsWrongServerImmediately() {
        CheckPlan plan = plan(10);
        run(plan, 6 * SECOND_US, id -> id.equals("s-5") ? Finding.WRONG_SERVER : Finding.HEALTHY);
        assertEquals(Set.of("s-5"), plan.ejectedServers());
    }

    /** With 50 nodes, and with 5,000 servers, the checks of one server and of one node stay bounded. */
    @Test
    void checksPerServerDoNotGrowWithNodes() {
        int servers = 1_000;
        Map<String, Integer> checksByServer = new HashMap<>();
        int maxChecks = 0;
        for (int node = 0; node < 50; node++) {
            nowUs = SECOND_US;
            CheckPlan plan = new CheckPlan(rules(50, node, 20), node, nowUs);
            plan.setServers(fleet(servers), nowUs);
            int checkCount = 0;
            for (long endUs = nowUs + 30 * SECOND_US; nowUs < endUs; nowUs += 5 * TICK_US) {
                for (String id : plan.dueChecks(nowUs, 32)) {
                    checkCount++;
                    checksByServer.merge(id, 1, Integer::sum);
                    plan.checkCompleted(id, Finding.HEALTHY, nowUs);
                }
            }
            assertTrue(checkCount <= 20 * 30 + 10, "a node's own budget: " + checkCount);
            maxChecks = Math.max(maxChecks, checkCount);
        }
        int maxPerServer = checksByServer.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
        assertEquals(servers, checksByServer.size(), "each server is checked by some node");
        assertTrue(
                maxPerServer <= 3 * (30 / 5 + 2),
                "a server was checked " + maxPerServer + " times in 30 s by all nodes");
        CheckPlan smallBudget = new CheckPlan(rules(1, 0, 2), 1, nowUs);
        smallBudget.setServers(fleet(5_000), nowUs);
        assertTrue(
                run(smallBudget, 30 * SECOND_US, unhealthy()) <= 2 * 30 + 1, "the budget bounds checks of any fleet");
    }

    @Test
    void forgetsServerRemovedDuringCheck() {
        CheckPlan plan = plan(3);
        List<String> started = new ArrayList<>();
        while (started.isEmpty()) {
            nowUs += TICK_US;
            started = plan.dueChecks(nowUs, 1);
        }
        plan.setServers(Set.of(), nowUs);
        plan.checkCompleted(started.get(0), Finding.UNHEALTHY, nowUs);
        assertEquals(Set.of(), plan.ejectedServers());
        assertEquals(Long.MAX_VALUE, plan.nextCheckUs(nowUs));
    }
}
