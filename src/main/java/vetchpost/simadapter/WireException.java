package vetchpost.simadapter;

/** Malformed input. The message is one line for the operator that names the line and field. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1;

    WireException(String message) {
        super(message);
    }
}
