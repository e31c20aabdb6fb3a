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

/** One run of a plan: production nodes between simulated peers, and the rules checked after every step. */
public final class Simulation {
    private static final long NS_PER_MS = 1_000_000;
    /** What is still asked when no more comes may take so long to end. */
    private static final long TAIL_DURATION_MS = 3_000;
    /** Stopping takes up to 3.65 s, and the last timers as long again. */
    private static final long MAX_STOP_MS = 9_000;
    /** A discovery that drains a box lets it turn work away only after a while. */
    private static final long DRAIN_DELAY_MS = 1_500;
    /** A run that takes more events than this goes round in circles. */
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

    private Simulation(Plan plan, NodeProcess.Setup planting, PrintWriter out) {
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
                (what, who, detail, number) -> trace.add(time.nanoTime(), what, who, detail, number));
        RequestEffects effects = new RequestEffects(world, this::report);
        clients = new Clients(world, effects);
        discovery = new SimulatedDiscovery(world, nodes);
        for (int i = 0; i < plan.servers(); i++) {
            SimulatedServer box = new SimulatedServer(world, effects, i, i % plan.racks(), plan.slots());
            box.start(false);
            discovery.addServer(box);
            servers.add(box);
        }
        for (int i = 0; i < plan.nodes(); i++) {
            NodeProcess node =
                    new NodeProcess(world, clients, discovery, planting, this::report, plan.pushed(), plan.nodes(), i);
            servers.forEach(node::addServer);
            nodes.add(node);
            node.start();
        }
    }

    /** Runs the plan to its end, or to the first rule broken. */
    public static Result run(Plan plan) {
        return run(plan, loop -> NodeHooks.NONE, null);
    }

    /**
     * The same with faults planted in the nodes.
     *
     * @param out takes the whole trace, or null
     */
    public static Result run(Plan plan, NodeProcess.Setup planting, PrintWriter out) {
        LoggedFaults faults = LoggedFaults.watch();
        try {
            return new Simulation(plan, planting, out).run(faults);
        } finally {
            faults.close();
        }
    }

    private void report(Violation what) {
        if (violation == null) {
            violation = what;
            trace.add(time.nanoTime(), "BROKEN", what.rule().name(), what.description(), 0);
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
        int[] wants = clients.counts();
        return new Result(
                plan.seed(),
                violation,
                violation == null ? trace.lastEvents() : precedingEvents,
                trace.digest(),
                trace.events(),
                time.nanoTime(),
                clients.requestsSent(),
                wants[0],
                wants[1],
                wants[2],
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
        SimulatedServer box = servers.get(fault.target() % servers.size());
        NodeProcess node = nodes.get(fault.target());
        switch (fault.kind()) {
            case DRAIN -> drain(box, fault.durationMs());
            case REPLACE -> replace(box, fault.durationMs());
            case KILL -> {
                if (box.isUp()) {
                    box.kill();
                    after(fault.durationMs(), () -> restart(box));
                }
            }
            case SILENCE -> {
                if (box.isUp()) {
                    box.vanish();
                    after(fault.durationMs(), () -> {
                        box.reappear();
                        discovery.changed(box, "Ready");
                    });
                }
            }
            case FAIL -> box.fail(fault.amount(), fault.durationMs());
            case SLOW -> box.slow(Math.max(1, fault.amount()), fault.durationMs());
            case SPOIL -> box.corruptResponses(fault.amount(), fault.durationMs());
            case RESET -> box.reset(fault.amount(), fault.durationMs());
            case DEAF -> box.stopReading(fault.durationMs());
            case CRASH -> {
                node.crash();
                after(fault.durationMs(), node::start);
            }
            case STOP -> {
                node.stop();
                after(Math.max(fault.durationMs(), MAX_STOP_MS), node::start);
            }
            case STALL -> node.pauseLoopAtRandom(fault.durationMs());
            case MOVE -> {
                discovery.move();
                nodes.all().forEach(NodeProcess::signalReload);
            }
            case MUTE -> discovery.mute(fault.durationMs());
            case BREAK -> discovery.breakWatches();
            case LATE -> discovery.delayChanges(fault.durationMs());
            case SHRINK -> discovery.shrinkLists(fault.durationMs());
            case BURST -> repeat(fault.amount(), () -> clients.startRequest("view-page"));
            case ORDERS -> repeat(fault.amount(), () -> clients.startRequest("place-order"));
            case PHOTOS -> repeat(fault.amount(), () -> clients.startRequest("add-photo"));
            case RUDE -> repeat(fault.amount(), clients::startMalformedClient);
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

    private void drain(SimulatedServer box, long forMs) {
        if (!box.isUp()) {
            return;
        }
        discovery.changedNow(box, "Terminating");
        after(DRAIN_DELAY_MS, () -> {
            if (box.isUp()) {
                box.drain();
            }
        });
        after(DRAIN_DELAY_MS + forMs, () -> {
            discovery.changed(box, "Gone");
            box.kill();
            box.rename();
            after(forMs, () -> restart(box));
        });
    }

    private void replace(SimulatedServer box, long gapMs) {
        if (box.isUp()) {
            box.kill();
            discovery.changed(box, "Gone");
            box.rename();
            after(gapMs, () -> restart(box));
        }
    }

    private void restart(SimulatedServer box) {
        box.start(true);
        discovery.changed(box, "Ready");
    }
}
