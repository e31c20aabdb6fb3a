package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Buffers the input of a client connection as raw bytes while enough pipelined requests wait. If the input were not
 * read, a disconnect would go unnoticed and all requests of that client would still be sent to servers; decoded, it
 * would take many times the memory. It precedes the decoder in the pipeline and is controlled by
 * {@link ClientConnection}, on the event loop.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {
    /** The size of one socket read. */
    private static final int CHUNK_BYTES = 16_384;

    private final RequestMemory requestMemory;
    private final int maxBufferedBytes;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private ChannelHandlerContext context;
    private long reservedBytes;
    private boolean buffering;

    /**
     * Creates a buffer that passes input on until {@link #startBuffering}.
     *
     * @param requestMemory the budget in which buffered bytes are reserved
     * @param maxBufferedBytes number of bytes to buffer before the connection is no longer read
     */
    ReadAhead(RequestMemory requestMemory, int maxBufferedBytes) {
        this.requestMemory = requestMemory;
        this.maxBufferedBytes = maxBufferedBytes;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Buffers input instead of passing it to the decoder. */
    void startBuffering() {
        buffering = true;
    }

    /** Passes buffered input to the decoder until buffering starts again, and further input after it. */
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
            // Copied to the heap, because many small reads would each retain a large buffer.
            buffered = Unpooled.buffer(read.readableBytes());
        }
        boolean isReserved = requestMemory.tryReserve(read.readableBytes());
        reservedBytes += isReserved ? read.readableBytes() : 0;
        boolean isFull = !isReserved || buffered.readableBytes() + read.readableBytes() > maxBufferedBytes;
        buffered.writeBytes(read);
        read.release();
        if (isFull) {
            // The bytes just read are kept nevertheless, but no more are read.
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
