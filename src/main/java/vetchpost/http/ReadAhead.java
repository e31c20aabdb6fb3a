package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Stands before a client's decoder and keeps what comes as bytes while enough requests have been read ahead.
 * Not read at all, a client that has left would not be noticed, and all that it has sent would go on to
 * servers; decoded, it would take many times the memory.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** As much as is read off a socket at once. */
    private static final int PIECE = 16_384;

    private final RequestMemory inHand;
    private final int most;
    private ByteBuf kept = Unpooled.EMPTY_BUFFER;
    private ChannelHandlerContext context;
    private long counted;
    private boolean keeping;

    /** Lets all through, for now; later keeps so many bytes before the connection is no longer read. */
    ReadAhead(RequestMemory inHand, int most) {
        this.inHand = inHand;
        this.most = most;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Nothing more goes on to the decoder for now. */
    void keep() {
        keeping = true;
    }

    /** What has been kept goes on, until it is to be kept again; then what comes does. */
    void letGo() {
        keeping = false;
        if (kept.isReadable()) {
            while (!keeping && kept.isReadable()) {
                int length = Math.min(PIECE, kept.readableBytes());
                forget(Math.min(counted, length));
                context.fireChannelRead(kept.readBytes(length));
            }
            context.fireChannelReadComplete();
        }
        if (!kept.isReadable()) {
            drop();
        }
        if (counted < most) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void forget(long bytes) {
        inHand.release(bytes);
        counted -= bytes;
    }

    private void drop() {
        forget(counted);
        kept.release();
        kept = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!keeping || !(message instanceof ByteBuf read)) {
            ctx.fireChannelRead(message);
            return;
        }
        if (!kept.isReadable()) {
            // A copy on the heap: many small reads would keep a large buffer each.
            kept = Unpooled.buffer(read.readableBytes());
        }
        boolean room = inHand.tryReserve(read.readableBytes());
        counted += room ? read.readableBytes() : 0;
        boolean full = !room || kept.readableBytes() + read.readableBytes() > most;
        kept.writeBytes(read);
        read.release();
        if (full) {
            // What has been read is kept all the same; nothing more is.
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        keeping = false;
        drop();
        ctx.fireChannelInactive();
    }
}
