package vetchpost.core;

/** Receives a streamed body from a {@link BodySource}. All calls come on the node's event loop. */
public interface BodySink {
    /**
     * Accepts the next bytes.
     *
     * @return false if no more should be written until {@link BodySource#resume} is called; bytes written all the same
     *     are accepted, and are limited by what the source had read already
     */
    boolean write(byte[] bytes);

    /** The body is complete. */
    void complete();

    /** The body has broken off; what has come so far must not be treated as complete. */
    void abort();
}
