package vetchpost.core;

import java.net.InetSocketAddress;
import java.util.List;
import vetchpost.decision.Balancer.ServerState;

/**
 * A message of discovery: the whole list of servers, or what changed since the version before.
 *
 * @param revision the version of the list
 * @param all whether it is the whole list
 */
public record ServerList(long revision, boolean isFull, List<Target> targets) {

    /**
     * One server in it.
     *
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
