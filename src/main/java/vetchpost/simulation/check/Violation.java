package vetchpost.simulation.check;

/**
 * A rule that was broken.
 *
 * @param atNs simulated time
 * @param what the request, the node and the server, and what they did
 */
public record Violation(Rule rule, long atNs, String description) {

    /** What must hold. */
    public enum Rule {
        /** One final answer for each request taken, by its deadline, and made for it. */
        LOST("no request is lost"),
        /** Sent again, or refused, only as its class allows. */
        TWICE("no effect happens twice"),
        /** Nothing new past the grace once the node was told. */
        DRAIN("drains are kept"),
        /** No more than a multiple of what a cold server can do. */
        COLD("a cold server is not pushed over"),
        /** Nothing is sent on for a client that left a while ago. */
        LEFT("who has left is not worked for"),
        /** Nothing is left when a node has stopped. */
        LEAK("nothing is left behind"),
        /** No exception ends in a log. */
        FAULT("no fault is swallowed");

        private final String statement;

        Rule(String words) {
            this.statement = words;
        }

        /** The rule in words. */
        public String statement() {
            return statement;
        }
    }
}
