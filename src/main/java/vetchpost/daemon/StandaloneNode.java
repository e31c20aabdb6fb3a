package vetchpost.daemon;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import vetchpost.admission.AdmissionProver;
import vetchpost.admission.AdmissionSettings;
import vetchpost.config.Config;
import vetchpost.config.Descriptors;
import vetchpost.control.ControlProver;
import vetchpost.control.ControlSettings;
import vetchpost.core.RoutePolicy;
import vetchpost.core.Subset;
import vetchpost.net.Network;
import vetchpost.node.Fronts;
import vetchpost.node.Node;
import vetchpost.node.Seams;
import vetchpost.recovery.RecoveryProver;
import vetchpost.recovery.RecoverySettings;
import vetchpost.routes.FileRoutePolicy;
import vetchpost.routes.Proof;
import vetchpost.routes.Prover;
import vetchpost.routes.Violation;
import vetchpost.routes.file.RouteFile;
import vetchpost.conductor.Conductor;
import vetchpost.standalone.Renewal;
import vetchpost.standalone.Standalone;
import vetchpost.standalone.StandaloneProver;
import vetchpost.web.WebFront;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

/** A node that one operator's file makes, without a platform: its start, and what a reload changes. */
final class StandaloneNode {
    private static final Logger LOG = System.getLogger(StandaloneNode.class.getName());

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final WebFront front;
    private final Conductor conductor;
    private final Node node;
    /** Null where the file has no such table. */
    private final ControlLoader control;
    private final long seed;
    private Loaded loaded;
    private SocketAddress listening;

    /** What a file comes to, all of it proved. */
    record Loaded(Standalone node, Proof routes, RecoverySettings recovery, AdmissionSettings admission,
            ControlSettings control) { }

    /** Not started; on the loop. Throws IllegalArgumentException if the node can't be made. */
    StandaloneNode(Loaded file, EventLoopGroup group, EventLoop loop) {
        this.group = group;
        this.loop = loop;
        loaded = file;
        Standalone alone = file.node();
        seed = alone.seed() != 0 ? alone.seed() : new SecureRandom().nextLong();
        front = new WebFront(alone.settings(), alone.classifier(), alone.limits(), System::currentTimeMillis);
        conductor = new Conductor(alone, loop, Network.SYSTEM, seed, System.currentTimeMillis());
        node = new Node(config(alone), loop, Network.SYSTEM, System.currentTimeMillis(), Seams.NONE,
                new Fronts(front, front));
        node.witness(conductor);
        control = file.control() == null ? null : new ControlLoader(file.control(), loop, conductor,
                () -> Map.of("requests", (long) node.inHand().requests(), "bytes", node.inHand().bytes(),
                        "sockets", (long) node.inHand().sockets()));
        if (control != null) {
            control.explain(node, alone.settings());
        }
        policy(file, true);
        if (file.recovery() != null) {
            node.companion(RecoveryLoader.load(file.recovery(), alone.settings(), loop, group));
        }
    }

    private Config config(Standalone alone) {
        return new Config(alone.listen(), null, seed, Math.min(alone.sockets(), Descriptors.limit()),
                alone.connIdleUs(), alone.settings(), conductor.known());
    }

    private void policy(Loaded file, boolean starting) {
        RoutePolicy routes = new FileRoutePolicy(file.routes().table(), file.node().settings(), seed);
        node.routes(control == null ? routes : control.before(routes,
                file.node().settings().classes.stream().map(c -> c.name()).toList()));
        if (starting && file.routes().part() != null) {
            node.subset(new Subset(file.routes().part().node(), file.node().settings().nodes,
                    file.routes().part().subset(), false));
        }
        DoorLoader.settle(node, file.admission(), config(file.node()));
    }

    /** Reads and proves a file; throws IllegalArgumentException with a line for each violation. */
    static Loaded load(Path path) {
        RouteFile file;
        try {
            file = RouteFile.read(path);
        } catch (IOException e) {
            throw new IllegalArgumentException("the file can't be read: " + e, e);
        }
        List<Violation> violations = new ArrayList<>(file.violations());
        StandaloneProver.Proof alone = StandaloneProver.prove(file.sections());
        violations.addAll(alone.violations());
        if (violations.isEmpty() && alone.standalone() == null) {
            throw new IllegalArgumentException(path
                    + " has no table [node]: serve --routes takes it beside the"
                    + " platform's configuration, and init prints one that runs by itself");
        }
        Loaded loaded = null;
        if (violations.isEmpty()) {
            Standalone node = alone.standalone();
            Proof routes = Prover.proveAlone(file.sections(), node.settings());
            RecoveryProver.Proof recovery = RecoveryProver.prove(file.sections());
            AdmissionProver.Proof admission = AdmissionProver.prove(file.sections(), node.settings());
            violations.addAll(routes.violations());
            violations.addAll(recovery.violations());
            violations.addAll(admission.violations());
            ControlProver.Proof control = ControlProver.prove(file.sections());
            violations.addAll(control.violations());
            loaded = new Loaded(node, routes, recovery.settings(), admission.settings(), control.settings());
        }
        if (!violations.isEmpty()) {
            throw new IllegalArgumentException("the file is refused:\n" + violations.stream()
                    .map(v -> "  " + v).collect(Collectors.joining("\n")));
        }
        return loaded;
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
    void operated(boolean heard, Consumer<Consumer<String>> reload) {
        if (control != null) {
            control.operated(reload, heard ? null : Main.DEAF);
        }
    }

    /** Opens the client side, and asks the sources from then on. */
    ChannelFuture start(int rehearsed, Runnable whenReady) {
        if (control != null) {
            control.open(group);
        }
        ChannelFuture binding = node.start(group, rehearsed, whenReady);
        binding.addListener(done -> {
            if (done.isSuccess()) {
                listening = binding.channel().localAddress();
                conductor.begin(node::onList);
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
    Future<SocketAddress> reload(Loaded fresh) {
        Standalone now = fresh.node();
        Renewal renewal = Renewal.of(loaded.node(), now);
        if (renewal.core()) {
            node.renew(config(now));
            if (control != null) {
                // Other classes, other aims: what was kept is of the old ones.
                control.explain(node, now.settings());
            }
        }
        front.settle(now.settings(), now.classifier(), now.limits());
        policy(fresh, false);
        conductor.renew(now);
        Promise<SocketAddress> inForce = loop.newPromise();
        if (renewal.address()) {
            ChannelFuture binding = node.listenAt(group, now.listen());
            binding.addListener(done -> {
                if (done.isSuccess()) {
                    listening = binding.channel().localAddress();
                }
                LOG.log(Level.INFO, done.isSuccess() ? "listening on {0}"
                        : "can''t listen on {0}, and goes on where it did", now.listen());
                inForce.setSuccess(listening);
            });
        } else {
            inForce.setSuccess(listening);
        }
        loaded = fresh;
        LOG.log(Level.INFO, "the file has been read again");
        return inForce;
    }

    void close() {
        if (control != null) {
            control.close();
        }
        conductor.close();
        node.close();
    }
}
