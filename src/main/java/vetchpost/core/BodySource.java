package vetchpost.core;

/**
 * The rest of a body that is too long to be held, from the first byte on that is not. It can be read once: a
 * request whose rest has been begun can't be sent a second time. All calls come on the node's loop.
 */
public interface BodySource {
    /** Has the rest go there; once. What is there already may come before this returns. */
    void streamTo(BodySink sink);

    /** The sink can take more, after it had said no. */
    void resume();

    /** Nobody wants what is left of it. */
    void abandon();
}
