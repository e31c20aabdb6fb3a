package vetchpost.simadapter;

/** The input is not what the wire allows; the message is one plain line for the operator. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
