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
import java.util.SplittableRandom;
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
import vetchpost.http.ServerPool;
import vetchpost.net.LoopClock;
import vetchpost.net.MemoryNetwork;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;

/**
 * One node put together: the clients' side, the core with its decision module, the servers' side and the
 * watch on the list, all on one event loop; and its life from start to stop.
 */
public final class Node implements DiscoveryClient.Listener {
    private static final Logger LOG = System.getLogger(Node.class.getName());

    /** Between two calls for a pushed list, which cost nothing, at most: what is missed meanwhile counts. */
    private static final long MAX_WATCH_RETRY_DELAY_MS = 500;
    /** ... and at most this part of the time in which a drain has to be kept. */
    private static final int WATCH_RETRY_DRAIN_GRACE_DIVISOR = 4;
    /** How long a new process waits for a pushed list, which counts as told before it asks. An agent that has
     * said nothing by then is silent because discovery is down: then the known list has to do. */
    private static final long FIRST_LIST_TIMEOUT_MS = 1_000;
    /** Connections come for up to 0.4 s after the word to stop, and their requests just after. */
    private static final long ACCEPT_WHILE_STOPPING_MS = 600;

    private static final long DRAIN_CHECK_INTERVAL_MS = 5;
    /** From the end of the last connection to the process's: the system really closes a socket only when the
     * loop has looked at its selector again, and the last answer has its way to go. */
    private static final long EXIT_DELAY_MS = 50;

    private static final long YIELD_DELAY_MS = 1;
    /** A rehearsal cut short is better than a node that stays away: a slow machine gets this far. */
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
    /** Pushed lists that have come before the known one is taken in, while the node warms up. */
    private final List<ServerList> listsBeforeStart = new ArrayList<>();
    /** What waits for the first list, or null. */
    private Runnable firstListAction;

    private boolean hasReceivedList;
    private boolean prepared;
    private boolean rehearsing;
    private boolean stopping;
    private boolean closed;

    /** A core that takes nothing new, and ends once all that it holds is answered. */
    private record RetiredCore(Dispatcher dispatcher, ServerPool pool) {}

    /**
     * What a node still has in hand; all of it is nothing once the node has stopped.
     *
     * @param requests held, or with an attempt out
     * @param bytes that clients' requests take
     * @param sockets open connections to clients and servers
     */
    public record PendingWork(int requests, long bytes, int sockets) {}

    /**
     * Not started yet.
     *
     * @param unixMs the time now, Unix time in milliseconds
     * @throws IllegalArgumentException if the module rejects the settings
     */
    public Node(NodeConfig config, EventLoop loop, Network network, long unixMs, NodeHooks seams) {
        this(config, loop, network, unixMs, seams, null);
    }

    /** The same, speaking otherwise than the platform has it; null for that. */
    public Node(
            NodeConfig config, EventLoop loop, Network network, long unixMs, NodeHooks seams, ProtocolAdapters fronts) {
        this.protocolAdapters = fronts;
        this.config = config;
        this.loop = loop;
        this.network = network;
        clock = new LoopClock(loop, unixMs);
        eventLoopDelay = new EventLoopDelay(clock);
        sockets = new SocketBudget(config.maxDescriptors());
        long callMs = config.settings().mustRequestList
                ? DiscoveryClient.FIRST_MESSAGE_TIMEOUT_MS
                : DiscoveryClient.SILENCE_TIMEOUT_MS;
        discovery = new DiscoveryClient(
                loop,
                network,
                config.discovery(),
                config.knownServers().revision(),
                DiscoveryClient.SILENCE_TIMEOUT_MS,
                callMs,
                config.seed(),
                this);
        this.hooks = seams;
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
                        dispatcher.accept(seams.wrapRequest(request), seams.wrapReply(reply), waitedUs),
                fronts == null ? null : fronts.connectionInitializer());
        clients.setEventLoopDelay(eventLoopDelay::currentUs);
    }

    /** The core and its way to servers, by the settings as they are now. */
    private void createCore() {
        Settings settings = config.settings();
        pool = new ServerPool(
                loop,
                network,
                sockets,
                settings.connectTimeoutUs,
                config.serverIdleTimeoutUs(),
                protocolAdapters == null ? null : protocolAdapters.exchangeFactory());
        // A core that only ends what it has must not have the watch opened anew under the one in its place.
        Dispatcher[] core = new Dispatcher[1];
        dispatcher = new Dispatcher(
                clock,
                eventLoopDelay,
                hooks.wrapTransport(pool),
                settings.zones,
                () -> runIfCurrent(core[0], this::subscribe),
                () -> runIfCurrent(core[0], this::requestFullList),
                settings.drainGraceUs / 2,
                actions -> hooks.createBalancer(settings, config.seed(), actions));
        core[0] = dispatcher;
    }

    private void runIfCurrent(Dispatcher core, Runnable action) {
        if (core == dispatcher) {
            action.run();
        }
    }

    /**
     * Takes up other classes and other settings of the module while it runs: requests from now on are the
     * affair of a new core, which begins with what the old one knows; the old one ends once all that it holds
     * is answered. Routes and the door are to be set anew.
     *
     * @throws IllegalArgumentException if the module rejects the settings; then nothing changes
     */
    public void reconfigure(NodeConfig fresh) {
        NodeConfig before = config;
        Dispatcher old = dispatcher;
        ServerPool oldPool = pool;
        config = fresh;
        try {
            createCore();
        } catch (RuntimeException e) {
            config = before;
            pool.close();
            pool = oldPool;
            dispatcher = old;
            throw e;
        }
        retired.add(new RetiredCore(old, oldPool));
        dispatcher.setAttemptObserver(attemptObserver);
        dispatcher.setRecorder(recorder);
        // The watch is past what waits there: nobody would tell it again.
        old.applyAllLists();
        List<ServerList.Target> servers = old.knownServers();
        dispatcher.onCachedList(new ServerList(0, true, servers));
        dispatcher.restore(
                old.statistics(servers.stream().map(ServerList.Target::id).toList()));
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
     * Has clients connect there from now on; those that are connected stay.
     *
     * @return tells whether the address could be had; if not, the one before stays
     */
    public ChannelFuture rebind(EventLoopGroup group, InetSocketAddress address) {
        return clients.rebind(group, address);
    }

    /** On the system's sockets and clock. */
    public Node(NodeConfig config, EventLoop loop) {
        this(config, loop, Network.SYSTEM, System.currentTimeMillis(), NodeHooks.NONE);
    }

    /**
     * Goes through so many requests inside the process, before anybody can connect: code that has never run
     * keeps the loop for up to seconds of a small part of a core, and what a client had sent meanwhile would
     * lie unread past its time. Then runs {@code then}, which is to start the node, unless it is to stop
     * by then.
     */
    public void warmUp(int rehearsed, Runnable then) {
        // A first line takes as long as fifty requests; it must not be the one that says that it listens.
        LOG.log(Level.INFO, "warming up");
        String token = rehearsalToken();
        clients.setRehearsal(token);
        if (isListPushed()) {
            // Its list counts as told from the first moment on; it comes while the code gets warm.
            subscribePushed();
        }
        new Rehearsal(
                        loop,
                        new MemoryNetwork(clients::open),
                        config,
                        protocolAdapters,
                        config.listen(),
                        token,
                        rehearsed,
                        MAX_REHEARSAL_MS,
                        () -> runAfterYield(() -> {
                            prepare();
                            runAfterFirstList(() -> runAfterYield(then));
                        }))
                .run();
    }

    private boolean isListPushed() {
        return !config.settings().mustRequestList && config.discovery() != null;
    }

    /** Runs it once a pushed list has come, or has not for a while; at once where lists are asked for. */
    private void runAfterFirstList(Runnable then) {
        if (!isListPushed() || hasReceivedList) {
            then.run();
            return;
        }
        firstListAction = then;
        loop.schedule(this::runFirstListAction, FIRST_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void runFirstListAction() {
        Runnable then = firstListAction;
        firstListAction = null;
        if (then != null) {
            then.run();
        }
    }

    /**
     * Runs it once the loop has waited, however shortly, unless the node is to stop by then. Where a process
     * has a part of a processor, it pays for a long stretch of work in that wait; what is opened at the
     * stretch's end would stand open unattended meanwhile.
     */
    private void runAfterYield(Runnable then) {
        loop.schedule(
                () -> {
                    if (!stopping) {
                        then.run();
                    }
                },
                YIELD_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    private String rehearsalToken() {
        return Long.toHexString(new SplittableRandom(config.seed()).nextLong());
    }

    /** Takes in the known list, once. Before anybody can connect: it takes as long as some requests. */
    private void prepare() {
        if (prepared) {
            return;
        }
        prepared = true;
        if (sockets.isScarce()) {
            LOG.log(
                    Level.WARNING,
                    "limits.sockets is small: {0} clients are served at once, others refused",
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
     * Takes in the known list, opens the client side and serves; says that it is ready after a rehearsal
     * of so many requests, or at once if there are none. To be called on the loop, as all else here.
     */
    public ChannelFuture start(EventLoopGroup group, int rehearsed, Runnable whenReady) {
        prepare();
        ChannelFuture binding = clients.listen(group, config.listen());
        binding.addListener(done -> {
            if (done.isSuccess()) {
                // Also because a first line needs files of the runtime: out of descriptors it would throw an
                // Error, in the loop, where nothing but the log would catch it.
                LOG.log(Level.INFO, "listening on {0}", binding.channel().localAddress());
                String token = rehearsalToken();
                clients.setRehearsal(token);
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
                if (rehearsed == 0) {
                    ready.run();
                } else {
                    // Not before the first look at who has come meanwhile.
                    Runnable last = ready;
                    runAfterYield(() -> new Rehearsal(
                                    loop,
                                    network,
                                    config,
                                    protocolAdapters,
                                    (InetSocketAddress) binding.channel().localAddress(),
                                    token,
                                    rehearsed,
                                    MAX_REHEARSAL_MS,
                                    last)
                            .run());
                }
            }
        });
        return binding;
    }

    /** Has these routes hold for requests from now on; those in hand keep theirs. */
    public void setRoutes(RoutePolicy policy) {
        dispatcher.setRoutes(policy);
    }

    /** Has this node keep to a part of the fleet; before it starts. */
    public void setSubset(Subset part) {
        dispatcher.setSubset(part);
    }

    /** Has requests stand before this door, or before none if it is null. */
    public void admission(AdmissionControl door) {
        dispatcher.admission(door);
    }

    /** The door that requests stand before, or null. */
    public AdmissionControl admission() {
        return dispatcher.admission();
    }

    /** Has this see how attempts end, besides the module; null for nobody. */
    public void setAttemptObserver(AttemptObserver other) {
        attemptObserver = other;
        dispatcher.setAttemptObserver(other);
    }

    /** Has this see what becomes of requests; null for nobody. */
    public void setRecorder(RequestRecorder other) {
        recorder = other;
        dispatcher.setRecorder(other);
    }

    /** Why this server is sent nothing, or less than it might be: a line a reason. */
    public List<String> explainServer(String serverId) {
        return dispatcher.explainServer(serverId);
    }

    /** Has {@code /ready} say this besides what else it says; what is null says nothing. */
    public void setReadinessNote(Supplier<String> line) {
        clients.setReadinessNote(line);
    }

    /** Has this go along with the node's life; before it starts. */
    public void setLifecycle(NodeLifecycle with) {
        lifecycle = with;
    }

    /** Takes up what may change while it runs: where discovery is. */
    public void moveDiscovery(NodeConfig fresh) {
        discovery.moveTo(fresh.discovery());
    }

    /** Begins as a rehearsal's node: it has a list, no address of its own, and asks for no other list. */
    void startAsRehearsal() {
        rehearsing = true;
        dispatcher.onCachedList(config.knownServers());
    }

    void openRehearsalConnection(ChannelPipeline pipeline) {
        clients.open(pipeline);
    }

    /** Gives back all that it holds; for the end of a rehearsal, or of a process that goes on. */
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

    /** Stops taking requests after a while and runs {@code done} as soon as all are answered. */
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

    /** Runs it the second time. */
    private static Runnable runOnSecondCall(Runnable whenDone) {
        int[] left = {2};
        return () -> {
            if (--left[0] == 0) {
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

    /** How many servers it knows, those that drain too. */
    public int serverCount() {
        return dispatcher.knownServers().size();
    }

    /** What it has in hand just now. */
    public PendingWork pendingWork() {
        int held = dispatcher.pendingRequests()
                + retired.stream().mapToInt(r -> r.dispatcher.pendingRequests()).sum();
        return new PendingWork(held, clients.pendingRequestBytes(), sockets.openCount());
    }

    /** For the module: a call that is on its way already, after a move say, answers it too. */
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
            // It is newer than the known list, and must not be gone over by it.
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
        LOG.log(Level.INFO, "the watch on the list failed: {0}", reason);
        if (isListPushed()) {
            // At once after one that has been open for a while.
            long sinceNs = loop.ticker().nanoTime() - lastSubscribeNs;
            loop.schedule(
                    this::subscribePushed,
                    Math.max(TimeUnit.MILLISECONDS.toNanos(YIELD_DELAY_MS), watchRetryDelayNs - sinceNs),
                    TimeUnit.NANOSECONDS);
        }
        dispatcher.onListFailed();
    }
}
