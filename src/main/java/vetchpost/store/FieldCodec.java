package vetchpost.store;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Encodes numbered fields, which are texts, longs or doubles, as bytes in the order of their numbers. The values of
 * a configuration's entries are stored and replicated in this form. Stateless.
 */
public final class FieldCodec {
    private static final int TEXT = 0;
    private static final int INTEGER = 1;
    private static final int FLOATING_POINT = 2;
    private static final int TYPE_COUNT = 3;
    private static final int MAX_TEXT_BYTES = 2_048;
    /** Maximum size of all fields of an entry. */
    public static final int MAX_ENTRY_BYTES = 8_192;

    private static final int MAX_FIELD_NUMBER = 84;

    private FieldCodec() {}

    /** Receives each field as it is read. */
    public interface Visitor {
        /** Called for each field, in the order of their numbers; the value is a String, a Long or a Double. */
        void visit(int number, Object value);
    }

    /** Encodes the fields of one entry. */
    public static final class Encoder {
        private final ByteBuffer buffer = ByteBuffer.allocate(MAX_ENTRY_BYTES);

        /**
         * Adds a field.
         *
         * @param number greater than that of the last field, and at most 84
         * @param value a String, a Long or a Double
         * @throws IllegalArgumentException if the value has another type or is too long, or the number is out of range
         */
        public void add(int number, Object value) {
            if (number < 0 || number > MAX_FIELD_NUMBER) {
                throw new IllegalArgumentException("field number out of range: " + number);
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

        /** The encoded fields. */
        public byte[] bytes() {
            return Arrays.copyOf(buffer.array(), buffer.position());
        }
    }

    /**
     * Decodes fields.
     *
     * @throws IllegalArgumentException if the bytes are not encoded fields
     */
    public static void read(byte[] bytes, Visitor visitor) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int lastNumber = -1;
        try {
            while (buffer.hasRemaining()) {
                int tag = buffer.get() & 0xFF;
                int number = tag / TYPE_COUNT;
                if (number <= lastNumber) {
                    throw new IllegalArgumentException(
                            "field " + number + " is not in order after field " + lastNumber);
                }
                lastNumber = number;
                if (tag % TYPE_COUNT == TEXT) {
                    int length = buffer.getShort();
                    if (length < 0 || length > buffer.remaining()) {
                        throw new IllegalArgumentException("text length " + length + " does not fit into the entry");
                    }
                    visitor.visit(number, new String(bytes, buffer.position(), length, StandardCharsets.UTF_8));
                    buffer.position(buffer.position() + length);
                } else if (tag % TYPE_COUNT == INTEGER) {
                    visitor.visit(number, buffer.getLong());
                } else {
                    visitor.visit(number, buffer.getDouble());
                }
            }
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("the bytes end within a field", e);
        }
    }

    /** Encodes a text in UTF-8. */
    public static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes a text in UTF-8. */
    public static String text(byte[] utf8) {
        return new String(utf8, StandardCharsets.UTF_8);
    }
}
