package vetchpost.client.core;

/** Whether a call may be sent again, by what a second execution would do. */
public enum Repeat {
    /** Has no side effect: may be retried after any failure, and sent to two nodes at once. */
    SAFE,
    /** Servers drop repeats of one key for a window of time: may be retried within it. */
    KEYED,
    /** Must not be sent again once it may have run. */
    UNSAFE
}
