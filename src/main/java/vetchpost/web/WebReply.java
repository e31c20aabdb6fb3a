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

/**
 * The response to one client request: a server's, buffered or streamed, or an error of the node's own. Only the first
 * one is sent. {@link WebConnection} creates it and reports the client's disconnect; everything runs on the channel's
 * event loop.
 */
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
     * Creates a reply that is not answered yet.
     *
     * @param headOnly whether the request was HEAD
     * @param isHttp10 whether the client speaks HTTP/1.0, which has no chunked encoding
     */
    WebReply(WebConnection connection, WebProtocolAdapter adapter, boolean headOnly, boolean isHttp10) {
        this.connection = connection;
        this.adapter = adapter;
        this.headOnly = headOnly;
        this.isHttp10 = isHttp10;
    }

    @Override
    public long connectionId() {
        return connection.connectionId();
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }

    /** Whether the response has begun. */
    boolean isAnswered() {
        return answered;
    }

    /** Called when the client has disconnected or is no longer answered. */
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

    /** Called when the client's connection can take more data. */
    void onWritable() {
        if (streaming != null && !complete) {
            streaming.bodyRemainder().resume();
        }
    }

    @Override
    public void served(ServerResponse serverResponse) {
        if (answered) {
            if (serverResponse.bodyRemainder() != null) {
                serverResponse.bodyRemainder().abandon();
            }
            return;
        }
        answered = true;
        HttpResponseStatus status = HttpResponseStatus.valueOf(serverResponse.status());
        if (serverResponse.bodyRemainder() == null) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(serverResponse.body()));
            setHeaders(response, serverResponse);
            // For HEAD and 304 a length refers to the omitted body (RFC 9110, section 8.6), so the server's value
            // stays.
            if (!headOnly && serverResponse.status() != HttpResponseStatus.NOT_MODIFIED.code()) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, serverResponse.body().length);
            }
            complete = true;
            connection.writeResponse(response, headOnly);
            return;
        }
        streaming = serverResponse;
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        setHeaders(response, serverResponse);
        boolean byClosing = false;
        if (serverResponse.bodyLength() < Long.MAX_VALUE) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, serverResponse.bodyLength());
        } else if (isHttp10) {
            byClosing = true;
        } else {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        connection.startResponse(response, byClosing);
        if (serverResponse.body().length > 0) {
            connection.writeBody(new DefaultHttpContent(Unpooled.wrappedBuffer(serverResponse.body())));
        }
        serverResponse.bodyRemainder().streamTo(this);
    }

    private void setHeaders(HttpResponse response, ServerResponse serverResponse) {
        HttpHeaders headers = response.headers();
        if (serverResponse.headers() != null) {
            serverResponse.headers().forEach(headers::add);
        }
        // Only the node itself may set this header, on requests that no server has answered.
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
            // Whole seconds (RFC 9110, section 10.2.3), rounded up so that no client retries too early.
            response.headers().set(HttpHeaderNames.RETRY_AFTER, (retryAfterUs + 999_999) / 1_000_000);
        }
        sendNotServed(response);
    }

    @Override
    public void failed(Failure failure) {
        sendNotServed(
                switch (failure) {
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

    /** Sends a response of the node's own, unless the request is answered already. */
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
