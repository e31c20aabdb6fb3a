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
import vetchpost.conductor.Conductor;
import vetchpost.control.ControlSettings;
import vetchpost.control.Desk;
import vetchpost.control.Effects;
import vetchpost.control.Explanations;
import vetchpost.control.Judge;
import vetchpost.control.Leases;
import vetchpost.control.Shedder;
import vetchpost.control.Situation;
import vetchpost.control.Trail;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.Settings;
import vetchpost.node.Node;
import vetchpost.operations.AuditFile;
import vetchpost.operations.ControlSocket;
import vetchpost.recorder.FlightRecorder;
import vetchpost.sources.Overrule;

/** Operators' control of one node, put together; loaded only where the file has {@code [control]}. */
final class ControlLoader implements Overrule, AutoCloseable {
    private static final Logger LOG = System.getLogger(ControlLoader.class.getName());

    private final EventLoop loop;
    private final Conductor conductor;
    private final Leases leases;
    private final Desk desk;
    private final ControlSocket socket;
    private final ExecutorService writer;
    private List<String> classes = List.of();
    private ScheduledFuture<?> expiry;
    private final int keep;

    /** Begins with what held before a restart. */
    ControlLoader(ControlSettings settings, EventLoop loop, Conductor conductor, Supplier<Map<String, Long>> counts) {
        this.loop = loop;
        this.conductor = conductor;
        keep = settings.keep();
        writer = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "audit");
            thread.setDaemon(true);
            return thread;
        });
        leases = new Leases(new Judge(settings.leastLeft(), settings.mostShed()));
        AuditFile audit = new AuditFile(Path.of(settings.audit()), writer, loop);
        if (!audit.trouble().isEmpty()) {
            LOG.log(Level.WARNING, "{0}; changes are refused", audit.trouble());
        }
        Trail.held(audit.entries(), System.currentTimeMillis(), now().us()).forEach(leases::grant);
        audit.entries().forEach(e -> leases.goOnAfter(e.number()));
        desk = new Desk(leases, this::situation, counts, audit, this::changed);
        socket = new ControlSocket(Path.of(settings.socket()), desk, this::now);
        conductor.overrule(this);
        schedule();
    }

    private Desk.Now now() {
        return new Desk.Now(loop.ticker().nanoTime() / 1_000, System.currentTimeMillis());
    }

    private Situation situation() {
        return new Situation(
                conductor.members().stream()
                        .map(m -> new Situation.Server(m.id(), m.zone(), m.weight(), m.draining()))
                        .toList(),
                classes);
    }

    private void changed() {
        conductor.overruled();
        schedule();
    }

    private void schedule() {
        if (expiry != null) {
            expiry.cancel(false);
        }
        long next = leases.nextUs();
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
        desk.explanations(new Explanations(recorder, node::explainServer, this::situation, this::effects));
    }

    /**
     * Has the file be read again by {@code ctl} too, and {@code ctl status} say this; what is null says
     * nothing.
     */
    void operated(Consumer<Consumer<String>> reload, Supplier<String> remark) {
        desk.reloads(reload);
        desk.remark(remark);
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
        return new Shedder(routes, names, this::effects);
    }

    private Effects effects() {
        return leases.effects();
    }

    @Override
    public boolean drains(String id) {
        return effects().drains(id);
    }

    @Override
    public double weight(String id, double said) {
        return effects().weight(id, said);
    }

    @Override
    public boolean holdsList() {
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
