package vetchpost.routes;

import java.util.List;
import java.util.Map;

/**
 * What a file comes to.
 *
 * @param table the routes in force; null if there is any violation
 * @param routes all of them, by name
 * @param part of the fleet that a node is to keep to; null for all of it
 * @param violations every one, in the order of the file
 */
public record RouteValidation(
        RouteTable table, Map<String, Route> routes, FleetSubset fleetSubset, List<Violation> violations) {
    /**
     * The part of a fleet that one node sends to.
     *
     * @param node its number, from 0
     * @param subset how many servers it has at least
     */
    public record FleetSubset(int node, int subset) {}

    /** Whether the file may be used. */
    public boolean isValid() {
        return violations.isEmpty();
    }
}
