package vetchpost.sourcewatch;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import vetchpost.core.AttemptObserver;
import vetchpost.core.ServerList;
import vetchpost.core.ServerResponse;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.net.Network;
import vetchpost.sources.CheckPlan;
import vetchpost.sources.Membership;
import vetchpost.sources.ReportedServer;
import vetchpost.sources.ServerOverrides;
import vetchpost.sources.SourceDeclaration;
import vetchpost.sources.SourceMerger;
import vetchpost.standalone.Standalone;

/**
 * Maintains a node's list of servers: queries the sources, runs health checks, observes the results of real requests,
 * and reports changes to the node. The node creates it and calls it on its event loop; only files are read on a thread
 * of their own.
 */
public final class SourceWatcher implements AttemptObserver, AutoCloseable {
    private static final Logger LOG = System.getLogger(SourceWatcher.class.getName());
    /** Reports are at least this far apart, so that changes which arrive in between are combined. */
    private static final long UPDATE_DELAY_US = 10_000;
    /** Bounds the connections of concurrent checks, which no limit of sockets counts. */
    private static final int MAX_CONCURRENT_CHECKS = 32;

    private static final int MAX_LOGGED_CHANGES = 20;

    private final EventLoop loop;
    private final Network network;
    private final Membership membership;
    private final CheckPlan checks;
    private final SourceMerger merger;
    private final long originNs;
    private final Map<SourceDeclaration, AutoCloseable> watches = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private Standalone settings;
    private ScheduledExecutorService fileThread;
    private Consumer<ServerList> listener;
    private ScheduledFuture<?> nextUpdate;
    private long nextUpdateUs = Long.MAX_VALUE;
    private int runningChecks;
    private boolean isClosed;

    /**
     * Creates a watcher that knows the servers of the operator's file, and queries no source yet. Called on the loop.
     *
     * @param seed for the jitter of checks
     * @param unixMs Unix time in milliseconds
     */
    public SourceWatcher(Standalone settings, EventLoop loop, Network network, long seed, long unixMs) {
        this.settings = settings;
        this.loop = loop;
        this.network = network;
        originNs = loop.ticker().nanoTime();
        membership = new Membership(settings.sources(), settings.merge());
        checks = settings.checks() == null ? null : new CheckPlan(settings.checks(), seed, 0);
        merger = new SourceMerger(membership, checks, settings.settings().coldUs, unixMs, 0);
        reportInlineServers();
        merger.pollChanges(nowUs()).forEach(this::rememberAddress);
    }

    private long nowUs() {
        return (loop.ticker().nanoTime() - originNs) / 1_000;
    }

    private void reportInlineServers() {
        for (int i = 0; i < settings.sources().size(); i++) {
            if (settings.sources().get(i).kind() == SourceDeclaration.Kind.ITSELF) {
                membership.serversReported(i, settings.sources().get(i).inlineServers(), nowUs());
            }
        }
    }

    /** Sets the operators' overrides of servers; {@link #overridesChanged} reports changes of them. */
    public void setOverrides(ServerOverrides newOverrides) {
        merger.setOverrides(newOverrides);
    }

    /** The operators' overrides have changed; they are applied at once. */
    public void overridesChanged() {
        if (listener != null) {
            update();
        }
    }

    /** The current servers without the operators' overrides of single servers. */
    public List<Membership.Member> members() {
        return merger.members();
    }

    /** The full list of servers known now. */
    public ServerList knownServers() {
        return merger.fullList();
    }

    /**
     * Starts to watch the sources.
     *
     * @param changeListener receives changes of the server list, on the loop
     */
    public void start(Consumer<ServerList> changeListener) {
        listener = changeListener;
        updateWatches();
        update();
    }

    /** Replaces the sources by those of new settings. The rules of merging and checks stay as at the start. */
    public void reload(Standalone newSettings) {
        settings = newSettings;
        membership.reload(newSettings.sources());
        reportInlineServers();
        updateWatches();
        update();
    }

    /** Starts watches of newly declared sources and closes those of removed ones. */
    private void updateWatches() {
        List<SourceDeclaration> declared = settings.sources();
        for (SourceDeclaration watched : List.copyOf(watches.keySet())) {
            if (!declared.contains(watched)) {
                closeWatch(watches.remove(watched));
            }
        }
        for (SourceDeclaration source : declared) {
            if (source.kind() != SourceDeclaration.Kind.ITSELF && !watches.containsKey(source)) {
                SourceListener sourceListener = listenerFor(source);
                watches.put(
                        source,
                        source.kind() == SourceDeclaration.Kind.FILE
                                ? new FileWatch(source, fileThread(), loop, sourceListener)
                                : new NameWatch(source, loop, network, sourceListener));
            }
        }
    }

    private ScheduledExecutorService fileThread() {
        if (fileThread == null) {
            fileThread = Executors.newSingleThreadScheduledExecutor(task -> {
                Thread thread = new Thread(task, "sources");
                thread.setDaemon(true);
                return thread;
            });
        }
        return fileThread;
    }

    /** The source's index may change with a reload, so it is looked up each time. */
    private SourceListener listenerFor(SourceDeclaration source) {
        return new SourceListener() {
            @Override
            public void serversReported(List<ReportedServer> servers) {
                int index = settings.sources().indexOf(source);
                if (index >= 0 && !isClosed) {
                    String lastFailure = membership.failure(index);
                    membership.serversReported(index, servers, nowUs());
                    if (servers.isEmpty() ? lastFailure.isEmpty() : !lastFailure.isEmpty()) {
                        LOG.log(
                                Level.INFO,
                                "source {0} {1}",
                                source.name(),
                                servers.isEmpty()
                                        ? "reports no servers; its last servers stay in use until they are stale"
                                        : "has recovered");
                    }
                    scheduleUpdate();
                }
            }

            @Override
            public void sourceFailed(String reason) {
                int index = settings.sources().indexOf(source);
                if (index >= 0 && !isClosed) {
                    if (membership.failure(index).isEmpty()) {
                        LOG.log(
                                Level.WARNING,
                                "source {0} failed; its last servers stay in use until they are stale: {1}",
                                source.name(),
                                reason);
                    }
                    membership.sourceFailed(index, reason, nowUs());
                    scheduleUpdate();
                }
            }
        };
    }

    @Override
    public void onAttemptEnded(
            String serverId, Result result, ServerResponse response, boolean isLoopDelayed, long unusedUs) {
        String drainHeader = settings.drainHeader();
        if (response != null
                && !drainHeader.isEmpty()
                && response.headers() != null
                && response.headers().get(drainHeader) != null) {
            merger.reportDraining(serverId, nowUs());
            scheduleUpdate();
        }
        if (checks == null) {
            return;
        }
        switch (result) {
            case OK -> checks.requestSucceeded(serverId, nowUs());
            case ERROR, RESET, CONNECT_FAILED -> {
                checks.requestFailed(serverId, nowUs());
                scheduleUpdate();
            }
            case TIMEOUT -> {
                if (!isLoopDelayed) {
                    checks.requestFailed(serverId, nowUs());
                    scheduleUpdate();
                }
            }
            default -> {}
        }
    }

    /** Schedules an update after a short delay, which combines all changes until then. */
    private void scheduleUpdate() {
        scheduleUpdateAt(nowUs() + UPDATE_DELAY_US);
    }

    private void scheduleUpdateAt(long atUs) {
        if (isClosed || listener == null || atUs >= nextUpdateUs) {
            return;
        }
        if (nextUpdate != null) {
            nextUpdate.cancel(false);
        }
        nextUpdateUs = atUs;
        nextUpdate = loop.schedule(
                () -> {
                    nextUpdateUs = Long.MAX_VALUE;
                    update();
                },
                Math.max(0, atUs - nowUs()),
                TimeUnit.MICROSECONDS);
    }

    private void update() {
        if (isClosed) {
            return;
        }
        long nowUs = nowUs();
        List<ServerList.Target> changes = merger.pollChanges(nowUs);
        if (!changes.isEmpty()) {
            logChanges(changes);
            changes.forEach(this::rememberAddress);
            listener.accept(new ServerList(0, false, changes));
        }
        startChecks(nowUs);
        long nextUs = merger.nextUpdateUs(nowUs);
        if (checks != null && runningChecks < MAX_CONCURRENT_CHECKS) {
            nextUs = Math.min(nextUs, checks.nextCheckUs(nowUs));
        }
        if (nextUs < Long.MAX_VALUE) {
            scheduleUpdateAt(Math.max(nextUs, nowUs + UPDATE_DELAY_US));
        }
    }

    private void rememberAddress(ServerList.Target target) {
        if (target.state() == ServerState.GONE) {
            addresses.remove(target.id());
        } else {
            addresses.put(target.id(), target.address());
        }
    }

    private static void logChanges(List<ServerList.Target> changes) {
        List<String> descriptions = new ArrayList<>();
        for (ServerList.Target change : changes.subList(0, Math.min(MAX_LOGGED_CHANGES, changes.size()))) {
            descriptions.add(change.id() + " " + change.state().name().toLowerCase(Locale.ROOT));
        }
        LOG.log(
                Level.INFO,
                "servers: {0}{1}",
                String.join(", ", descriptions),
                changes.size() > MAX_LOGGED_CHANGES ? " and " + (changes.size() - MAX_LOGGED_CHANGES) + " more" : "");
    }

    private void startChecks(long nowUs) {
        if (checks == null) {
            return;
        }
        for (String id : checks.dueChecks(nowUs, MAX_CONCURRENT_CHECKS - runningChecks)) {
            runningChecks++;
            HealthCheck.start(
                    loop,
                    network,
                    addresses.get(id),
                    settings.checks(),
                    settings.limits().requiredHeader(),
                    finding -> {
                        runningChecks--;
                        checks.checkCompleted(id, finding, nowUs());
                        scheduleUpdate();
                    });
        }
    }

    private static void closeWatch(AutoCloseable watch) {
        try {
            watch.close();
        } catch (Exception e) {
            // It is no longer queried, whether closing it worked or not.
            LOG.log(Level.DEBUG, "closing a source failed", e);
        }
    }

    @Override
    public void close() {
        isClosed = true;
        if (nextUpdate != null) {
            nextUpdate.cancel(false);
        }
        watches.values().forEach(SourceWatcher::closeWatch);
        watches.clear();
        if (fileThread != null) {
            fileThread.shutdownNow();
        }
    }
}
