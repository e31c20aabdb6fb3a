package vetchpost.http;

import io.netty.channel.ChannelPipeline;

/** A client connection as seen by {@link ClientServer}, which closes idle and overdue ones on its event loop. */
public interface ManagedConnection {

    /** Sets up the client connections of a protocol. */
    interface ConnectionInitializer {
        /** Adds the handlers of a new connection to its pipeline. */
        void open(ClientServer server, ChannelPipeline pipeline);
    }

    /** Whether it can be closed without losing a request: none is pending or partly received. */
    boolean isIdle();

    /** When it became idle, in nanoseconds by the loop's ticker. */
    long idleSinceNs();

    /**
     * Closes it if its client has exceeded a time limit.
     *
     * @param nowNs the current time in nanoseconds by the loop's ticker
     */
    void closeIfOverdue(long nowNs);

    /** Reads the input that the system already holds, without waiting for the event loop. */
    void readNow();

    /** Closes it at once; the reason is written to the request log. */
    void close(String reason);
}
