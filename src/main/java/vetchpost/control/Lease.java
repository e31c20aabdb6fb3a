package vetchpost.control;

/**
 * An active override.
 *
 * @param number identifies the lease when it is undone; ascending
 * @param change the request that was granted
 * @param grantedMs Unix time in milliseconds
 * @param endUs when it expires, in microseconds of the caller's monotonic clock
 */
public record Lease(long number, OverrideRequest change, long grantedMs, long endUs) {}
