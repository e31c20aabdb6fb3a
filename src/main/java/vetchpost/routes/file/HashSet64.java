package vetchpost.routes.file;

/**
 * A set of texts that keeps only a 64-bit hash of each. Two different texts may count as the same, about once in
 * some trillions; callers must then still be correct, and are only slower. {@link BlockReader} and {@link FileIndex}
 * use it to detect repeated headers and routes. Not thread-safe.
 */
final class HashSet64 {
    private long[] slots = new long[1 << 10];
    private int size;

    /** The hash of a text: FNV-1a with a finalizer; never 0, which marks an empty slot. */
    static long hash(CharSequence text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
        hash = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
        hash ^= hash >>> 32;
        return hash == 0 ? 1 : hash;
    }

    /** Adds a text; returns false if it was in the set. */
    boolean add(CharSequence text) {
        return add(hash(text));
    }

    /** Adds a hash other than 0; returns false if it was in the set. */
    boolean add(long hash) {
        if (2 * size >= slots.length) {
            long[] oldSlots = slots;
            slots = new long[2 * oldSlots.length];
            size = 0;
            for (long each : oldSlots) {
                if (each != 0) {
                    add(each);
                }
            }
        }
        int slot = (int) hash & slots.length - 1;
        while (slots[slot] != 0) {
            if (slots[slot] == hash) {
                return false;
            }
            slot = slot + 1 & slots.length - 1;
        }
        slots[slot] = hash;
        size++;
        return true;
    }

    boolean contains(long hash) {
        int slot = (int) hash & slots.length - 1;
        while (slots[slot] != 0) {
            if (slots[slot] == hash) {
                return true;
            }
            slot = slot + 1 & slots.length - 1;
        }
        return false;
    }
}
