package vetchpost.web;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import vetchpost.http.RequestMemory;

/**
 * Decoded input of a client that waits for an earlier request or a slow server, with its memory reserved. Pieces of a
 * body are copied to the heap: as received, a small one would keep the whole buffer of its socket read.
 */
final class InputQueue {
    /** Bounds of the queue; above them the socket is not read. */
    private static final int MAX_BODY_BYTES = 32 * 1_024;

    private static final int MAX_PARTS = 64;
    /** Bound of what the queue takes with the heads in it; a client may send hundreds of short requests at once. */
    private static final int MAX_MEMORY_WITH_HEADS_BYTES = 128 * 1_024;
    /** Memory of a piece of a body besides its bytes. */
    private static final int PIECE_OVERHEAD_BYTES = 160;

    private final Deque<HttpObject> parts = new ArrayDeque<>();
    private final RequestMemory.Reservation memory;
    private long bodyBytes;
    private boolean overLimit;

    InputQueue(RequestMemory requestMemory) {
        memory = requestMemory.newReservation();
    }

    /**
     * Adds a part and takes ownership of it.
     *
     * @return whether there is memory for it; the part is kept in any case
     */
    boolean add(HttpObject part) {
        HttpObject kept = part instanceof HttpContent piece && piece.content().isReadable() ? copyToHeap(piece) : part;
        parts.add(kept);
        bodyBytes += bodyBytesOf(kept);
        long neededBytes = memory.bytes() + memoryOf(kept);
        boolean hasRoom = !(kept instanceof HttpRequest) || neededBytes <= MAX_MEMORY_WITH_HEADS_BYTES;
        boolean reserved = hasRoom && memory.tryResize(neededBytes);
        overLimit |= !reserved;
        return reserved;
    }

    private static HttpContent copyToHeap(HttpContent piece) {
        try {
            return piece.replace(Unpooled.copiedBuffer(piece.content()));
        } finally {
            piece.release();
        }
    }

    /** The first part, or null; the queue still owns it. */
    HttpObject peek() {
        return parts.peek();
    }

    /** Removes the first part, which the caller owns from now on, and releases its reservation. */
    HttpObject poll() {
        HttpObject part = parts.poll();
        bodyBytes -= bodyBytesOf(part);
        if (parts.isEmpty()) {
            memory.release();
            overLimit = false;
        } else if (!overLimit) {
            memory.tryResize(memory.bytes() - memoryOf(part));
        }
        return part;
    }

    /** Removes and releases the first part. */
    void removeFirst() {
        ReferenceCountUtil.release(poll());
    }

    /** Removes and releases the part added last, whose memory could not be reserved. */
    void removeLast() {
        HttpObject part = parts.removeLast();
        bodyBytes -= bodyBytesOf(part);
        ReferenceCountUtil.release(part);
    }

    /** Removes and releases all parts. */
    void clear() {
        while (!parts.isEmpty()) {
            removeFirst();
        }
    }

    int size() {
        return parts.size();
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether no more input should be read until some has been removed. */
    boolean isFull() {
        return overLimit || bodyBytes >= MAX_BODY_BYTES || parts.size() >= MAX_PARTS;
    }

    private static int bodyBytesOf(HttpObject part) {
        return part instanceof HttpContent piece ? piece.content().readableBytes() : 0;
    }

    private static long memoryOf(HttpObject part) {
        long headMemory = part instanceof HttpRequest head ? requestMemoryOf(head) : 0;
        int pieceBytes = bodyBytesOf(part);
        return headMemory + (pieceBytes > 0 ? PIECE_OVERHEAD_BYTES + pieceBytes : 0);
    }

    /** Estimates the memory of a request without its body, in bytes. */
    static long requestMemoryOf(HttpRequest head) {
        int textBytes = head.uri().length();
        for (Map.Entry<String, String> field : head.headers()) {
            textBytes += field.getKey().length() + field.getValue().length();
        }
        return RequestMemory.costOf(textBytes, head.headers().size(), 0);
    }
}
