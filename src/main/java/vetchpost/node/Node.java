package vetchpost.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import vetchpost.config.NodeConfig;
import vetchpost.core.AdmissionControl;
import vetchpost.core.AttemptObserver;
import vetchpost.core.Dispatcher;
import vetchpost.core.EventLoopDelay;
import vetchpost.core.NodeLifecycle;
import vetchpost.core.RequestRecorder;
import vetchpost.core.RoutePolicy;
import vetchpost.core.ServerList;
import vetchpost.core.Subset;
import vetchpost.decision.Balancer.Settings;
import vetchpost.discovery.DiscoveryClient;
import vetchpost.http.ClientServer;
import vetchpost.http.RehearsalConnections;
import vetchpost.http.ServerPool;
import vetchpost.net.LoopClock;
import vetchpost.net.MemoryNetwork;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;

/**
 * Assembles one load-balancing node from its client server, dispatcher with decision module, server pool and
 * discovery watch, and runs it from warm-up to stop. The daemon and simulations create it, reconfigure it and stop
 * it. Everything runs on one event loop, on which all methods have to be called.
 */
public final class Node implements DiscoveryClient.Listener {
    private static final Logger LOG = System.getLogger(Node.class.getName());

    /**
     * Upper bound of the delay between two watch requests for a pushed list. Requests cost nothing, and changes missed
     * meanwhile count as delivered.
     */
    private static final long MAX_WATCH_RETRY_DELAY_MS = 500;
    /** The delay is also at most the drain grace period divided by this. */
    private static final int WATCH_RETRY_DRAIN_GRACE_DIVISOR = 4;
    /**
     * How long a new process waits for a pushed list, which counts as received from the process's start. If the
     * agent is silent for longer, discovery is down and the known list is used.
     */
    private static final long FIRST_LIST_TIMEOUT_MS = 1_000;
    /** Clients connect for up to 0.4 s after the stop signal and send their requests just after. */
    private static final long ACCEPT_WHILE_STOPPING_MS = 600;

    private static final long DRAIN_CHECK_INTERVAL_MS = 5;
    /**
     * Delay between the close of the last connection and the exit of the process: the selector closes a socket only
     * in its next select, and the last response must still reach its client.
     */
    private static final long EXIT_DELAY_MS = 50;

    private static final long YIELD_DELAY_MS = 1;
    /** Bounds the start of a slow machine, which cuts its rehearsal short. */
    private static final long MAX_REHEARSAL_MS = 1_500;

    private NodeConfig config;
    private final EventLoop loop;
    private final Network network;
    private final SocketBudget sockets;
    private ServerPool pool;
    private final DiscoveryClient discovery;
    private final ClientServer clients;
    private final EventLoopDelay eventLoopDelay;
    private Dispatcher dispatcher;
    private final NodeHooks hooks;
    private AttemptObserver attemptObserver;
    private RequestRecorder recorder;
    private final List<RetiredCore> retired = new ArrayList<>();
    private final LoopClock clock;
    private final ProtocolAdapters protocolAdapters;
    private NodeLifecycle lifecycle;
    private final long watchRetryDelayNs;
    private long lastSubscribeNs;
    /** Pushed lists received during the warm-up, before the known list is applied. */
    private final List<ServerList> listsBeforeStart = new ArrayList<>();
    /** Runs when the first list arrives or its wait times out; null when nothing waits. */
    private Runnable firstListAction;

    private boolean hasReceivedList;
    private boolean prepared;
    private boolean rehearsing;
    private boolean stopping;
    private boolean closed;

    /** A replaced dispatcher and its pool, closed once all their requests are answered. */
    private record RetiredCore(Dispatcher dispatcher, ServerPool pool) {}

    /**
     * The requests, memory and sockets in use; all 0 once the node has stopped.
     *
     * @param requests requests that wait or have an attempt in flight
     * @param bytes memory reserved for requests, in bytes
     * @param sockets open connections to clients and servers
     */
    public record PendingWork(int requests, long bytes, int sockets) {}

    /**
     * Creates a node for the platform's protocol, not started.
     *
     * @param unixMs the current Unix time in milliseconds
     * @throws IllegalArgumentException if the decision module rejects the settings
     */
    public Node(NodeConfig config, EventLoop loop, Network network, long unixMs, NodeHooks hooks) {
        this(config, loop, network, unixMs, hooks, null);
    }

    /**
     * Creates a node, not started.
     *
     * @param unixMs the current Unix time in milliseconds
     * @param protocolAdapters the protocols towards clients and servers; null for the platform's
     * @throws IllegalArgumentException if the decision module rejects the settings
     */
    public Node(
            NodeConfig config,
            EventLoop loop,
            Network network,
            long unixMs,
            NodeHooks hooks,
            ProtocolAdapters protocolAdapters) {
        this.protocolAdapters = protocolAdapters;
        this.config = config;
        this.loop = loop;
        this.network = network;
        clock = new LoopClock(loop, unixMs);
        eventLoopDelay = new EventLoopDelay(clock);
        sockets = new SocketBudget(config.maxDescriptors());
        long firstMessageTimeoutMs = config.settings().mustRequestList
                ? DiscoveryClient.FIRST_MESSAGE_TIMEOUT_MS
                : DiscoveryClient.SILENCE_TIMEOUT_MS;
        discovery = new DiscoveryClient(
                loop,
                network,
                config.discovery(),
                config.knownServers().revision(),
                DiscoveryClient.SILENCE_TIMEOUT_MS,
                firstMessageTimeoutMs,
                config.seed(),
                this);
        this.hooks = hooks;
        watchRetryDelayNs = TimeUnit.MILLISECONDS.toNanos(Math.max(
                1,
                Math.min(
                        MAX_WATCH_RETRY_DELAY_MS,
                        config.settings().drainGraceUs / 1_000 / WATCH_RETRY_DRAIN_GRACE_DIVISOR)));
        createCore();
        clients = new ClientServer(
                loop,
                network,
                sockets,
                config.settings(),
                (request, reply, waitedUs) ->
                        dispatcher.accept(hooks.wrapRequest(request), hooks.wrapReply(reply), waitedUs),
                protocolAdapters == null ? null : protocolAdapters.connectionInitializer());
        clients.setEventLoopDelay(eventLoopDelay::currentUs);
    }

    /** Creates the server pool and the dispatcher from the current settings. */
    private void createCore() {
        Settings settings = config.settings();
        pool = new ServerPool(
                loop,
                network,
                sockets,
                settings.connectTimeoutUs,
                config.serverIdleTimeoutUs(),
                protocolAdapters == null ? null : protocolAdapters.exchangeFactory());
        // A retired dispatcher must not reopen the watch that its successor uses.
        Dispatcher[] created = new Dispatcher[1];
        dispatcher = new Dispatcher(
                clock,
                eventLoopDelay,
                hooks.wrapTransport(pool),
                settings.zones,
                () -> runIfCurrent(created[0], this::subscribe),
                () -> runIfCurrent(created[0], this::requestFullList),
                settings.drainGraceUs / 2,
                actions -> hooks.createBalancer(settings, config.seed(), actions));
        created[0] = dispatcher;
    }

    private void runIfCurrent(Dispatcher caller, Runnable action) {
        if (caller == dispatcher) {
            action.run();
        }
    }

    /**
     * Applies new request classes and decision settings while the node runs. A new dispatcher, which starts with
     * the servers and statistics of the old one, receives all requests from now on; the old one is closed once its
     * requests are answered. Routes and admission control have to be set again.
     *
     * @throws IllegalArgumentException if the decision module rejects the settings; nothing changes then
     */
    public void reconfigure(NodeConfig newConfig) {
        NodeConfig previousConfig = config;
        Dispatcher previousDispatcher = dispatcher;
        ServerPool previousPool = pool;
        config = newConfig;
        try {
            createCore();
        } catch (RuntimeException e) {
            config = previousConfig;
            pool.close();
            pool = previousPool;
            dispatcher = previousDispatcher;
            throw e;
        }
        retired.add(new RetiredCore(previousDispatcher, previousPool));
        dispatcher.setAttemptObserver(attemptObserver);
        dispatcher.setRecorder(recorder);
        // The watch has moved past the list changes still queued there; discovery does not repeat them.
        previousDispatcher.applyAllLists();
        List<ServerList.Target> servers = previousDispatcher.knownServers();
        dispatcher.onCachedList(new ServerList(0, true, servers));
        dispatcher.restore(previousDispatcher.statistics(
                servers.stream().map(ServerList.Target::id).toList()));
        loop.schedule(this::closeFinishedRetired, DRAIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void closeFinishedRetired() {
        retired.removeIf(r -> {
            if (r.dispatcher.pendingRequests() == 0) {
                r.dispatcher.close();
                r.pool.close();
                return true;
            }
            return false;
        });
        if (!retired.isEmpty() && !closed) {
            loop.schedule(this::closeFinishedRetired, 10 * DRAIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Moves the listening socket to another address; connected clients stay.
     *
     * @return fails if the address cannot be bound; the previous one is kept then
     */
    public ChannelFuture rebind(EventLoopGroup group, InetSocketAddress address) {
        return clients.rebind(group, address);
    }

    /** Creates a node on the system's sockets and clock. */
    public Node(NodeConfig config, EventLoop loop) {
        this(config, loop, Network.SYSTEM, System.currentTimeMillis(), NodeHooks.NONE);
    }

    /**
     * Runs rehearsal requests inside the process before clients can connect. With a small fraction of a CPU core,
     * cold code blocks the event loop for up to seconds, during which client requests would expire unread. Then
     * runs {@code next}, which has to start the node, unless {@link #stop} was called meanwhile.
     *
     * @param requests number of rehearsal requests
     */
    public void warmUp(int requests, Runnable next) {
        // The first log line costs as much as fifty requests, so it is written before the node listens.
        LOG.log(Level.INFO, "warming up");
        if (isListPushed()) {
            // A pushed list counts as received from the process's start; it arrives during the warm-up.
            subscribePushed();
        }
        new Rehearsal(
                        loop,
                        new MemoryNetwork(clients::openForRehearsal),
                        config,
                        protocolAdapters,
                        config.listen(),
                        requests,
                        MAX_REHEARSAL_MS,
                        () -> runAfterYield(() -> {
                            prepare();
                            runAfterFirstList(() -> runAfterYield(next));
                        }))
                .run();
    }

    private boolean isListPushed() {
        return !config.settings().mustRequestList && config.discovery() != null;
    }

    /** Runs the action once a pushed list arrives or its wait times out; at once if lists are requested. */
    private void runAfterFirstList(Runnable action) {
        if (!isListPushed() || hasReceivedList) {
            action.run();
            return;
        }
        firstListAction = action;
        loop.schedule(this::runFirstListAction, FIRST_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void runFirstListAction() {
        Runnable action = firstListAction;
        firstListAction = null;
        if (action != null) {
            action.run();
        }
    }

    /**
     * Runs the action after the event loop has blocked in its selector at least once, unless the node is stopping
     * by then. A process with a CPU quota is throttled in that wait after a long run of work; a socket opened at
     * the end of the run would be left unserved meanwhile.
     */
    private void runAfterYield(Runnable action) {
        loop.schedule(
                () -> {
                    if (!stopping) {
                        action.run();
                    }
                },
                YIELD_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Applies the known list, once. Done before clients can connect, since it takes as long as some requests. */
    private void prepare() {
        if (prepared) {
            return;
        }
        prepared = true;
        if (sockets.isScarce()) {
            LOG.log(
                    Level.WARNING,
                    "limits.sockets is small: at most {0} client connections are served,"
                            + " requests on others are rejected;"
                            + " raise limits.sockets or the descriptor limit of the process",
                    sockets.maxClients());
        }
        eventLoopDelay.start();
        dispatcher.onCachedList(
                lifecycle == null
                        ? config.knownServers()
                        : lifecycle.beforeStart(config.knownServers(), clock.nowUs()));
        listsBeforeStart.forEach(this::applyList);
        listsBeforeStart.clear();
        if (isListPushed() && !discovery.isOpen()) {
            subscribePushed();
        }
    }

    /**
     * Applies the known list, listens and serves; reports itself ready after the rehearsal.
     *
     * @param requests number of rehearsal requests; 0 for no rehearsal
     * @return fails if the address cannot be bound
     */
    public ChannelFuture start(EventLoopGroup group, int requests, Runnable whenReady) {
        prepare();
        ChannelFuture binding = clients.listen(group, config.listen());
        binding.addListener(done -> {
            if (done.isSuccess()) {
                // Logged now also because the first line opens files of the runtime: without descriptors left it
                // would throw an Error on the event loop, where only the log would show it.
                LOG.log(Level.INFO, "listening on {0}", binding.channel().localAddress());
                Runnable serve = () -> {
                    clients.setReady();
                    whenReady.run();
                };
                Runnable ready = serve;
                if (lifecycle != null) {
                    lifecycle.afterStart(dispatcher, eventLoopDelay, clock);
                    clients.setReadinessDetail(lifecycle::readinessDetail);
                    ready = () -> lifecycle.runWhenPrepared(serve);
                }
                if (requests == 0) {
                    ready.run();
                } else {
                    // Only after the event loop has accepted the clients that connected meanwhile.
                    Runnable onRehearsed = ready;
                    runAfterYield(() -> rehearseOverSockets(
                            (InetSocketAddress) binding.channel().localAddress(), requests, onRehearsed));
                }
            }
        });
        return binding;
    }

    private void rehearseOverSockets(InetSocketAddress self, int requests, Runnable onRehearsed) {
        RehearsalConnections connections = clients.rehearsalConnections();
        connections.start();
        new Rehearsal(
                        loop,
                        new RehearsalNetwork(network, connections),
                        config,
                        protocolAdapters,
                        self,
                        requests,
                        MAX_REHEARSAL_MS,
                        () -> {
                            connections.stop();
                            onRehearsed.run();
                        })
                .run();
    }

    /** Sets the routes of requests from now on; pending requests keep theirs. */
    public void setRoutes(RoutePolicy policy) {
        dispatcher.setRoutes(policy);
    }

    /** Restricts the node to a subset of the servers; to be called before it starts. */
    public void setSubset(Subset subset) {
        dispatcher.setSubset(subset);
    }

    /** Sets the admission control of requests; null for none. */
    public void admission(AdmissionControl admission) {
        dispatcher.admission(admission);
    }

    /** The admission control of requests, or null. */
    public AdmissionControl admission() {
        return dispatcher.admission();
    }

    /** Sets an observer of attempt results, notified besides the decision module; null for none. */
    public void setAttemptObserver(AttemptObserver observer) {
        attemptObserver = observer;
        dispatcher.setAttemptObserver(observer);
    }

    /** Sets the recorder of request outcomes; null for none. */
    public void setRecorder(RequestRecorder requestRecorder) {
        recorder = requestRecorder;
        dispatcher.setRecorder(requestRecorder);
    }

    /** The reasons why a server receives no or fewer requests, one per line. */
    public List<String> explainServer(String serverId) {
        return dispatcher.explainServer(serverId);
    }

    /** Sets an additional note for {@code /ready}; none is added while the supplier returns null. */
    public void setReadinessNote(Supplier<String> note) {
        clients.setReadinessNote(note);
    }

    /** Sets the component that is notified of start, lists and stop; to be called before the node starts. */
    public void setLifecycle(NodeLifecycle newLifecycle) {
        lifecycle = newLifecycle;
    }

    /** Moves the watch to the discovery address of {@code newConfig}. */
    public void moveDiscovery(NodeConfig newConfig) {
        discovery.moveTo(newConfig.discovery());
    }

    /** Starts this node as the client of a rehearsal: it uses its known list, does not listen or watch discovery. */
    void startAsRehearsal() {
        rehearsing = true;
        dispatcher.onCachedList(config.knownServers());
    }

    void openRehearsalConnection(ChannelPipeline pipeline) {
        clients.open(pipeline);
    }

    /** Releases all resources; for the end of a rehearsal or of a process that goes on. */
    public void close() {
        closed = true;
        if (lifecycle != null) {
            lifecycle.close();
        }
        clients.close();
        dispatcher.close();
        eventLoopDelay.close();
        discovery.close();
        pool.close();
        retired.forEach(r -> {
            r.dispatcher.close();
            r.pool.close();
        });
    }

    /**
     * Stops the node: it accepts connections for a short while longer, closes each with its response and runs
     * {@code whenDone} once all requests are answered.
     */
    public void stop(Runnable whenDone) {
        stopping = true;
        clients.drain();
        Runnable done = lifecycle == null ? whenDone : runOnSecondCall(whenDone);
        if (lifecycle != null) {
            lifecycle.stop(done);
        }
        loop.schedule(
                () -> {
                    clients.stopAccepting();
                    runWhenDone(done);
                },
                ACCEPT_WHILE_STOPPING_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns an action that runs {@code whenDone} when it is called for the second time. */
    private static Runnable runOnSecondCall(Runnable whenDone) {
        int[] remainingCalls = {2};
        return () -> {
            if (--remainingCalls[0] == 0) {
                whenDone.run();
            }
        };
    }

    private void runWhenDone(Runnable done) {
        if (clients.isDone()) {
            loop.schedule(done, EXIT_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            loop.schedule(() -> runWhenDone(done), DRAIN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The number of known servers, draining ones included. */
    public int serverCount() {
        return dispatcher.knownServers().size();
    }

    /** The requests, memory and sockets in use now, those of retired dispatchers included. */
    public PendingWork pendingWork() {
        int requests = dispatcher.pendingRequests()
                + retired.stream().mapToInt(r -> r.dispatcher.pendingRequests()).sum();
        return new PendingWork(requests, clients.pendingRequestBytes(), sockets.openCount());
    }

    /** Opens the watch for the decision module, unless a request is already pending, as after a move. */
    private void subscribe() {
        if (!rehearsing && !closed && config.discovery() != null && !discovery.isRequestPending()) {
            discovery.subscribe();
        }
    }

    private void subscribePushed() {
        if (!closed && !discovery.isOpen()) {
            lastSubscribeNs = loop.ticker().nanoTime();
            discovery.subscribe();
        }
    }

    private void requestFullList() {
        if (!rehearsing && !closed && config.discovery() != null) {
            discovery.requestFullList();
        }
    }

    // ---------------------------------------------------------------- the list of servers

    @Override
    public void onList(ServerList list) {
        hasReceivedList = true;
        if (prepared) {
            applyList(list);
        } else {
            // It is newer than the known list, which must not overwrite it.
            listsBeforeStart.add(list);
        }
        runFirstListAction();
    }

    private void applyList(ServerList list) {
        dispatcher.onList(list);
        retired.forEach(r -> r.dispatcher.onList(list));
        if (lifecycle != null) {
            lifecycle.onServerList(list);
        }
    }

    @Override
    public void onContact() {
        if (lifecycle != null) {
            lifecycle.onDiscoveryContact();
        }
    }

    @Override
    public void onWatchFailed(String reason) {
        LOG.log(Level.INFO, "discovery watch failed: {0}; it is opened again", reason);
        if (isListPushed()) {
            // At once if the failed watch has been open for a while.
            long elapsedNs = loop.ticker().nanoTime() - lastSubscribeNs;
            loop.schedule(
                    this::subscribePushed,
                    Math.max(TimeUnit.MILLISECONDS.toNanos(YIELD_DELAY_MS), watchRetryDelayNs - elapsedNs),
                    TimeUnit.NANOSECONDS);
        }
        dispatcher.onListFailed();
    }
}
