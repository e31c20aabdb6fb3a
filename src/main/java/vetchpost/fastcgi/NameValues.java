package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the name-value pairs of a stream, however it is split into records. Declared lengths are checked against the
 * bounds before anything is buffered for them. Not thread-safe.
 */
public final class NameValues {
    private static final int LONG_LENGTH_FLAG = 0x80;
    private static final int LONG_LENGTH_BYTES = 4;

    private final int maxBytes;
    private final int maxPairs;
    private final Map<String, String> pairs = new LinkedHashMap<>();
    private byte[] buffer = new byte[64];
    private int bufferedBytes;
    private int totalBytes;
    private boolean ended;

    /**
     * Creates a parser without pairs.
     *
     * @param maxBytes maximum bytes of all names and values with their lengths
     * @param maxPairs maximum number of pairs
     */
    public NameValues(int maxBytes, int maxPairs) {
        this.maxBytes = maxBytes;
        this.maxPairs = maxPairs;
    }

    /**
     * Parses one record's content; an empty one ends the stream. The caller keeps ownership of the content.
     *
     * @throws FcgiException if a bound is exceeded, a name is repeated, or the stream ends within a pair
     */
    public void add(ByteBuf content) throws FcgiException {
        if (ended) {
            throw new FcgiException("more names after their end");
        }
        int addedBytes = content.readableBytes();
        if (addedBytes == 0) {
            if (bufferedBytes > 0) {
                throw new FcgiException("the end comes within a name or value");
            }
            ended = true;
            return;
        }
        totalBytes += addedBytes;
        if (totalBytes > maxBytes) {
            throw new FcgiException("names and values of over " + maxBytes + " bytes");
        }
        if (bufferedBytes + addedBytes > buffer.length) {
            buffer = java.util.Arrays.copyOf(
                    buffer, Math.max(bufferedBytes + addedBytes, Math.min(maxBytes, 2 * buffer.length)));
        }
        content.getBytes(content.readerIndex(), buffer, bufferedBytes, addedBytes);
        bufferedBytes += addedBytes;
        parse();
    }

    private void parse() throws FcgiException {
        int offset = 0;
        while (offset < bufferedBytes) {
            int nameLengthBytes = lengthBytesAt(offset);
            if (offset + nameLengthBytes >= bufferedBytes) {
                break;
            }
            int valueOffset = offset + nameLengthBytes;
            int valueLengthBytes = lengthBytesAt(valueOffset);
            if (valueOffset + valueLengthBytes > bufferedBytes) {
                break;
            }
            long name = lengthAt(offset);
            long value = lengthAt(valueOffset);
            if (name + value > maxBytes) {
                throw new FcgiException(
                        "a name and value of " + (name + value) + " bytes, of " + maxBytes + " for all");
            }
            int textOffset = valueOffset + valueLengthBytes;
            if (textOffset + name + value > bufferedBytes) {
                break;
            }
            addPair(
                    new String(buffer, textOffset, (int) name, StandardCharsets.ISO_8859_1),
                    new String(buffer, textOffset + (int) name, (int) value, StandardCharsets.ISO_8859_1));
            offset = textOffset + (int) (name + value);
        }
        System.arraycopy(buffer, offset, buffer, 0, bufferedBytes - offset);
        bufferedBytes -= offset;
    }

    private int lengthBytesAt(int offset) {
        return (buffer[offset] & LONG_LENGTH_FLAG) == 0 ? 1 : LONG_LENGTH_BYTES;
    }

    private long lengthAt(int offset) {
        return (buffer[offset] & LONG_LENGTH_FLAG) == 0
                ? buffer[offset]
                : (buffer[offset] & 0x7FL) << 24
                        | (buffer[offset + 1] & 0xFFL) << 16
                        | (buffer[offset + 2] & 0xFFL) << 8
                        | buffer[offset + 3] & 0xFFL;
    }

    private void addPair(String name, String value) throws FcgiException {
        if (pairs.size() >= maxPairs) {
            throw new FcgiException("more than " + maxPairs + " names");
        }
        // Of a repeated name some readers use the first value and others the last.
        if (pairs.putIfAbsent(name, value) != null) {
            throw new FcgiException("a name comes twice");
        }
    }

    /** Whether the stream has ended. */
    public boolean isEnded() {
        return ended;
    }

    /** The complete pairs, in their order. */
    public Map<String, String> pairs() {
        return pairs;
    }

    /** Writes pairs as a stream's bytes, with the shortest encoding of lengths. */
    public static void write(Map<String, String> pairs, ByteBuf out) {
        for (Map.Entry<String, String> pair : pairs.entrySet()) {
            byte[] name = pair.getKey().getBytes(StandardCharsets.ISO_8859_1);
            byte[] value = pair.getValue().getBytes(StandardCharsets.ISO_8859_1);
            for (byte[] text : List.of(name, value)) {
                if (text.length < LONG_LENGTH_FLAG) {
                    out.writeByte(text.length);
                } else {
                    out.writeInt(text.length | 1 << 31);
                }
            }
            out.writeBytes(name).writeBytes(value);
        }
    }

    /**
     * Splits a stream's bytes into records, followed by the empty record that ends the stream.
     *
     * @param streamBytes bytes of the stream; they are consumed
     * @param maxContentBytes maximum content of one record
     */
    public static List<FcgiRecord> toRecords(FcgiRecord.Type type, int id, ByteBuf streamBytes, int maxContentBytes) {
        List<FcgiRecord> records = new ArrayList<>();
        while (streamBytes.isReadable()) {
            records.add(new FcgiRecord(
                    type, id, streamBytes.readRetainedSlice(Math.min(maxContentBytes, streamBytes.readableBytes()))));
        }
        records.add(new FcgiRecord(type, id, io.netty.buffer.Unpooled.EMPTY_BUFFER));
        return records;
    }
}
