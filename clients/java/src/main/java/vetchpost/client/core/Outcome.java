package vetchpost.client.core;

/**
 * How a whole call has ended.
 *
 * @param mayHaveRun whether some attempt of it may have run, or may yet
 * @param comeBackMs of a refusal: when to ask again, counted from now; -1 if nobody has said
 * @param attempt of a served call: the number of the attempt that was answered; else -1
 * @param cause a word or two for people
 */
public record Outcome(Kind kind, boolean mayHaveRun, long comeBackMs, int attempt, String cause) {
    /** The six endings of a call. */
    public enum Kind {
        /** Answered. */
        SERVED,
        /** Refused by the nodes, or by this caller's own limits; it has not run. */
        REFUSED,
        /** Failed, and surely has not run. */
        NEVER_RAN,
        /** Failed, and nobody here can know whether it has run. */
        MAY_HAVE_RUN,
        /** Given up by whoever made it. */
        CANCELLED,
        /** Its deadline has passed. */
        LATE
    }

    static Outcome failed(Kind kind, boolean mayHaveRun, String cause) {
        return new Outcome(kind, mayHaveRun, -1, -1, cause);
    }
}
