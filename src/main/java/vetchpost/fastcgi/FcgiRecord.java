package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.DefaultByteBufHolder;

/** One record: its type, the request that it belongs to (0 for the connection's own), and its content. */
public final class FcgiRecord extends DefaultByteBufHolder {
    /** The only version there is. */
    public static final int VERSION = 1;
    /** Bytes of a record before its content. */
    public static final int HEADER_BYTES = 8;
    /** Most content of one record, in bytes. */
    public static final int MAX_CONTENT_BYTES = 65_535;
    /** Most requests that one connection can tell apart. */
    public static final int MAX_REQUEST_ID = 65_535;

    /** The specification's types, in its order, from 1. */
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

        /** Its number on the wire. */
        public int number() {
            return ordinal() + 1;
        }

        /** The type of this number, or null: a management record of an unknown type is answered so. */
        public static Type of(int number) {
            return number >= 1 && number <= ALL.length ? ALL[number - 1] : null;
        }
    }

    private final int type;
    private final int id;

    /**
     * A record; its content is the holder's.
     *
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

    /** Of a known type. */
    public FcgiRecord(Type type, int id, ByteBuf content) {
        this(type.number(), id, content);
    }

    /** Its type; null for one that the specification doesn't know. */
    public Type type() {
        return Type.of(type);
    }

    /** The number of its type. */
    public int typeNumber() {
        return type;
    }

    /** The request that it belongs to; 0 for the connection's own records. */
    public int id() {
        return id;
    }

    /** Whether it ends its stream. */
    public boolean isEnd() {
        return !content().isReadable();
    }

    @Override
    public FcgiRecord replace(ByteBuf other) {
        return new FcgiRecord(type, id, other);
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
