package vetchpost.routes;

/**
 * Why a file is refused.
 *
 * @param route the class or route, or empty
 * @param what is wrong
 * @param fits what would pass, or empty
 */
public record Violation(Position position, String route, Rule rule, String problem, String accepted) {

    /** The rules that a file can break. */
    public enum Rule {
        SYNTAX("the file is TOML"),
        UNKNOWN_TABLE("tables are [node], [classes.NAME], [tenants.NAME], [pool], [[source]], [checks], "
                + "[defaults], [class.NAME], [[route]], [fleet], [state], [handover], [admission], "
                + "[control] and [changes]"),
        UNKNOWN_KEY("keys are known"),
        WRONG_UNIT("figures have their unit"),
        OUT_OF_RANGE("figures make sense"),
        UNKNOWN_CLASS("classes are those of the settings"),
        UNKNOWN_TENANT("tenants are those of the settings"),
        UNKNOWN_ENTRY("what is changed is there"),
        BAD_PATTERN("paths, names and addresses are written as they are read"),
        UNREACHABLE("every route can be reached"),
        SAME_MATCH("no two routes match the same"),
        SAME_NAME("no two routes have one name"),
        UNSAFE_AGAIN("no effect happens twice: an unsafe request is sent once"),
        KEYED_LATE("no effect happens twice: a keyed repeat is sent while its rack remembers"),
        PAST_CLIENT("no request is lost: an answer comes while its client waits"),
        PAST_WHOLE("an attempt ends within its request"),
        SCHEDULE("all attempts fit into the time in all"),
        NOT_ALLOWED("the platform's settings allow it"),
        STARVES("no route and no tenant is starved"),
        INCOMPLETE("a node has an address, servers and a class for each request");

        private final String description;

        Rule(String words) {
            this.description = words;
        }

        /** The rule in words. */
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
