package vetchpost.routes;

/**
 * A validated route with its limits for one class.
 *
 * @param name of the route, or of the class whose default route it is, as used in messages
 * @param limits of its requests
 */
public record Route(String name, Limits limits) {}
