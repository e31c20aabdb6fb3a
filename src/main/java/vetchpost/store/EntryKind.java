package vetchpost.store;

/** What an entry of a configuration is of; entries are ordered by it first. */
public enum EntryKind {
    /** What holds for all requests, or for those of a class. */
    LIMITS,
    SERVICE,
    TENANT,
    ROUTE;

    private static final EntryKind[] ALL = values();

    /** By its place, or null if there is none. */
    static EntryKind ofOrdinal(int place) {
        return place >= 0 && place < ALL.length ? ALL[place] : null;
    }
}
