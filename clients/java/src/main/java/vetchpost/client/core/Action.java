package vetchpost.client.core;

/** What is to be done, in the order given. */
public sealed interface Action {
    /** The call that it is about. */
    long call();

    /**
     * Send the request.
     *
     * @param attempt 0 for the first
     * @param remainingMs to be answered within; handed on to the node
     * @param resent whether an earlier attempt has been sent
     */
    record Send(long call, int attempt, String node, long remainingMs, boolean resent) implements Action {}

    /** Give up an attempt, by ending its connection; its ending is not to be told. */
    record Abandon(long call, int attempt) implements Action {}

    /** The call is over. */
    record End(long call, Outcome outcome) implements Action {}
}
