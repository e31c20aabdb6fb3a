package vetchpost.state;

/**
 * How a server's presence was last confirmed, ordered by the weight of the evidence. The order is part of the snapshot
 * format.
 */
public enum ConfirmationSource {
    /** It was in discovery's list. */
    LIST,
    /** It served a request. */
    ANSWER,
    /** It reported its id when probed. */
    IDENTITY
}
