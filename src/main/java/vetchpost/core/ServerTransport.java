package vetchpost.core;

import vetchpost.decision.Balancer.Result;

/**
 * Sends attempts and probes to servers by some protocol, for the {@link Dispatcher}, on the node's event loop. It sends
 * each of them once, to the given server, and reports its result once; it never retries.
 */
public interface ServerTransport {

    /** One attempt or probe at one server. */
    interface Attempt {
        /** Whether any of it may have reached a server. */
        boolean mayHaveReachedServer();

        /**
         * Stops waiting for the response, for this reason: TIMEOUT, CANCELLED or MOOT. An attempt that was not
         * completely handed over is reported as never run; otherwise the reason is reported, unless the response turns
         * out to be there.
         */
        void abandon(Result reason);
    }

    /** Receives the result of an attempt. */
    interface AttemptListener {
        /**
         * Reports the result, once.
         *
         * @param response the server's response if the result is OK or ERROR, else null
         */
        void onEnded(Result result, ServerResponse response);
    }

    /** An attempt to be sent. */
    interface OutgoingRequest extends AttemptListener {
        /** The request to send. Asked for when it is written, which may be a while after {@link #send}. */
        ClientRequest request();

        /** How long to wait for the server from now on, in microseconds. */
        long responseTimeoutUs();

        /**
         * The response has started and is streamed as it comes. It is the final answer, whatever becomes of it; the
         * report at its end tells whether it was complete.
         *
         * @return false if nobody waits for it any more
         */
        default boolean onResponseStarted(ServerResponse response) {
            return false;
        }
    }

    /** Applies a list: new servers, moved ones, restarted ones and those that have gone. */
    void update(ServerList list);

    /** Starts an attempt; its result may be reported before this returns. */
    Attempt send(String serverId, OutgoingRequest request);

    /** Asks a server for its health; the result is OK or any other that an attempt may have. */
    Attempt probe(String serverId, AttemptListener listener);

    /** Closes idle connections, and the others as soon as they are idle. */
    void close();
}
