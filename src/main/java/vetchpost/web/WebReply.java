package vetchpost.web;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Date;
import vetchpost.core.BodySink;
import vetchpost.core.ClientReply;
import vetchpost.core.Failure;
import vetchpost.core.ServerResponse;
import vetchpost.http.HttpReply;

/** The one answer to a request of the open web; of a body that is not held, the way of its bytes too. */
final class WebReply implements ClientReply, BodySink {
    private static final String RAN_HEADER = "Vetchpost-Ran";

    private final WebConnection connection;
    private final WebProtocolAdapter adapter;
    private final boolean headOnly;
    private final boolean isHttp10;
    private Runnable disconnectAction = () -> {};
    private boolean mayHaveRun;
    private boolean answered;
    private boolean complete;
    private ServerResponse streaming;

    /**
     * Not answered yet.
     *
     * @param head whether only the head of an answer is wanted
     * @param old whether the client speaks HTTP/1.0, which knows no chunks
     */
    WebReply(WebConnection connection, WebProtocolAdapter front, boolean head, boolean old) {
        this.connection = connection;
        this.adapter = front;
        this.headOnly = head;
        this.isHttp10 = old;
    }

    @Override
    public long connectionId() {
        return connection.connectionId();
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }

    /** Whether its answer has begun. */
    boolean isAnswered() {
        return answered;
    }

    /** The client has left. */
    void onClientGone() {
        if (complete) {
            return;
        }
        answered = true;
        complete = true;
        disconnectAction.run();
        if (streaming != null) {
            streaming.bodyRemainder().abandon();
        }
    }

    /** The client has read so much that more can be written. */
    void onWritable() {
        if (streaming != null && !complete) {
            streaming.bodyRemainder().resume();
        }
    }

    @Override
    public void served(ServerResponse answer) {
        if (answered) {
            if (answer.bodyRemainder() != null) {
                answer.bodyRemainder().abandon();
            }
            return;
        }
        answered = true;
        HttpResponseStatus status = HttpResponseStatus.valueOf(answer.status());
        if (answer.bodyRemainder() == null) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(answer.body()));
            setHeaders(response, answer);
            // To HEAD, and of 304, a length is that of the body that is left out (RFC 9110, section 8.6).
            if (!headOnly && answer.status() != HttpResponseStatus.NOT_MODIFIED.code()) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            }
            complete = true;
            connection.writeResponse(response, headOnly);
            return;
        }
        streaming = answer;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        setHeaders(response, answer);
        boolean byClosing = false;
        if (answer.bodyLength() < Long.MAX_VALUE) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.bodyLength());
        } else if (isHttp10) {
            byClosing = true;
        } else {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        connection.startResponse(response, byClosing);
        if (answer.body().length > 0) {
            connection.writeBody(new DefaultHttpContent(Unpooled.wrappedBuffer(answer.body())));
        }
        answer.bodyRemainder().streamTo(this);
    }

    private void setHeaders(HttpResponse response, ServerResponse answer) {
        HttpHeaders headers = response.headers();
        if (answer.headers() != null) {
            answer.headers().forEach(headers::add);
        }
        // The node's own word about requests that it has not served, and no server's.
        headers.remove(RAN_HEADER);
        headers.add(HttpHeaderNames.VIA, "1.1 " + adapter.limits().viaName());
        if (!headers.contains(HttpHeaderNames.DATE)) {
            headers.set(HttpHeaderNames.DATE, DateFormatter.format(new Date(adapter.unixMs())));
        }
    }

    @Override
    public boolean write(byte[] bytes) {
        return !complete && connection.writeBody(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    @Override
    public void complete() {
        if (!complete) {
            complete = true;
            connection.endResponse(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    @Override
    public void abort() {
        if (!complete) {
            complete = true;
            connection.resetConnection();
        }
    }

    @Override
    public boolean passOnError(ServerResponse error) {
        served(error);
        return true;
    }

    @Override
    public void markMayHaveRun() {
        mayHaveRun = true;
    }

    @Override
    public void rejected(long retryAfterUs) {
        FullHttpResponse response = HttpReply.plain(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused, try again");
        if (retryAfterUs > 0) {
            // Whole seconds (RFC 9110, section 10.2.3), and never less than what was advised.
            response.headers().set(HttpHeaderNames.RETRY_AFTER, (retryAfterUs + 999_999) / 1_000_000);
        }
        sendNotServed(response);
    }

    @Override
    public void failed(Failure why) {
        sendNotServed(
                switch (why) {
                    case DUPLICATE_ID ->
                        HttpReply.plain(HttpResponseStatus.CONFLICT, "a request of this id is in hand");
                    case UNSERVED -> HttpReply.plain(HttpResponseStatus.BAD_GATEWAY, "no server has answered");
                    case DEADLINE_EXCEEDED ->
                        HttpReply.plain(HttpResponseStatus.GATEWAY_TIMEOUT, "no server has answered in time");
                    case AMBIGUOUS_PATH ->
                        HttpReply.plain(HttpResponseStatus.BAD_REQUEST, "path can be read in two ways");
                    case BODY_TOO_LARGE ->
                        HttpReply.plain(
                                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                                "body over its route's limit, or of no said length where there is one");
                    case INTERNAL_ERROR -> HttpReply.plain(HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal fault");
                });
    }

    private void sendNotServed(FullHttpResponse response) {
        response.headers().set(RAN_HEADER, mayHaveRun ? "maybe" : "no");
        sendLocalResponse(response);
    }

    /** An answer of the node's own, unless there has been one. */
    void sendLocalResponse(FullHttpResponse response) {
        if (answered) {
            response.release();
            return;
        }
        answered = true;
        complete = true;
        connection.writeResponse(response, headOnly);
    }
}
