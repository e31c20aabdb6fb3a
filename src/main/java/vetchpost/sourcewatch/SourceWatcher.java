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
 * Keeps a node's list of servers: asks the sources, has servers checked, hears what real requests tell, and
 * tells the node what has changed. All of it is on the node's loop but the reading of files.
 */
public final class SourceWatcher implements AttemptObserver, AutoCloseable {
    private static final Logger LOG = System.getLogger(SourceWatcher.class.getName());
    /** Changes are told no more often than this: a file may be replaced, and checks end, in between. */
    private static final long UPDATE_DELAY_US = 10_000;
    /** Checks that may be under way at once: they are counted against no limit of sockets. */
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
     * Knows the servers that the file itself names, and asks nobody yet. On the loop.
     *
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

    /** Has operators' words on servers count from now on; {@link #overridesChanged} tells that they have changed. */
    public void setOverrides(ServerOverrides other) {
        merger.setOverrides(other);
    }

    /** Operators' words have changed: they hold at once. */
    public void overridesChanged() {
        if (listener != null) {
            update();
        }
    }

    /** The servers as they are but for what operators say of each. */
    public List<Membership.Member> members() {
        return merger.members();
    }

    /** The servers that are known now. */
    public ServerList knownServers() {
        return merger.fullList();
    }

    /** Asks the sources from now on, and tells changes there. */
    public void start(Consumer<ServerList> to) {
        listener = to;
        updateWatches();
        update();
    }

    /** Has other sources be asked from now on. Rules of merging and checks stay as at the start. */
    public void reload(Standalone fresh) {
        settings = fresh;
        membership.reload(fresh.sources());
        reportInlineServers();
        updateWatches();
        update();
    }

    /** Watches the sources that are declared, and no others. */
    private void updateWatches() {
        List<SourceDeclaration> declared = settings.sources();
        for (SourceDeclaration old : List.copyOf(watches.keySet())) {
            if (!declared.contains(old)) {
                close(watches.remove(old));
            }
        }
        for (SourceDeclaration source : declared) {
            if (source.kind() != SourceDeclaration.Kind.ITSELF && !watches.containsKey(source)) {
                SourceListener listener = listenerFor(source);
                watches.put(
                        source,
                        source.kind() == SourceDeclaration.Kind.FILE
                                ? new FileWatch(source, fileThread(), loop, listener)
                                : new NameWatch(source, loop, network, listener));
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

    /** Its place may change with a reload, so it is looked up each time. */
    private SourceListener listenerFor(SourceDeclaration source) {
        return new SourceListener() {
            @Override
            public void serversReported(List<ReportedServer> servers) {
                int index = settings.sources().indexOf(source);
                if (index >= 0 && !isClosed) {
                    String trouble = membership.failure(index);
                    membership.serversReported(index, servers, nowUs());
                    if (servers.isEmpty() ? trouble.isEmpty() : !trouble.isEmpty()) {
                        LOG.log(
                                Level.INFO,
                                "source {0} {1}",
                                source.name(),
                                servers.isEmpty()
                                        ? "names no server; what it said last holds for a while"
                                        : "is well again");
                    }
                    scheduleUpdate();
                }
            }

            @Override
            public void sourceFailed(String why) {
                int index = settings.sources().indexOf(source);
                if (index >= 0 && !isClosed) {
                    if (membership.failure(index).isEmpty()) {
                        LOG.log(
                                Level.WARNING,
                                "source {0} can''t be used, and what it said last holds for a" + " while: {1}",
                                source.name(),
                                why);
                    }
                    membership.sourceFailed(index, why, nowUs());
                    scheduleUpdate();
                }
            }
        };
    }

    @Override
    public void onAttemptEnded(String serverId, Result result, ServerResponse answer, boolean stalled, long unusedUs) {
        String drain = settings.drainHeader();
        if (answer != null
                && !drain.isEmpty()
                && answer.headers() != null
                && answer.headers().get(drain) != null) {
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
                if (!stalled) {
                    checks.requestFailed(serverId, nowUs());
                    scheduleUpdate();
                }
            }
            default -> {}
        }
    }

    /** Settles in a moment, with all that comes until then. */
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
        long now = nowUs();
        List<ServerList.Target> changes = merger.pollChanges(now);
        if (!changes.isEmpty()) {
            logChanges(changes);
            changes.forEach(this::rememberAddress);
            listener.accept(new ServerList(0, false, changes));
        }
        startChecks(now);
        long at = merger.nextUpdateUs(now);
        if (checks != null && runningChecks < MAX_CONCURRENT_CHECKS) {
            at = Math.min(at, checks.nextCheckUs(now));
        }
        if (at < Long.MAX_VALUE) {
            scheduleUpdateAt(Math.max(at, now + UPDATE_DELAY_US));
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
        List<String> words = new ArrayList<>();
        for (ServerList.Target change : changes.subList(0, Math.min(MAX_LOGGED_CHANGES, changes.size()))) {
            words.add(change.id() + " " + change.state().name().toLowerCase(Locale.ROOT));
        }
        LOG.log(
                Level.INFO,
                "servers: {0}{1}",
                String.join(", ", words),
                changes.size() > MAX_LOGGED_CHANGES ? " and " + (changes.size() - MAX_LOGGED_CHANGES) + " more" : "");
    }

    private void startChecks(long now) {
        if (checks == null) {
            return;
        }
        for (String id : checks.dueChecks(now, MAX_CONCURRENT_CHECKS - runningChecks)) {
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

    private static void close(AutoCloseable watch) {
        try {
            watch.close();
        } catch (Exception e) {
            // It is not asked any more, whether it could be ended or not.
            LOG.log(Level.DEBUG, "a source could not be closed", e);
        }
    }

    @Override
    public void close() {
        isClosed = true;
        if (nextUpdate != null) {
            nextUpdate.cancel(false);
        }
        watches.values().forEach(SourceWatcher::close);
        watches.clear();
        if (fileThread != null) {
            fileThread.shutdownNow();
        }
    }
}
