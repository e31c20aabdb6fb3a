package vetchpost.simulation.net;

import java.util.Arrays;

/** A queue of bytes. */
final class ByteQueue {
    private byte[] data = new byte[256];
    private int from;
    private int to;

    int size() {
        return to - from;
    }

    void add(byte[] bytes) {
        if (to + bytes.length > data.length) {
            int length = size();
            byte[] target = length + bytes.length > data.length
                    ? new byte[Math.max(2 * data.length, length + bytes.length)]
                    : data;
            System.arraycopy(data, from, target, 0, length);
            data = target;
            from = 0;
            to = length;
        }
        System.arraycopy(bytes, 0, data, to, bytes.length);
        to += bytes.length;
    }

    /** Removes and returns at most this many bytes. */
    byte[] take(int maxBytes) {
        int length = Math.min(maxBytes, size());
        byte[] removed = Arrays.copyOfRange(data, from, from + length);
        from += length;
        return removed;
    }

    void clear() {
        from = 0;
        to = 0;
    }
}
