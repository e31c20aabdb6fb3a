package vetchpost.core;

import java.net.InetSocketAddress;
import java.util.List;
import vetchpost.decision.Balancer.ServerState;

/**
 * A message of discovery: the full list of servers, or the changes since the revision before.
 *
 * @param revision the revision of the list
 * @param isFull whether it is the full list
 * @param targets the servers, or those that changed
 */
public record ServerList(long revision, boolean isFull, List<Target> targets) {

    /**
     * One server of a list.
     *
     * @param weight the server's weight relative to others
     * @param bootMs when it last started, Unix time in milliseconds; 0 for long ago
     */
    public record Target(
            String id,
            InetSocketAddress address,
            String zone,
            int cell,
            ServerState state,
            double weight,
            long bootMs) {}
}
