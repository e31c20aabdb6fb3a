package vetchpost.standalone;

import java.net.InetSocketAddress;
import java.util.List;
import vetchpost.decision.Balancer.Settings;
import vetchpost.sources.CheckRules;
import vetchpost.sources.MergeRules;
import vetchpost.sources.SourceDeclaration;

/**
 * All that one operator's file says of a node without a platform, proved.
 *
 * @param listen where clients connect
 * @param sockets descriptors that the process may hold
 * @param seed for random numbers; 0 to draw one
 * @param connIdleUs servers' connections are kept idle for half of this, in microseconds
 * @param settings what the module goes by
 * @param rules which requests belong to the settings' classes, in their order
 * @param classifier the same, and whose they are
 * @param limits what clients and servers may cost
 * @param sources who says which servers there are, the most trusted first
 * @param merge how their words are made one list
 * @param checks how servers are checked; null where they are not
 * @param drainHeader the field by which an answer says that its server drains; empty for none
 */
public record Standalone(
        InetSocketAddress listen,
        int maxDescriptors,
        long seed,
        long connectionIdleUs,
        Settings settings,
        List<RequestRule> requestRules,
        Classifier classifier,
        WebLimits limits,
        List<SourceDeclaration> sources,
        MergeRules merge,
        CheckRules checks,
        String drainHeader) {}
