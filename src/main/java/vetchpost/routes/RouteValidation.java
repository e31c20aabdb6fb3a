package vetchpost.routes;

import java.util.List;
import java.util.Map;

/**
 * The result of validating the routes of a file or batch.
 *
 * @param table of the valid routes; null if there is any violation
 * @param routes all routes and classes by name
 * @param fleetSubset that the node sends to; null for the whole fleet
 * @param violations every one, in the order of the file
 */
public record RouteValidation(
        RouteTable table, Map<String, Route> routes, FleetSubset fleetSubset, List<Violation> violations) {
    /**
     * The subset of the fleet that one node sends to.
     *
     * @param node number of the node, from 0
     * @param subset minimum number of servers in it
     */
    public record FleetSubset(int node, int subset) {}

    /** Whether there is no violation, so that the table may be used. */
    public boolean isValid() {
        return violations.isEmpty();
    }
}
