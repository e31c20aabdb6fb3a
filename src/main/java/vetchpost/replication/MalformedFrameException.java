package vetchpost.replication;

/**
 * Bytes that are no frame, or a frame that its sender should not have sent; the message is a line for an
 * operator.
 */
public final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /** For this reason. */
    public MalformedFrameException(String why) {
        super(why);
    }
}
