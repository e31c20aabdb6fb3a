package vetchpost.sources;

/**
 * The operators' overrides for servers, applied on top of sources, checks and the servers' own reports. Called by
 * {@link SourceMerger} on the event loop.
 */
public interface ServerOverrides {
    /** No overrides. */
    ServerOverrides NONE = new ServerOverrides() {};

    /** Whether an override drains this server. */
    default boolean isDraining(String id) {
        return false;
    }

    /**
     * A server's weight with overrides applied; above 0.
     *
     * @param reportedWeight its weight as its sources report it
     */
    default double weight(String id, double reportedWeight) {
        return reportedWeight;
    }

    /** Whether the list of servers is frozen. */
    default boolean isListFrozen() {
        return false;
    }
}
