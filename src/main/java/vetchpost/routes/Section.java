package vetchpost.routes;

import java.util.Map;

/**
 * A table of the operator's file as it was read, not checked yet.
 *
 * @param name of the class or route; empty for the defaults, and for a route without a name
 * @param entries by key; what is nested deeper is there as it was read
 */
public record Section(Kind kind, String name, Position position, Map<String, Entry> entries) {

    /** What a table speaks of, from the general to the special. */
    public enum Kind {
        DEFAULTS,
        CLASS,
        ROUTE,
        FLEET,
        STATE,
        HANDOVER,
        ADMISSION,
        NODE,
        REQUEST_CLASS,
        TENANT,
        POOL,
        SOURCE,
        CHECKS,
        CONTROL,
        CHANGES,
        UNKNOWN
    }

    /** A value: text, a number, a list or a table of such, or whatever else TOML knows, which is no use. */
    public record Entry(Object value, Position position) {}
}
