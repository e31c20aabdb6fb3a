package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.DefaultByteBufHolder;

/** One FastCGI record: type, request id (0 for management records) and content. Reference-counted like its content. */
public final class FcgiRecord extends DefaultByteBufHolder {
    /** The only protocol version. */
    public static final int VERSION = 1;
    /** Bytes of a record's header. */
    public static final int HEADER_BYTES = 8;
    /** Maximum content of one record. */
    public static final int MAX_CONTENT_BYTES = 65_535;
    /** Maximum request id. */
    public static final int MAX_REQUEST_ID = 65_535;

    /** Record types, in the specification's order, numbered from 1. */
    public enum Type {
        BEGIN_REQUEST,
        ABORT_REQUEST,
        END_REQUEST,
        PARAMS,
        STDIN,
        STDOUT,
        STDERR,
        DATA,
        GET_VALUES,
        GET_VALUES_RESULT,
        UNKNOWN_TYPE;

        private static final Type[] ALL = values();

        /** The number on the wire. */
        public int number() {
            return ordinal() + 1;
        }

        /** The type with this number, or null if the specification has none. */
        public static Type of(int number) {
            return number >= 1 && number <= ALL.length ? ALL[number - 1] : null;
        }
    }

    private final int type;
    private final int id;

    /**
     * Creates a record, which takes ownership of its content.
     *
     * @param type number from 0 to 255
     * @param id request id from 0 to {@link #MAX_REQUEST_ID}
     * @param content at most {@link #MAX_CONTENT_BYTES}
     * @throws IllegalArgumentException if a number or the content does not fit its field
     */
    public FcgiRecord(int type, int id, ByteBuf content) {
        super(content);
        if (type < 0 || type > 255 || id < 0 || id > MAX_REQUEST_ID || content.readableBytes() > MAX_CONTENT_BYTES) {
            throw new IllegalArgumentException(
                    "type " + type + ", id " + id + ", " + content.readableBytes() + " bytes");
        }
        this.type = type;
        this.id = id;
    }

    /** Creates a record of a known type. */
    public FcgiRecord(Type type, int id, ByteBuf content) {
        this(type.number(), id, content);
    }

    /** The type; null for one that the specification doesn't define. */
    public Type type() {
        return Type.of(type);
    }

    /** The number of the type. */
    public int typeNumber() {
        return type;
    }

    /** The request id; 0 for management records. */
    public int id() {
        return id;
    }

    /** Whether the record is empty, which ends its stream. */
    public boolean isEnd() {
        return !content().isReadable();
    }

    @Override
    public FcgiRecord replace(ByteBuf newContent) {
        return new FcgiRecord(type, id, newContent);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FcgiRecord record && record.type == type && record.id == id && super.equals(other);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * type + id) + super.hashCode();
    }

    @Override
    public String toString() {
        return (type() == null ? "type " + type : type()) + " " + id + ", "
                + content().readableBytes() + " bytes";
    }
}
