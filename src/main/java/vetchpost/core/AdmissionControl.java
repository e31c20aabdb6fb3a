package vetchpost.core;

/**
 * Decides which requests go on to the decision module now, which wait before it, and which are turned away
 * before anything of them was sent. A node on the platform has none: there every request goes on at once.
 *
 * <p>Times are microseconds of the node's clock. All calls come on the node's loop; {@link Applicant}s are
 * called only from within {@link #advance}, so that no call of the module runs inside another.
 */
public interface AdmissionControl {

    /** A request that stands before the door; told once of the one or the other. */
    interface Applicant {
        /** It goes on to the module. */
        void admitted();

        /** It has its final answer: nothing of it was sent. 0 for no advice of the door's own. */
        void rejected(long retryAfterUs);
    }

    /** What the door is told of a request that has arrived. */
    interface RequestProgress {
        /** The module has sent its first attempt. */
        void onFirstAttemptSent();

        /** It has its answer, or its client has left. */
        void onCompleted();
    }

    /**
     * A request has come; what becomes of it is told by the next {@link #advance}.
     *
     * @param connection a number that its client's connection keeps
     * @param waitedUs how long it may have lain unread
     * @param deadlineUs when the node must be done with it
     */
    RequestProgress arrive(
            long nowUs, ClientRequest request, long connection, long waitedUs, long deadlineUs, Applicant entrant);

    /** An attempt of this class was served in so many microseconds. */
    void recordLatency(int classIndex, long latencyUs);

    /** Lets in and turns away what is due. To be called after anything has happened. */
    void advance(long nowUs);

    /** When it wants to advance though nothing happens; the largest number for never. */
    long nextWakeUpUs();

    /** Lets in all that waits; the door is taken out of service. */
    void admitAll();
}
