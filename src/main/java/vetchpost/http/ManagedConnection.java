package vetchpost.http;

import io.netty.channel.ChannelPipeline;

/** A client's connection, as the client side as a whole looks after it. */
public interface ManagedConnection {

    /** Sets up a client's connection. */
    interface ConnectionInitializer {
        /** Puts its handlers into the pipeline. */
        void open(ClientServer server, ChannelPipeline pipeline);
    }

    /** Whether closing it costs nobody an answer: nothing is held, and nothing has begun to come. */
    boolean isIdle();

    /** Since when it has been so, by the loop's ticker. */
    long idleSinceNs();

    /** Closes it if its client has kept it waiting for too long. */
    void closeIfOverdue(long nowNs);

    /** Reads what the system holds of it, without waiting for the loop. */
    void readNow();

    /** Closes it as it is, for this reason, which the request log tells. */
    void close(String why);
}
