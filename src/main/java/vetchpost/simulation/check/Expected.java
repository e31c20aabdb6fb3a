package vetchpost.simulation.check;

/**
 * A request as the simulated client means it, for the checker to judge by.
 *
 * @param id its X-Txn
 * @param dueNs when the client stops waiting
 * @param again what a repeat of its class may do
 * @param workNs what it takes of a warm server
 */
public record Expected(String id, Again again, long dueNs, long workNs) {

    /** Whether a request may run again. */
    public enum Again {
        SAFE,
        KEYED,
        UNSAFE
    }
}
