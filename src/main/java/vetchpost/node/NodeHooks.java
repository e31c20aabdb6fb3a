package vetchpost.node;

import vetchpost.core.ClientReply;
import vetchpost.core.ClientRequest;
import vetchpost.core.ServerTransport;
import vetchpost.decision.Balancer;
import vetchpost.decision.Balancer.Actions;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.ServiceQBalancer;

/** Lets tests intercept the parts of a node; in production {@link #NONE} is used. Called on the node's event loop. */
public interface NodeHooks {
    /** Intercepts nothing. */
    NodeHooks NONE = new NodeHooks() {};

    /** Creates the decision module. */
    default Balancer createBalancer(Settings settings, long seed, Actions actions) {
        return new ServiceQBalancer(settings, seed, actions);
    }

    /** Wraps the transport to the servers. */
    default ServerTransport wrapTransport(ServerTransport transport) {
        return transport;
    }

    /** Wraps a client's request before the dispatcher accepts it. */
    default ClientRequest wrapRequest(ClientRequest request) {
        return request;
    }

    /** Wraps the reply to a client's request. */
    default ClientReply wrapReply(ClientReply reply) {
        return reply;
    }
}
