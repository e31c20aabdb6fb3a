package vetchpost.store;

/** What an entry of a configuration is of; entries are ordered by it first. */
public enum Kind {
    /** What holds for all requests, or for those of a class. */
    LIMITS,
    SERVICE,
    TENANT,
    ROUTE;

    private static final Kind[] ALL = values();

    /** By its place, or null if there is none. */
    static Kind at(int place) {
        return place >= 0 && place < ALL.length ? ALL[place] : null;
    }
}
