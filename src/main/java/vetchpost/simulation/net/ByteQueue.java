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

    void add(byte[] more) {
        if (to + more.length > data.length) {
            int size = size();
            byte[] room =
                    size + more.length > data.length ? new byte[Math.max(2 * data.length, size + more.length)] : data;
            System.arraycopy(data, from, room, 0, size);
            data = room;
            from = 0;
            to = size;
        }
        System.arraycopy(more, 0, data, to, more.length);
        to += more.length;
    }

    /** Takes so many bytes at most. */
    byte[] take(int most) {
        int size = Math.min(most, size());
        byte[] taken = Arrays.copyOfRange(data, from, from + size);
        from += size;
        return taken;
    }

    void clear() {
        from = 0;
        to = 0;
    }
}
