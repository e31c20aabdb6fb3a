package vetchpost.simulation.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import vetchpost.changes.ChangeWriter;
import vetchpost.changes.RouteConfiguration;
import vetchpost.replication.Index;
import vetchpost.replication.Publisher;
import vetchpost.replication.Replica;
import vetchpost.simulation.scale.LightweightFleet.Machine;
import vetchpost.store.PackedTree.Sum;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/**
 * A writer, control machines and hollow nodes in regions, with changes and whatever goes wrong; each time
 * something comes into force at a machine it is held against what the writer had at that version.
 */
final class ReplicationRun {
    private static final long SECOND_US = 1_000_000;
    private static final int REGIONS = 4;
    private static final long SAME_REGION_DELAY_US = 500;
    private static final long CROSS_REGION_DELAY_US = 35_000;
    /** Removed keys that a control machine remembers; so few in drawn runs that ranges are compared too. */
    private static final long MAX_REMEMBERED_REMOVALS = 50_000;

    private static final long MAX_REMEMBERED_REMOVALS_IN_SEED_RUNS = 3;

    /** Makes the replicas, so that a test can plant a fault in them. */
    interface ReplicaFactory {
        Replica create(String name, VersionedStore store, Index index, boolean relay, Replica.Listener listener);

        ReplicaFactory DEFAULT = Replica::new;
    }

    /** What a machine has done wrong. */
    record RuleViolation(String rule, String details) {}

    private final LightweightFleet fleet = new LightweightFleet();
    private final SplittableRandom random;
    private final ConfigurationGenerator generator;
    private final ReplicaFactory replicaFactory;
    private final Publisher.Budget budget;
    private final Machine writerMachine;
    private final List<Machine> controls = new ArrayList<>();
    private final List<Machine> nodes = new ArrayList<>();
    private final boolean[] isolated = new boolean[REGIONS];
    private final Map<Long, Sum> digestByVersion = new HashMap<>();
    private final Map<Long, Sum> indexDigestByVersion = new HashMap<>();
    private final Map<Long, Long> submittedUs = new HashMap<>();
    private final Map<Machine, Long> appliedVersion = new IdentityHashMap<>();
    private final List<RuleViolation> violations = new ArrayList<>();
    private final List<Long> propagationDelaysUs = new ArrayList<>();
    private final boolean checksIndex;
    private final long maxRememberedRemovals;
    private ChangeWriter writer;
    private boolean measuring;
    private int rejectedBatches;

    ReplicationRun(
            long seed,
            ConfigurationGenerator configurations,
            RouteConfiguration start,
            int controlMachines,
            int nodeCount,
            Publisher.Budget budget,
            ReplicaFactory replicas,
            boolean checksIndex) {
        random = new SplittableRandom(seed * 7_919 + 13);
        this.generator = configurations;
        this.budget = budget;
        this.replicaFactory = replicas;
        this.checksIndex = checksIndex;
        maxRememberedRemovals = checksIndex ? MAX_REMEMBERED_REMOVALS_IN_SEED_RUNS : MAX_REMEMBERED_REMOVALS;
        fleet.setLinkDelay((from, to) -> from.region() == to.region()
                ? SAME_REGION_DELAY_US
                : isolated[from.region()] || isolated[to.region()] ? -1 : CROSS_REGION_DELAY_US);
        writer = new ChangeWriter(start, Version.epoch(start.store().version()));
        recordVersion();
        writerMachine = fleet.machine("writer", 0);
        // What goes to a few control machines may take what nodes must not.
        writerMachine.startPublishing(
                start.store(),
                new Publisher.Budget(
                        10 * budget.bytesPerSPerReplica(),
                        10 * budget.burstBytesPerReplica(),
                        budget.totalBytesPerS(),
                        100 * budget.entriesPerSPerReplica()));
        for (int i = 0; i < controlMachines; i++) {
            Machine control = fleet.machine("control-" + i, i % REGIONS);
            controls.add(control);
            startMachine(control, start, 0);
        }
        for (int i = 0; i < nodeCount; i++) {
            Machine node = fleet.machine("node-" + i, i % REGIONS);
            nodes.add(node);
            startMachine(node, start, random.nextInt(1, 2_000_000));
        }
    }

    LightweightFleet fleet() {
        return fleet;
    }

    List<Machine> controls() {
        return controls;
    }

    List<Machine> nodes() {
        return nodes;
    }

    List<RuleViolation> violations() {
        return violations;
    }

    /** From a change's entry to where it was in force, in microseconds, one for each change and node. */
    List<Long> propagationDelaysUs() {
        return propagationDelaysUs;
    }

    ChangeWriter writer() {
        return writer;
    }

    int rejectedBatches() {
        return rejectedBatches;
    }

    /** Has delays be counted from now on, or no more. */
    void setMeasuring(boolean on) {
        measuring = on;
    }

    private void recordVersion() {
        digestByVersion.put(writer.store().version(), writer.store().live().sum());
        if (checksIndex) {
            indexDigestByVersion.put(
                    writer.store().version(), writer.configuration().routes().matchSum());
        }
        submittedUs.put(writer.store().version(), fleet.nowUs());
    }

    /** A machine begins with a catalog that was whole at its version. */
    private void startMachine(Machine machine, RouteConfiguration from, long afterUs) {
        startMachine(machine, from.store(), from, afterUs);
    }

    private void startMachine(Machine machine, VersionedStore store, Index index, long afterUs) {
        boolean relay = controls.contains(machine);
        Replica replica = replicaFactory.create(
                machine.name(), store, index, relay, (fresh, made) -> onApplied(machine, relay, fresh, made));
        appliedVersion.put(machine, store.version());
        if (relay) {
            machine.startPublishing(store, budget);
        }
        machine.replicateFrom(replica, relay ? List.of(writerMachine) : controls, afterUs);
    }

    private void onApplied(Machine machine, boolean relay, VersionedStore store, Index index) {
        long before = appliedVersion.put(machine, store.version());
        if (store.version() < before) {
            violations.add(new RuleViolation(
                    "no version goes back",
                    machine.name() + " from " + Version.format(before) + " to " + Version.format(store.version())));
        }
        if (!store.live().sum().equals(digestByVersion.get(store.version()))) {
            violations.add(new RuleViolation(
                    "what is in force is what was written, whole",
                    machine.name() + " at " + Version.format(store.version())));
        }
        if (checksIndex
                && !((RouteConfiguration) index)
                        .routes()
                        .matchSum()
                        .equals(indexDigestByVersion.get(store.version()))) {
            violations.add(new RuleViolation(
                    "requests are looked up in what is in force",
                    machine.name() + " at " + Version.format(store.version())));
        }
        if (measuring && !relay) {
            for (long version = before + 1; version <= store.version(); version++) {
                Long entered = submittedUs.get(version);
                if (entered != null) {
                    propagationDelaysUs.add(fleet.nowUs() - entered);
                }
            }
        }
        if (relay) {
            machine.publishUpdate(store.forgetRemovals(maxRememberedRemovals));
        }
    }

    /** So many changes are entered, as one batch. */
    void submitBatch(int size) {
        if (!writer.submit(generator.generateChanges(writer.configuration(), size))
                .isEmpty()) {
            rejectedBatches++;
            return;
        }
        recordVersion();
        writerMachine.publishUpdate(writer.store().forgetRemovals(maxRememberedRemovals));
    }

    /** Has changes come evenly, so many a second, up to that time. */
    void scheduleChanges(double perS, long untilUs) {
        long everyUs = (long) (SECOND_US / perS);
        fleet.schedule(fleet.nowUs() + everyUs / 2 + random.nextLong(everyUs), () -> {
            if (fleet.nowUs() < untilUs) {
                submitBatch(1);
                scheduleChanges(perS, untilUs);
            }
        });
    }

    /** A region loses all others, or finds them again. */
    void setIsolated(int region, boolean off) {
        isolated[region] = off;
    }

    boolean isIsolated(int region) {
        return isolated[region];
    }

    /** A machine dies and is there again after a while, with what it had or, of a node, with this. */
    void restart(Machine machine, long afterUs, RouteConfiguration from) {
        if (!machine.isRunning()) {
            return;
        }
        Replica old = machine.replica();
        machine.kill();
        fleet.schedule(fleet.nowUs() + afterUs, () -> {
            machine.markRunning();
            if (from == null) {
                // A control machine keeps what went away too.
                startMachine(
                        machine,
                        controls.contains(machine)
                                ? old.store()
                                : VersionedStore.of(
                                        old.store().live(), old.store().version()),
                        old.index(),
                        1_000);
            } else {
                startMachine(machine, from, 1_000);
            }
        });
    }

    /** The same with just this on its disk. */
    void restart(Machine machine, long afterUs, VersionedStore store, Index index) {
        machine.kill();
        fleet.schedule(fleet.nowUs() + afterUs, () -> {
            machine.markRunning();
            startMachine(machine, store, index, 1_000);
        });
    }

    /** Another writer takes over, from what the control machine that is furthest has. */
    void failOverWriter() {
        Machine furthest = controls.get(0);
        for (Machine control : controls) {
            long most = furthest.replica().store().version();
            if (control.isRunning() && control.replica().store().version() > most) {
                furthest = control;
            }
        }
        RouteConfiguration catalog = (RouteConfiguration) furthest.replica().index();
        if (furthest.replica().store().version() != writer.store().version()) {
            // It would lose changes that have a version: that takes agreement, which is not there yet.
            return;
        }
        writer = new ChangeWriter(
                catalog.withStore(furthest.replica().store()),
                Version.epoch(writer.store().version()) + 1);
    }

    /** Whether all machines that can be reached have what the writer has; names of those that have not. */
    List<String> laggingMachines() {
        List<String> behind = new ArrayList<>();
        for (List<Machine> some : List.of(controls, nodes)) {
            for (Machine machine : some) {
                if (machine.isRunning()
                        && !machine.replica()
                                .store()
                                .live()
                                .sum()
                                .equals(writer.store().live().sum())) {
                    behind.add(machine.name() + " at "
                            + Version.format(machine.replica().store().version()));
                }
            }
        }
        return behind;
    }

    /** A run of that seed with drawn cuts, kills, restarts and takeovers over some nodes; what it broke. */
    static List<RuleViolation> runSeed(long seed, int nodeCount, ReplicaFactory replicas) {
        ConfigurationGenerator configurations = new ConfigurationGenerator(seed, 5, 20);
        RouteConfiguration start = configurations.generate(150);
        ReplicationRun run = new ReplicationRun(
                seed,
                configurations,
                start,
                4,
                nodeCount,
                new Publisher.Budget(18_000, 4_000, 1_000_000, 400),
                replicas,
                true);
        SplittableRandom random = run.random;
        long endUs = 60 * SECOND_US;
        for (int i = 0; i < 30; i++) {
            run.fleet.schedule(
                    random.nextLong(endUs),
                    () -> run.submitBatch(random.nextInt(6) == 0 ? random.nextInt(20, 200) : 1));
        }
        for (int i = 0; i < 12; i++) {
            run.fleet.schedule(random.nextLong(endUs), () -> run.injectFault(random, start));
        }
        run.fleet.runUntil(endUs);
        for (int region = 0; region < REGIONS; region++) {
            run.setIsolated(region, false);
        }
        // Whoever was cut off finds out by silence, then waits for its turn to ask.
        run.fleet.runUntil(endUs + 60 * SECOND_US);
        for (String each : run.laggingMachines()) {
            run.violations.add(new RuleViolation("all are the same after the healing", each));
        }
        return run.violations;
    }

    private void injectFault(SplittableRandom draw, RouteConfiguration start) {
        switch (draw.nextInt(7)) {
            case 0, 1 -> {
                int region = draw.nextInt(REGIONS);
                setIsolated(region, true);
                fleet.schedule(fleet.nowUs() + draw.nextLong(25 * SECOND_US), () -> setIsolated(region, false));
            }
            case 2 -> restart(controls.get(draw.nextInt(controls.size())), draw.nextLong(1, 3 * SECOND_US), null);
            case 3 -> controls.forEach(c -> restart(c, draw.nextLong(1, 5 * SECOND_US), null));
            case 4 -> {
                for (int i = 0; i < 10; i++) {
                    restart(nodes.get(draw.nextInt(nodes.size())), draw.nextLong(1, 3 * SECOND_US), null);
                }
            }
            case 5 -> restart(nodes.get(draw.nextInt(nodes.size())), draw.nextLong(1, SECOND_US), start);
            default -> failOverWriter();
        }
    }
}
