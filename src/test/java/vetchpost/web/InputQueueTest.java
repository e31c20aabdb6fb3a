package vetchpost.web;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import vetchpost.http.RequestMemory;

/** Checks that queued input takes the memory that is reserved for it, within bounds. */
class InputQueueTest {
    private static final int MEMORY_BYTES = 1 << 20;

    private final RequestMemory memory = new RequestMemory(MEMORY_BYTES);
    private final InputQueue queue = new InputQueue(memory);

    private static HttpRequest head() {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    }

    /** Guards against small pieces that keep the large buffers of their socket reads. */
    @Test
    void copiesPiecesAndReleasesTheirBuffers() {
        ByteBuf received = Unpooled.directBuffer(16_384).writeBytes(new byte[] {1, 2, 3});
        assertTrue(queue.add(new DefaultHttpContent(received)));
        assertEquals(0, received.refCnt());
        ByteBuf kept = ((HttpContent) queue.peek()).content();
        assertEquals(3, kept.array().length);
        queue.clear();
        assertEquals(0, kept.refCnt());
    }

    @Test
    void reservesMemoryWhileQueued() {
        queue.add(head());
        queue.add(new DefaultHttpContent(Unpooled.copiedBuffer(new byte[100])));
        assertFalse(memory.tryReserve(MEMORY_BYTES - 2_000), "nothing is reserved");
        queue.clear();
        assertTrue(memory.tryReserve(MEMORY_BYTES), "something is still reserved");
    }

    @Test
    void limitsMemoryOfQueuedHeads() {
        int accepted = 0;
        while (queue.add(head())) {
            accepted++;
        }
        assertTrue(accepted > 10 && accepted < 100, accepted + " heads");
        assertTrue(queue.isFull());
        queue.removeLast();
        assertEquals(accepted, queue.size());
        queue.clear();
        assertFalse(queue.isFull());
        assertTrue(memory.tryReserve(MEMORY_BYTES), "something is still reserved");
    }

    @Test
    void keepsPieceWithoutMemoryAndIsFullUntilEmpty() {
        assertTrue(memory.tryReserve(MEMORY_BYTES));
        assertFalse(queue.add(new DefaultHttpContent(Unpooled.copiedBuffer(new byte[10]))));
        assertTrue(queue.isFull());
        queue.removeFirst();
        assertFalse(queue.isFull());
    }
}
