package vetchpost.simulation.check;

/**
 * A request as the simulated client means it, for the checker to judge by.
 *
 * @param id its X-Txn
 * @param dueNs when the client stops waiting
 * @param again what a repeat of its class may do
 * @param workNs what it takes of a warm server
 */
public record ExpectedRequest(String id, RetryPolicy retryPolicy, long deadlineNs, long workNs) {

    /** Whether a request may run again. */
    public enum RetryPolicy {
        SAFE,
        KEYED,
        UNSAFE
    }
}
