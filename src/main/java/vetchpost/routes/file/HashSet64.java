package vetchpost.routes.file;

/**
 * Texts that were seen, by a hash of 64 bits each and no more. Two that differ may count as the same, once in
 * some trillions; whoever asks does what is right then too, only more slowly.
 */
final class HashSet64 {
    private long[] slots = new long[1 << 10];
    private int size;

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

    /** False if it was there. */
    boolean add(CharSequence text) {
        return add(hash(text));
    }

    boolean add(long hash) {
        if (2 * size >= slots.length) {
            long[] old = slots;
            slots = new long[2 * old.length];
            size = 0;
            for (long each : old) {
                if (each != 0) {
                    add(each);
                }
            }
        }
        int at = (int) hash & slots.length - 1;
        while (slots[at] != 0) {
            if (slots[at] == hash) {
                return false;
            }
            at = at + 1 & slots.length - 1;
        }
        slots[at] = hash;
        size++;
        return true;
    }

    boolean contains(long hash) {
        int at = (int) hash & slots.length - 1;
        while (slots[at] != 0) {
            if (slots[at] == hash) {
                return true;
            }
            at = at + 1 & slots.length - 1;
        }
        return false;
    }
}
