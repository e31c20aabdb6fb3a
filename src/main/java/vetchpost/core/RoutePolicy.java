package vetchpost.core;

/** Says what holds for a request; the one seam by which an operator's routes come into a node. */
public interface RoutePolicy {
    /** No routes. */
    RoutePolicy NONE = request -> RouteLimits.NONE;

    /** What the request keeps to its end; null if its path can be read in two ways. */
    RouteLimits limitsOf(ClientRequest request);
}
