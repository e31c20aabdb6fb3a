package vetchpost.replication;

import vetchpost.store.PackedTree;

/**
 * What a node makes of the entries, such as the table that its requests are looked up in. It never changes,
 * as the entries don't: each change makes another one that shares what it can.
 */
public interface Index {
    /** Of entries that mean nothing here. */
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
     * With an entry as it is from then on; entries come in any order, and need not fit together before the
     * last.
     *
     * @param value null if it went away
     * @param live all entries with this one as it is now
     * @throws IllegalArgumentException if it can't be read
     */
    Index withEntry(byte[] key, byte[] value, PackedTree live);

    /** The same, read from this tree, which holds the same entries, so that they are kept once. */
    Index backedBy(PackedTree live);
}
