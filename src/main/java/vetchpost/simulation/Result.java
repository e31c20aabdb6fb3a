package vetchpost.simulation;

import java.util.List;
import java.util.Map;
import vetchpost.simulation.check.Violation;

/**
 * The outcome of a run.
 *
 * @param seed seed of the plan
 * @param violation the first broken rule, or null
 * @param precedingEvents the events just before it, or the last ones of the run
 * @param digest digest of the whole trace, 16 hexadecimal digits
 * @param events number of events in the trace
 * @param simulatedNs simulated duration in nanoseconds
 * @param requestsSent requests that clients sent, retries included
 * @param operations operations that clients started
 * @param served operations that were served
 * @param late served operations that missed the latency target of their class
 * @param rejected rejections that nodes answered with
 * @param attempts requests that nodes sent to servers
 * @param retries attempts after the first one of a request
 * @param faults number of injected faults by kind
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
