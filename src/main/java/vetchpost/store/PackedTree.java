package vetchpost.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A persistent sorted map of bytes to bytes: a B+ tree whose leaves are packed into one array each, so that
 * an entry costs little more than its own bytes, and whose nodes carry their count, the sum of their entries'
 * hashes and their newest stamp. A change copies one leaf and the way to it and leaves the tree before as it
 * was; whoever has a reference may read it for as long as wanted, from any thread.
 *
 * <p>The sum is commutative (as in a Merkle tree of additive hashes), so that two trees with the same entries
 * have the same sums however they came to be. It tells differences by accident, not by an adversary.
 */
public final class PackedTree {
    /** Nothing. */
    public static final PackedTree EMPTY = new PackedTree(new Leaf(new byte[0], 0, 0, 0));

    /** A leaf is copied for each change in it, and read through for each look-up: ten to twenty entries. */
    private static final int MAX_LEAF_BYTES = 1_024;

    private static final int MAX_CHILDREN = 64;
    /** Under a part of the most, a node is joined with one beside it. */
    private static final int MERGE_DIVISOR = 4;

    private static final int OBJECT_HEADER_BYTES = 16;
    private static final int REFERENCE_BYTES = 4;
    private static final int NODE_FIELDS_BYTES = 48;
    private static final int ALIGNMENT_BYTES = 8;

    private final Node root;

    /**
     * An entry.
     *
     * @param stamp tells when it changed last; 0 or more
     */
    public record Item(byte[] key, byte[] value, long stamp) {}

    /**
     * What the entries of a range come to.
     *
     * @param hash the sum of their hashes
     */
    public record Sum(long count, long hash) {}

    private abstract static class Node {
        final long count;
        final long sum;
        final long newestStamp;

        Node(long count, long sum, long newest) {
            this.count = count;
            this.sum = sum;
            this.newestStamp = newest;
        }

        /** A node with the entry, or two. */
        abstract Node[] put(byte[] key, byte[] value, long stamp);

        /** Itself if there is no such key, null if nothing is left. */
        abstract Node remove(byte[] key);

        abstract Item get(byte[] key);

        abstract boolean contains(byte[] key);

        /** The first entry whose key is not before this, and whose stamp is over that; null for none. */
        abstract Item nextNewer(byte[] from, long over);

        abstract Item at(long index);

        abstract byte[] firstKey();

        /**
         * Adds count and hashes of the entries from one key (null for the first) to before another (null:
         * all).
         */
        abstract void addSum(byte[] from, byte[] to, long[] into);

        abstract long retainedBytes();
    }

    private static final class Leaf extends Node {
        private final byte[] data;

        Leaf(byte[] data, long count, long sum, long newest) {
            super(count, sum, newest);
            this.data = data;
        }

        @Override
        Node[] put(byte[] key, byte[] value, long stamp) {
            int at = 0;
            int end = 0;
            long without = sum;
            int entries = (int) count + 1;
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                at = reader.offset;
                int order = reader.compareKey(key);
                reader.skip();
                if (order == 0) {
                    without -= reader.hash(at);
                    entries--;
                    end = reader.offset;
                    break;
                }
                if (order > 0) {
                    end = at;
                    break;
                }
                at = reader.offset;
                end = at;
            }
            byte[] packed = new byte[at + Writer.length(key, value, stamp) + data.length - end];
            System.arraycopy(data, 0, packed, 0, at);
            int after = Writer.write(packed, at, key, value, stamp);
            System.arraycopy(data, end, packed, after, data.length - end);
            if (packed.length <= MAX_LEAF_BYTES || entries == 1) {
                // A newest stamp that was this entry's own only grows: stamps do.
                return new Node[] {
                    new Leaf(packed, entries, without + hash(key, value, stamp), Math.max(newestStamp, stamp))
                };
            }
            // What is written in order fills its leaves; else they are halved.
            int cut = after == packed.length ? at : findSplitOffset(packed);
            return new Node[] {
                buildLeaf(Arrays.copyOf(packed, cut)), buildLeaf(Arrays.copyOfRange(packed, cut, packed.length))
            };
        }

        private static int findSplitOffset(byte[] packed) {
            Reader reader = new Reader(packed, 0);
            reader.skip();
            int cut = reader.offset;
            while (cut < packed.length / 2) {
                reader.skip();
                if (reader.offset == packed.length) {
                    break;
                }
                cut = reader.offset;
            }
            return cut;
        }

        private static Leaf buildLeaf(byte[] packed) {
            Reader reader = new Reader(packed, 0);
            long count = 0;
            long sum = 0;
            long newest = 0;
            while (reader.offset < packed.length) {
                int at = reader.offset;
                reader.skip();
                sum += reader.hash(at);
                newest = Math.max(newest, reader.stamp);
                count++;
            }
            return new Leaf(packed, count, sum, newest);
        }

        @Override
        Node remove(byte[] key) {
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                int at = reader.offset;
                int order = reader.compareKey(key);
                reader.skip();
                if (order == 0) {
                    if (count == 1) {
                        return null;
                    }
                    byte[] packed = new byte[data.length - (reader.offset - at)];
                    System.arraycopy(data, 0, packed, 0, at);
                    System.arraycopy(data, reader.offset, packed, at, data.length - reader.offset);
                    return buildLeaf(packed);
                }
                if (order > 0) {
                    break;
                }
            }
            return this;
        }

        @Override
        Item get(byte[] key) {
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                int order = reader.compareKey(key);
                if (order == 0) {
                    return reader.item();
                }
                if (order > 0) {
                    return null;
                }
                reader.skip();
            }
            return null;
        }

        @Override
        boolean contains(byte[] key) {
            Reader reader = new Reader(data, 0);
            int order = -1;
            while (order < 0 && reader.offset < data.length) {
                order = reader.compareKey(key);
                reader.skip();
            }
            return order == 0;
        }

        @Override
        Item nextNewer(byte[] from, long over) {
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                int at = reader.offset;
                boolean in = from == null || reader.compareKey(from) >= 0;
                reader.skip();
                if (in && reader.stamp > over) {
                    return new Reader(data, at).item();
                }
            }
            return null;
        }

        @Override
        Item at(long index) {
            Reader reader = new Reader(data, 0);
            for (long i = 0; i < index; i++) {
                reader.skip();
            }
            return reader.item();
        }

        @Override
        byte[] firstKey() {
            return new Reader(data, 0).item().key();
        }

        @Override
        void addSum(byte[] from, byte[] to, long[] into) {
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                int at = reader.offset;
                boolean in =
                        (from == null || reader.compareKey(from) >= 0) && (to == null || reader.compareKey(to) < 0);
                reader.skip();
                if (in) {
                    into[0]++;
                    into[1] += reader.hash(at);
                }
            }
        }

        @Override
        long retainedBytes() {
            return NODE_FIELDS_BYTES + alignUp(OBJECT_HEADER_BYTES + data.length);
        }
    }

    private static final class Inner extends Node {
        private final Node[] children;
        /** Each one's least key, or what was so when it was made: a border between it and the one before. */
        private final byte[][] separators;

        Inner(Node[] kids, byte[][] borders) {
            super(total(kids, 0), total(kids, 1), total(kids, 2));
            this.children = kids;
            this.separators = borders;
        }

        private static long total(Node[] kids, int what) {
            long total = 0;
            for (Node kid : kids) {
                total = what == 0 ? total + kid.count : what == 1 ? total + kid.sum : Math.max(total, kid.newestStamp);
            }
            return total;
        }

        private int childIndex(byte[] key) {
            int low = 0;
            int high = children.length - 1;
            while (low < high) {
                int middle = (low + high + 1) >>> 1;
                if (Arrays.compareUnsigned(separators[middle], key) <= 0) {
                    low = middle;
                } else {
                    high = middle - 1;
                }
            }
            return low;
        }

        @Override
        Node[] put(byte[] key, byte[] value, long stamp) {
            int at = childIndex(key);
            Node[] fresh = children[at].put(key, value, stamp);
            Node[] all = new Node[children.length + fresh.length - 1];
            byte[][] keys = new byte[all.length][];
            System.arraycopy(children, 0, all, 0, at);
            System.arraycopy(separators, 0, keys, 0, at);
            System.arraycopy(fresh, 0, all, at, fresh.length);
            keys[at] = separators[at];
            if (fresh.length > 1) {
                keys[at + 1] = fresh[1].firstKey();
            }
            System.arraycopy(children, at + 1, all, at + fresh.length, children.length - at - 1);
            System.arraycopy(separators, at + 1, keys, at + fresh.length, children.length - at - 1);
            if (all.length <= MAX_CHILDREN) {
                return new Node[] {new Inner(all, keys)};
            }
            int cut = at == children.length - 1 ? all.length - 1 : all.length / 2;
            return new Node[] {slice(all, keys, 0, cut), slice(all, keys, cut, all.length)};
        }

        private static Node slice(Node[] kids, byte[][] keys, int from, int to) {
            return to - from == 1
                    ? kids[from]
                    : new Inner(Arrays.copyOfRange(kids, from, to), Arrays.copyOfRange(keys, from, to));
        }

        @Override
        Node remove(byte[] key) {
            int at = childIndex(key);
            Node fresh = children[at].remove(key);
            if (fresh == children[at]) {
                return this;
            }
            if (fresh == null) {
                return children.length == 1 ? null : withoutChild(at);
            }
            Node[] all = children.clone();
            all[at] = fresh;
            for (int beside : new int[] {at - 1, at + 1}) {
                Node joined =
                        beside < 0 || beside >= children.length ? null : merge(all, separators, Math.min(at, beside));
                if (joined != null) {
                    all[Math.min(at, beside)] = joined;
                    return new Inner(all, separators).withoutChild(Math.max(at, beside));
                }
            }
            return new Inner(all, separators);
        }

        /** Two neighbours as one, if the one has become small and the other has room; else null. */
        private static Node merge(Node[] kids, byte[][] keys, int left) {
            Node a = kids[left];
            Node b = kids[left + 1];
            if (a instanceof Leaf x && b instanceof Leaf y) {
                int length = x.data.length + y.data.length;
                if (Math.min(x.data.length, y.data.length) > MAX_LEAF_BYTES / MERGE_DIVISOR
                        || length > MAX_LEAF_BYTES) {
                    return null;
                }
                byte[] packed = Arrays.copyOf(x.data, length);
                System.arraycopy(y.data, 0, packed, x.data.length, y.data.length);
                return new Leaf(packed, x.count + y.count, x.sum + y.sum, Math.max(x.newestStamp, y.newestStamp));
            }
            if (a instanceof Inner x
                    && b instanceof Inner y
                    && Math.min(x.children.length, y.children.length) <= MAX_CHILDREN / MERGE_DIVISOR
                    && x.children.length + y.children.length <= MAX_CHILDREN) {
                Node[] all = Arrays.copyOf(x.children, x.children.length + y.children.length);
                System.arraycopy(y.children, 0, all, x.children.length, y.children.length);
                byte[][] borders = Arrays.copyOf(x.separators, all.length);
                System.arraycopy(y.separators, 0, borders, x.children.length, y.children.length);
                borders[x.children.length] = keys[left + 1];
                return new Inner(all, borders);
            }
            return null;
        }

        private Node withoutChild(int at) {
            Node[] all = new Node[children.length - 1];
            byte[][] keys = new byte[all.length][];
            System.arraycopy(children, 0, all, 0, at);
            System.arraycopy(children, at + 1, all, at, all.length - at);
            System.arraycopy(separators, 0, keys, 0, at);
            System.arraycopy(separators, at + 1, keys, at, all.length - at);
            return all.length == 1 ? all[0] : new Inner(all, keys);
        }

        @Override
        Item get(byte[] key) {
            return children[childIndex(key)].get(key);
        }

        @Override
        boolean contains(byte[] key) {
            return children[childIndex(key)].contains(key);
        }

        @Override
        Item nextNewer(byte[] from, long over) {
            for (int i = from == null ? 0 : childIndex(from); i < children.length; i++) {
                if (children[i].newestStamp > over) {
                    Item found = children[i].nextNewer(from, over);
                    if (found != null) {
                        return found;
                    }
                }
            }
            return null;
        }

        @Override
        Item at(long index) {
            long left = index;
            int i = 0;
            while (left >= children[i].count) {
                left -= children[i++].count;
            }
            return children[i].at(left);
        }

        @Override
        byte[] firstKey() {
            return children[0].firstKey();
        }

        @Override
        void addSum(byte[] from, byte[] to, long[] into) {
            int first = from == null ? 0 : childIndex(from);
            int last = to == null ? children.length - 1 : childIndex(to);
            for (int i = first; i <= last; i++) {
                boolean cutLeft = from != null && i == first;
                boolean cutRight = to != null && i == last;
                if (cutLeft || cutRight) {
                    children[i].addSum(cutLeft ? from : null, cutRight ? to : null, into);
                } else {
                    into[0] += children[i].count;
                    into[1] += children[i].sum;
                }
            }
        }

        @Override
        long retainedBytes() {
            long bytes =
                    NODE_FIELDS_BYTES + 2 * alignUp(OBJECT_HEADER_BYTES + (long) REFERENCE_BYTES * children.length);
            for (int i = 0; i < children.length; i++) {
                bytes += alignUp(OBJECT_HEADER_BYTES + separators[i].length) + children[i].retainedBytes();
            }
            return bytes;
        }
    }

    /** Reads the entries of a leaf one after the other. */
    private static final class Reader {
        private final byte[] data;
        private int offset;
        private long stamp;

        Reader(byte[] data, int at) {
            this.data = data;
            this.offset = at;
        }

        private long readVarint() {
            long number = 0;
            for (int shift = 0; ; shift += 7) {
                byte b = data[offset++];
                number |= (long) (b & 0x7F) << shift;
                if (b >= 0) {
                    return number;
                }
            }
        }

        /** The next key against this one; the place stays. */
        int compareKey(byte[] key) {
            int before = offset;
            int length = (int) readVarint();
            int order = Arrays.compareUnsigned(data, offset, offset + length, key, 0, key.length);
            offset = before;
            return order;
        }

        void skip() {
            int length = (int) readVarint();
            offset += length;
            stamp = readVarint();
            length = (int) readVarint();
            offset += length;
        }

        /** The hash of the entry from there to here. */
        long hash(int from) {
            return PackedTree.hash(data, from, offset);
        }

        Item item() {
            int length = (int) readVarint();
            byte[] key = Arrays.copyOfRange(data, offset, offset + length);
            offset += length;
            stamp = readVarint();
            length = (int) readVarint();
            byte[] value = Arrays.copyOfRange(data, offset, offset + length);
            offset += length;
            return new Item(key, value, stamp);
        }
    }

    /** Writes an entry: its key's length and bytes, its stamp, its value's length and bytes. */
    private static final class Writer {
        private Writer() {}

        static int length(byte[] key, byte[] value, long stamp) {
            return varintLength(key.length)
                    + key.length
                    + varintLength(stamp)
                    + varintLength(value.length)
                    + value.length;
        }

        private static int varintLength(long number) {
            return (Long.SIZE - Long.numberOfLeadingZeros(number | 1) + 6) / 7;
        }

        static int write(byte[] into, int from, byte[] key, byte[] value, long stamp) {
            int at = writeVarint(into, from, key.length);
            System.arraycopy(key, 0, into, at, key.length);
            at = writeVarint(into, at + key.length, stamp);
            at = writeVarint(into, at, value.length);
            System.arraycopy(value, 0, into, at, value.length);
            return at + value.length;
        }

        private static int writeVarint(byte[] into, int from, long number) {
            int at = from;
            long left = number;
            while (left > 0x7F) {
                into[at++] = (byte) (left & 0x7F | 0x80);
                left >>>= 7;
            }
            into[at++] = (byte) left;
            return at;
        }
    }

    private PackedTree(Node root) {
        this.root = root;
    }

    private static long alignUp(long bytes) {
        return (bytes + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES;
    }

    /** What an entry adds to the sum: FNV-1a over its packed bytes, finished as MurmurHash3 does. */
    static long hash(byte[] key, byte[] value, long stamp) {
        byte[] packed = new byte[Writer.length(key, value, stamp)];
        return hash(packed, 0, Writer.write(packed, 0, key, value, stamp));
    }

    private static long hash(byte[] data, int from, int to) {
        long hash = 0xcbf29ce484222325L;
        for (int i = from; i < to; i++) {
            hash = (hash ^ data[i] & 0xFF) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    /** What an entry adds to a sum. */
    public static long hash(Item item) {
        return hash(item.key(), item.value(), item.stamp());
    }

    /** With this entry, in place of one that has the key. */
    public PackedTree put(byte[] key, byte[] value, long stamp) {
        if (stamp < 0) {
            throw new IllegalArgumentException("a stamp of " + stamp);
        }
        Node[] nodes = root.put(key, value, stamp);
        return new PackedTree(
                nodes.length == 1 ? nodes[0] : new Inner(nodes, new byte[][] {new byte[0], nodes[1].firstKey()}));
    }

    /** Without this key; itself if it is not there. */
    public PackedTree remove(byte[] key) {
        Node node = root.remove(key);
        return node == root ? this : node == null ? EMPTY : new PackedTree(node);
    }

    /** The entry of a key, or null. */
    public Item get(byte[] key) {
        return root.get(key);
    }

    /** Whether there is such a key; makes nothing. */
    public boolean contains(byte[] key) {
        return root.contains(key);
    }

    /** The first entry whose key is this or comes after it, or null. */
    public Item ceiling(byte[] key) {
        return root.nextNewer(key, -1);
    }

    /** The first entry whose key is this or comes after it and whose stamp is over that, or null. */
    public Item nextNewer(byte[] key, long stamp) {
        return root.newestStamp > stamp ? root.nextNewer(key, stamp) : null;
    }

    /** The entry that so many come before, from 0. */
    public Item at(long index) {
        if (index < 0 || index >= root.count) {
            throw new IndexOutOfBoundsException(index + " of " + root.count);
        }
        return root.at(index);
    }

    /** The entries from one key (null for the first) to before another (null for no end), so many at most. */
    public List<Item> range(byte[] from, byte[] to, int most) {
        List<Item> items = new ArrayList<>();
        Item item = root.nextNewer(from, -1);
        while (item != null && items.size() < most && (to == null || Arrays.compareUnsigned(item.key(), to) < 0)) {
            items.add(item);
            item = root.nextNewer(successor(item.key()), -1);
        }
        return items;
    }

    /** The least key that comes after this one. */
    public static byte[] successor(byte[] key) {
        return Arrays.copyOf(key, key.length + 1);
    }

    /** What the entries from one key (null for the first) to before another (null for no end) come to. */
    public Sum sum(byte[] from, byte[] to) {
        long[] into = new long[2];
        if (from == null || to == null || Arrays.compareUnsigned(from, to) < 0) {
            root.addSum(from, to, into);
        }
        return new Sum(into[0], into[1]);
    }

    /** What all come to. */
    public Sum sum() {
        return new Sum(root.count, root.sum);
    }

    /** How many entries there are. */
    public long size() {
        return root.count;
    }

    /** No stamp is over this. */
    public long newestStamp() {
        return root.newestStamp;
    }

    /** Bytes that it keeps on a heap of references of four bytes, by counting its arrays and objects. */
    public long retainedBytes() {
        return OBJECT_HEADER_BYTES + root.retainedBytes();
    }
}
