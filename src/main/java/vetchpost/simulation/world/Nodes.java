package vetchpost.simulation.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import vetchpost.simulation.net.SimulatedSocket;

/** All nodes' machines; passes on to each what discovery has told it. */
public final class Nodes implements SimulatedDiscovery.ListListener {
    private final List<NodeProcess> machines = new ArrayList<>();

    public void add(NodeProcess machine) {
        machines.add(machine);
    }

    public NodeProcess get(int number) {
        return machines.get(number % machines.size());
    }

    public List<NodeProcess> all() {
        return machines;
    }

    @Override
    public void serverListed(SimulatedSocket end, String id, String state, long startedNs, String line) {
        for (NodeProcess machine : machines) {
            if (machine.isPeerOf(end)) {
                machine.serverListed(id, state, startedNs, line);
            }
        }
    }

    @Override
    public void fullListReceived(SimulatedSocket end, Set<String> named) {
        for (NodeProcess machine : machines) {
            if (machine.isPeerOf(end)) {
                machine.fullListReceived(named);
            }
        }
    }
}
