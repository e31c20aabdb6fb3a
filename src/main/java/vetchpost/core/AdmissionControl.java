package vetchpost.core;

/**
 * Decides which requests go on to the decision module now, which wait before it, and which are rejected before any
 * attempt of them was sent. The {@link Dispatcher} calls it. A node on the platform has none: there every request goes
 * on at once.
 *
 * <p>Times are microseconds of the node's clock. All calls come on the node's event loop; {@link Applicant}s are called
 * only from within {@link #advance}, so that no call of the decision module runs inside another.
 */
public interface AdmissionControl {

    /** A request that waits for admission. Exactly one of its methods is called, once. */
    interface Applicant {
        /** The request goes on to the decision module. */
        void admitted();

        /**
         * The request is rejected; no attempt of it was sent.
         *
         * @param retryAfterUs in how many microseconds a retry would be admitted; 0 if admission control reserves no
         *     time
         */
        void rejected(long retryAfterUs);
    }

    /** Receives the progress of a request that has arrived. */
    interface RequestProgress {
        /** The first attempt of the request was sent. */
        void onFirstAttemptSent();

        /** The request has its answer, or its client has disconnected. */
        void onCompleted();
    }

    /**
     * A request has arrived; its applicant hears of the decision from the next {@link #advance} on.
     *
     * @param nowUs the current time
     * @param connection a number that stays the same for its client's connection
     * @param waitedUs how long the request may have waited unread, in microseconds
     * @param deadlineUs the time by which the node must have answered
     * @param applicant is told whether the request is admitted
     * @return receives the request's progress
     */
    RequestProgress arrive(
            long nowUs, ClientRequest request, long connection, long waitedUs, long deadlineUs, Applicant applicant);

    /** Records that an attempt of this class succeeded, with its latency in microseconds. */
    void recordLatency(int classIndex, long latencyUs);

    /** Admits and rejects what is due. To be called after anything has happened. */
    void advance(long nowUs);

    /** When {@link #advance} is due though nothing happens; {@link Long#MAX_VALUE} for never. */
    long nextWakeUpUs();

    /** Admits all waiting requests, since admission control is being switched off. */
    void admitAll();
}
