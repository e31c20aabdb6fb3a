package vetchpost.simulation;

import io.netty.channel.Channel;
import vetchpost.admission.AdmissionValidator;
import vetchpost.admission.FairAdmission;
import vetchpost.core.AdmissionControl;
import vetchpost.core.NodeLifecycle;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.Settings;
import vetchpost.node.NodeHooks;
import vetchpost.simulation.net.SimLoop;
import vetchpost.simulation.world.NodeProcess;

/** Another setup's nodes with the production admission control, at its default settings, before each. */
record AdmissionControlledNodes(NodeProcess.Setup inner) implements NodeProcess.Setup {
    @Override
    public AdmissionControl admission(Settings settings, long seed) {
        return new FairAdmission(AdmissionValidator.defaults(settings), settings, seed);
    }

    @Override
    public NodeHooks hooks(SimLoop loop) {
        return inner.hooks(loop);
    }

    @Override
    public RoutePolicy routes(Settings settings, long seed) {
        return inner.routes(settings, seed);
    }

    @Override
    public int subsetSize() {
        return inner.subsetSize();
    }

    @Override
    public NodeLifecycle lifecycle(NodeProcess.Start start) {
        return inner.lifecycle(start);
    }

    @Override
    public boolean startsWithoutList(int number, int start) {
        return inner.startsWithoutList(number, start);
    }

    @Override
    public void connectionOpened(Channel channel) {
        inner.connectionOpened(channel);
    }
}
