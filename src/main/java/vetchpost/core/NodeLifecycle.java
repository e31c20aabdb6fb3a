package vetchpost.core;

/**
 * What goes along with a node's life beside its requests: what it knew before, and what is kept of it. A node
 * on the platform has none. All calls come on the node's loop.
 */
public interface NodeLifecycle {
    /**
     * The node is about to begin.
     *
     * @param known the list that it is given
     * @return the list that it is to begin with
     */
    ServerList beforeStart(ServerList known, long nowUs);

    /** It has begun; it does not say that it is ready yet. */
    void afterStart(Dispatcher dispatcher, EventLoopDelay stall, Clock clock);

    /** Runs this once the companion needs no more time before requests come, which it bounds itself. */
    void runWhenPrepared(Runnable ready);

    /** Discovery has said something, if only that nothing has changed. */
    void onDiscoveryContact();

    /** Discovery has told this, and the node has taken it. */
    void onServerList(ServerList list);

    /** By what the node serves, for whoever asks whether it is ready. */
    String readinessDetail();

    /** The node stops; runs this once, soon, when the companion needs no more time. */
    void stop(Runnable done);

    /** Gives back all that it holds. */
    void close();
}
