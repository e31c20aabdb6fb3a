package vetchpost.simulation.net;

/** Observes the sockets of a process, as a packet capture on its machine would. */
public interface Tap {
    /** Observes nothing. */
    Tap NONE = new Tap() {};

    /** The process has written these bytes to its send buffer. */
    default void wrote(SimulatedSocket socket, byte[] bytes) {}

    /** These bytes have reached the receive buffer; the process may not have read them yet. */
    default void received(SimulatedSocket socket, byte[] bytes) {}

    /** An end or a reset of the connection by the peer has arrived. */
    default void ended(SimulatedSocket socket, boolean reset) {}

    /** The process has closed its end. */
    default void closed(SimulatedSocket socket) {}
}
