package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Netty's request decoder, made strict about message lengths and the number of header fields; reports whether a
 * request is partly received, and how much memory it takes.
 */
public final class RequestDecoder extends HttpRequestDecoder {
    static final int MAX_REQUEST_LINE_BYTES = 8_192;
    static final int MAX_HEADER_BYTES = 16_384;

    private final HeaderFieldLimit fieldLimit = new HeaderFieldLimit();
    /** The request that is partly received, or null. */
    private HttpMessage partialRequest;

    private boolean headComplete;
    private int headBytes;

    /** Creates a decoder with the line and header limits of the platform's requests. */
    public RequestDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    /** Whether part of a request has been received, but not its end. */
    public boolean isMidRequest() {
        return partialRequest != null || actualReadableBytes() > 0;
    }

    /** Whether a request's head has been received in part. */
    public boolean isMidHead() {
        return partialRequest != null && !headComplete;
    }

    /** Memory of the decoded head of a partly received request, in bytes; 0 between requests. */
    public long decodedHeadBytes() {
        return partialRequest == null ? 0 : RequestMemory.costOf(headBytes, fieldLimit.fields(), 0);
    }

    /** Memory of the input that is not decoded yet, in bytes. */
    public long undecodedBytes() {
        return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    }

    /** Frees the memory of a partly received request. The decoder leaves the pipeline and decodes nothing more. */
    public void discardPartialRequest(ChannelPipeline pipeline) {
        if (pipeline.context(this) != null) {
            pipeline.remove(this);
        }
        if (isMidHead()) {
            partialRequest.headers().clear();
        }
        partialRequest = null;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        int bytesBefore = buffer.readableBytes();
        super.decode(ctx, buffer, out);
        if (!headComplete) {
            headBytes += bytesBefore - buffer.readableBytes();
        }
        if (out.isEmpty()) {
            return;
        }
        headComplete = true;
        if (out.get(out.size() - 1) instanceof LastHttpContent) {
            partialRequest = null;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        partialRequest = super.createMessage(initialLine);
        fieldLimit.reset();
        headComplete = false;
        headBytes = 0;
        return partialRequest;
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        fieldLimit.add();
        return super.splitHeaderName(line, start, length);
    }

    /** Rejects messages with both lengths: Netty would use one, and a server using the other would see two requests. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("two lengths");
    }
}
