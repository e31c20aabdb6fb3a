package vetchpost.sources;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A server as one source reports it.
 *
 * @param id its id at that source; empty if the source only gives addresses
 * @param addresses all its addresses, the preferred one first; at least one
 * @param state the reported state
 * @param weight its capacity relative to other servers; above 0
 * @param zone empty if unknown
 */
public record ReportedServer(String id, List<InetSocketAddress> addresses, State state, double weight, String zone) {

    /** The state that a source reports for a server. The constants are read from files by name. */
    public enum State {
        /** It accepts requests. */
        READY,
        /** It accepts no new requests. */
        DRAINING,
        /** It has left, whatever other sources say. */
        GONE
    }

    /** A ready server of weight 1. */
    public static ReportedServer of(InetSocketAddress address) {
        return new ReportedServer("", List.of(address), State.READY, 1, "");
    }

    /** Formats an address as {@code host:port}, an IPv6 host in brackets. */
    public static String formatAddress(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
