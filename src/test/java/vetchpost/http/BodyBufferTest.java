package vetchpost.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

/** Checks that a body takes memory for what has arrived, within its limit. */
class BodyBufferTest {
    private static final int MAX_BYTES = 1_000;

    private final BodyBuffer body = new BodyBuffer(MAX_BYTES);

    private static ByteBuf piece(int bytes) {
        byte[] content = new byte[bytes];
        for (int i = 0; i < bytes; i++) {
            content[i] = (byte) i;
        }
        return Unpooled.wrappedBuffer(content);
    }

    @Test
    void joinsPiecesAndLeavesTheirReaderIndex() {
        ByteBuf first = piece(3);
        body.add(first);
        body.add(piece(2));
        assertEquals(3, first.readableBytes());
        assertEquals(5, body.size());
        assertArrayEquals(new byte[] {0, 1, 2, 0, 1}, body.toByteArray());
    }

    @Test
    void takesAtMostTwiceTheMemoryOfItsBytes() {
        for (int i = 0; i < MAX_BYTES; i++) {
            int capacity = body.capacityWith(1);
            body.add(piece(1));
            assertEquals(capacity, body.capacityWith(0));
            assertTrue(capacity <= Math.min(MAX_BYTES, 2 * body.size()), capacity + " for " + body.size());
        }
    }

    @Test
    void rejectsMoreThanItsLimit() {
        body.add(piece(MAX_BYTES - 1));
        assertTrue(body.hasRoomFor(1));
        assertFalse(body.hasRoomFor(2));
        assertThrows(IllegalArgumentException.class, () -> body.add(piece(2)));
        assertEquals(MAX_BYTES - 1, body.size());
    }

    @Test
    void takesNoMemoryOnceCleared() {
        body.add(piece(10));
        body.clear();
        assertEquals(0, body.size());
        assertEquals(0, body.capacityWith(0));
    }
}
