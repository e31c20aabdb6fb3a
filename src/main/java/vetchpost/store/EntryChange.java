package vetchpost.store;

/**
 * What becomes of one entry.
 *
 * @param value null for a delete
 */
public record EntryChange(Op op, EntryKey key, byte[] value) {
    /** How. */
    public enum Op {
        /** An entry that is not there yet. */
        PUT,
        /** One that is there. */
        REPLACE,
        /** One that is there goes. */
        DELETE
    }

    /** A new entry. */
    public static EntryChange put(EntryKey key, byte[] value) {
        return new EntryChange(Op.PUT, key, value);
    }

    /** Another value for an entry. */
    public static EntryChange replace(EntryKey key, byte[] value) {
        return new EntryChange(Op.REPLACE, key, value);
    }

    /** An entry less. */
    public static EntryChange delete(EntryKey key) {
        return new EntryChange(Op.DELETE, key, null);
    }
}
