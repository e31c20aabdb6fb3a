package vetchpost.fastcgi;

/** A peer does not keep the protocol, or asks for more than it may; the message says how. */
public final class FcgiException extends Exception {
    private static final long serialVersionUID = 1;

    /** Without a stack: peers bring these about, as often as they please. */
    public FcgiException(String what) {
        super(what, null, false, false);
    }
}
