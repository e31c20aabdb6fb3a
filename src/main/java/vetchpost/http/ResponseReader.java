package vetchpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import vetchpost.core.ServerResponse;

/**
 * Assembles one response of a server within size limits and accepts only unambiguous, complete ones. Used by
 * {@link PlainExchange} on the event loop.
 */
final class ResponseReader {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    /** Informational responses before the final one; servers send one or two. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 16;

    /** Netty's decoder without its leniency towards ambiguous header lines and many header fields. */
    static final class Decoder extends HttpResponseDecoder {
        private final HeaderFieldLimit fieldLimit = new HeaderFieldLimit();
        /** Whether the response being read answers a HEAD request. */
        private boolean headRequest;

        Decoder() {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES));
        }

        void expectResponse(boolean isHeadRequest) {
            headRequest = isHeadRequest;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return headRequest || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected HttpMessage createMessage(String[] statusLine) {
            fieldLimit.reset();
            return super.createMessage(statusLine);
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            fieldLimit.add();
            // Netty also ends a header name at white space, and then accepts it without a colon.
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("no colon after a header name");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("two lengths");
        }
    }

    private HttpResponse head;
    private final BodyBuffer body = new BodyBuffer(MAX_BODY_BYTES);
    private int informationalResponses;
    private boolean complete;

    /** Whether the final response is complete. */
    boolean isComplete() {
        return complete;
    }

    /** Reads the next part; returns whether the response is now complete. */
    boolean read(HttpObject part) throws Exchange.MalformedResponse {
        if (complete || part.decoderResult().isFailure()) {
            throw new Exchange.MalformedResponse();
        }
        if (part instanceof HttpResponse response) {
            onHead(response);
        }
        if (part instanceof HttpContent content) {
            appendBody(content.content());
            if (part instanceof LastHttpContent) {
                onLastContent();
            }
        }
        return complete;
    }

    private void onHead(HttpResponse response) throws Exchange.MalformedResponse {
        head = response;
        long length = HttpUtil.getContentLength(response, 0L);
        // A response over the limit cannot be passed on, and no request asks for a protocol switch.
        if (length > MAX_BODY_BYTES
                || response.protocolVersion().majorVersion() != 1
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            throw new Exchange.MalformedResponse();
        }
    }

    private void appendBody(ByteBuf content) throws Exchange.MalformedResponse {
        if (!body.hasRoomFor(content.readableBytes())) {
            throw new Exchange.MalformedResponse();
        }
        body.add(content);
    }

    private void onLastContent() throws Exchange.MalformedResponse {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
                throw new Exchange.MalformedResponse();
            }
            body.clear();
            return;
        }
        if (head.status().code() == 200 && !isFramed()) {
            // Delimited by the end of the connection, which looks the same if the server dies half way.
            throw new Exchange.MalformedResponse();
        }
        complete = true;
    }

    private boolean isFramed() {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    int status() {
        return head.status().code();
    }

    String header(CharSequence name) {
        return head.headers().get(name);
    }

    /** Whether the server keeps the connection for the next request. */
    boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(head) && isFramed();
    }

    ServerResponse response() {
        return new ServerResponse(status(), header(HttpHeaderNames.CONTENT_TYPE), body.toByteArray());
    }
}
