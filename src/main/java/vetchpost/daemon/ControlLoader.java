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
    private final SourceWatcher conductor;
    private final Leases leases;
    private final ControlApi desk;
    private final ControlSocket socket;
    private final ExecutorService writer;
    private List<String> classes = List.of();
    private ScheduledFuture<?> expiry;
    private final int keep;

    /** Begins with what held before a restart. */
    ControlLoader(
            ControlSettings settings, EventLoop loop, SourceWatcher conductor, Supplier<Map<String, Long>> counts) {
        this.loop = loop;
        this.conductor = conductor;
        keep = settings.recordedRequests();
        writer = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "audit");
            thread.setDaemon(true);
            return thread;
        });
        leases = new Leases(new SafetyCheck(settings.minRemainingFraction(), settings.maxShedFraction()));
        AuditFile audit = new AuditFile(Path.of(settings.auditFile()), writer, loop);
        if (!audit.failure().isEmpty()) {
            LOG.log(Level.WARNING, "{0}; changes are refused", audit.failure());
        }
        AuditLog.activeLeases(audit.entries(), System.currentTimeMillis(), now().us())
                .forEach(leases::grant);
        audit.entries().forEach(e -> leases.resumeNumberingAfter(e.number()));
        desk = new ControlApi(leases, this::situation, counts, audit, this::changed);
        socket = new ControlSocket(Path.of(settings.socket()), desk, this::now);
        conductor.setOverrides(this);
        schedule();
    }

    private ControlApi.Now now() {
        return new ControlApi.Now(loop.ticker().nanoTime() / 1_000, System.currentTimeMillis());
    }

    private FleetState situation() {
        return new FleetState(
                conductor.members().stream()
                        .map(m -> new FleetState.Server(m.id(), m.zone(), m.weight(), m.draining()))
                        .toList(),
                classes);
    }

    private void changed() {
        conductor.overridesChanged();
        schedule();
    }

    private void schedule() {
        if (expiry != null) {
            expiry.cancel(false);
        }
        long next = leases.nextExpiryUs();
        expiry = next == Long.MAX_VALUE
                ? null
                : loop.schedule(
                        () -> {
                            desk.expire(now());
                            schedule();
                        },
                        Math.max(0, next - now().us()),
                        TimeUnit.MICROSECONDS);
    }

    /**
     * Has the node keep what becomes of requests, where the file wants it, and explain it.
     *
     * @param settings of its classes, whose aims say from when on an answer is slow
     */
    void explain(Node node, Settings settings) {
        if (keep == 0) {
            return;
        }
        FlightRecorder recorder = new FlightRecorder(
                keep,
                settings.classes.stream().mapToLong(c -> c.latencyTargetUs()).toArray());
        node.setRecorder(recorder);
        desk.setExplanations(new Explanations(recorder, node::explainServer, this::situation, this::effects));
    }

    /**
     * Has the file be read again by {@code ctl} too, and {@code ctl status} say this; what is null says
     * nothing.
     */
    void operated(Consumer<Consumer<String>> reload, Supplier<String> remark) {
        desk.setReloader(reload);
        desk.setStatusNote(remark);
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
    RoutePolicy before(RoutePolicy routes, List<String> names) {
        classes = names;
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
        if (expiry != null) {
            expiry.cancel(false);
        }
        try {
            socket.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "the operator''s socket could not be taken away", e);
        }
        writer.shutdown();
    }
}
