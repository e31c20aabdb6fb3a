package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Netty's decoder of requests, strict about their length, and telling whether one has begun to come. */
public final class RequestDecoder extends HttpRequestDecoder {
    static final int MAX_REQUEST_LINE_BYTES = 8_192;
    static final int MAX_HEADER_BYTES = 16_384;

    private boolean messageStarted;

    /** With the bounds of the platform's requests. */
    public RequestDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    /** Whether part of a request has come, and not yet its end. */
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

    /** Netty would believe the one and drop the other; who believes the other sees a second request in it. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("two lengths");
    }
}
