package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Decodes records. Buffers at most one record, 65,798 bytes with padding, and allocates nothing for bytes that the
 * peer has only announced. An unknown version stops the decoding, because the following bytes can't be interpreted.
 * One instance per connection, on its event loop.
 */
public final class RecordDecoder extends ByteToMessageDecoder {
    private boolean broken;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws FcgiException {
        if (broken) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < FcgiRecord.HEADER_BYTES) {
            return;
        }
        int start = in.readerIndex();
        int version = in.getUnsignedByte(start);
        if (version != FcgiRecord.VERSION) {
            broken = true;
            in.skipBytes(in.readableBytes());
            throw new FcgiException("version " + version + " is not 1");
        }
        int length = in.getUnsignedShort(start + 4);
        int padding = in.getUnsignedByte(start + 6);
        if (in.readableBytes() < FcgiRecord.HEADER_BYTES + length + padding) {
            return;
        }
        in.skipBytes(FcgiRecord.HEADER_BYTES);
        out.add(new FcgiRecord(
                in.getUnsignedByte(start + 1), in.getUnsignedShort(start + 2), in.readRetainedSlice(length)));
        in.skipBytes(padding);
    }

    /** Whether a record has arrived in part. */
    public boolean isMidRecord() {
        return actualReadableBytes() > 0;
    }
}
