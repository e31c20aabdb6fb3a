package vetchpost.simulation;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import vetchpost.node.NodeHooks;
import vetchpost.simulation.check.Checker;
import vetchpost.simulation.check.Violation;
import vetchpost.simulation.check.Violation.Rule;
import vetchpost.simulation.net.Tcp;
import vetchpost.simulation.net.VirtualTime;
import vetchpost.simulation.world.Clients;
import vetchpost.simulation.world.NodeProcess;
import vetchpost.simulation.world.Nodes;
import vetchpost.simulation.world.RequestClasses;
import vetchpost.simulation.world.RequestEffects;
import vetchpost.simulation.world.Rules;
import vetchpost.simulation.world.SimulatedDiscovery;
import vetchpost.simulation.world.SimulatedServer;
import vetchpost.simulation.world.World;

/**
 * One run of a {@link Plan}: production nodes between simulated clients, servers and discovery. It injects the
 * plan's faults, checks the rules after every step and stops at the first one broken. A run uses only the
 * calling thread; several runs may go on in parallel on different threads.
 */
public final class Simulation {
    private static final long NS_PER_MS = 1_000_000;
    /** Time for pending requests to end after the last new one. */
    private static final long TAIL_DURATION_MS = 3_000;
    /** A node stops within 3.65 s, and its remaining one-shot timers may take another 4 s. */
    private static final long MAX_STOP_MS = 9_000;
    /** A draining server begins to reject new requests this long after its notice. */
    private static final long DRAIN_DELAY_MS = 1_500;
    /** A run with more steps than this is taken to loop forever. */
    private static final long MAX_STEPS = 20_000_000;

    private final Plan plan;
    private final Trace trace;
    private final VirtualTime time = new VirtualTime();
    private final Map<Fault.Kind, Integer> injected = new EnumMap<>(Fault.Kind.class);
    private final Checker checker;
    private final World world;
    private final Clients clients;
    private final SimulatedDiscovery discovery;
    private final Nodes nodes = new Nodes();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private Violation violation;
    private List<String> precedingEvents = List.of();

    private Simulation(Plan plan, NodeProcess.Setup setup, PrintWriter out) {
        this.plan = plan;
        trace = new Trace(out);
        checker = new Checker(time, Rules.limits(), this::report);
        Tcp tcp = new Tcp(time, new SplittableRandom(plan.seed() ^ 0x7C9));
        world = new World(
                plan.seed(),
                time,
                tcp,
                checker,
                new RequestClasses(plan.workMs()),
                (event, subject, detail, number) -> trace.add(time.nanoTime(), event, subject, detail, number));
        RequestEffects effects = new RequestEffects(world, this::report);
        clients = new Clients(world, effects);
        discovery = new SimulatedDiscovery(world, nodes);
        for (int i = 0; i < plan.servers(); i++) {
            SimulatedServer server = new SimulatedServer(world, effects, i, i % plan.racks(), plan.slots());
            server.start(false);
            discovery.addServer(server);
            servers.add(server);
        }
        for (int i = 0; i < plan.nodes(); i++) {
            NodeProcess node =
                    new NodeProcess(world, clients, discovery, setup, this::report, plan.pushed(), plan.nodes(), i);
            servers.forEach(node::addServer);
            nodes.add(node);
            node.start();
        }
    }

    /** Runs the plan to its end, or until a rule is broken. */
    public static Result run(Plan plan) {
        return run(plan, loop -> NodeHooks.NONE, null);
    }

    /**
     * Runs the plan with nodes that are set up in another way, such as with injected faults.
     *
     * @param out receives the whole trace; null for none
     */
    public static Result run(Plan plan, NodeProcess.Setup setup, PrintWriter out) {
        LoggedFaults faults = LoggedFaults.watch();
        try {
            return new Simulation(plan, setup, out).run(faults);
        } finally {
            faults.close();
        }
    }

    private void report(Violation violated) {
        if (violation == null) {
            violation = violated;
            trace.add(time.nanoTime(), "BROKEN", violated.rule().name(), violated.description(), 0);
            precedingEvents = trace.lastEvents();
        }
    }

    private Result run(LoggedFaults faults) {
        plan.faults().forEach(f -> time.at(f.atMs() * NS_PER_MS, () -> inject(f)));
        scheduleArrival(world.random("arrivals", 0), 0);
        long tailNs = (plan.durationMs() + TAIL_DURATION_MS) * NS_PER_MS;
        time.at(tailNs, () -> {
            clients.close();
            nodes.all().forEach(NodeProcess::stop);
        });
        long endNs = tailNs + MAX_STOP_MS * NS_PER_MS;
        long steps = 0;
        while (violation == null && time.nanoTime() < endNs && time.step()) {
            checker.afterStep();
            String fault = faults.first();
            if (fault != null) {
                report(new Violation(Rule.FAULT, time.nanoTime(), fault));
            }
            if (++steps > MAX_STEPS) {
                report(new Violation(Rule.FAULT, time.nanoTime(), "the run goes round in circles"));
            }
        }
        if (violation == null && checker.unansweredCount() > 0) {
            report(new Violation(
                    Rule.LOST, time.nanoTime(), checker.unansweredCount() + " requests unanswered at the end"));
        }
        int[] counts = checker.counts();
        int[] operationCounts = clients.counts();
        return new Result(
                plan.seed(),
                violation,
                violation == null ? trace.lastEvents() : precedingEvents,
                trace.digest(),
                trace.events(),
                time.nanoTime(),
                clients.requestsSent(),
                operationCounts[0],
                operationCounts[1],
                operationCounts[2],
                counts[2],
                counts[3],
                counts[4],
                injected);
    }

    private void scheduleArrival(SplittableRandom random, int number) {
        double gapMs = -StrictMath.log(1 - random.nextDouble()) * 1_000 / plan.rate();
        long atNs = time.nanoTime() + (long) (gapMs * NS_PER_MS);
        if (atNs >= plan.durationMs() * NS_PER_MS) {
            return;
        }
        time.at(atNs, () -> {
            if (plan.onlyRequests() == null || plan.onlyRequests().get(number)) {
                clients.startRequest(null);
            } else {
                clients.skipRequest();
            }
            scheduleArrival(random, number + 1);
        });
    }

    private void inject(Fault fault) {
        injected.merge(fault.kind(), 1, Integer::sum);
        trace.add(time.nanoTime(), "fault", fault.kind().scriptName(), "", fault.target());
        SimulatedServer server = servers.get(fault.target() % servers.size());
        NodeProcess node = nodes.get(fault.target());
        switch (fault.kind()) {
            case DRAIN -> drain(server, fault.durationMs());
            case REPLACE -> replace(server, fault.durationMs());
            case KILL -> {
                if (server.isUp()) {
                    server.kill();
                    after(fault.durationMs(), () -> restart(server));
                }
            }
            case VANISH -> {
                if (server.isUp()) {
                    server.vanish();
                    after(fault.durationMs(), () -> {
                        server.reappear();
                        discovery.publish(server, "Ready");
                    });
                }
            }
            case FAIL -> server.fail(fault.amount(), fault.durationMs());
            case SLOW -> server.slow(Math.max(1, fault.amount()), fault.durationMs());
            case CORRUPT_RESPONSES -> server.corruptResponses(fault.amount(), fault.durationMs());
            case RESET -> server.reset(fault.amount(), fault.durationMs());
            case STOP_READING -> server.stopReading(fault.durationMs());
            case CRASH -> {
                node.crash();
                after(fault.durationMs(), node::start);
            }
            case STOP -> {
                node.stop();
                after(Math.max(fault.durationMs(), MAX_STOP_MS), node::start);
            }
            case PAUSE -> node.pauseLoopAtRandom(fault.durationMs());
            case MOVE_DISCOVERY -> {
                discovery.move();
                nodes.all().forEach(NodeProcess::signalReload);
            }
            case SILENCE_DISCOVERY -> discovery.silence(fault.durationMs());
            case BREAK_WATCHES -> discovery.breakWatches();
            case DELAY_DISCOVERY -> discovery.delayChanges(fault.durationMs());
            case SHRINK_LISTS -> discovery.shrinkLists(fault.durationMs());
            case PAGE_BURST -> repeat(fault.amount(), () -> clients.startRequest("view-page"));
            case ORDER_BURST -> repeat(fault.amount(), () -> clients.startRequest("place-order"));
            case PHOTO_BURST -> repeat(fault.amount(), () -> clients.startRequest("add-photo"));
            case MALFORMED_CLIENTS -> repeat(fault.amount(), clients::startMalformedClient);
        }
    }

    private void after(long ms, Runnable task) {
        time.after(ms * NS_PER_MS, task);
    }

    private static void repeat(double count, Runnable task) {
        for (int i = 0; i < count; i++) {
            task.run();
        }
    }

    private void drain(SimulatedServer server, long forMs) {
        if (!server.isUp()) {
            return;
        }
        discovery.publishNow(server, "Terminating");
        after(DRAIN_DELAY_MS, () -> {
            if (server.isUp()) {
                server.drain();
            }
        });
        after(DRAIN_DELAY_MS + forMs, () -> {
            discovery.publish(server, "Gone");
            server.kill();
            server.rename();
            after(forMs, () -> restart(server));
        });
    }

    private void replace(SimulatedServer server, long gapMs) {
        if (server.isUp()) {
            server.kill();
            discovery.publish(server, "Gone");
            server.rename();
            after(gapMs, () -> restart(server));
        }
    }

    private void restart(SimulatedServer server) {
        server.start(true);
        discovery.publish(server, "Ready");
    }
}
