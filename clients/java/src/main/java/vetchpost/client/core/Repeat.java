package vetchpost.client.core;

/** What may be sent again, by what a second effect would cost. */
public enum Repeat {
    /** Has no effect: may be repeated after any failure, and sent to two nodes at once. */
    SAFE,
    /** Servers drop repeats of one key for a window of time: may be repeated within it. */
    KEYED,
    /** Is never sent again once it may have run. */
    UNSAFE
}
