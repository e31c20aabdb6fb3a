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
 * Simulates the replication of a configuration from a writer over control machines to lightweight nodes in several
 * regions, with changes and faults. Each time a machine applies a version, it is compared with what the writer had at
 * that version. The {@code scale} commands and tests drive it, each run on one thread; the same seed gives the same
 * run.
 */
final class ReplicationRun {
    private static final long SECOND_US = 1_000_000;
    private static final int REGIONS = 4;
    private static final long SAME_REGION_DELAY_US = 500;
    private static final long CROSS_REGION_DELAY_US = 35_000;
    /** Removed keys that a control machine remembers. */
    private static final long MAX_REMEMBERED_REMOVALS = 50_000;

    /** So few that seed runs also compare key ranges. */
    private static final long MAX_REMEMBERED_REMOVALS_IN_SEED_RUNS = 3;

    /** Creates the replicas; a test can inject faults with its own factory. */
    interface ReplicaFactory {
        Replica create(String name, VersionedStore store, Index index, boolean isRelay, Replica.Listener listener);

        ReplicaFactory DEFAULT = Replica::new;
    }

    /** A rule that a machine broke, and at which versions. */
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

    /**
     * Creates the machines; they connect as soon as the fleet runs.
     *
     * @param start the initial configuration of all machines
     * @param controlCount number of control machines, at least 1
     * @param nodeCount number of lightweight nodes
     * @param budget what a control machine may send to its nodes
     * @param checksIndex whether to check route indexes too, and to remember few removals
     */
    ReplicationRun(
            long seed,
            ConfigurationGenerator generator,
            RouteConfiguration start,
            int controlCount,
            int nodeCount,
            Publisher.Budget budget,
            ReplicaFactory replicaFactory,
            boolean checksIndex) {
        random = new SplittableRandom(seed * 7_919 + 13);
        this.generator = generator;
        this.budget = budget;
        this.replicaFactory = replicaFactory;
        this.checksIndex = checksIndex;
        maxRememberedRemovals = checksIndex ? MAX_REMEMBERED_REMOVALS_IN_SEED_RUNS : MAX_REMEMBERED_REMOVALS;
        fleet.setLinkDelay((from, to) -> from.region() == to.region()
                ? SAME_REGION_DELAY_US
                : isolated[from.region()] || isolated[to.region()] ? -1 : CROSS_REGION_DELAY_US);
        writer = new ChangeWriter(start, Version.epoch(start.store().version()));
        recordVersion();
        writerMachine = fleet.machine("writer", 0);
        // The few control machines may use more bandwidth than each of the many nodes.
        writerMachine.startPublishing(
                start.store(),
                new Publisher.Budget(
                        10 * budget.bytesPerSPerReplica(),
                        10 * budget.burstBytesPerReplica(),
                        budget.totalBytesPerS(),
                        100 * budget.entriesPerSPerReplica()));
        for (int i = 0; i < controlCount; i++) {
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

    /** The time from a change's submission until a node applied it, in microseconds, for each change and node. */
    List<Long> propagationDelaysUs() {
        return propagationDelaysUs;
    }

    ChangeWriter writer() {
        return writer;
    }

    int rejectedBatches() {
        return rejectedBatches;
    }

    /** Turns the recording of propagation delays on or off. */
    void setMeasuring(boolean isMeasuring) {
        measuring = isMeasuring;
    }

    private void recordVersion() {
        digestByVersion.put(writer.store().version(), writer.store().live().sum());
        if (checksIndex) {
            indexDigestByVersion.put(
                    writer.store().version(), writer.configuration().routes().matchSum());
        }
        submittedUs.put(writer.store().version(), fleet.nowUs());
    }

    /** Starts a machine with a configuration that is complete at its version. */
    private void startMachine(Machine machine, RouteConfiguration configuration, long afterUs) {
        startMachine(machine, configuration.store(), configuration, afterUs);
    }

    private void startMachine(Machine machine, VersionedStore store, Index index, long afterUs) {
        boolean isRelay = controls.contains(machine);
        Replica replica = replicaFactory.create(
                machine.name(),
                store,
                index,
                isRelay,
                (newStore, newIndex) -> onApplied(machine, isRelay, newStore, newIndex));
        appliedVersion.put(machine, store.version());
        if (isRelay) {
            machine.startPublishing(store, budget);
        }
        machine.replicateFrom(replica, isRelay ? List.of(writerMachine) : controls, afterUs);
    }

    private void onApplied(Machine machine, boolean isRelay, VersionedStore store, Index index) {
        long previous = appliedVersion.put(machine, store.version());
        if (store.version() < previous) {
            violations.add(new RuleViolation(
                    "versions never decrease",
                    machine.name() + " from " + Version.format(previous) + " to " + Version.format(store.version())));
        }
        if (!store.live().sum().equals(digestByVersion.get(store.version()))) {
            violations.add(new RuleViolation(
                    "an applied version equals what the writer had",
                    machine.name() + " at " + Version.format(store.version())));
        }
        if (checksIndex
                && !((RouteConfiguration) index)
                        .routes()
                        .matchSum()
                        .equals(indexDigestByVersion.get(store.version()))) {
            violations.add(new RuleViolation(
                    "the route index matches the applied version",
                    machine.name() + " at " + Version.format(store.version())));
        }
        if (measuring && !isRelay) {
            for (long version = previous + 1; version <= store.version(); version++) {
                Long submitted = submittedUs.get(version);
                if (submitted != null) {
                    propagationDelaysUs.add(fleet.nowUs() - submitted);
                }
            }
        }
        if (isRelay) {
            machine.publishUpdate(store.forgetRemovals(maxRememberedRemovals));
        }
    }

    /** Submits {@code size} changes as one batch. */
    void submitBatch(int size) {
        if (!writer.submit(generator.generateChanges(writer.configuration(), size))
                .isEmpty()) {
            rejectedBatches++;
            return;
        }
        recordVersion();
        writerMachine.publishUpdate(writer.store().forgetRemovals(maxRememberedRemovals));
    }

    /** Submits single changes at this rate until {@code untilUs}. */
    void scheduleChanges(double changesPerSecond, long untilUs) {
        long intervalUs = (long) (SECOND_US / changesPerSecond);
        fleet.schedule(fleet.nowUs() + intervalUs / 2 + random.nextLong(intervalUs), () -> {
            if (fleet.nowUs() < untilUs) {
                submitBatch(1);
                scheduleChanges(changesPerSecond, untilUs);
            }
        });
    }

    /** Cuts a region off from all others, or connects it again. */
    void setIsolated(int region, boolean isIsolated) {
        isolated[region] = isIsolated;
    }

    boolean isIsolated(int region) {
        return isolated[region];
    }

    /**
     * Stops a machine and restarts it after a delay; does nothing if it is down.
     *
     * @param afterUs the delay, in microseconds
     * @param configuration what a node restarts with; null for what the machine had
     */
    void restart(Machine machine, long afterUs, RouteConfiguration configuration) {
        if (!machine.isRunning()) {
            return;
        }
        Replica previous = machine.replica();
        machine.kill();
        fleet.schedule(fleet.nowUs() + afterUs, () -> {
            machine.markRunning();
            if (configuration == null) {
                // A control machine also keeps the removals that it remembers.
                startMachine(
                        machine,
                        controls.contains(machine)
                                ? previous.store()
                                : VersionedStore.of(
                                        previous.store().live(),
                                        previous.store().version()),
                        previous.index(),
                        1_000);
            } else {
                startMachine(machine, configuration, 1_000);
            }
        });
    }

    /** Stops a machine and restarts it after {@code afterUs} microseconds with this store and index. */
    void restart(Machine machine, long afterUs, VersionedStore store, Index index) {
        machine.kill();
        fleet.schedule(fleet.nowUs() + afterUs, () -> {
            machine.markRunning();
            startMachine(machine, store, index, 1_000);
        });
    }

    /**
     * Makes another writer take over with the data of the most up-to-date control machine; does nothing if that lags
     * behind the writer.
     */
    void failOverWriter() {
        Machine newest = controls.get(0);
        for (Machine control : controls) {
            long newestVersion = newest.replica().store().version();
            if (control.isRunning() && control.replica().store().version() > newestVersion) {
                newest = control;
            }
        }
        RouteConfiguration configuration = (RouteConfiguration) newest.replica().index();
        if (newest.replica().store().version() != writer.store().version()) {
            // A takeover now would lose committed changes; preventing that needs consensus, not implemented yet.
            return;
        }
        writer = new ChangeWriter(
                configuration.withStore(newest.replica().store()),
                Version.epoch(writer.store().version()) + 1);
    }

    /** Returns the names and versions of the running machines whose data differ from the writer's. */
    List<String> laggingMachines() {
        List<String> lagging = new ArrayList<>();
        for (List<Machine> group : List.of(controls, nodes)) {
            for (Machine machine : group) {
                if (machine.isRunning()
                        && !machine.replica()
                                .store()
                                .live()
                                .sum()
                                .equals(writer.store().live().sum())) {
                    lagging.add(machine.name() + " at "
                            + Version.format(machine.replica().store().version()));
                }
            }
        }
        return lagging;
    }

    /**
     * Simulates one minute of random changes, isolated regions, restarts and takeovers, and another minute to
     * converge.
     *
     * @param nodeCount number of lightweight nodes
     * @return the broken rules
     */
    static List<RuleViolation> runSeed(long seed, int nodeCount, ReplicaFactory replicaFactory) {
        ConfigurationGenerator generator = new ConfigurationGenerator(seed, 5, 20);
        RouteConfiguration start = generator.generate(150);
        ReplicationRun run = new ReplicationRun(
                seed,
                generator,
                start,
                4,
                nodeCount,
                new Publisher.Budget(18_000, 4_000, 1_000_000, 400),
                replicaFactory,
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
        // A machine detects a broken path by missing heartbeats, then waits for its turn to reconnect.
        run.fleet.runUntil(endUs + 60 * SECOND_US);
        for (String details : run.laggingMachines()) {
            run.violations.add(new RuleViolation("all machines converge after the faults end", details));
        }
        return run.violations;
    }

    private void injectFault(SplittableRandom random, RouteConfiguration start) {
        switch (random.nextInt(7)) {
            case 0, 1 -> {
                int region = random.nextInt(REGIONS);
                setIsolated(region, true);
                fleet.schedule(fleet.nowUs() + random.nextLong(25 * SECOND_US), () -> setIsolated(region, false));
            }
            case 2 -> restart(controls.get(random.nextInt(controls.size())), random.nextLong(1, 3 * SECOND_US), null);
            case 3 -> controls.forEach(control -> restart(control, random.nextLong(1, 5 * SECOND_US), null));
            case 4 -> {
                for (int i = 0; i < 10; i++) {
                    restart(nodes.get(random.nextInt(nodes.size())), random.nextLong(1, 3 * SECOND_US), null);
                }
            }
            case 5 -> restart(nodes.get(random.nextInt(nodes.size())), random.nextLong(1, SECOND_US), start);
            default -> failOverWriter();
        }
    }
}
