package vetchpost.core;

import vetchpost.decision.Balancer.Result;

/**
 * The way to servers by some protocol. It sends where it is told, once, and reports how that ended, once;
 * nothing in it sends again.
 */
public interface ServerTransport {

    /** One request on its way to one server. */
    interface Attempt {
        /** Whether anything of it may have reached a server. */
        boolean mayHaveReachedServer();

        /**
         * Stops waiting, for this reason: TIMEOUT, CANCELLED or MOOT. What had not been handed over whole
         * is reported as never run, the rest as the caller says, unless its answer turns out to be there.
         */
        void abandon(Result reason);
    }

    /** Where an attempt is reported. */
    interface AttemptListener {
        /** The one report; the answer is there when the result is OK or ERROR, else null. */
        void onEnded(Result result, ServerResponse answer);
    }

    /** A request to be sent. */
    interface OutgoingRequest extends AttemptListener {
        /** Asked for when it goes out, which may be a while after it was started. */
        ClientRequest request();

        /** How long the server is waited for from now on, in microseconds. */
        long responseTimeoutUs();

        /**
         * The answer has begun and is passed on as it comes: it is the final one, whatever becomes of it. The
         * report, once it has ended, tells whether it was whole.
         *
         * @return false if nobody waits for it any more
         */
        default boolean onResponseStarted(ServerResponse answer) {
            return false;
        }
    }

    /** Takes in the list: new servers, moved ones, restarted ones and those that are gone. */
    void update(ServerList list);

    /** Starts an attempt; it may be reported before this returns. */
    Attempt send(String serverId, OutgoingRequest sending);

    /** Asks a server for its health: OK, or whatever an attempt may end as. */
    Attempt probe(String serverId, AttemptListener report);

    /** Closes what is idle and keeps nothing that is not. */
    void close();
}
