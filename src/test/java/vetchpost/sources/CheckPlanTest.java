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
    private static final long S = 1_000_000;
    private static final long TICK = 20_000;
    private long now = S;

    private static CheckRules rules(int nodes, int number, double budget) {
        return new CheckRules("/", "a", 200, 399, 5 * S, S, 2, 3, budget, 3, nodes, number, 0.5);
    }

    private static Set<String> fleet(int size) {
        Set<String> ids = new LinkedHashSet<>();
        for (int i = 0; i < size; i++) {
            ids.add("s-" + i);
        }
        return ids;
    }

    private CheckPlan plan(int servers) {
        CheckPlan plan = new CheckPlan(rules(1, 0, 100), 1, now);
        plan.setServers(fleet(servers), now);
        return plan;
    }

    /** Runs checks that end at once, as told; how many there were. */
    private int run(CheckPlan plan, long us, Function<String, Finding> answers) {
        int made = 0;
        for (long until = now + us; now < until; now += TICK) {
            for (String id : plan.dueChecks(now, 32)) {
                made++;
                plan.checkCompleted(id, answers.apply(id), now);
            }
        }
        return made;
    }

    private static Function<String, Finding> ill(String... ids) {
        return id -> List.of(ids).contains(id) ? Finding.UNHEALTHY : Finding.HEALTHY;
    }

    @Test
    void whoFailsThreeTimesIsOutAndWhoPassesTwiceIsBack() {
        CheckPlan plan = plan(10);
        run(plan, 30 * S, ill("s-3"));
        assertEquals(Set.of("s-3"), plan.ejected());
        long began = now;
        while (!plan.ejected().isEmpty() && now < began + 60 * S) {
            run(plan, TICK, ill());
        }
        assertTrue(now - began < 10 * S, "back after " + (now - began) / S + " s");
        assertTrue(now - began > 2 * S, "but not after one check");
    }

    @Test
    void oneFailureIsNoVerdict() {
        CheckPlan plan = plan(4);
        Map<String, Integer> asked = new HashMap<>();
        run(plan, 60 * S, id -> asked.merge(id, 1, Integer::sum) % 3 == 0 ? Finding.UNHEALTHY : Finding.HEALTHY);
        assertEquals(Set.of(), plan.ejected());
    }

    /** When nothing answers it is the node's own network: the first that fell stay out, up to the share. */
    @Test
    void whenAllChecksFailAtOnceNothingIsEmptied() {
        CheckPlan plan = plan(10);
        run(plan, 30 * S, ill("s-1", "s-2"));
        assertEquals(Set.of("s-1", "s-2"), plan.ejected());
        run(plan, 30 * S, id -> Finding.UNHEALTHY);
        assertEquals(5, plan.ejected().size(), "half at most");
        assertTrue(plan.ejected().containsAll(Set.of("s-1", "s-2")), "those first that were out before");
        run(plan, 60 * S, ill("s-1"));
        assertEquals(Set.of("s-1"), plan.ejected());
    }

    @Test
    void aCheckThatFailsWhileRequestsAreServedCountsForNothing() {
        CheckPlan plan = plan(3);
        for (int i = 0; i < 2_000; i++) {
            now += TICK;
            for (String id : plan.dueChecks(now, 32)) {
                // A real answer comes while the check is out.
                plan.requestSucceeded(id, now + 1);
                plan.checkCompleted(id, Finding.UNHEALTHY, now + 2);
            }
        }
        assertEquals(Set.of(), plan.ejected());
        assertTrue(plan.disagreementCount() > 0);
    }

    @Test
    void whoServesIsNotChecked() {
        CheckPlan quiet = plan(20);
        int without = run(quiet, 60 * S, ill());
        CheckPlan busy = plan(20);
        int with = 0;
        for (long until = now + 60 * S; now < until; now += TICK) {
            fleet(20).forEach(id -> busy.requestSucceeded(id, now));
            with += run(busy, TICK, ill());
            now -= TICK;
        }
        assertTrue(without > 200, without + " checks without requests");
        assertTrue(with < without / 10, with + " with them, and " + without + " without");
    }

    @Test
    void whoseRequestsFailIsCheckedSoon() {
        CheckPlan plan = plan(100);
        run(plan, 10 * S, ill());
        plan.requestFailed("s-7", now);
        long began = now;
        List<String> asked = new ArrayList<>();
        while (!asked.contains("s-7") && now < began + 10 * S) {
            now += TICK;
            asked.addAll(plan.dueChecks(now, 32));
        }
        assertTrue(now - began < S, "asked after " + (now - began) / 1_000 + " ms");
    }

    @Test
    void anotherApplicationIsOutAtOnce() {
        CheckPlan plan = plan(10);
        run(plan, 6 * S, id -> id.equals("s-5") ? Finding.WRONG_SERVER : Finding.HEALTHY);
        assertEquals(Set.of("s-5"), plan.ejected());
    }

    /** 50 nodes and 5,000 servers: neither more nodes nor more servers are more checks for a server. */
    @Test
    void whatAServerIsAskedDoesNotGrowWithTheNodes() {
        int servers = 1_000;
        Map<String, Integer> asked = new HashMap<>();
        int most = 0;
        for (int node = 0; node < 50; node++) {
            now = S;
            CheckPlan plan = new CheckPlan(rules(50, node, 20), node, now);
            plan.setServers(fleet(servers), now);
            int made = 0;
            for (long until = now + 30 * S; now < until; now += 5 * TICK) {
                for (String id : plan.dueChecks(now, 32)) {
                    made++;
                    asked.merge(id, 1, Integer::sum);
                    plan.checkCompleted(id, Finding.HEALTHY, now);
                }
            }
            assertTrue(made <= 20 * 30 + 10, "a node's own budget: " + made);
            most = Math.max(most, made);
        }
        int perServer =
                asked.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertEquals(servers, asked.size(), "each server has its watchers");
        assertTrue(perServer <= 3 * (30 / 5 + 2), "a server was asked " + perServer + " times in 30 s by all");
        CheckPlan poor = new CheckPlan(rules(1, 0, 2), 1, now);
        poor.setServers(fleet(5_000), now);
        assertTrue(run(poor, 30 * S, ill()) <= 2 * 30 + 1, "the budget holds for any fleet");
    }

    @Test
    void aServerThatLeavesWhileItIsCheckedIsForgotten() {
        CheckPlan plan = plan(3);
        List<String> out = new ArrayList<>();
        while (out.isEmpty()) {
            now += TICK;
            out = plan.dueChecks(now, 1);
        }
        plan.setServers(Set.of(), now);
        plan.checkCompleted(out.get(0), Finding.UNHEALTHY, now);
        assertEquals(Set.of(), plan.ejected());
        assertEquals(Long.MAX_VALUE, plan.nextUs(now));
    }
}
