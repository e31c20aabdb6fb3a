package vetchpost.fastcgi;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Reads records. It holds one at most, 65,798 bytes with its padding, as the length that comes first tells;
 * of more than a peer has sent nothing is allocated. A wrong version ends the connection's reading: what
 * follows can't be understood.
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
        int at = in.readerIndex();
        int version = in.getUnsignedByte(at);
        if (version != FcgiRecord.VERSION) {
            broken = true;
            in.skipBytes(in.readableBytes());
            throw new FcgiException("version " + version + " is not 1");
        }
        int length = in.getUnsignedShort(at + 4);
        int padding = in.getUnsignedByte(at + 6);
        if (in.readableBytes() < FcgiRecord.HEADER_BYTES + length + padding) {
            return;
        }
        in.skipBytes(FcgiRecord.HEADER_BYTES);
        out.add(new FcgiRecord(in.getUnsignedByte(at + 1), in.getUnsignedShort(at + 2), in.readRetainedSlice(length)));
        in.skipBytes(padding);
    }

    /** Whether part of a record has come, and not yet its end. */
    public boolean isMidRecord() {
        return actualReadableBytes() > 0;
    }
}
