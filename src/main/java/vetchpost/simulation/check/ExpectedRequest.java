package vetchpost.simulation.check;

/**
 * A request that a simulated client sends, as the {@link Checker} needs it.
 *
 * @param id value of its X-Txn field
 * @param retryPolicy whether its class may run again
 * @param deadlineNs simulated time at which the client stops waiting, in nanoseconds
 * @param workNs mean processing time on a warm server, in nanoseconds
 */
public record ExpectedRequest(String id, RetryPolicy retryPolicy, long deadlineNs, long workNs) {

    /** Whether a request may run again: anywhere, under its key within one rack, or not at all. */
    public enum RetryPolicy {
        SAFE,
        KEYED,
        UNSAFE
    }
}
