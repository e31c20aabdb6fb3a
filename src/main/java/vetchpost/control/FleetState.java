package vetchpost.control;

import java.util.List;

/**
 * What is known of a node now, for a judgement.
 *
 * @param classes names of the classes of requests
 */
public record FleetState(List<Server> servers, List<String> classes) {
    /**
     * A server of the list.
     *
     * @param zone empty if none is told
     * @param weight its size as its sources tell it
     * @param drains whether it takes nothing new, whoever said so, but for overrides
     */
    public record Server(String id, String zone, double weight, boolean draining) {}
}
