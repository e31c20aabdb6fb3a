package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;

/** Writes records, padded to eight bytes as the specification recommends. */
@Sharable
public final class RecordEncoder extends MessageToByteEncoder<FcgiRecord> {
    private static final int ALIGNMENT_BYTES = 8;

    /** For any number of connections. */
    public RecordEncoder() {
        super(FcgiRecord.class);
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, FcgiRecord record, ByteBuf out) {
        ByteBuf content = record.content();
        int length = content.readableBytes();
        int padding = (ALIGNMENT_BYTES - length % ALIGNMENT_BYTES) % ALIGNMENT_BYTES;
        out.writeByte(FcgiRecord.VERSION);
        out.writeByte(record.typeNumber());
        out.writeShort(record.id());
        out.writeShort(length);
        out.writeByte(padding);
        out.writeByte(0);
        out.writeBytes(content, content.readerIndex(), length);
        out.writeZero(padding);
    }
}
