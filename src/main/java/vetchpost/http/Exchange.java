package vetchpost.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpObject;
import vetchpost.core.ServerResponse;
import vetchpost.core.ServerTransport.OutgoingRequest;
import vetchpost.decision.Balancer.Result;

/**
 * One request and its answer on a connection to a server: how they are written and read, and what an answer
 * comes to. The pool opens, keeps and closes connections; nothing here sends again.
 */
public interface Exchange {

    /** Makes the exchange of an attempt, once there is a connection for it. */
    interface Factory {
        /** Of this attempt. */
        Exchange create(OutgoingRequest sending);
    }

    /** What has come can't be the answer to anything. */
    final class MalformedResponse extends Exception {
        private static final long serialVersionUID = 1;

        /** Without a trace: servers can bring it about at will. */
        public MalformedResponse() {
            super("spoilt answer", null, false, false);
        }
    }

    /**
     * Writes the request. The future tells whether the system has taken the last byte of it, or, where the
     * rest of a body follows bit by bit, of what is held.
     */
    ChannelFuture write(Channel channel);

    /** Whether its answer has no body, whatever the answer's length says. */
    boolean isBodyless();

    /** Takes in the next part of the answer; whether it is now whole. */
    boolean read(HttpObject part) throws MalformedResponse;

    /** Whether all of the answer has come. */
    boolean isComplete();

    /** Whether the connection can carry another request. */
    boolean isReusable();

    /** What the whole answer comes to. */
    Result result();

    /** The whole answer. */
    ServerResponse response();

    /** It ends before its answer is whole. */
    void abort();
}
