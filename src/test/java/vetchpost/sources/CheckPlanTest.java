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

/** Which servers are checked, how often, and what that comes to. */
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

    /** Runs checks that end at once, as told; how many there were. */
    private int run(CheckPlan plan, long us, Function<String, Finding> answers) {
        int made = 0;
        for (long until = nowUs + us; nowUs < until; nowUs += TICK_US) {
            for (String id : plan.dueChecks(nowUs, 32)) {
                made++;
                plan.checkCompleted(id, answers.apply(id), nowUs);
            }
        }
        return made;
    }

    private static Function<String, Finding> unhealthy(String... ids) {
        return id -> List.of(ids).contains(id) ? Finding.UNHEALTHY : Finding.HEALTHY;
    }

    @Test
    void ejectsAfterThreeFailuresAndReturnsAfterTwoPasses() {
        CheckPlan plan = plan(10);
        run(plan, 30 * SECOND_US, unhealthy("s-3"));
        assertEquals(Set.of("s-3"), plan.ejectedServers());
        long began = nowUs;
        while (!plan.ejectedServers().isEmpty() && nowUs < began + 60 * SECOND_US) {
            run(plan, TICK_US, unhealthy());
        }
        assertTrue(nowUs - began < 10 * SECOND_US, "back after " + (nowUs - began) / SECOND_US + " s");
        assertTrue(nowUs - began > 2 * SECOND_US, "but not after one check");
    }

    @Test
    void singleFailureDoesNotEject() {
        CheckPlan plan = plan(4);
        Map<String, Integer> asked = new HashMap<>();
        run(
                plan,
                60 * SECOND_US,
                id -> asked.merge(id, 1, Integer::sum) % 3 == 0 ? Finding.UNHEALTHY : Finding.HEALTHY);
        assertEquals(Set.of(), plan.ejectedServers());
    }

    /** When nothing answers it is the node's own network: the first that fell stay out, up to the share. */
    @Test
    void limitsEjectionsWhenAllChecksFail() {
        CheckPlan plan = plan(10);
        run(plan, 30 * SECOND_US, unhealthy("s-1", "s-2"));
        assertEquals(Set.of("s-1", "s-2"), plan.ejectedServers());
        run(plan, 30 * SECOND_US, id -> Finding.UNHEALTHY);
        assertEquals(5, plan.ejectedServers().size(), "half at most");
        assertTrue(plan.ejectedServers().containsAll(Set.of("s-1", "s-2")), "those first that were out before");
        run(plan, 60 * SECOND_US, unhealthy("s-1"));
        assertEquals(Set.of("s-1"), plan.ejectedServers());
    }

    @Test
    void ignoresFailedCheckWhileRequestsSucceed() {
        CheckPlan plan = plan(3);
        for (int i = 0; i < 2_000; i++) {
            nowUs += TICK_US;
            for (String id : plan.dueChecks(nowUs, 32)) {
                // A real answer comes while the check is out.
                plan.requestSucceeded(id, nowUs + 1);
                plan.checkCompleted(id, Finding.UNHEALTHY, nowUs + 2);
            }
        }
        assertEquals(Set.of(), plan.ejectedServers());
        assertTrue(plan.disagreementCount() > 0);
    }

    @Test
    void skipsChecksOfServingServers() {
        CheckPlan quiet = plan(20);
        int without = run(quiet, 60 * SECOND_US, unhealthy());
        CheckPlan busy = plan(20);
        int with = 0;
        for (long until = nowUs + 60 * SECOND_US; nowUs < until; nowUs += TICK_US) {
            fleet(20).forEach(id -> busy.requestSucceeded(id, nowUs));
            with += run(busy, TICK_US, unhealthy());
            nowUs -= TICK_US;
        }
        assertTrue(without > 200, without + " checks without requests");
        assertTrue(with < without / 10, with + " with them, and " + without + " without");
    }

    @Test
    void checksServerSoonAfterFailedRequest() {
        CheckPlan plan = plan(100);
        run(plan, 10 * SECOND_US, unhealthy());
        plan.requestFailed("s-7", nowUs);
        long began = nowUs;
        List<String> asked = new ArrayList<>();
        while (!asked.contains("s-7") && nowUs < began + 10 * SECOND_US) {
            nowUs += TICK_US;
            asked.addAll(plan.dueChecks(nowUs, 32));
        }
        assertTrue(nowUs - began < SECOND_US, "asked after " + (nowUs - began) / 1_000 + " ms");
    }

    @Test
    void ejectsWrongServerImmediately() {
        CheckPlan plan = plan(10);
        run(plan, 6 * SECOND_US, id -> id.equals("s-5") ? Finding.WRONG_SERVER : Finding.HEALTHY);
        assertEquals(Set.of("s-5"), plan.ejectedServers());
    }

    /** 50 nodes and 5,000 servers: neither more nodes nor more servers are more checks for a server. */
    @Test
    void checksPerServerDoNotGrowWithNodes() {
        int servers = 1_000;
        Map<String, Integer> asked = new HashMap<>();
        int most = 0;
        for (int node = 0; node < 50; node++) {
            nowUs = SECOND_US;
            CheckPlan plan = new CheckPlan(rules(50, node, 20), node, nowUs);
            plan.setServers(fleet(servers), nowUs);
            int made = 0;
            for (long until = nowUs + 30 * SECOND_US; nowUs < until; nowUs += 5 * TICK_US) {
                for (String id : plan.dueChecks(nowUs, 32)) {
                    made++;
                    asked.merge(id, 1, Integer::sum);
                    plan.checkCompleted(id, Finding.HEALTHY, nowUs);
                }
            }
            assertTrue(made <= 20 * 30 + 10, "a node's own budget: " + made);
            most = Math.max(most, made);
        }
        int perServer =
                asked.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertEquals(servers, asked.size(), "each server has its watchers");
        assertTrue(perServer <= 3 * (30 / 5 + 2), "a server was asked " + perServer + " times in 30 s by all");
        CheckPlan poor = new CheckPlan(rules(1, 0, 2), 1, nowUs);
        poor.setServers(fleet(5_000), nowUs);
        assertTrue(run(poor, 30 * SECOND_US, unhealthy()) <= 2 * 30 + 1, "the budget holds for any fleet");
    }

    @Test
    void forgetsServerRemovedDuringCheck() {
        CheckPlan plan = plan(3);
        List<String> out = new ArrayList<>();
        while (out.isEmpty()) {
            nowUs += TICK_US;
            out = plan.dueChecks(nowUs, 1);
        }
        plan.setServers(Set.of(), nowUs);
        plan.checkCompleted(out.get(0), Finding.UNHEALTHY, nowUs);
        assertEquals(Set.of(), plan.ejectedServers());
        assertEquals(Long.MAX_VALUE, plan.nextCheckUs(nowUs));
    }
}
