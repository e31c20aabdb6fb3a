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
    private static final int LONG = 0x80;
    private static final int LONG_BYTES = 4;

    private final int mostBytes;
    private final int mostPairs;
    private final Map<String, String> pairs = new LinkedHashMap<>();
    private byte[] held = new byte[64];
    private int size;
    private int bytes;
    private boolean ended;

    /**
     * None so far.
     *
     * @param mostBytes of all names and values with their lengths
     * @param mostPairs how many
     */
    public NameValues(int mostBytes, int mostPairs) {
        this.mostBytes = mostBytes;
        this.mostPairs = mostPairs;
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
            if (size > 0) {
                throw new FcgiException("the end comes within a name or value");
            }
            ended = true;
            return;
        }
        bytes += more;
        if (bytes > mostBytes) {
            throw new FcgiException("names and values of over " + mostBytes + " bytes");
        }
        if (size + more > held.length) {
            held = java.util.Arrays.copyOf(held, Math.max(size + more, Math.min(mostBytes, 2 * held.length)));
        }
        content.getBytes(content.readerIndex(), held, size, more);
        size += more;
        read();
    }

    private void read() throws FcgiException {
        int at = 0;
        while (at < size) {
            int nameBytes = lengthBytes(at);
            if (at + nameBytes >= size) {
                break;
            }
            int valueAt = at + nameBytes;
            int valueBytes = lengthBytes(valueAt);
            if (valueAt + valueBytes > size) {
                break;
            }
            long name = length(at);
            long value = length(valueAt);
            if (name + value > mostBytes) {
                throw new FcgiException(
                        "a name and value of " + (name + value) + " bytes, of " + mostBytes + " for all");
            }
            int textAt = valueAt + valueBytes;
            if (textAt + name + value > size) {
                break;
            }
            pair(
                    new String(held, textAt, (int) name, StandardCharsets.ISO_8859_1),
                    new String(held, textAt + (int) name, (int) value, StandardCharsets.ISO_8859_1));
            at = textAt + (int) (name + value);
        }
        System.arraycopy(held, at, held, 0, size - at);
        size -= at;
    }

    private int lengthBytes(int at) {
        return (held[at] & LONG) == 0 ? 1 : LONG_BYTES;
    }

    private long length(int at) {
        return (held[at] & LONG) == 0
                ? held[at]
                : (held[at] & 0x7FL) << 24
                        | (held[at + 1] & 0xFFL) << 16
                        | (held[at + 2] & 0xFFL) << 8
                        | held[at + 3] & 0xFFL;
    }

    private void pair(String name, String value) throws FcgiException {
        if (pairs.size() >= mostPairs) {
            throw new FcgiException("more than " + mostPairs + " names");
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
                if (text.length < LONG) {
                    out.writeByte(text.length);
                } else {
                    out.writeInt(text.length | 1 << 31);
                }
            }
            out.writeBytes(name).writeBytes(value);
        }
    }

    /** A stream's bytes in records of at most so much content, with the record that ends it. */
    public static List<FcgiRecord> records(FcgiRecord.Type type, int id, ByteBuf all, int most) {
        List<FcgiRecord> records = new ArrayList<>();
        while (all.isReadable()) {
            records.add(new FcgiRecord(type, id, all.readRetainedSlice(Math.min(most, all.readableBytes()))));
        }
        records.add(new FcgiRecord(type, id, io.netty.buffer.Unpooled.EMPTY_BUFFER));
        return records;
    }
}
