package vetchpost.simulation;

import java.util.List;
import java.util.Map;
import vetchpost.simulation.check.Violation;

/**
 * How a run went.
 *
 * @param violation the first rule broken, or null
 * @param before the events just before it, or the last ones
 * @param digest of the whole trace
 * @param events in the trace
 * @param simulatedNs how much time passed in it
 * @param tried requests sent
 * @param wants what clients wanted
 * @param served and got
 * @param late of them, later than their class aims at
 * @param refused answers that were refusals
 * @param attempts at servers
 * @param repeats of them, after a request's first
 * @param faults injected, by kind
 */
public record Result(
        long seed,
        Violation violation,
        List<String> precedingEvents,
        String digest,
        long events,
        long simulatedNs,
        int requestsSent,
        int operations,
        int served,
        int late,
        int rejected,
        int attempts,
        int retries,
        Map<Fault.Kind, Integer> faults) {

    /** Whether no rule was broken. */
    public boolean isGood() {
        return violation == null;
    }
}
