package vetchpost.replication;

import vetchpost.store.PackedTree;

/**
 * A lookup structure that a node derives from the entries, such as its routing table. Immutable like the
 * entries: each change produces a new index that shares its unchanged parts. Used by {@link Replica}.
 */
public interface Index {
    /** An index that ignores all entries. */
    Index NONE = new Index() {
        @Override
        public Index withEntry(byte[] key, byte[] value, PackedTree live) {
            return this;
        }

        @Override
        public Index backedBy(PackedTree live) {
            return this;
        }
    };

    /**
     * Returns an index with one entry changed. Entries arrive in any order and need not be consistent with each
     * other before the last one of a batch.
     *
     * @param value the new value; null if the entry was removed
     * @param live all entries, including this change
     * @throws IllegalArgumentException if the entry can't be parsed
     */
    Index withEntry(byte[] key, byte[] value, PackedTree live);

    /** Returns the same index backed by this tree, which holds equal entries, so that they are stored once. */
    Index backedBy(PackedTree live);
}
