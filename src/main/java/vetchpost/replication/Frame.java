package vetchpost.replication;

import java.util.List;
import vetchpost.store.PackedTree;
import vetchpost.store.PackedTree.Item;
import vetchpost.store.PackedTree.Sum;

/**
 * A message between replica and publisher. Its type determines which fields are used; the others are empty.
 *
 * @param from the version at which the replica is or a delta starts
 * @param to the publisher's version or the target of a delta or comparison
 * @param part number of the part, from 0
 * @param last whether this is the last part
 * @param sum sum of all entries at the version
 * @param items entries, current or removed
 * @param name name of the sender
 * @param spans ranges of keys with their sums
 */
public record Frame(
        Type type,
        long from,
        long to,
        int part,
        boolean last,
        Sum sum,
        List<Entry> items,
        String name,
        List<Span> spans) {
    /** The kinds of frames; the order is part of the format. */
    public enum Type {
        /**
         * From a replica: it is at {@code from}, with that sum; {@code last} if it has just applied that version
         * from this publisher.
         */
        HELLO,
        /** From a publisher: it is at {@code to}, with that sum, and so is the replica as far as it knows. */
        CURRENT,
        /** From a publisher: it is at {@code to}, older than the replica's version. */
        BEHIND,
        /** From a publisher: changes after {@code from} up to {@code to}; the last part has the sum. */
        DELTA,
        /**
         * From a replica: the sums of these ranges here; {@code to} is the version to compare with, 0 for the
         * newest.
         */
        COMPARE,
        /**
         * From a publisher: the ranges whose sums differ there, split into smaller ones or with item hashes.
         */
        DIFFER,
        /** From a replica: requests the items with these hashes. */
        WANT,
        /** From a publisher: requested items. */
        ITEMS
    }

    /** An entry at its version; a null value means that the entry was removed then. */
    public record Entry(byte[] key, byte[] value, long stamp) {}

    /**
     * A range of keys.
     *
     * @param from first key, inclusive; empty for the first of all
     * @param to end key, exclusive; null for no end
     * @param hashes the lower 32 bits of each item's hash where items are listed; else null
     */
    public record Span(byte[] from, byte[] to, Sum sum, long[] hashes) {
        /** Returns the part of an item's hash that is sent: its lower 32 bits. */
        static long hash(Item item) {
            return PackedTree.hash(item) & 0xFFFF_FFFFL;
        }
    }

    private static final Sum EMPTY_SUM = new Sum(0, 0);

    static Frame hello(String name, long version, boolean applied, Sum sum) {
        return new Frame(Type.HELLO, version, 0, 0, applied, sum, List.of(), name, List.of());
    }

    static Frame current(long version, Sum sum) {
        return new Frame(Type.CURRENT, 0, version, 0, false, sum, List.of(), "", List.of());
    }

    static Frame behind(long version) {
        return new Frame(Type.BEHIND, 0, version, 0, false, EMPTY_SUM, List.of(), "", List.of());
    }

    /** Creates a frame with a part of the changes after one version up to another. */
    public static Frame delta(long from, long to, int part, boolean last, Sum sum, List<Entry> items) {
        return new Frame(Type.DELTA, from, to, part, last, sum, items, "", List.of());
    }

    static Frame spans(Type type, long target, Sum sum, List<Span> spans) {
        return new Frame(type, 0, target, 0, false, sum, List.of(), "", spans);
    }

    /** Creates a frame with items of the target version. */
    public static Frame items(long target, List<Entry> items) {
        return new Frame(Type.ITEMS, 0, target, 0, false, EMPTY_SUM, items, "", List.of());
    }
}
