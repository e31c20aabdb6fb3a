package vetchpost.core;

import vetchpost.decision.Balancer.Result;

/**
 * Observes how attempts end, beside the decision module: what they show of a server is evidence for other parts too.
 * Called by the {@link Dispatcher} on the node's event loop.
 */
public interface AttemptObserver {
    /**
     * An attempt has ended.
     *
     * @param response the server's response, or null
     * @param isLoopDelayed whether the event-loop delay makes up more than half of the attempt's time, so that a
     *     timeout says nothing of the server
     * @param nowUs the node's time in microseconds
     */
    void onAttemptEnded(String serverId, Result result, ServerResponse response, boolean isLoopDelayed, long nowUs);
}
