package vetchpost.simulation.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import vetchpost.simulation.net.SimulatedSocket;

/** All nodes' machines of a run. Passes each the list entries that discovery has sent to it. */
public final class Nodes implements SimulatedDiscovery.ListListener {
    private final List<NodeProcess> nodes = new ArrayList<>();

    public void add(NodeProcess node) {
        nodes.add(node);
    }

    public NodeProcess get(int number) {
        return nodes.get(number % nodes.size());
    }

    public List<NodeProcess> all() {
        return nodes;
    }

    @Override
    public void serverListed(SimulatedSocket socket, String id, String state, long startedNs, String line) {
        for (NodeProcess node : nodes) {
            if (node.isPeerOf(socket)) {
                node.serverListed(id, state, startedNs, line);
            }
        }
    }

    @Override
    public void fullListReceived(SimulatedSocket socket, Set<String> named) {
        for (NodeProcess node : nodes) {
            if (node.isPeerOf(socket)) {
                node.fullListReceived(named);
            }
        }
    }
}
