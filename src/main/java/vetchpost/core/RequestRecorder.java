package vetchpost.core;

import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.UnservedReason;

/**
 * Records the course of each request, for later queries by operators. It decides nothing. Called by the {@link
 * Dispatcher} on the node's event loop; times are the node's, in microseconds.
 */
public interface RequestRecorder {
    /** How a request ended for its client. */
    enum Completion {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /** Why a request was rejected before the decision module had it. */
    enum RejectionReason {
        /** The route's limit of concurrent requests is reached, or operators shed a fraction of the request's class. */
        ROUTE_LIMIT("its route's limit of concurrent requests is reached, or operators shed a fraction of its class"),
        /** The path can be read in two ways. */
        AMBIGUOUS_PATH("its path can be read in two ways"),
        /** The body is longer than the route allows. */
        BODY_TOO_LARGE("its body is longer than its route allows"),
        /** A request with the same id is pending. */
        DUPLICATE_ID("a request with the same id is pending");

        private final String text;

        RejectionReason(String text) {
            this.text = text;
        }

        /** The reason as operators see it. */
        public String text() {
            return text;
        }
    }

    /** The request was rejected before the decision module had it. */
    void rejected(long nowUs, ClientRequest request, RejectionReason reason);

    /**
     * The request was accepted.
     *
     * @param remainingUs until its client gives up, in microseconds
     * @param waitedUs how long it may have waited unread, in microseconds
     */
    void accepted(long nowUs, ClientRequest request, long remainingUs, long waitedUs);

    /** The request was handed to the decision module; before that it waited for admission. */
    void admitted(long nowUs, long id);

    /** Two candidate servers were drawn for the next attempt; the second may be null. */
    void candidatesDrawn(long id, Candidate first, Candidate second);

    /** An attempt is sent, to be abandoned at {@code timeoutAtUs}. */
    void attemptSent(long nowUs, long id, String serverId, long timeoutAtUs);

    /** An attempt has ended; attempts are numbered from 0. */
    void attemptEnded(long nowUs, long id, int attempt, Result result, long latencyUs);

    /** Why the request will be rejected or failed by the next {@link #completed}. */
    void reasonGiven(long id, UnservedReason reason);

    /** The client has its answer, or has disconnected. */
    void completed(long nowUs, long id, Completion completion, long retryAfterUs);
}
