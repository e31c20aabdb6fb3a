package vetchpost.fastcgi;

/** A peer violates the protocol or exceeds a limit; the message says how. */
public final class FcgiException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception without a stack trace, because peers can cause these at any rate. */
    public FcgiException(String message) {
        super(message, null, false, false);
    }
}
