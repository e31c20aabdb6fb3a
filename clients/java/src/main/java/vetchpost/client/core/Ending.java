package vetchpost.client.core;

/**
 * How one attempt has ended.
 *
 * @param answered whether the node has answered at all, which shows that it is reachable
 * @param retryAfterMs of a refusal: the milliseconds from now after which the node accepts a retry; -1 if not given
 * @param cause a short description for logs and messages
 */
public record Ending(Kind kind, boolean answered, long retryAfterMs, String cause) {
    /** The four kinds of ending; {@link Answers} assigns them to answers. */
    public enum Kind {
        /** A complete answer to the call itself. */
        SERVED,
        /** The node has refused it: it has not run, and a retry is harmless. */
        REFUSED,
        /** It certainly has not run: there was no connection, or the node says so. */
        NEVER_RAN,
        /** It may have run, or may still run. */
        MAY_HAVE_RUN
    }

    /** Returns an ending without an answer: the connection failed or a timeout passed. */
    public static Ending silent(Kind kind, String cause) {
        return new Ending(kind, false, -1, cause);
    }
}
