package vetchpost.core;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchpost.decision.Balancer.ServerState;

/**
 * Who lives at which address. Two servers can't share one: where the list names a new one at the address of
 * another that it has not taken back yet, the other has gone. Left in, it would get a warm server's share,
 * and its successor, which is cold, would be sent all of it (found by the simulation, seed 3722).
 */
final class AddressOwners {
    private final Map<InetSocketAddress, ServerList.Target> ownersByAddress = new HashMap<>();
    private final Map<String, InetSocketAddress> addressesById = new HashMap<>();

    /** The list with what it implies: whoever has lost its address is in it as gone. */
    ServerList resolveConflicts(ServerList list) {
        if (list.isFull()) {
            ownersByAddress.clear();
            addressesById.clear();
        }
        List<ServerList.Target> settled = new ArrayList<>(list.targets().size());
        for (ServerList.Target target : list.targets()) {
            releaseAddress(target.id());
            ServerList.Target holder = ownersByAddress.get(target.address());
            if (target.state() == ServerState.GONE) {
                settled.add(target);
            } else if (holder != null && holder.bootMs() > target.bootMs()) {
                settled.add(asGone(target));
            } else {
                settled.add(target);
                if (holder != null) {
                    releaseAddress(holder.id());
                    settled.add(asGone(holder));
                }
                ownersByAddress.put(target.address(), target);
                addressesById.put(target.id(), target.address());
            }
        }
        return new ServerList(list.revision(), list.isFull(), settled);
    }

    private void releaseAddress(String id) {
        InetSocketAddress home = addressesById.remove(id);
        if (home != null) {
            ownersByAddress.remove(home);
        }
    }

    private static ServerList.Target asGone(ServerList.Target target) {
        return new ServerList.Target(
                target.id(),
                target.address(),
                target.zone(),
                target.cell(),
                ServerState.GONE,
                target.weight(),
                target.bootMs());
    }
}
