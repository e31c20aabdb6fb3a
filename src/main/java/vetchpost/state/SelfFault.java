package vetchpost.state;

/** Why what a node has learned may say more of itself than of its boxes. The order is that of the format. */
public enum SelfFault {
    /** More than half of its boxes, or half, are ejected or fail. */
    MOST_SERVERS_FAILING("most of its boxes fail"),
    /** It sends less than it is asked for, since most attempts fail. */
    THROTTLED("it is throttled"),
    /** Its loop is behind: its own delay looks like its boxes'. */
    STALLED("its loop is behind"),
    /** It started so short a while ago that what it knows is chance. */
    JUST_STARTED("it has only just started"),
    /** It says that it knows things from the future. */
    FUTURE("its clock is ahead");

    private final String description;

    SelfFault(String words) {
        this.description = words;
    }

    /** For a line of the log, after the name of the node. */
    public String description() {
        return description;
    }
}
