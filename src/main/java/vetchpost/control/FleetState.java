package vetchpost.control;

import java.util.List;

/**
 * The servers and classes of a node at one moment, as the safety check needs them.
 *
 * @param classes names of the request classes, in the settings' order
 */
public record FleetState(List<Server> servers, List<String> classes) {
    /**
     * A server of the list.
     *
     * @param zone empty if unknown
     * @param weight its relative capacity as its sources report it
     * @param draining whether it accepts no new requests for any reason other than overrides
     */
    public record Server(String id, String zone, double weight, boolean draining) {}
}
