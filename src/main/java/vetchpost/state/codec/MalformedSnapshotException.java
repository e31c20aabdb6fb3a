package vetchpost.state.codec;

/** Bytes that are not a snapshot, or one of an unknown version; the message is one line for an operator. */
public final class MalformedSnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedSnapshotException(String message) {
        super(message);
    }
}
