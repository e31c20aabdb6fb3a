package vetchpost.simulation.net;

/** Sees what passes at a process's sockets, as a capture on its machine would. */
public interface Tap {
    /** Taps nothing. */
    Tap NONE = new Tap() {};

    /** The process's system has taken these bytes to send. */
    default void wrote(SimulatedSocket end, byte[] bytes) {}

    /** These bytes have come to the process's system; the process may not have read them yet. */
    default void received(SimulatedSocket end, byte[] bytes) {}

    /** The other side has ended or reset the connection, as far as this system knows. */
    default void ended(SimulatedSocket end, boolean reset) {}

    /** The process has closed its end. */
    default void closed(SimulatedSocket end) {}
}
