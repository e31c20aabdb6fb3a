package vetchpost.state;

/** How a box was last known to be there. The order is that of the format, and of the words' weight. */
public enum ConfirmationSource {
    /** Discovery's list named it. */
    LIST,
    /** It served a request. */
    ANSWER,
    /** It said who it is, when asked. */
    IDENTITY
}
