package vetchpost.replication;

import java.util.List;
import vetchpost.store.PackedTree;
import vetchpost.store.PackedTree.Item;
import vetchpost.store.PackedTree.Sum;

/**
 * What one side tells the other. Which of its parts count depends on its type; the others are empty.
 *
 * @param from a version
 * @param to a version
 * @param part number of a part, from 0
 * @param last whether it is the last
 * @param sum of all entries at the version
 * @param items entries as they are, or went away
 * @param name of who tells
 * @param spans ranges of keys and what they come to
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
    /** What a frame is for. */
    public enum Type {
        /**
         * A replica: it is at {@code from}, with that sum; {@code last} if that is so by what it was just
         * told.
         */
        HELLO,
        /** A publisher: it is at {@code to}, with that sum, and so is the replica as far as it knows. */
        CURRENT,
        /** A publisher: it is at {@code to}, before the replica. */
        BEHIND,
        /** A publisher: what has changed after {@code from} up to {@code to}; the last part tells the sum. */
        DELTA,
        /**
         * A replica: these ranges come to that here; {@code to} is what it is compared with, 0 for the
         * newest.
         */
        COMPARE,
        /**
         * A publisher: the ranges that come to something else there, cut smaller, or with each item's hash.
         */
        DIFFER,
        /** A replica: the items with these hashes are wanted. */
        WANT,
        /** A publisher: items that were wanted. */
        ITEMS
    }

    /** An entry at its version; a value of null went away then. */
    public record Entry(byte[] key, byte[] value, long stamp) {}

    /**
     * A range of keys.
     *
     * @param from its first key; empty for the first of all
     * @param to before this key; null for no end
     * @param hashes of its items, 32 bits of each, where they are told one by one; else null
     */
    public record Span(byte[] from, byte[] to, Sum sum, long[] hashes) {
        /** As much of an item's hash as is told. */
        static long hash(Item item) {
            return PackedTree.hash(item) & 0xFFFF_FFFFL;
        }
    }

    private static final Sum EMPTY_SUM = new Sum(0, 0);

    static Frame hello(String name, long at, boolean told, Sum sum) {
        return new Frame(Type.HELLO, at, 0, 0, told, sum, List.of(), name, List.of());
    }

    static Frame current(long at, Sum sum) {
        return new Frame(Type.CURRENT, 0, at, 0, false, sum, List.of(), "", List.of());
    }

    static Frame behind(long at) {
        return new Frame(Type.BEHIND, 0, at, 0, false, EMPTY_SUM, List.of(), "", List.of());
    }

    /** What has changed after one version up to another, or a part of it. */
    public static Frame delta(long from, long to, int part, boolean last, Sum sum, List<Entry> items) {
        return new Frame(Type.DELTA, from, to, part, last, sum, items, "", List.of());
    }

    static Frame spans(Type type, long target, Sum whole, List<Span> spans) {
        return new Frame(type, 0, target, 0, false, whole, List.of(), "", spans);
    }

    /** Items, as part of something that is at a version. */
    public static Frame items(long target, List<Entry> items) {
        return new Frame(Type.ITEMS, 0, target, 0, false, EMPTY_SUM, items, "", List.of());
    }
}
