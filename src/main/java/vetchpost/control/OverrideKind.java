package vetchpost.control;

import java.util.Locale;

/**
 * What an override does. All of them make a node more careful; none sends requests to a draining server. The constants
 * are written to the audit log and read from commands by name.
 */
public enum OverrideKind {
    /** A server accepts no new requests and completes those it has. */
    DRAIN,
    /** A server receives a fraction of its usual requests: in thousandths, 1 to 1,000. */
    WEIGHT,
    /** A fraction of a class's requests is rejected on arrival: in thousandths, 1 to 1,000. */
    SHED,
    /** The list of servers stays as it is: none is added and none removed. Drains still take effect. */
    FREEZE;

    /** The name of the operators' command. */
    public String commandName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
