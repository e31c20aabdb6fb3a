package vetchpost.core;

/** Where a body goes that is passed on bit by bit. All calls come on the node's loop. */
public interface BodySink {
    /**
     * Takes the next bytes.
     *
     * @return false if no more should come until {@link BodySource#resume} is called; what comes all the same
     *     is taken, and bounded by what its source had read already
     */
    boolean write(byte[] bytes);

    /** That was all of it. */
    void complete();

    /** It has broken off: what has come so far must not be taken for the whole. */
    void abort();
}
