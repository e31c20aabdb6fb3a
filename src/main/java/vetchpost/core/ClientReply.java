package vetchpost.core;

/**
 * The one answer that is owed to a client. Of the first three calls only the first has an effect: a protocol
 * passes over what comes after it, and all that comes after the client has left.
 */
public interface ClientReply {
    /** A server's answer, passed on whole. */
    void served(ServerResponse answer);

    /** Told before it is refused or has failed if an attempt of it may have run; else it surely has not. */
    default void markMayHaveRun() {}

    /** Trying again is harmless, and best done after so many microseconds; 0 gives no advice. */
    void rejected(long retryAfterUs);

    /** No promise about its effect, unless {@link #markMayHaveRun} was not told. */
    void failed(Failure why);

    /**
     * A server's own word for what went wrong, once nothing more is tried. A protocol that passes such words
     * on has now answered; the others return false and are told in their own.
     */
    default boolean passOnError(ServerResponse error) {
        return false;
    }

    /** A number that all requests of a client's connection have, and no other's; 0 where there are none. */
    default long connectionId() {
        return 0;
    }

    /**
     * Whether the client has left, as far as its system already tells, though nothing may have been told of
     * it yet: a loop that was held up has not looked. Costs a system call.
     */
    default boolean hasDisconnected() {
        return false;
    }

    /** What to do, once, if the client leaves before its answer. */
    void onDisconnect(Runnable action);
}
