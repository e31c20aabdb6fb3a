package vetchpost.control;

/**
 * An override that holds.
 *
 * @param number by which it is undone; grows
 * @param grantedMs Unix time
 * @param endUs when it ends by itself, by the clock of the calls
 */
public record Lease(long number, OverrideRequest change, long grantedMs, long endUs) {}
