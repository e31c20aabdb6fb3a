package vetchpost.store;

/**
 * A change of one entry of the configuration.
 *
 * @param op how the entry changes
 * @param key of the entry
 * @param value the new value; null for a delete
 */
public record EntryChange(Op op, EntryKey key, byte[] value) {
    /** How an entry changes. */
    public enum Op {
        /** Adds an entry that does not exist yet. */
        PUT,
        /** Gives an existing entry another value. */
        REPLACE,
        /** Removes an existing entry. */
        DELETE
    }

    /** Adds an entry. */
    public static EntryChange put(EntryKey key, byte[] value) {
        return new EntryChange(Op.PUT, key, value);
    }

    /** Replaces the value of an entry. */
    public static EntryChange replace(EntryKey key, byte[] value) {
        return new EntryChange(Op.REPLACE, key, value);
    }

    /** Removes an entry. */
    public static EntryChange delete(EntryKey key) {
        return new EntryChange(Op.DELETE, key, null);
    }
}
