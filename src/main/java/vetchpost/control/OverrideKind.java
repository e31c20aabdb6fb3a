package vetchpost.control;

import java.util.Locale;

/** What an override does. All of them make a node more careful; none sends to a server that drains. */
public enum OverrideKind {
    /** A server takes nothing new, and ends what it has. */
    DRAIN,
    /** A server takes a share of its usual part: in thousandths, 1 to 1,000. */
    WEIGHT,
    /** So many thousandths of a class's requests are refused on arrival, 1 to 1,000. */
    SHED,
    /** The list of servers is held as it is: none comes and none is left out. A drain counts all the same. */
    FREEZE;

    /** As operators write it. */
    public String commandName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
