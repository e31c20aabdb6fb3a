package vetchpost.state.codec;

/** Bytes that are no snapshot, or none that this version knows; the message is one line for an operator. */
public final class MalformedSnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedSnapshotException(String message) {
        super(message);
    }
}
