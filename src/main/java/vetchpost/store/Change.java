package vetchpost.store;

/**
 * What becomes of one entry.
 *
 * @param value null for a delete
 */
public record Change(Op op, Key key, byte[] value) {
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
    public static Change put(Key key, byte[] value) {
        return new Change(Op.PUT, key, value);
    }

    /** Another value for an entry. */
    public static Change replace(Key key, byte[] value) {
        return new Change(Op.REPLACE, key, value);
    }

    /** An entry less. */
    public static Change delete(Key key) {
        return new Change(Op.DELETE, key, null);
    }
}
