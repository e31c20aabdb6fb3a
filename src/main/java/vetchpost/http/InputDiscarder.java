package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Stands before a client's decoder. Once nothing more is taken, bytes cost no decoding, and beyond some of
 * them no
 * reading: closed on unread bytes, the system would take back the reason that the client has not read yet.
 */
public final class InputDiscarder extends ChannelInboundHandlerAdapter {
    private final int maxDiscardedBytes;
    private int discardedBytes;
    private boolean discarding;
    private long receivedBytes;

    /** Lets all through, for now; later throws away so many bytes before it stops to read. */
    public InputDiscarder(int most) {
        this.maxDiscardedBytes = most;
    }

    /** Nothing more is taken. */
    public void startDiscarding() {
        discarding = true;
    }

    /** Bytes that have come so far. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Whether nothing more is taken. */
    public boolean isDiscarding() {
        return discarding;
    }

    /** Whether what comes should still be read, to be thrown away. */
    public boolean isReading() {
        return discardedBytes <= maxDiscardedBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        receivedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        if (!discarding) {
            ctx.fireChannelRead(message);
            return;
        }
        discardedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        ReferenceCountUtil.release(message);
        if (!isReading()) {
            ctx.channel().config().setAutoRead(false);
        }
    }
}
