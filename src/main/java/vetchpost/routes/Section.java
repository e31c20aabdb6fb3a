package vetchpost.routes;

import java.util.Map;

/**
 * A table of the operator's file as it was read, before any validation.
 *
 * @param kind of the table
 * @param name of the class or tenant, or the key of the table; empty for the defaults, routes and sources
 * @param position of the table's header
 * @param entries by key; nested tables and lists are values as they were read
 */
public record Section(Kind kind, String name, Position position, Map<String, Entry> entries) {

    /** The kinds of tables, from the general to the special. */
    public enum Kind {
        DEFAULTS,
        CLASS,
        ROUTE,
        FLEET,
        STATE,
        HANDOVER,
        ADMISSION,
        NODE,
        /** {@code [classes.NAME]}: a class of requests of a node without a platform. */
        REQUEST_CLASS,
        TENANT,
        POOL,
        SOURCE,
        CHECKS,
        CONTROL,
        CHANGES,
        UNKNOWN
    }

    /**
     * A value with its position.
     *
     * @param value a text, a number, a boolean, a list or a table of such, or another TOML type that no key allows
     * @param position of the value's key
     */
    public record Entry(Object value, Position position) {}
}
