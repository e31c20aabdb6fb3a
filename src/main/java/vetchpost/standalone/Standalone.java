package vetchpost.standalone;

import java.net.InetSocketAddress;
import java.util.List;
import vetchpost.decision.Balancer.Settings;
import vetchpost.sources.CheckRules;
import vetchpost.sources.MergeRules;
import vetchpost.sources.SourceDeclaration;

/**
 * The validated settings of a node without a platform, from one operator's file.
 *
 * @param listen address where clients connect
 * @param maxDescriptors file descriptors that the process may hold
 * @param seed for random numbers; 0 to draw one
 * @param connectionIdleUs idle connections to servers are kept for half of this, in microseconds
 * @param settings settings of the balancer
 * @param requestRules the rules of the settings' classes, in their order
 * @param classifier assigns requests to classes and tenants by these rules
 * @param limits limits of clients' and servers' messages
 * @param sources the sources of servers, the most trusted first
 * @param merge how the sources' reports are merged
 * @param checks how servers are checked; null where they are not
 * @param drainHeader the response header by which a server reports that it drains; empty for none
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
