package vetchpost.core;

/** Finds the limits for a request; the one interface by which an operator's routes apply to a node. */
public interface RoutePolicy {
    /** No routes. */
    RoutePolicy NONE = request -> RouteLimits.NONE;

    /** The limits that hold for the request to its end; null if its path can be read in two ways. */
    RouteLimits limitsOf(ClientRequest request);
}
