package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the names and values of a stream, however its records cut it. What a length claims is held against
 * the bound before anything is kept for it; at most so many bytes and pairs are kept.
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
     * None so far.
     *
     * @param mostBytes of all names and values with their lengths
     * @param mostPairs how many
     */
    public NameValues(int mostBytes, int mostPairs) {
        this.maxBytes = mostBytes;
        this.maxPairs = mostPairs;
    }

    /**
     * Takes one record's content in; an empty one ends the stream.
     *
     * @throws FcgiException if it is more than may be, a name comes twice, or the end comes within a pair
     */
    public void add(ByteBuf content) throws FcgiException {
        if (ended) {
            throw new FcgiException("more names after their end");
        }
        int more = content.readableBytes();
        if (more == 0) {
            if (bufferedBytes > 0) {
                throw new FcgiException("the end comes within a name or value");
            }
            ended = true;
            return;
        }
        totalBytes += more;
        if (totalBytes > maxBytes) {
            throw new FcgiException("names and values of over " + maxBytes + " bytes");
        }
        if (bufferedBytes + more > buffer.length) {
            buffer = java.util.Arrays.copyOf(
                    buffer, Math.max(bufferedBytes + more, Math.min(maxBytes, 2 * buffer.length)));
        }
        content.getBytes(content.readerIndex(), buffer, bufferedBytes, more);
        bufferedBytes += more;
        parse();
    }

    private void parse() throws FcgiException {
        int at = 0;
        while (at < bufferedBytes) {
            int nameBytes = lengthBytesAt(at);
            if (at + nameBytes >= bufferedBytes) {
                break;
            }
            int valueAt = at + nameBytes;
            int valueBytes = lengthBytesAt(valueAt);
            if (valueAt + valueBytes > bufferedBytes) {
                break;
            }
            long name = lengthAt(at);
            long value = lengthAt(valueAt);
            if (name + value > maxBytes) {
                throw new FcgiException(
                        "a name and value of " + (name + value) + " bytes, of " + maxBytes + " for all");
            }
            int textAt = valueAt + valueBytes;
            if (textAt + name + value > bufferedBytes) {
                break;
            }
            addPair(
                    new String(buffer, textAt, (int) name, StandardCharsets.ISO_8859_1),
                    new String(buffer, textAt + (int) name, (int) value, StandardCharsets.ISO_8859_1));
            at = textAt + (int) (name + value);
        }
        System.arraycopy(buffer, at, buffer, 0, bufferedBytes - at);
        bufferedBytes -= at;
    }

    private int lengthBytesAt(int at) {
        return (buffer[at] & LONG_LENGTH_FLAG) == 0 ? 1 : LONG_LENGTH_BYTES;
    }

    private long lengthAt(int at) {
        return (buffer[at] & LONG_LENGTH_FLAG) == 0
                ? buffer[at]
                : (buffer[at] & 0x7FL) << 24
                        | (buffer[at + 1] & 0xFFL) << 16
                        | (buffer[at + 2] & 0xFFL) << 8
                        | buffer[at + 3] & 0xFFL;
    }

    private void addPair(String name, String value) throws FcgiException {
        if (pairs.size() >= maxPairs) {
            throw new FcgiException("more than " + maxPairs + " names");
        }
        // Of two values one reader believes the first and another the last.
        if (pairs.putIfAbsent(name, value) != null) {
            throw new FcgiException("a name comes twice");
        }
    }

    /** Whether its end has come. */
    public boolean isEnded() {
        return ended;
    }

    /** Those that are whole, in their order. */
    public Map<String, String> pairs() {
        return pairs;
    }

    /** Writes pairs as a stream's bytes, lengths as short as they go. */
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

    /** A stream's bytes in records of at most so much content, with the record that ends it. */
    public static List<FcgiRecord> toRecords(FcgiRecord.Type type, int id, ByteBuf all, int most) {
        List<FcgiRecord> records = new ArrayList<>();
        while (all.isReadable()) {
            records.add(new FcgiRecord(type, id, all.readRetainedSlice(Math.min(most, all.readableBytes()))));
        }
        records.add(new FcgiRecord(type, id, io.netty.buffer.Unpooled.EMPTY_BUFFER));
        return records;
    }
}
