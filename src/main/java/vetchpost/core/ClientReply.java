package vetchpost.core;

/**
 * The one answer to a client, implemented by each protocol and called by the {@link Dispatcher} on the node's event
 * loop. Of {@code served}, {@code rejected} and {@code failed} only the first call has an effect: a protocol ignores
 * later calls, and all calls after the client has disconnected.
 */
public interface ClientReply {
    /** Answers with a server's response. */
    void served(ServerResponse response);

    /**
     * Called before {@link #rejected} or {@link #failed} if an attempt may have run; if it was not called, surely none
     * has.
     */
    default void markMayHaveRun() {}

    /**
     * Answers that a retry is safe.
     *
     * @param retryAfterUs the best time for it, in microseconds from now; 0 for no advice
     */
    void rejected(long retryAfterUs);

    /**
     * Answers with a failure. Whether the request took effect is unknown if {@link #markMayHaveRun} was called; else it
     * has not.
     */
    void failed(Failure why);

    /**
     * Answers with a server's own error response, once nothing more is tried.
     *
     * @return whether the protocol passes such responses on and has now answered; if false, another answer must follow
     */
    default boolean passOnError(ServerResponse error) {
        return false;
    }

    /** A number that the requests of one client connection share with no other's; 0 if the protocol has none. */
    default long connectionId() {
        return 0;
    }

    /**
     * Whether the operating system already knows that the client has disconnected, though no event has been delivered
     * yet: a delayed event loop has not read it. Costs a system call.
     */
    default boolean hasDisconnected() {
        return false;
    }

    /** Sets an action that runs once if the client disconnects before its answer. */
    void onDisconnect(Runnable action);
}
