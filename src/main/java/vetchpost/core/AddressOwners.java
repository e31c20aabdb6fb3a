package vetchpost.core;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchpost.decision.Balancer.ServerState;

/**
 * Tracks which server owns which address, for {@link ServerListQueue}. Two servers can't share an address: where a list
 * names a new server at the address of one that was not reported gone, the former one is taken for gone. If it stayed,
 * it would get a warm server's share, and all of that would be sent to its successor, which is cold (the simulation's
 * seed 3722 shows this). Used on the node's event loop only.
 */
final class AddressOwners {
    private final Map<InetSocketAddress, ServerList.Target> ownersByAddress = new HashMap<>();
    private final Map<String, InetSocketAddress> addressesById = new HashMap<>();

    /** Returns the list with each server that has lost its address added, or replaced, as gone. */
    ServerList resolveConflicts(ServerList list) {
        if (list.isFull()) {
            ownersByAddress.clear();
            addressesById.clear();
        }
        List<ServerList.Target> resolved = new ArrayList<>(list.targets().size());
        for (ServerList.Target target : list.targets()) {
            releaseAddress(target.id());
            ServerList.Target owner = ownersByAddress.get(target.address());
            if (target.state() == ServerState.GONE) {
                resolved.add(target);
            } else if (owner != null && owner.bootMs() > target.bootMs()) {
                resolved.add(asGone(target));
            } else {
                resolved.add(target);
                if (owner != null) {
                    releaseAddress(owner.id());
                    resolved.add(asGone(owner));
                }
                ownersByAddress.put(target.address(), target);
                addressesById.put(target.id(), target.address());
            }
        }
        return new ServerList(list.revision(), list.isFull(), resolved);
    }

    private void releaseAddress(String id) {
        InetSocketAddress address = addressesById.remove(id);
        if (address != null) {
            ownersByAddress.remove(address);
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
