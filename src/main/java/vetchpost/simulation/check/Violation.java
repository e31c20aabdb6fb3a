package vetchpost.simulation.check;

/**
 * A broken rule.
 *
 * @param atNs simulated time in nanoseconds
 * @param description the request, node and server involved, and what happened
 */
public record Violation(Rule rule, long atNs, String description) {

    /** The rules that every run must keep. */
    public enum Rule {
        /** Each accepted request gets one final answer, by its deadline, that was made for it. */
        LOST("no request is lost"),
        /** A request is retried, or rejected after an attempt, only as its retry policy allows. */
        TWICE("no effect happens twice"),
        /** No new request goes to a draining or gone server after the grace period. */
        DRAIN("no request goes to a drained server"),
        /** A cold server gets at most a fixed multiple of the work that it can do. */
        COLD("a cold server is not overloaded"),
        /** No request goes to a server after its client has been gone for a while. */
        LEFT("no work goes on for a disconnected client"),
        /** A stopped node has no pending requests, bytes, sockets, buffers or timers. */
        LEAK("a stopped node leaves no resources"),
        /** No exception is only logged. */
        FAULT("no exception is only logged");

        private final String statement;

        Rule(String words) {
            this.statement = words;
        }

        /** What must hold, as printed in reports. */
        public String statement() {
            return statement;
        }
    }
}
