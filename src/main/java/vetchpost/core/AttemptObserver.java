package vetchpost.core;

import vetchpost.decision.Balancer.Result;

/** Sees how attempts end, beside the module: what they tell of a server is evidence for others too. */
public interface AttemptObserver {
    /**
     * An attempt has ended.
     *
     * @param answer what the server said, or null
     * @param stalled whether the node was behind for so long that its time-outs say nothing
     */
    void onAttemptEnded(String serverId, Result result, ServerResponse answer, boolean stalled, long nowUs);
}
