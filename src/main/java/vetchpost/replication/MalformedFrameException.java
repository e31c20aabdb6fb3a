package vetchpost.replication;

/** Bytes that are not a frame, or a frame that violates the protocol; the message is one line for an operator. */
public final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with a reason. */
    public MalformedFrameException(String reason) {
        super(reason);
    }
}
