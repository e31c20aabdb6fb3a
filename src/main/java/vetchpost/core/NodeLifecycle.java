package vetchpost.core;

/**
 * Accompanies a node from start to stop, beside its requests: restores what it knew before and saves it. A node on the
 * platform has none. All calls come on the node's event loop.
 */
public interface NodeLifecycle {
    /**
     * The node is about to start.
     *
     * @param known the server list that it is given
     * @param nowUs the node's time in microseconds
     * @return the server list that it is to start with
     */
    ServerList beforeStart(ServerList known, long nowUs);

    /** The node has started; it does not report itself ready yet. */
    void afterStart(Dispatcher dispatcher, EventLoopDelay loopDelay, Clock clock);

    /**
     * Runs this once no more preparation time is needed before requests arrive; the implementation bounds that time
     * itself.
     */
    void runWhenPrepared(Runnable ready);

    /** Discovery has sent a message, if only that nothing has changed. */
    void onDiscoveryContact();

    /** Discovery has sent this list, and the node has applied it. */
    void onServerList(ServerList list);

    /** On what state the node serves, for the readiness report. */
    String readinessDetail();

    /** The node stops; runs this once, soon, when the implementation needs no more time. */
    void stop(Runnable done);

    /** Releases all resources. */
    void close();
}
