package vetchpost.core;

import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.UnservedReason;

/** Sees what becomes of each request, for whoever asks later. It decides nothing. Times are the loop's. */
public interface RequestRecorder {
    /** What a request's client was told. */
    enum Completion {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /** Where a request was turned away before the module had it. */
    enum RejectionReason {
        /** Its route has as many as it may, or operators refuse a part of its class. */
        ROUTE_LIMIT("its route has as many as it may, or operators refuse a part of its class"),
        /** Its path can be read in two ways. */
        AMBIGUOUS_PATH("its path can be read in two ways"),
        /** Its body is longer than its route takes. */
        BODY_TOO_LARGE("its body is longer than its route takes"),
        /** One of its id is in hand. */
        DUPLICATE_ID("a request of its id is in hand");

        private final String text;

        RejectionReason(String text) {
            this.text = text;
        }

        /** In words. */
        public String text() {
            return text;
        }
    }

    /** It was turned away before the module had it. */
    void rejected(long nowUs, ClientRequest request, RejectionReason why);

    /**
     * It was taken.
     *
     * @param leftUs until its client gives up
     * @param layUs how long it may have lain unread
     */
    void accepted(long nowUs, ClientRequest request, long leftUs, long layUs);

    /** The module has it; before that it stood at the node's door. */
    void admitted(long nowUs, long id);

    /** Two servers were drawn for its next attempt; the second may be null. */
    void candidatesDrawn(long id, Candidate first, Candidate second);

    /** An attempt goes out, to be given up then. */
    void attemptSent(long nowUs, long id, String serverId, long untilUs);

    /** An attempt has ended; they are numbered from 0. */
    void attemptEnded(long nowUs, long id, int attempt, Result result, long tookUs);

    /** Why the next {@link #completed} is a refusal or failure. */
    void reasonGiven(long id, UnservedReason why);

    /** Its client has its answer, or has left. */
    void completed(long nowUs, long id, Completion what, long retryAfterUs);
}
