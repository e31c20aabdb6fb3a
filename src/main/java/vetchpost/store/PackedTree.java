package vetchpost.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A persistent sorted map of bytes to bytes. It is a B+ tree whose leaves are packed into one array each, so that
 * an entry costs little more than its own bytes, and whose nodes carry their count, the sum of their entries'
 * hashes and their newest stamp. A change copies one leaf and the path to it, and leaves the earlier tree as it
 * was; any thread may read a tree for as long as it has a reference. Keys are ordered as unsigned bytes.
 *
 * <p>The sum is commutative (as in a Merkle tree of additive hashes): trees with the same entries have the same
 * sums, whatever the order of their changes. It detects accidental differences, not those made by an adversary.
 */
public final class PackedTree {
    /** The tree without entries. */
    public static final PackedTree EMPTY = new PackedTree(new Leaf(new byte[0], 0, 0, 0));

    /** Holds ten to twenty entries: each change copies a leaf, and each lookup scans one. */
    private static final int MAX_LEAF_BYTES = 1_024;

    private static final int MAX_CHILDREN = 64;
    /** A node that is filled to no more than this fraction of its maximum, 1/4, is merged with a neighbour. */
    private static final int MERGE_DIVISOR = 4;

    private static final int OBJECT_HEADER_BYTES = 16;
    private static final int REFERENCE_BYTES = 4;
    private static final int NODE_FIELDS_BYTES = 48;
    private static final int ALIGNMENT_BYTES = 8;

    private final Node root;

    /**
     * An entry.
     *
     * @param stamp the version of the last change; 0 or more
     */
    public record Item(byte[] key, byte[] value, long stamp) {}

    /**
     * Count and hash of the entries in a range.
     *
     * @param count number of entries
     * @param hash the sum of their hashes
     */
    public record Sum(long count, long hash) {}

    private abstract static class Node {
        final long count;
        final long sum;
        final long newestStamp;

        Node(long count, long sum, long newestStamp) {
            this.count = count;
            this.sum = sum;
            this.newestStamp = newestStamp;
        }

        /** Returns one node with the entry, or the two that this node is split into. */
        abstract Node[] put(byte[] key, byte[] value, long stamp);

        /** Returns this node if it does not have the key, null if no entry is left. */
        abstract Node remove(byte[] key);

        abstract Item get(byte[] key);

        abstract boolean contains(byte[] key);

        /** The first entry with key >= {@code from} (null for the first) and stamp > {@code stamp}; null for none. */
        abstract Item nextNewer(byte[] from, long stamp);

        abstract Item at(long index);

        abstract byte[] firstKey();

        /**
         * Adds count and hashes of the entries from one key, inclusive (null for the first), to another, exclusive
         * (null for no end), to the two elements of {@code total}.
         */
        abstract void addSum(byte[] from, byte[] to, long[] total);

        abstract long retainedBytes();
    }

    private static final class Leaf extends Node {
        private final byte[] data;

        Leaf(byte[] data, long count, long sum, long newestStamp) {
            super(count, sum, newestStamp);
            this.data = data;
        }

        @Override
        Node[] put(byte[] key, byte[] value, long stamp) {
            int start = 0;
            int end = 0;
            long sumOfOthers = sum;
            int newCount = (int) count + 1;
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                start = reader.offset;
                int order = reader.compareKey(key);
                reader.skip();
                if (order == 0) {
                    sumOfOthers -= reader.hash(start);
                    newCount--;
                    end = reader.offset;
                    break;
                }
                if (order > 0) {
                    end = start;
                    break;
                }
                start = reader.offset;
                end = start;
            }
            byte[] packed = new byte[start + Writer.length(key, value, stamp) + data.length - end];
            System.arraycopy(data, 0, packed, 0, start);
            int entryEnd = Writer.write(packed, start, key, value, stamp);
            System.arraycopy(data, end, packed, entryEnd, data.length - end);
            if (packed.length <= MAX_LEAF_BYTES || newCount == 1) {
                // Replacing the newest entry cannot lower the newest stamp, since stamps only grow.
                return new Node[] {
                    new Leaf(packed, newCount, sumOfOthers + hash(key, value, stamp), Math.max(newestStamp, stamp))
                };
            }
            // Entries written in key order fill their leaves; otherwise a full leaf is halved.
            int splitOffset = entryEnd == packed.length ? start : findSplitOffset(packed);
            return new Node[] {
                buildLeaf(Arrays.copyOf(packed, splitOffset)),
                buildLeaf(Arrays.copyOfRange(packed, splitOffset, packed.length))
            };
        }

        private static int findSplitOffset(byte[] packed) {
            Reader reader = new Reader(packed, 0);
            reader.skip();
            int splitOffset = reader.offset;
            while (splitOffset < packed.length / 2) {
                reader.skip();
                if (reader.offset == packed.length) {
                    break;
                }
                splitOffset = reader.offset;
            }
            return splitOffset;
        }

        private static Leaf buildLeaf(byte[] packed) {
            Reader reader = new Reader(packed, 0);
            long count = 0;
            long sum = 0;
            long newestStamp = 0;
            while (reader.offset < packed.length) {
                int start = reader.offset;
                reader.skip();
                sum += reader.hash(start);
                newestStamp = Math.max(newestStamp, reader.stamp);
                count++;
            }
            return new Leaf(packed, count, sum, newestStamp);
        }

        @Override
        Node remove(byte[] key) {
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                int start = reader.offset;
                int order = reader.compareKey(key);
                reader.skip();
                if (order == 0) {
                    if (count == 1) {
                        return null;
                    }
                    byte[] packed = new byte[data.length - (reader.offset - start)];
                    System.arraycopy(data, 0, packed, 0, start);
                    System.arraycopy(data, reader.offset, packed, start, data.length - reader.offset);
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
        Item nextNewer(byte[] from, long stamp) {
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                int start = reader.offset;
                boolean isInRange = from == null || reader.compareKey(from) >= 0;
                reader.skip();
                if (isInRange && reader.stamp > stamp) {
                    return new Reader(data, start).item();
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
        void addSum(byte[] from, byte[] to, long[] total) {
            Reader reader = new Reader(data, 0);
            while (reader.offset < data.length) {
                int start = reader.offset;
                boolean isInRange =
                        (from == null || reader.compareKey(from) >= 0) && (to == null || reader.compareKey(to) < 0);
                reader.skip();
                if (isInRange) {
                    total[0]++;
                    total[1] += reader.hash(start);
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
        /** For each child but the first, a lower bound of its keys that is above all keys of the child before it. */
        private final byte[][] separators;

        Inner(Node[] children, byte[][] separators) {
            super(total(children, 0), total(children, 1), total(children, 2));
            this.children = children;
            this.separators = separators;
        }

        /** The count (field 0), sum (1) or newest stamp (2) of an inner node. */
        private static long total(Node[] children, int field) {
            long total = 0;
            for (Node child : children) {
                total = field == 0
                        ? total + child.count
                        : field == 1 ? total + child.sum : Math.max(total, child.newestStamp);
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
            int index = childIndex(key);
            Node[] replacement = children[index].put(key, value, stamp);
            Node[] newChildren = new Node[children.length + replacement.length - 1];
            byte[][] newSeparators = new byte[newChildren.length][];
            System.arraycopy(children, 0, newChildren, 0, index);
            System.arraycopy(separators, 0, newSeparators, 0, index);
            System.arraycopy(replacement, 0, newChildren, index, replacement.length);
            newSeparators[index] = separators[index];
            if (replacement.length > 1) {
                newSeparators[index + 1] = replacement[1].firstKey();
            }
            System.arraycopy(children, index + 1, newChildren, index + replacement.length, children.length - index - 1);
            System.arraycopy(
                    separators, index + 1, newSeparators, index + replacement.length, children.length - index - 1);
            if (newChildren.length <= MAX_CHILDREN) {
                return new Node[] {new Inner(newChildren, newSeparators)};
            }
            int splitIndex = index == children.length - 1 ? newChildren.length - 1 : newChildren.length / 2;
            return new Node[] {
                slice(newChildren, newSeparators, 0, splitIndex),
                slice(newChildren, newSeparators, splitIndex, newChildren.length)
            };
        }

        private static Node slice(Node[] children, byte[][] separators, int from, int to) {
            return to - from == 1
                    ? children[from]
                    : new Inner(Arrays.copyOfRange(children, from, to), Arrays.copyOfRange(separators, from, to));
        }

        @Override
        Node remove(byte[] key) {
            int index = childIndex(key);
            Node replacement = children[index].remove(key);
            if (replacement == children[index]) {
                return this;
            }
            if (replacement == null) {
                return children.length == 1 ? null : withoutChild(index);
            }
            Node[] newChildren = children.clone();
            newChildren[index] = replacement;
            for (int neighbour : new int[] {index - 1, index + 1}) {
                Node merged = neighbour < 0 || neighbour >= children.length
                        ? null
                        : merge(newChildren, separators, Math.min(index, neighbour));
                if (merged != null) {
                    newChildren[Math.min(index, neighbour)] = merged;
                    return new Inner(newChildren, separators).withoutChild(Math.max(index, neighbour));
                }
            }
            return new Inner(newChildren, separators);
        }

        /** Merges two neighbours if one has become small and both fit into one node; else returns null. */
        private static Node merge(Node[] children, byte[][] separators, int left) {
            Node a = children[left];
            Node b = children[left + 1];
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
                Node[] newChildren = Arrays.copyOf(x.children, x.children.length + y.children.length);
                System.arraycopy(y.children, 0, newChildren, x.children.length, y.children.length);
                byte[][] newSeparators = Arrays.copyOf(x.separators, newChildren.length);
                System.arraycopy(y.separators, 0, newSeparators, x.children.length, y.children.length);
                newSeparators[x.children.length] = separators[left + 1];
                return new Inner(newChildren, newSeparators);
            }
            return null;
        }

        private Node withoutChild(int index) {
            Node[] newChildren = new Node[children.length - 1];
            byte[][] newSeparators = new byte[newChildren.length][];
            System.arraycopy(children, 0, newChildren, 0, index);
            System.arraycopy(children, index + 1, newChildren, index, newChildren.length - index);
            System.arraycopy(separators, 0, newSeparators, 0, index);
            System.arraycopy(separators, index + 1, newSeparators, index, newChildren.length - index);
            return newChildren.length == 1 ? newChildren[0] : new Inner(newChildren, newSeparators);
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
        Item nextNewer(byte[] from, long stamp) {
            for (int i = from == null ? 0 : childIndex(from); i < children.length; i++) {
                if (children[i].newestStamp > stamp) {
                    Item found = children[i].nextNewer(from, stamp);
                    if (found != null) {
                        return found;
                    }
                }
            }
            return null;
        }

        @Override
        Item at(long index) {
            long remaining = index;
            int i = 0;
            while (remaining >= children[i].count) {
                remaining -= children[i++].count;
            }
            return children[i].at(remaining);
        }

        @Override
        byte[] firstKey() {
            return children[0].firstKey();
        }

        @Override
        void addSum(byte[] from, byte[] to, long[] total) {
            int first = from == null ? 0 : childIndex(from);
            int last = to == null ? children.length - 1 : childIndex(to);
            for (int i = first; i <= last; i++) {
                boolean isFirstPartial = from != null && i == first;
                boolean isLastPartial = to != null && i == last;
                if (isFirstPartial || isLastPartial) {
                    children[i].addSum(isFirstPartial ? from : null, isLastPartial ? to : null, total);
                } else {
                    total[0] += children[i].count;
                    total[1] += children[i].sum;
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

    /** Reads the entries of a leaf in order. */
    private static final class Reader {
        private final byte[] data;
        private int offset;
        private long stamp;

        Reader(byte[] data, int offset) {
            this.data = data;
            this.offset = offset;
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

        /** Compares the next key with this one, without advancing. */
        int compareKey(byte[] key) {
            int start = offset;
            int length = (int) readVarint();
            int order = Arrays.compareUnsigned(data, offset, offset + length, key, 0, key.length);
            offset = start;
            return order;
        }

        void skip() {
            int length = (int) readVarint();
            offset += length;
            stamp = readVarint();
            length = (int) readVarint();
            offset += length;
        }

        /** The hash of the entry that begins at that offset and ends at the current one. */
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

    /** Writes an entry: key length, key, stamp, value length, value; numbers as variable-length integers. */
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

        static int write(byte[] data, int start, byte[] key, byte[] value, long stamp) {
            int offset = writeVarint(data, start, key.length);
            System.arraycopy(key, 0, data, offset, key.length);
            offset = writeVarint(data, offset + key.length, stamp);
            offset = writeVarint(data, offset, value.length);
            System.arraycopy(value, 0, data, offset, value.length);
            return offset + value.length;
        }

        private static int writeVarint(byte[] data, int start, long number) {
            int offset = start;
            long remaining = number;
            while (remaining > 0x7F) {
                data[offset++] = (byte) (remaining & 0x7F | 0x80);
                remaining >>>= 7;
            }
            data[offset++] = (byte) remaining;
            return offset;
        }
    }

    private PackedTree(Node root) {
        this.root = root;
    }

    private static long alignUp(long bytes) {
        return (bytes + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES;
    }

    /** The hash of an entry: FNV-1a over its packed bytes, with the finalizer of MurmurHash3. */
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

    /** The hash of an entry, of which {@link Sum#hash} is the sum. */
    public static long hash(Item item) {
        return hash(item.key(), item.value(), item.stamp());
    }

    /**
     * A tree with this entry, which replaces one with the same key.
     *
     * @param stamp the version of the change; 0 or more
     * @throws IllegalArgumentException if the stamp is negative
     */
    public PackedTree put(byte[] key, byte[] value, long stamp) {
        if (stamp < 0) {
            throw new IllegalArgumentException("negative stamp " + stamp);
        }
        Node[] nodes = root.put(key, value, stamp);
        return new PackedTree(
                nodes.length == 1 ? nodes[0] : new Inner(nodes, new byte[][] {new byte[0], nodes[1].firstKey()}));
    }

    /** A tree without this key; this tree if it does not have the key. */
    public PackedTree remove(byte[] key) {
        Node node = root.remove(key);
        return node == root ? this : node == null ? EMPTY : new PackedTree(node);
    }

    /** The entry of a key, or null. */
    public Item get(byte[] key) {
        return root.get(key);
    }

    /** Whether the tree has this key; allocates no entry. */
    public boolean contains(byte[] key) {
        return root.contains(key);
    }

    /** The first entry whose key is equal or greater, or null. */
    public Item ceiling(byte[] key) {
        return root.nextNewer(key, -1);
    }

    /** The first entry whose key is equal or greater and whose stamp is greater, or null. */
    public Item nextNewer(byte[] key, long stamp) {
        return root.newestStamp > stamp ? root.nextNewer(key, stamp) : null;
    }

    /**
     * The entry at an index in key order, from 0.
     *
     * @throws IndexOutOfBoundsException if there are not that many entries
     */
    public Item at(long index) {
        if (index < 0 || index >= root.count) {
            throw new IndexOutOfBoundsException(index + " of " + root.count);
        }
        return root.at(index);
    }

    /** Up to {@code maxItems} entries from one key, inclusive (null: first), to another, exclusive (null: no end). */
    public List<Item> range(byte[] from, byte[] to, int maxItems) {
        List<Item> items = new ArrayList<>();
        Item item = root.nextNewer(from, -1);
        while (item != null && items.size() < maxItems && (to == null || Arrays.compareUnsigned(item.key(), to) < 0)) {
            items.add(item);
            item = root.nextNewer(successor(item.key()), -1);
        }
        return items;
    }

    /** The smallest key that is greater than this one. */
    public static byte[] successor(byte[] key) {
        return Arrays.copyOf(key, key.length + 1);
    }

    /** Count and hash of the entries from one key, inclusive (null: first), to another, exclusive (null: no end). */
    public Sum sum(byte[] from, byte[] to) {
        long[] total = new long[2];
        if (from == null || to == null || Arrays.compareUnsigned(from, to) < 0) {
            root.addSum(from, to, total);
        }
        return new Sum(total[0], total[1]);
    }

    /** Count and hash of all entries. */
    public Sum sum() {
        return new Sum(root.count, root.sum);
    }

    /** The number of entries. */
    public long size() {
        return root.count;
    }

    /** An upper bound of all stamps; 0 for an empty tree. */
    public long newestStamp() {
        return root.newestStamp;
    }

    /** Bytes retained on a heap with four-byte references, counted from the sizes of arrays and objects. */
    public long retainedBytes() {
        return OBJECT_HEADER_BYTES + root.retainedBytes();
    }
}
