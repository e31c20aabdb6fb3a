package vetchpost.replication;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import vetchpost.replication.Frame.Entry;
import vetchpost.replication.Frame.Span;
import vetchpost.replication.Frame.Type;
import vetchpost.store.FieldCodec;
import vetchpost.store.PackedTree.Sum;

/**
 * Frames as bytes: Protocol Buffers' wire format by the schema in docs/changes.md, with the items deflated
 * (RFC 1951). What is read is bounded before it is allocated. Not for several threads: it keeps its
 * compressor.
 */
public final class FrameCodec implements AutoCloseable {
    /** A frame's bytes at most, either way. */
    public static final int MAX_FRAME_BYTES = 64 << 10;

    private static final int MAX_INFLATED_BYTES = 64 << 10;
    private static final int MAX_ITEMS = 4_096;
    static final int MAX_SPANS = 1_024;
    private static final int MAX_HASHES = 256;
    private static final int MAX_KEY_BYTES = 8 << 10;
    private static final int MAX_VALUE_BYTES = FieldCodec.MAX_ENTRY_BYTES;
    private static final int MAX_NAME_BYTES = 256;

    private static final int TYPE = 1;
    private static final int FROM = 2;
    private static final int TO = 3;
    private static final int PART = 4;
    private static final int LAST = 5;
    private static final int COUNT = 6;
    private static final int HASH = 7;
    private static final int ITEMS = 8;
    private static final int RAW = 9;
    private static final int NAME = 10;
    private static final int SPANS = 11;
    private static final int RAW_SPANS = 12;

    private static final int S_FROM = 1;
    private static final int S_TO = 2;
    private static final int S_COUNT = 3;
    private static final int S_HASH = 4;
    private static final int S_HASHES = 5;

    private static final int I_KEY = 1;
    private static final int I_STAMP = 2;
    private static final int I_VALUE = 3;

    private final Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    private final Inflater inflater = new Inflater(true);

    private interface MessageWriter {
        void writeTo(CodedOutputStream out) throws IOException;
    }

    private static byte[] encode(MessageWriter writing) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(bytes, 512);
            writing.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** A frame's bytes. */
    public byte[] write(Frame frame) {
        byte[] raw = encode(out -> {
            for (Entry item : frame.items()) {
                out.writeByteArray(1, item(item));
            }
        });
        byte[] spans = encode(out -> {
            byte[] end = null;
            for (Span span : frame.spans()) {
                out.writeByteArray(1, span(span, end));
                end = span.to();
            }
        });
        return encode(out -> {
            out.writeUInt32(TYPE, frame.type().ordinal());
            out.writeInt64(FROM, frame.from());
            out.writeInt64(TO, frame.to());
            out.writeUInt32(PART, frame.part());
            out.writeBool(LAST, frame.last());
            out.writeInt64(COUNT, frame.sum().count());
            out.writeFixed64(HASH, frame.sum().hash());
            if (raw.length > 0) {
                out.writeByteArray(ITEMS, deflate(raw));
                out.writeUInt32(RAW, raw.length);
            }
            if (!frame.name().isEmpty()) {
                out.writeString(NAME, frame.name());
            }
            if (spans.length > 0) {
                out.writeByteArray(SPANS, deflate(spans));
                out.writeUInt32(RAW_SPANS, spans.length);
            }
        });
    }

    private static byte[] item(Entry item) {
        return encode(out -> {
            out.writeByteArray(I_KEY, item.key());
            out.writeInt64(I_STAMP, item.stamp());
            if (item.value() != null) {
                out.writeByteArray(I_VALUE, item.value());
            }
        });
    }

    /** One that begins where the one before ends does not say so. */
    private static byte[] span(Span span, byte[] before) {
        return encode(out -> {
            if (!Arrays.equals(span.from(), before)) {
                out.writeByteArray(S_FROM, span.from());
            }
            if (span.to() != null) {
                out.writeByteArray(S_TO, span.to());
            }
            out.writeInt64(S_COUNT, span.sum().count());
            out.writeFixed64(S_HASH, span.sum().hash());
            if (span.hashes() != null) {
                out.writeTag(S_HASHES, WireFormat.WIRETYPE_LENGTH_DELIMITED);
                out.writeUInt32NoTag(Integer.BYTES * span.hashes().length);
                for (long hash : span.hashes()) {
                    out.writeFixed32NoTag((int) hash);
                }
            }
        });
    }

    private byte[] deflate(byte[] raw) {
        deflater.reset();
        deflater.setInput(raw);
        deflater.finish();
        byte[] into = new byte[raw.length + 64];
        ByteArrayOutputStream all = new ByteArrayOutputStream(raw.length / 2 + 64);
        while (!deflater.finished()) {
            all.write(into, 0, deflater.deflate(into));
        }
        return all.toByteArray();
    }

    private byte[] inflate(byte[] body, int length) throws MalformedFrameException {
        check(length > 0 && length <= MAX_INFLATED_BYTES, "items of " + length + " bytes");
        byte[] raw = new byte[length];
        inflater.reset();
        inflater.setInput(body);
        try {
            int got = 0;
            while (got < length && !inflater.needsInput()) {
                int more = inflater.inflate(raw, got, length - got);
                if (more == 0) {
                    break;
                }
                got += more;
            }
            check(
                    got == length && (inflater.finished() || inflater.inflate(new byte[1]) == 0),
                    "items of another length than told");
        } catch (DataFormatException e) {
            throw new MalformedFrameException("items that can't be inflated");
        }
        return raw;
    }

    /** A frame from its bytes. */
    public Frame read(byte[] bytes) throws MalformedFrameException {
        check(bytes.length <= MAX_FRAME_BYTES, "a frame of " + bytes.length + " bytes");
        try {
            return frame(CodedInputStream.newInstance(bytes));
        } catch (IOException e) {
            throw new MalformedFrameException("no frame: " + e.getMessage());
        }
    }

    private Frame frame(CodedInputStream in) throws IOException, MalformedFrameException {
        int type = -1;
        long from = 0;
        long to = 0;
        int part = 0;
        boolean last = false;
        long count = 0;
        long hash = 0;
        byte[] body = null;
        int raw = 0;
        String name = "";
        byte[] ranges = null;
        int rawSpans = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case TYPE -> type = in.readUInt32();
                case FROM -> from = in.readInt64();
                case TO -> to = in.readInt64();
                case PART -> part = in.readUInt32();
                case LAST -> last = in.readBool();
                case COUNT -> count = in.readInt64();
                case HASH -> hash = in.readFixed64();
                case ITEMS -> body = in.readByteArray();
                case RAW -> raw = in.readUInt32();
                case NAME -> name = text(in.readByteArray());
                case SPANS -> ranges = in.readByteArray();
                case RAW_SPANS -> rawSpans = in.readUInt32();
                default -> in.skipField(tag);
            }
        }
        check(type >= 0 && type < Type.values().length, "a frame of type " + type);
        check(from >= 0 && to >= 0 && part >= 0 && count >= 0, "a negative number");
        List<Entry> items = body == null ? List.of() : items(inflate(body, raw));
        List<Span> spans = ranges == null ? List.of() : spans(inflate(ranges, rawSpans));
        return new Frame(Type.values()[type], from, to, part, last, new Sum(count, hash), items, name, spans);
    }

    private static String text(byte[] utf8) throws MalformedFrameException {
        check(utf8.length <= MAX_NAME_BYTES, "a name of " + utf8.length + " bytes");
        return new String(utf8, StandardCharsets.UTF_8);
    }

    private static List<Entry> items(byte[] raw) throws IOException, MalformedFrameException {
        List<Entry> items = new ArrayList<>();
        CodedInputStream in = CodedInputStream.newInstance(raw);
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) != 1) {
                in.skipField(tag);
                continue;
            }
            check(items.size() < MAX_ITEMS, "over " + MAX_ITEMS + " items");
            items.add(item(CodedInputStream.newInstance(in.readByteArray())));
        }
        return items;
    }

    private static List<Span> spans(byte[] raw) throws IOException, MalformedFrameException {
        List<Span> spans = new ArrayList<>();
        CodedInputStream in = CodedInputStream.newInstance(raw);
        byte[] end = null;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) != 1) {
                in.skipField(tag);
                continue;
            }
            check(spans.size() < MAX_SPANS, "over " + MAX_SPANS + " ranges");
            Span span = span(CodedInputStream.newInstance(in.readByteArray()), end);
            spans.add(span);
            end = span.to();
        }
        return spans;
    }

    private static Entry item(CodedInputStream in) throws IOException, MalformedFrameException {
        byte[] key = null;
        byte[] value = null;
        long stamp = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case I_KEY -> key = in.readByteArray();
                case I_STAMP -> stamp = in.readInt64();
                case I_VALUE -> value = in.readByteArray();
                default -> in.skipField(tag);
            }
        }
        check(key != null && key.length > 0 && key.length <= MAX_KEY_BYTES, "an item without a key");
        check(stamp >= 0 && (value == null || value.length <= MAX_VALUE_BYTES), "an item that is none");
        return new Entry(key, value, stamp);
    }

    private static Span span(CodedInputStream in, byte[] before) throws IOException, MalformedFrameException {
        byte[] from = before;
        byte[] to = null;
        long count = 0;
        long hash = 0;
        long[] hashes = null;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case S_FROM -> from = in.readByteArray();
                case S_TO -> to = in.readByteArray();
                case S_COUNT -> count = in.readInt64();
                case S_HASH -> hash = in.readFixed64();
                case S_HASHES -> {
                    int length = in.readUInt32();
                    check(
                            length >= 0
                                    && length % Integer.BYTES == 0
                                    && length <= Integer.BYTES * MAX_HASHES
                                    && (hashes == null),
                            "hashes of " + length + " bytes");
                    hashes = new long[length / Integer.BYTES];
                    for (int i = 0; i < hashes.length; i++) {
                        hashes[i] = in.readFixed32() & 0xFFFF_FFFFL;
                    }
                }
                default -> in.skipField(tag);
            }
        }
        check(
                from != null
                        && from.length <= MAX_KEY_BYTES
                        && (to == null || to.length <= MAX_KEY_BYTES)
                        && count >= 0,
                "a range that is none");
        return new Span(from, to, new Sum(count, hash), hashes);
    }

    private static void check(boolean holds, String otherwise) throws MalformedFrameException {
        if (!holds) {
            throw new MalformedFrameException(otherwise);
        }
    }

    /** Gives back what the compressor has outside of the heap. */
    @Override
    public void close() {
        deflater.end();
        inflater.end();
    }
}
