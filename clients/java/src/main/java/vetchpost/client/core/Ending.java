package vetchpost.client.core;

/**
 * How one attempt has ended.
 *
 * @param answered whether the node has answered, whatever it said: then it is there
 * @param retryAfterMs of a refusal: when the node takes it, counted from now; -1 if it does not say
 * @param cause a word or two for people
 */
public record Ending(Kind kind, boolean answered, long retryAfterMs, String cause) {
    /** The four endings; which answer or failure is which is decided by {@link Answers}. */
    public enum Kind {
        /** A whole answer that is the call's own. */
        SERVED,
        /** The node has refused it: it has not run, and asking again is harmless. */
        REFUSED,
        /** It surely has not run: no connection, or the node says so. */
        NEVER_RAN,
        /** It may have run, or may yet. */
        MAY_HAVE_RUN
    }

    /** An ending without an answer: of the connection, or of the caller's patience. */
    public static Ending silent(Kind kind, String cause) {
        return new Ending(kind, false, -1, cause);
    }
}
