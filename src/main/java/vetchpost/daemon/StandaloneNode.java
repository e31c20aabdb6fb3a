package vetchpost.daemon;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import vetchpost.config.DescriptorLimit;
import vetchpost.config.NodeConfig;
import vetchpost.core.Subset;
import vetchpost.net.Network;
import vetchpost.node.Node;
import vetchpost.node.NodeHooks;
import vetchpost.node.ProtocolAdapters;
import vetchpost.routes.FileRoutePolicy;
import vetchpost.routes.RouteTable;
import vetchpost.sourcewatch.SourceWatcher;
import vetchpost.standalone.ReloadPlan;
import vetchpost.standalone.Standalone;
import vetchpost.web.WebProtocolAdapter;

/**
 * A node that one operator's file configures, without a platform. It creates the parts that the file asks for, starts
 * them, and applies reloads. {@link StandaloneMain} owns it; all methods run on the event loop, except {@code load},
 * which blocks on the disk, and {@link #saveRoutes}.
 */
final class StandaloneNode {
    private static final Logger LOG = System.getLogger(StandaloneNode.class.getName());

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final WebProtocolAdapter webAdapter;
    private final SourceWatcher sourceWatcher;
    private final Node node;
    /** Null if the file has no table {@code [control]}. */
    private final ControlLoader control;

    private final long seed;
    private ValidatedFile activeFile;
    private final FileRoutePolicy routePolicy;
    /** Null if the file has no table {@code [changes]}. */
    private final ChangesLoader changes;
    /** The routes in force: from the file, or from the control machines of {@code [changes]}. */
    private RouteTable routeTable;

    private SocketAddress listenAddress;

    /**
     * Creates the node without starting it. Call on the event loop.
     *
     * @throws IllegalArgumentException if the node can't be created from this file
     */
    StandaloneNode(ValidatedFile file, EventLoopGroup group, EventLoop loop) {
        this.group = group;
        this.loop = loop;
        activeFile = file;
        Standalone standalone = file.node();
        seed = standalone.seed() != 0 ? standalone.seed() : new SecureRandom().nextLong();
        webAdapter = new WebProtocolAdapter(
                standalone.settings(), standalone.classifier(), standalone.limits(), System::currentTimeMillis);
        sourceWatcher = new SourceWatcher(standalone, loop, Network.SYSTEM, seed, System.currentTimeMillis());
        node = new Node(
                nodeConfig(standalone),
                loop,
                Network.SYSTEM,
                System.currentTimeMillis(),
                NodeHooks.NONE,
                new ProtocolAdapters(webAdapter, webAdapter));
        node.setAttemptObserver(sourceWatcher);
        control = file.control() == null
                ? null
                : new ControlLoader(
                        file.control(),
                        loop,
                        sourceWatcher,
                        () -> Map.of(
                                "requests",
                                (long) node.pendingWork().requests(),
                                "bytes",
                                node.pendingWork().bytes(),
                                "sockets",
                                (long) node.pendingWork().sockets()));
        if (control != null) {
            control.enableExplanations(node, standalone.settings());
        }
        changes = file.changes() == null
                ? null
                : new ChangesLoader(
                        file.changes(),
                        standalone.settings(),
                        configuration -> loop.execute(() -> applyRoutes(configuration.routes())));
        routeTable = changes == null
                ? file.routes().table()
                : changes.initialConfiguration().routes();
        routePolicy = new FileRoutePolicy(routeTable, standalone.settings(), seed);
        if (changes != null) {
            node.setReadinessNote(changes::describeStatus);
        }
        applyPolicies(file, true);
        if (file.recovery() != null) {
            node.setLifecycle(RecoveryLoader.load(file.recovery(), standalone.settings(), loop, group));
        }
    }

    private NodeConfig nodeConfig(Standalone standalone) {
        return new NodeConfig(
                standalone.listen(),
                null,
                seed,
                Math.min(standalone.maxDescriptors(), DescriptorLimit.limit()),
                standalone.connectionIdleUs(),
                standalone.settings(),
                sourceWatcher.knownServers());
    }

    /** Replaces the routes in force; the cost does not depend on their number. */
    private void applyRoutes(RouteTable table) {
        routeTable = table;
        routePolicy.replaceTable(routeTable, activeFile.node().settings());
    }

    /** Applies a file's routes, overrides and admission control; the fleet subset only at the start. */
    private void applyPolicies(ValidatedFile file, boolean isStart) {
        routePolicy.replaceTable(routeTable, file.node().settings());
        node.setRoutes(
                control == null
                        ? routePolicy
                        : control.withShedding(
                                routePolicy,
                                file.node().settings().classes.stream()
                                        .map(c -> c.name())
                                        .toList()));
        if (isStart && file.routes().fleetSubset() != null) {
            node.setSubset(new Subset(
                    file.routes().fleetSubset().node(),
                    file.node().settings().nodes,
                    file.routes().fleetSubset().subset(),
                    false));
        }
        AdmissionLoader.apply(node, file.admission(), nodeConfig(file.node()));
    }

    /**
     * Reads and validates a file.
     *
     * @throws IllegalArgumentException if it can't be read, has no table {@code [node]} or breaks a rule, with a line
     *     for each violation
     */
    static ValidatedFile load(Path path) {
        return load(path, null);
    }

    /**
     * Reads and validates a file; if only routes have changed, only those are read and validated.
     *
     * @param previous the result of the previous read, or null
     * @throws IllegalArgumentException as {@link #load(Path)}
     */
    static ValidatedFile load(Path path, ValidatedFile previous) {
        ValidatedFile file;
        try {
            file = previous == null ? ValidatedFile.read(path, sections -> null, null) : previous.reread(path);
        } catch (IOException e) {
            throw new IllegalArgumentException("the operator's file can't be read: " + e, e);
        }
        if (file.isValid() && file.node() == null) {
            throw new IllegalArgumentException(path
                    + " has no table [node]: use serve --routes to combine it with the"
                    + " platform's configuration, or init to print a file for a standalone node");
        }
        if (!file.isValid()) {
            throw new IllegalArgumentException(file.describeViolations("the file is"));
        }
        return file;
    }

    /** The file in force. */
    ValidatedFile activeFile() {
        return activeFile;
    }

    Node node() {
        return node;
    }

    /**
     * Enables {@code ctl reload}, and adds a note to {@code ctl status} and {@code /ready}.
     *
     * @param signalHandled whether SIGHUP reloads the file
     * @param reload reloads the file and calls its argument on the loop with null, or with the reason why nothing was
     *     changed
     */
    void enableReload(boolean signalHandled, Consumer<Consumer<String>> reload) {
        if (control != null) {
            control.enableReload(reload, () -> statusNote(signalHandled));
        }
        node.setReadinessNote(() -> statusNote(signalHandled));
    }

    /** The note for operators in {@code ctl status} and {@code /ready}; null for none. */
    String statusNote(boolean signalHandled) {
        return changes == null
                ? signalHandled ? null : Main.SIGHUP_IGNORED
                : signalHandled ? changes.describeStatus() : changes.describeStatus() + "; " + Main.SIGHUP_IGNORED;
    }

    /**
     * Opens the listener, then starts the sources of servers.
     *
     * @param warmUpRequests number of requests to run before the node is ready
     * @param whenReady runs once the node is ready
     */
    ChannelFuture start(int warmUpRequests, Runnable whenReady) {
        if (control != null) {
            control.open(group);
        }
        ChannelFuture binding = node.start(group, warmUpRequests, whenReady);
        binding.addListener(done -> {
            if (done.isSuccess()) {
                listenAddress = binding.channel().localAddress();
                if (changes != null) {
                    changes.start();
                }
                sourceWatcher.start(node::onList);
            }
        });
        return binding;
    }

    /**
     * Applies a new file: routes, limits, admission control, tenants, classes, sources and the listen address.
     * Pending requests end under the settings they began with. Health checks, snapshots and handovers, sockets, the
     * fleet subset and the rules for merging sources stay as they were at the start.
     *
     * @return completes with the listen address once everything is in force; if the new address can't be bound, the
     *     node keeps the previous one
     * @throws IllegalArgumentException if the file changes settings that only a restart can change
     */
    Future<SocketAddress> reload(ValidatedFile newFile) {
        if (newFile.node() == activeFile.node()) {
            // Nothing has changed, or only routes.
            activeFile = newFile;
            if (changes == null) {
                applyRoutes(newFile.routes().table());
            }
            LOG.log(Level.INFO, "the configuration file has been reloaded");
            return loop.<SocketAddress>newPromise().setSuccess(listenAddress);
        }
        if (!Objects.equals(activeFile.changes(), newFile.changes())
                || changes != null && !activeFile.settings().classes.equals(newFile.settings().classes)) {
            throw new IllegalArgumentException("[changes] and the classes used with it can't be changed by a reload: a "
                    + "restart takes " + "them up");
        }
        routeTable = changes == null ? newFile.routes().table() : routeTable;
        Standalone standalone = newFile.node();
        ReloadPlan plan = ReloadPlan.between(activeFile.node(), standalone);
        if (plan.replacesCore()) {
            node.reconfigure(nodeConfig(standalone));
            if (control != null) {
                // Recorded requests refer to the previous classes and their latency targets.
                control.enableExplanations(node, standalone.settings());
            }
        }
        webAdapter.reconfigure(standalone.settings(), standalone.classifier(), standalone.limits());
        applyPolicies(newFile, false);
        sourceWatcher.reload(standalone);
        Promise<SocketAddress> applied = loop.newPromise();
        if (plan.movesListener()) {
            ChannelFuture binding = node.rebind(group, standalone.listen());
            binding.addListener(done -> {
                if (done.isSuccess()) {
                    listenAddress = binding.channel().localAddress();
                }
                LOG.log(
                        Level.INFO,
                        done.isSuccess() ? "listening on {0}" : "can''t listen on {0}, keeping the previous address",
                        standalone.listen());
                applied.setSuccess(listenAddress);
            });
        } else {
            applied.setSuccess(listenAddress);
        }
        activeFile = newFile;
        LOG.log(Level.INFO, "the configuration file has been reloaded");
        return applied;
    }

    /** Saves the routes from control machines to disk; blocks for a bounded time, so not for the event loop. */
    void saveRoutes() {
        if (changes != null) {
            changes.saveNow();
        }
    }

    /** Closes all parts and the node at once. */
    void close() {
        if (changes != null) {
            changes.close();
        }
        if (control != null) {
            control.close();
        }
        sourceWatcher.close();
        node.close();
    }
}
