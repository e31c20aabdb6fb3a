package vetchpost.store;

/** The kind of an entry of the configuration. Entries are ordered by kind first; stored keys have the ordinal. */
public enum EntryKind {
    /** The default limits, or those of a class. */
    LIMITS,
    SERVICE,
    TENANT,
    ROUTE;

    private static final EntryKind[] ALL = values();

    /** The kind with this ordinal, or null if there is none. */
    static EntryKind ofOrdinal(int ordinal) {
        return ordinal >= 0 && ordinal < ALL.length ? ALL[ordinal] : null;
    }
}
