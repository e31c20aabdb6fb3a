package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Discards the input of a client connection once no further requests are accepted. It precedes the decoder in the
 * pipeline, so that discarded input is not decoded. Input is read up to a limit, because closing a socket with unread
 * input resets it, and the client would lose an error response that it has not read yet.
 */
public final class InputDiscarder extends ChannelInboundHandlerAdapter {
    private final int maxDiscardedBytes;
    private int discardedBytes;
    private boolean discarding;
    private long receivedBytes;

    /**
     * Creates a discarder that passes input on until {@link #startDiscarding}.
     *
     * @param maxDiscardedBytes number of bytes to discard before the connection is no longer read
     */
    public InputDiscarder(int maxDiscardedBytes) {
        this.maxDiscardedBytes = maxDiscardedBytes;
    }

    /** Discards all input from now on. */
    public void startDiscarding() {
        discarding = true;
    }

    /** The number of bytes received so far, discarded ones included. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Whether input is discarded. */
    public boolean isDiscarding() {
        return discarding;
    }

    /** Whether the connection should still be read: the limit of discarded bytes is not exceeded. */
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
