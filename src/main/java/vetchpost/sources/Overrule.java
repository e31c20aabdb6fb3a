package vetchpost.sources;

/** What operators say of servers, beside what sources, checks and the servers themselves do. */
public interface Overrule {
    /** Nothing. */
    Overrule NONE = new Overrule() {};

    /** Whether this server takes nothing new. */
    default boolean drains(String id) {
        return false;
    }

    /** A server's weight, of the one that its sources tell; more than 0. */
    default double weight(String id, double said) {
        return said;
    }

    /** Whether the list is held as it is. */
    default boolean holdsList() {
        return false;
    }
}
