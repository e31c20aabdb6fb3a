package vetchpost.routes;

/**
 * A violation of a rule in the operator's file or in a batch of changes, for which it is rejected as a whole.
 *
 * @param position of the fault
 * @param route the class, route or table; may be empty
 * @param rule that is broken
 * @param problem what is wrong, with the value
 * @param accepted what would be accepted; may be empty
 */
public record Violation(Position position, String route, Rule rule, String problem, String accepted) {

    /** The rules that a file can break; their names are printed in messages. */
    public enum Rule {
        SYNTAX("the file is TOML"),
        UNKNOWN_TABLE("tables are [node], [classes.NAME], [tenants.NAME], [pool], [[source]], [checks], "
                + "[defaults], [class.NAME], [[route]], [fleet], [state], [handover], [admission], "
                + "[control] and [changes]"),
        UNKNOWN_KEY("keys are known"),
        WRONG_UNIT("values have the expected type and unit"),
        OUT_OF_RANGE("figures make sense"),
        UNKNOWN_CLASS("classes are those of the settings"),
        UNKNOWN_TENANT("tenants are those of the settings"),
        UNKNOWN_ENTRY("a changed entry exists"),
        BAD_PATTERN("paths, names and addresses have the expected form"),
        UNREACHABLE("every route can be reached"),
        SAME_MATCH("no two routes match the same requests"),
        SAME_NAME("no two routes have the same name"),
        UNSAFE_AGAIN("no effect happens twice: an unsafe request is sent once"),
        KEYED_LATE("no effect happens twice: a keyed retry is sent within its deduplication window"),
        PAST_CLIENT("no request is lost: an answer comes while its client waits"),
        PAST_WHOLE("an attempt ends within its request"),
        SCHEDULE("all attempts fit into the total time"),
        NOT_ALLOWED("the platform's settings allow it"),
        STARVES("no route and no tenant is starved"),
        INCOMPLETE("a node has an address, servers and a class for each request");

        private final String description;

        Rule(String description) {
            this.description = description;
        }

        /** The rule as a sentence, for messages. */
        public String description() {
            return description;
        }
    }

    @Override
    public String toString() {
        return position + ": " + (route.isEmpty() ? "" : route + ": ") + problem + " ["
                + rule + ": " + rule.description() + "]"
                + (accepted.isEmpty() ? "" : "; " + accepted + " would pass");
    }
}
