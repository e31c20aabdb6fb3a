package vetchpost.sources;

/** What operators say of servers, beside what sources, checks and the servers themselves do. */
public interface ServerOverrides {
    /** Nothing. */
    ServerOverrides NONE = new ServerOverrides() {};

    /** Whether this server takes nothing new. */
    default boolean isDraining(String id) {
        return false;
    }

    /** A server's weight, of the one that its sources tell; more than 0. */
    default double weight(String id, double said) {
        return said;
    }

    /** Whether the list is held as it is. */
    default boolean isListFrozen() {
        return false;
    }
}
