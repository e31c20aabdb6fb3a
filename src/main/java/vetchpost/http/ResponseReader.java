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
import java.util.Arrays;
import vetchpost.core.ServerResponse;

/** Puts one answer of a server together, within limits, and takes for an answer only what is surely one. */
final class ResponseReader {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 16_384;
    /** Informational answers ahead of the final one; servers send one or two. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 16;

    private static final byte[] EMPTY_BODY = {};

    /** Netty's decoder without its leniency: a line read in two ways may be no header at all. */
    static final class Decoder extends HttpResponseDecoder {
        /** Whether the answer that is read is one to HEAD. */
        private boolean headRequest;

        Decoder() {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES));
        }

        void expectResponse(boolean toHead) {
            headRequest = toHead;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return headRequest || super.isContentAlwaysEmpty(message);
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            // Netty ends a response's name at white space too, and then does without a colon.
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("no colon behind a header's name");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("two lengths");
        }
    }

    private HttpResponse head;
    private byte[] body = EMPTY_BODY;
    private int bodySize;
    private int informationalResponses;
    private boolean complete;

    /** Whether all of the final answer has come. */
    boolean isComplete() {
        return complete;
    }

    /** Takes in the next part; whether the answer is now whole. */
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
        // No use reading what can't be passed on; and nobody has asked for another protocol.
        if (length > MAX_BODY_BYTES
                || response.protocolVersion().majorVersion() != 1
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            throw new Exchange.MalformedResponse();
        }
        body = length > 0 ? new byte[(int) length] : EMPTY_BODY;
    }

    private void appendBody(ByteBuf content) throws Exchange.MalformedResponse {
        int more = content.readableBytes();
        if (bodySize + more > MAX_BODY_BYTES) {
            throw new Exchange.MalformedResponse();
        }
        if (bodySize + more > body.length) {
            body = Arrays.copyOf(body, Math.min(MAX_BODY_BYTES, Math.max(bodySize + more, 2 * body.length)));
        }
        content.readBytes(body, bodySize, more);
        bodySize += more;
    }

    private void onLastContent() throws Exchange.MalformedResponse {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
                throw new Exchange.MalformedResponse();
            }
            body = EMPTY_BODY;
            bodySize = 0;
            return;
        }
        if (head.status().code() == 200 && !isFramed()) {
            // It ended with its connection: a process that died half way looks the same.
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
        return new ServerResponse(
                status(),
                header(HttpHeaderNames.CONTENT_TYPE),
                bodySize == body.length ? body : Arrays.copyOf(body, bodySize));
    }
}
