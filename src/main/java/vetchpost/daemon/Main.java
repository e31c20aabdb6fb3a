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

/**
 * Entry point of the process. Starts one node from the platform's configuration and stops it in order on SIGTERM;
 * commands go to {@link Commands}. The node runs on one event loop; a reload with an operator's file is read and
 * validated on the signal's thread, because many routes take longer than the loop may be blocked.
 */
public final class Main {
    private static final Logger LOG = System.getLogger(Main.class.getName());

    /** Log message for a rejected reload. */
    static final String CONFIGURATION_UNCHANGED = "reload failed, the configuration stays as it was: {0}";
    /** Warning for a process that was started with SIGHUP ignored. */
    static final String SIGHUP_IGNORED = "SIGHUP is ignored since the start (as under nohup) and reloads nothing";
    /** Exit code for an invalid configuration. */
    static final int EXIT_BAD_CONFIG = 2;
    /**
     * Longer than any request's deadline. Pending requests end by their own deadlines, and ending the process earlier
     * would lose them, so this only bounds a stop that hangs because of a bug.
     */
    private static final long STOP_TIMEOUT_MS = 60_000;

    /** Enough to load all classes; more would speed up the first responses but delay the start. */
    static final int STANDALONE_WARM_UP_REQUESTS = 100;
    /** Warm-up requests that stay within the process; half as many more bring no further speed-up. */
    private static final int IN_PROCESS_WARM_UP_REQUESTS = 50;
    /** Warm-up requests over sockets; few, because the node listens by then and clients may already connect. */
    private static final int SOCKET_WARM_UP_REQUESTS = 16;

    private static final String REHEARSAL_CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":1024},
             "known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a",
              "pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"zones":["a"],"myZone":"a","membershipMode":"on_request","realms":[{"name":"t"}],
              "classes":[{"name":"a","repeat":"safe","onTimeUs":1000000,"giveUpUs":3000000},
               {"name":"b","repeat":"unsafe","onTimeUs":1000000,"giveUpUs":3000000}]}}""";

    /** Routes in force from an operator's file that is used beside the platform's configuration; null without one. */
    private static volatile RouteLoader.LoadedRoutes activeRoutes;

    private Main() {}

    /**
     * Runs the process. Without arguments it serves, which is how the platform starts it. With {@code rehearse} it
     * runs the warm-up once and ends, to record the class data archive during the build. Everything else is a command
     * (see {@code --help}), whose classes are loaded only then.
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
     * Reads the configuration from the environment and serves until SIGTERM; SIGHUP reloads the files.
     *
     * @param routes the operator's file, or null for the platform's configuration alone
     */
    static void serve(Path routes) {
        EventLoopGroup group = EventLoopThreads.newGroup();
        EventLoop loop = group.next();
        Map<String, String> environment = System.getenv();
        Node[] node = new Node[1];
        // Installed first, because an unhandled SIGHUP ends the process. The loop runs the reload after the start.
        boolean signalHandled = ReloadSignal.handle(() -> {
            if (routes == null) {
                loop.execute(() -> reload(node[0], environment));
            } else {
                reload(node, environment, routes, loop);
            }
        });
        loop.execute(() -> {
            if (!signalHandled) {
                LOG.log(Level.WARNING, SIGHUP_IGNORED);
            }
            node[0] = start(environment, group, loop, routes);
            if (!signalHandled && node[0] != null) {
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
                        exit(
                                "can't listen on the configured address: "
                                        + done.cause().getMessage(),
                                1);
                    }
                }));
        return node;
    }

    /** Reloads the platform's configuration; an invalid one changes nothing, so that the node keeps serving. */
    private static void reload(Node node, Map<String, String> environment) {
        try {
            node.moveDiscovery(NodeConfig.reread(environment));
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, CONFIGURATION_UNCHANGED, e.getMessage());
        }
    }

    /**
     * Reloads both files. Runs on the signal's thread, one reload at a time: many routes take longer to read than the
     * event loop may be blocked.
     */
    private static synchronized void reload(Node[] node, Map<String, String> environment, Path routes, EventLoop loop) {
        try {
            NodeConfig config = NodeConfig.reread(environment);
            // The node's fleet subset, snapshots and handovers stay as they were at the start.
            RouteLoader.LoadedRoutes loaded = RouteLoader.load(routes, config.settings(), config.seed(), activeRoutes);
            loop.execute(() -> {
                try {
                    // First, because it is the only step that may reject the configuration.
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

    /**
     * Ends the process at once with a message on standard error.
     *
     * @param reason what is wrong, for the operator
     * @param code exit code of the process
     */
    static void exit(String reason, int code) {
        try {
            System.err.println("vetchpost: " + reason);
        } finally {
            // Halts without the shutdown hook, which would wait for a node that does not serve.
            Runtime.getRuntime().halt(code);
        }
    }

    /**
     * Shutdown hook for SIGTERM: stops the node and halts, which makes the exit code 0.
     *
     * @param afterStop runs on the hook's thread once the node has stopped or {@link #STOP_TIMEOUT_MS} has passed
     */
    static void stop(Node node, EventLoop loop, Runnable afterStop) {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> node.stop(done::countDown));
        try {
            done.await(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        afterStop.run();
        Runtime.getRuntime().halt(0);
    }
}
