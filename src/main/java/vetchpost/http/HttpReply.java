package vetchpost.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import vetchpost.core.ClientReply;
import vetchpost.core.Failure;
import vetchpost.core.ServerResponse;

/** The one answer to a request of a client's connection. */
public final class HttpReply implements ClientReply {
    private final ClientConnection connection;
    private final boolean keepAlive;
    private Runnable disconnectAction = () -> {};
    private boolean answered;

    HttpReply(ClientConnection connection, boolean keepAlive) {
        this.connection = connection;
        this.keepAlive = keepAlive;
    }

    @Override
    public long connectionId() {
        return connection.connectionId();
    }

    @Override
    public boolean hasDisconnected() {
        return !connection.isClientConnected();
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }

    /** The client has left. */
    void onClientDisconnected() {
        answered = true;
        disconnectAction.run();
    }

    @Override
    public void served(ServerResponse answer) {
        FullHttpResponse response = response(HttpResponseStatus.OK, answer.body());
        if (answer.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
        send(response);
    }

    @Override
    public void rejected(long retryAfterUs) {
        send(serviceUnavailable("refused, try again", retryAfterUs));
    }

    /** A refusal, with the time to come back; 0 gives none. */
    public static FullHttpResponse serviceUnavailable(String reason, long retryAfterUs) {
        FullHttpResponse response = plain(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
        if (retryAfterUs > 0) {
            String seconds = retryAfterUs % 1_000_000 == 0
                    ? Long.toString(retryAfterUs / 1_000_000)
                    : Double.toString(Math.ceil(retryAfterUs / 1e3) / 1e3);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }

    @Override
    public void failed(Failure why) {
        send(
                switch (why) {
                    case DUPLICATE_ID -> plain(HttpResponseStatus.CONFLICT, "a request of this id is in hand");
                    case UNSERVED -> plain(HttpResponseStatus.BAD_GATEWAY, "failed");
                    case DEADLINE_EXCEEDED -> plain(HttpResponseStatus.GATEWAY_TIMEOUT, "out of time");
                    case AMBIGUOUS_PATH -> plain(HttpResponseStatus.BAD_REQUEST, "path can be read in two ways");
                    case BODY_TOO_LARGE ->
                        plain(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body over its route's limit");
                    case INTERNAL_ERROR -> plain(HttpResponseStatus.INTERNAL_SERVER_ERROR, "internal fault");
                });
    }

    private void send(FullHttpResponse response) {
        if (answered) {
            response.release();
            return;
        }
        answered = true;
        connection.sendResponse(response, keepAlive);
    }

    /** A short answer of the node's own. */
    public static FullHttpResponse plain(HttpResponseStatus status, String reason) {
        FullHttpResponse response = response(status, (reason + "\n").getBytes(StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        return response;
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }
}
