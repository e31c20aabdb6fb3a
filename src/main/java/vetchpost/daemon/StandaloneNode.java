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

/** A node that one operator's file makes, without a platform: its start, and what a reload changes. */
final class StandaloneNode {
    private static final Logger LOG = System.getLogger(StandaloneNode.class.getName());

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final WebProtocolAdapter webAdapter;
    private final SourceWatcher sourceWatcher;
    private final Node node;
    /** Null where the file has no such table. */
    private final ControlLoader control;

    private final long seed;
    private ValidatedFile activeFile;
    private final FileRoutePolicy routePolicy;
    /** Null where the file has no such table. */
    private final ChangesLoader changes;
    /** The routes in force; the file's own, or those of control machines. */
    private RouteTable routeTable;

    private SocketAddress listenAddress;

    /** Not started; on the loop. Throws IllegalArgumentException if the node can't be made. */
    StandaloneNode(ValidatedFile file, EventLoopGroup group, EventLoop loop) {
        this.group = group;
        this.loop = loop;
        activeFile = file;
        Standalone alone = file.node();
        seed = alone.seed() != 0 ? alone.seed() : new SecureRandom().nextLong();
        webAdapter =
                new WebProtocolAdapter(alone.settings(), alone.classifier(), alone.limits(), System::currentTimeMillis);
        sourceWatcher = new SourceWatcher(alone, loop, Network.SYSTEM, seed, System.currentTimeMillis());
        node = new Node(
                nodeConfig(alone),
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
            control.enableExplanations(node, alone.settings());
        }
        changes = file.changes() == null
                ? null
                : new ChangesLoader(
                        file.changes(), alone.settings(), catalog -> loop.execute(() -> applyRoutes(catalog.routes())));
        routeTable = changes == null
                ? file.routes().table()
                : changes.initialConfiguration().routes();
        routePolicy = new FileRoutePolicy(routeTable, alone.settings(), seed);
        if (changes != null) {
            node.setReadinessNote(changes::describeStatus);
        }
        applyPolicies(file, true);
        if (file.recovery() != null) {
            node.setLifecycle(RecoveryLoader.load(file.recovery(), alone.settings(), loop, group));
        }
    }

    private NodeConfig nodeConfig(Standalone alone) {
        return new NodeConfig(
                alone.listen(),
                null,
                seed,
                Math.min(alone.maxDescriptors(), DescriptorLimit.limit()),
                alone.connectionIdleUs(),
                alone.settings(),
                sourceWatcher.knownServers());
    }

    /** Has other routes hold from now on: one reference, whatever their number. */
    private void applyRoutes(RouteTable table) {
        routeTable = table;
        routePolicy.replaceTable(routeTable, activeFile.node().settings());
    }

    private void applyPolicies(ValidatedFile file, boolean starting) {
        routePolicy.replaceTable(routeTable, file.node().settings());
        node.setRoutes(
                control == null
                        ? routePolicy
                        : control.withShedding(
                                routePolicy,
                                file.node().settings().classes.stream()
                                        .map(c -> c.name())
                                        .toList()));
        if (starting && file.routes().fleetSubset() != null) {
            node.setSubset(new Subset(
                    file.routes().fleetSubset().node(),
                    file.node().settings().nodes,
                    file.routes().fleetSubset().subset(),
                    false));
        }
        AdmissionLoader.apply(node, file.admission(), nodeConfig(file.node()));
    }

    /** Reads and proves a file; throws IllegalArgumentException with a line for each violation. */
    static ValidatedFile load(Path path) {
        return load(path, null);
    }

    /**
     * The same again, of which only what has changed is read and proved where that is in routes alone.
     *
     * @param before what it came to the last time, or null
     */
    static ValidatedFile load(Path path, ValidatedFile before) {
        ValidatedFile file;
        try {
            file = before == null ? ValidatedFile.read(path, sections -> null, null) : before.reread(path);
        } catch (IOException e) {
            throw new IllegalArgumentException("the file can't be read: " + e, e);
        }
        if (file.isValid() && file.node() == null) {
            throw new IllegalArgumentException(path
                    + " has no table [node]: serve --routes takes it beside the"
                    + " platform's configuration, and init prints one that runs by itself");
        }
        if (!file.isValid()) {
            throw new IllegalArgumentException(file.describeViolations("the file is"));
        }
        return file;
    }

    /** What it serves by. */
    ValidatedFile activeFile() {
        return activeFile;
    }

    Node node() {
        return node;
    }

    /**
     * Has the file be read again by {@code ctl} too.
     *
     * @param heard whether SIGHUP comes through
     * @param reload reads it and tells null, or why nothing was changed, on the loop
     */
    void enableReload(boolean heard, Consumer<Consumer<String>> reload) {
        if (control != null) {
            control.enableReload(reload, () -> statusNote(heard));
        }
        node.setReadinessNote(() -> statusNote(heard));
    }

    /** What operators are told besides what they ask for; null for nothing. */
    String statusNote(boolean heard) {
        return changes == null
                ? heard ? null : Main.SIGHUP_IGNORED
                : heard ? changes.describeStatus() : changes.describeStatus() + "; " + Main.SIGHUP_IGNORED;
    }

    /** Opens the client side, and asks the sources from then on. */
    ChannelFuture start(int rehearsed, Runnable whenReady) {
        if (control != null) {
            control.open(group);
        }
        ChannelFuture binding = node.start(group, rehearsed, whenReady);
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
     * Takes up what a file says now: routes, limits, the door, tenants, classes, sources, where it listens.
     * Requests in hand end as they began. Checks, what is kept and handed over, sockets, the part of a fleet
     * and the rules of merging stay as they were at the start. On the loop.
     *
     * @return done once all of it holds, with where it listens; an address that can't be had leaves the one
     * before
     */
    Future<SocketAddress> reload(ValidatedFile fresh) {
        if (fresh.node() == activeFile.node()) {
            // Routes alone have changed, if anything: one reference, whatever their number.
            activeFile = fresh;
            if (changes == null) {
                applyRoutes(fresh.routes().table());
            }
            LOG.log(Level.INFO, "the file has been read again");
            return loop.<SocketAddress>newPromise().setSuccess(listenAddress);
        }
        if (!Objects.equals(activeFile.changes(), fresh.changes())
                || changes != null && !activeFile.settings().classes.equals(fresh.settings().classes)) {
            throw new IllegalArgumentException(
                    "[changes], and classes beside it, are as at the start: a " + "restart takes " + "them up");
        }
        routeTable = changes == null ? fresh.routes().table() : routeTable;
        Standalone now = fresh.node();
        ReloadPlan renewal = ReloadPlan.between(activeFile.node(), now);
        if (renewal.replacesCore()) {
            node.reconfigure(nodeConfig(now));
            if (control != null) {
                // Other classes, other aims: what was kept is of the old ones.
                control.enableExplanations(node, now.settings());
            }
        }
        webAdapter.reconfigure(now.settings(), now.classifier(), now.limits());
        applyPolicies(fresh, false);
        sourceWatcher.reload(now);
        Promise<SocketAddress> inForce = loop.newPromise();
        if (renewal.movesListener()) {
            ChannelFuture binding = node.rebind(group, now.listen());
            binding.addListener(done -> {
                if (done.isSuccess()) {
                    listenAddress = binding.channel().localAddress();
                }
                LOG.log(
                        Level.INFO,
                        done.isSuccess() ? "listening on {0}" : "can''t listen on {0}, and goes on where it did",
                        now.listen());
                inForce.setSuccess(listenAddress);
            });
        } else {
            inForce.setSuccess(listenAddress);
        }
        activeFile = fresh;
        LOG.log(Level.INFO, "the file has been read again");
        return inForce;
    }

    /** Keeps what would be lost with the process; blocks for a while at most. */
    void saveRoutes() {
        if (changes != null) {
            changes.saveNow();
        }
    }

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
