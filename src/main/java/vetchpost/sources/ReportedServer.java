package vetchpost.sources;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A server as one source names it.
 *
 * @param id its name there; empty if the source has only addresses
 * @param addresses all that lead to it, the preferred first; at least one
 * @param word what is said of it
 * @param weight its size, compared with other servers' only
 * @param zone where it stands; empty if that is not said
 */
public record ReportedServer(String id, List<InetSocketAddress> addresses, State state, double weight, String zone) {

    /** What a source may say of a server. */
    public enum State {
        /** It takes requests. */
        READY,
        /** It takes no new ones. */
        DRAINING,
        /** It is not there any more, whatever others say. */
        GONE
    }

    /** Ready, of usual size. */
    public static ReportedServer of(InetSocketAddress address) {
        return new ReportedServer("", List.of(address), State.READY, 1, "");
    }

    /** An address as it is written. */
    public static String formatAddress(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
