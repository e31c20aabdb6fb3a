package vetchpost.client.core;

/**
 * How a whole call has ended.
 *
 * @param mayHaveRun whether any of its attempts may have run, or may still run
 * @param comeBackMs the milliseconds from now after which to retry, by the nodes' Retry-After; -1 if none sent one
 * @param attempt of a served call: the number of the attempt that was answered, from 0; else -1
 * @param cause a short description for logs and messages
 */
public record Outcome(Kind kind, boolean mayHaveRun, long comeBackMs, int attempt, String cause) {
    /** The six ways in which a call ends. */
    public enum Kind {
        /** Answered. */
        SERVED,
        /** Refused by the nodes, or by this client's own limits; a call that is not safe has not run. */
        REFUSED,
        /** Failed, and certainly has not run. */
        NEVER_RAN,
        /** Failed, and it is unknown whether it has run. */
        MAY_HAVE_RUN,
        /** Cancelled by its caller. */
        CANCELLED,
        /** Its deadline has passed. */
        LATE
    }

    static Outcome failed(Kind kind, boolean mayHaveRun, String cause) {
        return new Outcome(kind, mayHaveRun, -1, -1, cause);
    }
}
