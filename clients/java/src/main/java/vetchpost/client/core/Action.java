package vetchpost.client.core;

/** An instruction of {@link Caller} to its client; a list of them is performed in order. */
public sealed interface Action {
    /** Returns the id of the call. */
    long call();

    /**
     * Send the request.
     *
     * @param attempt the attempt's number, 0 for the first
     * @param node the name of the node to send to
     * @param remainingMs the time that is left for an answer; sent along to the node
     * @param resent whether an earlier attempt was sent
     */
    record Send(long call, int attempt, String node, long remainingMs, boolean resent) implements Action {}

    /** Abort an attempt by closing its connection, and do not report its ending. */
    record Abandon(long call, int attempt) implements Action {}

    /** The call is over. */
    record End(long call, Outcome outcome) implements Action {}
}
