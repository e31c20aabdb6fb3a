package vetchpost.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import vetchpost.simulation.check.Violation.Rule;

/**
 * Reduces a failing plan while it still breaks the same rule: it cuts the time after the failure, then removes
 * faults, then requests, halves before single ones (delta debugging: Zeller and Hildebrandt, "Simplifying and
 * Isolating Failure-Inducing Input", 2002).
 */
final class Shrinker {
    private static final int MAX_RUNS = 600;

    private final Function<Plan, Result> run;
    private final Rule rule;
    private int runs;

    Shrinker(Function<Plan, Result> run, Rule rule) {
        this.run = run;
        this.rule = rule;
    }

    /** Number of runs so far. */
    int runs() {
        return runs;
    }

    Plan shrink(Plan failing) {
        Result first = run.apply(failing);
        Plan plan = failing;
        long endMs = first.violation().atNs() / 1_000_000 + 1;
        if (endMs < plan.durationMs()) {
            Plan shorter = new Plan(
                    plan.seed(),
                    plan.nodes(),
                    plan.servers(),
                    plan.racks(),
                    plan.pushed(),
                    plan.rate(),
                    endMs,
                    plan.workMs(),
                    plan.slots(),
                    plan.faults(),
                    plan.onlyRequests());
            plan = fails(shorter) ? shorter : plan;
        }
        plan = shrinkFaults(plan);
        plan = shrinkRequests(plan, first.operations());
        return shrinkFaults(plan);
    }

    private boolean fails(Plan plan) {
        if (runs >= MAX_RUNS) {
            return false;
        }
        runs++;
        Result result = run.apply(plan);
        return !result.isGood() && result.violation().rule() == rule;
    }

    private Plan shrinkFaults(Plan failing) {
        Plan plan = failing;
        int size = Math.max(1, plan.faults().size() / 2);
        while (size > 0) {
            boolean reduced = false;
            for (int position = 0; position < plan.faults().size(); ) {
                List<Fault> fewer = new ArrayList<>(plan.faults());
                fewer.subList(position, Math.min(fewer.size(), position + size)).clear();
                Plan without = plan.withFaults(fewer);
                if (fails(without)) {
                    plan = without;
                    reduced = true;
                } else {
                    position += size;
                }
            }
            size = reduced && size == 1 ? 1 : size / 2;
        }
        return plan;
    }

    private Plan shrinkRequests(Plan failing, int operationCount) {
        Plan plan = failing;
        BitSet kept = new BitSet();
        kept.set(0, operationCount);
        if (plan.onlyRequests() != null) {
            kept.and(plan.onlyRequests());
        }
        for (int size = Math.max(1, kept.cardinality() / 2); size > 0; size /= 2) {
            int position = kept.nextSetBit(0);
            while (position >= 0) {
                BitSet fewer = (BitSet) kept.clone();
                int next = position;
                for (int i = 0; i < size && next >= 0; i++) {
                    fewer.clear(next);
                    next = kept.nextSetBit(next + 1);
                }
                Plan without = plan.withOnlyRequests(fewer);
                if (fails(without)) {
                    kept = fewer;
                    plan = without;
                }
                position = next;
            }
        }
        return plan;
    }
}
