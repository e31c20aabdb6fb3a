package vetchpost.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import vetchpost.config.DescriptorLimit;
import vetchpost.config.NodeConfig;
import vetchpost.node.Node;

/** Starts one node, and ends it in order when told to. */
public final class Main {
    private static final Logger LOG = System.getLogger(Main.class.getName());

    static final String CONFIGURATION_UNCHANGED = "the configuration stays as it was: {0}";
    /** The process was started with the signal ignored. */
    static final String SIGHUP_IGNORED = "SIGHUP is ignored since the start, as by nohup: it reloads nothing";
    /** A bad configuration. */
    static final int EXIT_BAD_CONFIG = 2;
    /** Past any wait for an answer. All that is in hand ends by its own time, and what ends the process with
     * a request in hand has lost it; so this is only for a fault of ours. */
    private static final long STOP_TIMEOUT_MS = 60_000;

    /** Enough for all classes to be loaded; more make the first answers quicker but the node come later. */
    static final int STANDALONE_WARM_UP_REQUESTS = 100;
    /** Here so many go through the process alone, which half as many more would make no quicker ... */
    private static final int IN_PROCESS_WARM_UP_REQUESTS = 50;
    /** ... and so few over sockets, once the node listens: clients may come then. */
    private static final int SOCKET_WARM_UP_REQUESTS = 16;

    private static final String REHEARSAL_CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":1024},
             "known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a",
              "pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"zones":["a"],"myZone":"a","membershipMode":"on_request","realms":[{"name":"t"}],
              "classes":[{"name":"a","repeat":"safe","onTimeUs":1000000,"giveUpUs":3000000},
               {"name":"b","repeat":"unsafe","onTimeUs":1000000,"giveUpUs":3000000}]}}""";

    /** The routes that the process serves by, of an operator's file beside the platform's configuration. */
    private static volatile RouteLoader.LoadedRoutes activeRoutes;

    private Main() {}

    /**
     * Without arguments it serves, as the platform starts it. With {@code rehearse} it goes through its work
     * once on its own, for the archive of classes that the build makes, and ends. What else there is, is told
     * by {@code --help}, and loaded only then.
     */
    public static void main(String[] args) {
        if (args.length == 0) {
            serve(null);
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            rehearse();
        } else {
            int code = Commands.run(args);
            if (code != ServeCommand.SERVING) {
                System.exit(code);
            }
        }
    }

    /**
     * Reads the configuration from the environment and serves until SIGTERM; SIGHUP has it read its files
     * again.
     *
     * @param routes the operator's file, or null
     */
    static void serve(Path routes) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        Map<String, String> environment = System.getenv();
        Node[] node = new Node[1];
        // First of all: unhandled, the signal ends the program. The loop reads the file after the start.
        boolean heard = ReloadSignal.handle(() -> {
            if (routes == null) {
                loop.execute(() -> reload(node[0], environment));
            } else {
                reload(node, environment, routes, loop);
            }
        });
        loop.execute(() -> {
            if (!heard) {
                LOG.log(Level.WARNING, SIGHUP_IGNORED);
            }
            node[0] = start(environment, group, loop, routes);
            if (!heard && node[0] != null) {
                node[0].setReadinessNote(() -> SIGHUP_IGNORED);
            }
        });
    }

    private static Node start(Map<String, String> environment, EventLoopGroup group, EventLoop loop, Path routes) {
        Node node;
        try {
            NodeConfig config = NodeConfig.read(environment).withMaxDescriptors(DescriptorLimit.limit());
            node = new Node(config, loop);
            if (routes != null) {
                RouteLoader.LoadedRoutes loaded = RouteLoader.load(routes, config.settings(), config.seed(), null);
                activeRoutes = loaded;
                node.setRoutes(loaded.policy());
                if (loaded.subset() != null) {
                    node.setSubset(loaded.subset());
                }
                AdmissionLoader.apply(node, loaded.file().admission(), config);
                if (loaded.file().recovery() != null) {
                    node.setLifecycle(RecoveryLoader.load(loaded.file().recovery(), config.settings(), loop, group));
                }
            }
        } catch (IllegalArgumentException e) {
            exit("bad configuration: " + e.getMessage(), EXIT_BAD_CONFIG);
            return null;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, loop, () -> {}), "stop"));
        node.warmUp(
                IN_PROCESS_WARM_UP_REQUESTS,
                () -> node.start(group, SOCKET_WARM_UP_REQUESTS, () -> {}).addListener(done -> {
                    if (!done.isSuccess()) {
                        exit("can't listen: " + done.cause().getMessage(), 1);
                    }
                }));
        return node;
    }

    /** What can't be used changes nothing: a node that serves is worth more than a configuration. */
    private static void reload(Node node, Map<String, String> environment) {
        try {
            node.moveDiscovery(NodeConfig.reread(environment));
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, CONFIGURATION_UNCHANGED, e.getMessage());
        }
    }

    /** On the signal's own thread, one at a time: many routes take longer than the loop may stand. */
    private static synchronized void reload(Node[] node, Map<String, String> environment, Path routes, EventLoop loop) {
        try {
            NodeConfig config = NodeConfig.reread(environment);
            // Which part of the fleet it has, and what is kept and handed over, stay as at the start.
            RouteLoader.LoadedRoutes loaded = RouteLoader.load(routes, config.settings(), config.seed(), activeRoutes);
            loop.execute(() -> {
                try {
                    // First: it is the one that may find that it can't.
                    AdmissionLoader.apply(node[0], loaded.file().admission(), config);
                    node[0].moveDiscovery(config);
                    loaded.apply();
                    activeRoutes = loaded;
                } catch (RuntimeException e) {
                    LOG.log(Level.WARNING, CONFIGURATION_UNCHANGED, e.getMessage());
                }
            });
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, CONFIGURATION_UNCHANGED, e.getMessage());
        }
    }

    private static void rehearse() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        ReloadSignal.handle(() -> {});
        Node node = new Node(NodeConfig.parse(REHEARSAL_CONFIG, Map.of()), group.next());
        group.next()
                .execute(() -> node.warmUp(
                        IN_PROCESS_WARM_UP_REQUESTS,
                        () -> node.start(group, SOCKET_WARM_UP_REQUESTS, group::shutdownGracefully)));
    }

    static void exit(String reason, int code) {
        System.err.println("vetchpost: " + reason);
        // No orderly stop: there is nothing to answer, and the hook would wait for it.
        Runtime.getRuntime().halt(code);
    }

    /** Runs as the shutdown hook of SIGTERM; halting from it is what makes the exit code 0. */
    static void stop(Node node, EventLoop loop, Runnable last) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> node.stop(done::countDown));
        try {
            done.await(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        last.run();
        Runtime.getRuntime().halt(0);
    }
}
