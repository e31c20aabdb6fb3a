package vetchpost.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Numbered values as bytes, in the order of their numbers: texts, whole numbers and others. */
public final class FieldCodec {
    private static final int TEXT = 0;
    private static final int INTEGER = 1;
    private static final int FLOATING_POINT = 2;
    private static final int TYPE_COUNT = 3;
    private static final int MAX_TEXT_BYTES = 2_048;
    /** All of an entry's. */
    public static final int MAX_ENTRY_BYTES = 8_192;

    private static final int MAX_FIELD_NUMBER = 84;

    private FieldCodec() {}

    /** Takes each value as it is read. */
    public interface Visitor {
        /** A value, which is a text, a Long or a Double. */
        void visit(int number, Object value);
    }

    /** Puts values together. */
    public static final class Encoder {
        private final ByteBuffer buffer = ByteBuffer.allocate(MAX_ENTRY_BYTES);

        /**
         * Adds a value with a number over the last one's, up to 84.
         *
         * @throws IllegalArgumentException if it is of no such kind, or too long
         */
        public void add(int number, Object value) {
            if (number < 0 || number > MAX_FIELD_NUMBER) {
                throw new IllegalArgumentException("field " + number);
            }
            if (value instanceof String text) {
                byte[] utf8 = utf8(text);
                if (utf8.length > MAX_TEXT_BYTES || buffer.remaining() < utf8.length + 3) {
                    throw new IllegalArgumentException("a text of " + utf8.length + " bytes is too long");
                }
                buffer.put((byte) (number * TYPE_COUNT + TEXT))
                        .putShort((short) utf8.length)
                        .put(utf8);
            } else if (value instanceof Long whole) {
                buffer.put((byte) (number * TYPE_COUNT + INTEGER)).putLong(whole);
            } else if (value instanceof Double real) {
                buffer.put((byte) (number * TYPE_COUNT + FLOATING_POINT)).putDouble(real);
            } else {
                throw new IllegalArgumentException(value + " is neither text nor a number");
            }
        }

        /** All that was added. */
        public byte[] bytes() {
            return Arrays.copyOf(buffer.array(), buffer.position());
        }
    }

    /**
     * Reads what was packed.
     *
     * @throws IllegalArgumentException if these bytes are nothing of the kind
     */
    public static void read(byte[] bytes, Visitor taker) {
        ByteBuffer from = ByteBuffer.wrap(bytes);
        int last = -1;
        try {
            while (from.hasRemaining()) {
                int tag = from.get() & 0xFF;
                int number = tag / TYPE_COUNT;
                if (number <= last) {
                    throw new IllegalArgumentException("field " + number + " after field " + last);
                }
                last = number;
                if (tag % TYPE_COUNT == TEXT) {
                    int length = from.getShort();
                    if (length < 0 || length > from.remaining()) {
                        throw new IllegalArgumentException("a text of " + length + " bytes");
                    }
                    taker.visit(number, new String(bytes, from.position(), length, StandardCharsets.UTF_8));
                    from.position(from.position() + length);
                } else if (tag % TYPE_COUNT == INTEGER) {
                    taker.visit(number, from.getLong());
                } else {
                    taker.visit(number, from.getDouble());
                }
            }
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("it ends within a value", e);
        }
    }

    /** A text's bytes in UTF-8. */
    public static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The text of bytes in UTF-8. */
    public static String text(byte[] utf8) {
        return new String(utf8, StandardCharsets.UTF_8);
    }
}
