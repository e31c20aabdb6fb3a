package vetchpost.routes;

/**
 * A route in force.
 *
 * @param name as messages give it
 */
public record Route(String name, Limits limits) {}
