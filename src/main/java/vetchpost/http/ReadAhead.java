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
    private static final int CHUNK_BYTES = 16_384;

    private final RequestMemory requestMemory;
    private final int maxBufferedBytes;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private ChannelHandlerContext context;
    private long reservedBytes;
    private boolean buffering;

    /** Lets all through, for now; later keeps so many bytes before the connection is no longer read. */
    ReadAhead(RequestMemory inHand, int most) {
        this.requestMemory = inHand;
        this.maxBufferedBytes = most;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Nothing more goes on to the decoder for now. */
    void startBuffering() {
        buffering = true;
    }

    /** What has been kept goes on, until it is to be kept again; then what comes does. */
    void releaseBuffered() {
        buffering = false;
        if (buffered.isReadable()) {
            while (!buffering && buffered.isReadable()) {
                int length = Math.min(CHUNK_BYTES, buffered.readableBytes());
                releaseMemory(Math.min(reservedBytes, length));
                context.fireChannelRead(buffered.readBytes(length));
            }
            context.fireChannelReadComplete();
        }
        if (!buffered.isReadable()) {
            dropBuffer();
        }
        if (reservedBytes < maxBufferedBytes) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void releaseMemory(long bytes) {
        requestMemory.release(bytes);
        reservedBytes -= bytes;
    }

    private void dropBuffer() {
        releaseMemory(reservedBytes);
        buffered.release();
        buffered = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!buffering || !(message instanceof ByteBuf read)) {
            ctx.fireChannelRead(message);
            return;
        }
        if (!buffered.isReadable()) {
            // A copy on the heap: many small reads would keep a large buffer each.
            buffered = Unpooled.buffer(read.readableBytes());
        }
        boolean room = requestMemory.tryReserve(read.readableBytes());
        reservedBytes += room ? read.readableBytes() : 0;
        boolean full = !room || buffered.readableBytes() + read.readableBytes() > maxBufferedBytes;
        buffered.writeBytes(read);
        read.release();
        if (full) {
            // What has been read is kept all the same; nothing more is.
            ctx.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        buffering = false;
        dropBuffer();
        ctx.fireChannelInactive();
    }
}
