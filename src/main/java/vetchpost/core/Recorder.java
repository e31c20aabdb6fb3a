package vetchpost.core;

import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.Why;

/** Sees what becomes of each request, for whoever asks later. It decides nothing. Times are the loop's. */
public interface Recorder {
    /** What a request's client was told. */
    enum Told {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /** Where a request was turned away before the module had it. */
    enum Door {
        /** Its route has as many as it may, or operators refuse a part of its class. */
        ROUTE("its route has as many as it may, or operators refuse a part of its class"),
        /** Its path can be read in two ways. */
        PATH("its path can be read in two ways"),
        /** Its body is longer than its route takes. */
        LENGTH("its body is longer than its route takes"),
        /** One of its id is in hand. */
        DUPLICATE("a request of its id is in hand");

        private final String text;

        Door(String text) {
            this.text = text;
        }

        /** In words. */
        public String text() {
            return text;
        }
    }

    /** It was turned away before the module had it. */
    void turnedAway(long nowUs, ClientRequest request, Door why);

    /**
     * It was taken.
     *
     * @param leftUs until its client gives up
     * @param layUs how long it may have lain unread
     */
    void taken(long nowUs, ClientRequest request, long leftUs, long layUs);

    /** The module has it; before that it stood at the node's door. */
    void offered(long nowUs, long id);

    /** Two servers were drawn for its next attempt; the second may be null. */
    void drew(long id, Candidate first, Candidate second);

    /** An attempt goes out, to be given up then. */
    void sent(long nowUs, long id, String serverId, long untilUs);

    /** An attempt has ended; they are numbered from 0. */
    void ended(long nowUs, long id, int attempt, Result result, long tookUs);

    /** Why the next {@link #told} is a refusal or failure. */
    void because(long id, Why why);

    /** Its client has its answer, or has left. */
    void told(long nowUs, long id, Told what, long retryAfterUs);
}
