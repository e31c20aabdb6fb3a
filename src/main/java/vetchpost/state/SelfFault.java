package vetchpost.state;

/**
 * A fault of a node that makes its statistics say more about itself than about its servers. The order is part of
 * the snapshot format.
 */
public enum SelfFault {
    /** At least half of its servers are ejected or failing. */
    MOST_SERVERS_FAILING("at least half of its servers are failing"),
    /** It limits its own sending rate, since most attempts fail. */
    THROTTLED("the node is throttled"),
    /** Its event loop is delayed, and the delay looks like its servers' latency. */
    STALLED("its event loop is delayed"),
    /** It has run for too short a time to have significant statistics. */
    JUST_STARTED("the node has only just started"),
    /** Its times are in the future. */
    FUTURE("its clock is ahead");

    private final String description;

    SelfFault(String description) {
        this.description = description;
    }

    /** Returns a phrase for the log. */
    public String description() {
        return description;
    }
}
