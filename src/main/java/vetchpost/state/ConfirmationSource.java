package vetchpost.state;

/**
 * How a server's presence was last confirmed, from the weakest evidence to the strongest. The order is part of the
 * snapshot format.
 */
public enum ConfirmationSource {
    /** It was in discovery's list. */
    LIST,
    /** It served a request. */
    ANSWER,
    /** It reported its id when probed. */
    IDENTITY
}
