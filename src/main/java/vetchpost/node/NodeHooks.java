package vetchpost.node;

import vetchpost.core.ClientReply;
import vetchpost.core.ClientRequest;
import vetchpost.core.ServerTransport;
import vetchpost.decision.Balancer;
import vetchpost.decision.Balancer.Actions;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServiceQBalancer;

/** Where a test can come between the parts of a node. In service nothing does. */
public interface NodeHooks {
    /** Nothing comes between. */
    NodeHooks NONE = new NodeHooks() {};

    /** The decision module. */
    default Balancer createBalancer(Settings settings, long seed, Actions actions) {
        return new ServiceQBalancer(settings, seed, actions);
    }

    /** The way to servers. */
    default ServerTransport wrapTransport(ServerTransport real) {
        return real;
    }

    /** A request as the core takes it. */
    default ClientRequest wrapRequest(ClientRequest real) {
        return real;
    }

    /** A client's reply. */
    default ClientReply wrapReply(ClientReply real) {
        return real;
    }
}
