package vetchpost.http;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Collects a body on the heap. It grows with what has arrived and never by the length that a peer announces, because
 * many peers that announce long bodies and send nothing would use up the memory.
 */
public final class BodyBuffer {
    private static final byte[] EMPTY = {};

    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int size;

    /** Creates an empty buffer for at most this many bytes. */
    public BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The number of bytes collected. */
    public int size() {
        return size;
    }

    /** Whether there is room for this many more bytes. */
    public boolean hasRoomFor(int addedBytes) {
        return addedBytes <= maxBytes - size;
    }

    /** Memory that the buffer takes once this many more bytes are added, in bytes. */
    public int capacityWith(int addedBytes) {
        int neededBytes = size + addedBytes;
        if (neededBytes <= bytes.length) {
            return bytes.length;
        }
        return Math.max(neededBytes, Math.min(maxBytes, 2 * bytes.length));
    }

    /**
     * Adds the readable bytes of a piece and leaves its reader index as it is.
     *
     * @throws IllegalArgumentException if there is no room for them
     */
    public void add(ByteBuf piece) {
        int addedBytes = piece.readableBytes();
        if (!hasRoomFor(addedBytes)) {
            throw new IllegalArgumentException("body over " + maxBytes + " bytes");
        }
        int capacity = capacityWith(addedBytes);
        if (capacity > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacity);
        }
        piece.getBytes(piece.readerIndex(), bytes, size, addedBytes);
        size += addedBytes;
    }

    /** The bytes collected, in an array of exactly their number. */
    public byte[] toByteArray() {
        return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
    }

    /** Removes all bytes and frees their memory. */
    public void clear() {
        bytes = EMPTY;
        size = 0;
    }
}
