package vetchpost.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import vetchpost.control.AuditLog;
import vetchpost.control.ControlApi;
import vetchpost.control.ControlSettings;
import vetchpost.control.Explanations;
import vetchpost.control.FleetState;
import vetchpost.control.Leases;
import vetchpost.control.OverrideEffects;
import vetchpost.control.SafetyCheck;
import vetchpost.control.SheddingRoutePolicy;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.Settings;
import vetchpost.node.Node;
import vetchpost.operations.AuditFile;
import vetchpost.operations.ControlSocket;
import vetchpost.recorder.FlightRecorder;
import vetchpost.sources.ServerOverrides;
import vetchpost.sourcewatch.SourceWatcher;

/** Operators' control of one node, put together; loaded only where the file has {@code [control]}. */
final class ControlLoader implements ServerOverrides, AutoCloseable {
    private static final Logger LOG = System.getLogger(ControlLoader.class.getName());

    private final EventLoop loop;
    private final SourceWatcher sourceWatcher;
    private final Leases leases;
    private final ControlApi controlApi;
    private final ControlSocket socket;
    private final ExecutorService auditWriter;
    private List<String> classNames = List.of();
    private ScheduledFuture<?> expiryTimer;
    private final int recordedRequests;

    /** Begins with what held before a restart. */
    ControlLoader(
            ControlSettings settings, EventLoop loop, SourceWatcher conductor, Supplier<Map<String, Long>> counts) {
        this.loop = loop;
        this.sourceWatcher = conductor;
        recordedRequests = settings.recordedRequests();
        auditWriter = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "audit");
            thread.setDaemon(true);
            return thread;
        });
        leases = new Leases(new SafetyCheck(settings.minRemainingFraction(), settings.maxShedFraction()));
        AuditFile audit = new AuditFile(Path.of(settings.auditFile()), auditWriter, loop);
        if (!audit.failure().isEmpty()) {
            LOG.log(Level.WARNING, "{0}; changes are refused", audit.failure());
        }
        AuditLog.activeLeases(audit.entries(), System.currentTimeMillis(), now().us())
                .forEach(leases::grant);
        audit.entries().forEach(e -> leases.resumeNumberingAfter(e.number()));
        controlApi = new ControlApi(leases, this::fleetState, counts, audit, this::onOverridesChanged);
        socket = new ControlSocket(Path.of(settings.socket()), controlApi, this::now);
        conductor.setOverrides(this);
        scheduleExpiry();
    }

    private ControlApi.Now now() {
        return new ControlApi.Now(loop.ticker().nanoTime() / 1_000, System.currentTimeMillis());
    }

    private FleetState fleetState() {
        return new FleetState(
                sourceWatcher.members().stream()
                        .map(m -> new FleetState.Server(m.id(), m.zone(), m.weight(), m.draining()))
                        .toList(),
                classNames);
    }

    private void onOverridesChanged() {
        sourceWatcher.overridesChanged();
        scheduleExpiry();
    }

    private void scheduleExpiry() {
        if (expiryTimer != null) {
            expiryTimer.cancel(false);
        }
        long next = leases.nextExpiryUs();
        expiryTimer = next == Long.MAX_VALUE
                ? null
                : loop.schedule(
                        () -> {
                            controlApi.expire(now());
                            scheduleExpiry();
                        },
                        Math.max(0, next - now().us()),
                        TimeUnit.MICROSECONDS);
    }

    /**
     * Has the node keep what becomes of requests, where the file wants it, and explain it.
     *
     * @param settings of its classes, whose aims say from when on an answer is slow
     */
    void enableExplanations(Node node, Settings settings) {
        if (recordedRequests == 0) {
            return;
        }
        FlightRecorder recorder = new FlightRecorder(
                recordedRequests,
                settings.classes.stream().mapToLong(c -> c.latencyTargetUs()).toArray());
        node.setRecorder(recorder);
        controlApi.setExplanations(new Explanations(recorder, node::explainServer, this::fleetState, this::effects));
    }

    /**
     * Has the file be read again by {@code ctl} too, and {@code ctl status} say this; what is null says
     * nothing.
     */
    void enableReload(Consumer<Consumer<String>> reload, Supplier<String> remark) {
        controlApi.setReloader(reload);
        controlApi.setStatusNote(remark);
    }

    /** Opens the socket; a node goes on without it where that fails. */
    void open(EventLoopGroup group) {
        try {
            socket.open(group).addListener(done -> {
                if (!done.isSuccess()) {
                    LOG.log(
                            Level.WARNING,
                            "no operator''s socket: {0}",
                            done.cause().getMessage());
                }
            });
        } catch (IOException e) {
            LOG.log(Level.WARNING, "no operator''s socket: {0}", e.getMessage());
        }
    }

    /** These routes, less what operators have refused. */
    RoutePolicy withShedding(RoutePolicy routes, List<String> names) {
        classNames = names;
        return new SheddingRoutePolicy(routes, names, this::effects);
    }

    private OverrideEffects effects() {
        return leases.effects();
    }

    @Override
    public boolean isDraining(String id) {
        return effects().isDraining(id);
    }

    @Override
    public double weight(String id, double said) {
        return effects().weight(id, said);
    }

    @Override
    public boolean isListFrozen() {
        return effects().isFrozen();
    }

    @Override
    public void close() {
        if (expiryTimer != null) {
            expiryTimer.cancel(false);
        }
        try {
            socket.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "the operator''s socket could not be taken away", e);
        }
        auditWriter.shutdown();
    }
}
