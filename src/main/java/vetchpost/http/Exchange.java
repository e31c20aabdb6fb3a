package vetchpost.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpObject;
import vetchpost.core.ServerResponse;
import vetchpost.core.ServerTransport.OutgoingRequest;
import vetchpost.decision.Balancer.Result;

/**
 * One request and its response on a connection to a server: how they are written and read, and which result the
 * response means. {@link ServerPool} calls it on the connection's event loop and manages the connection; nothing here
 * retries.
 */
public interface Exchange {

    /** Creates exchanges for a protocol. */
    interface Factory {
        /** Creates the exchange of an attempt, once there is a connection for it. */
        Exchange create(OutgoingRequest request);
    }

    /** The received data is not a valid response. */
    final class MalformedResponse extends Exception {
        private static final long serialVersionUID = 1;

        /** Without a stack trace, since servers can cause it at any rate. */
        public MalformedResponse() {
            super("malformed response", null, false, false);
        }
    }

    /**
     * Writes the request. The future succeeds once the system has accepted its last byte, or, for a streamed body, the
     * last byte received so far.
     */
    ChannelFuture write(Channel channel);

    /** Whether the response has no body, whatever its Content-Length says, as for HEAD. */
    boolean isBodyless();

    /**
     * Reads the next part of the response.
     *
     * @return whether the response is now complete
     * @throws MalformedResponse if the data is not a valid response
     */
    boolean read(HttpObject part) throws MalformedResponse;

    /** Whether the response is complete. */
    boolean isComplete();

    /** Whether the connection can carry another request. */
    boolean isReusable();

    /** The result that the complete response means. */
    Result result();

    /** The complete response. */
    ServerResponse response();

    /** Ends the exchange before the response is complete. */
    void abort();
}
