package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Netty's request decoder, made strict about message lengths; reports whether a request is partly received. */
public final class RequestDecoder extends HttpRequestDecoder {
    static final int MAX_REQUEST_LINE_BYTES = 8_192;
    static final int MAX_HEADER_BYTES = 16_384;

    private boolean messageStarted;

    /** Creates a decoder with the line and header limits of the platform's requests. */
    public RequestDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    /** Whether part of a request has been received, but not its end. */
    public boolean isMidRequest() {
        return messageStarted || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        super.decode(ctx, buffer, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            messageStarted = false;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        messageStarted = true;
        return super.createMessage(initialLine);
    }

    /** Rejects messages with both lengths: Netty would use one, and a server using the other would see two requests. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("two lengths");
    }
}
