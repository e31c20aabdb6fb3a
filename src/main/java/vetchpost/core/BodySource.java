package vetchpost.core;

/**
 * The part of a body that is too long to be buffered, from the first byte that is not. It can be read once: a request
 * whose remainder has been started can't be sent a second time. All calls come on the node's event loop.
 */
public interface BodySource {
    /**
     * Streams the remainder to this sink; to be called once. Bytes that are already there may be written before this
     * returns.
     */
    void streamTo(BodySink sink);

    /** The sink accepts more again, after a {@code write} that returned false. */
    void resume();

    /** The remainder is no longer needed. */
    void abandon();
}
