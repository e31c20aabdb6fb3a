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
    private static final long NEAR_US = 500;
    private static final long FAR_US = 35_000;
    /** Removed keys that a control machine remembers; so few in drawn runs that ranges are compared too. */
    private static final long REMEMBERED = 50_000;

    private static final long FEW_REMEMBERED = 3;

    /** Makes the replicas, so that a test can plant a fault in them. */
    interface Replicas {
        Replica of(String name, VersionedStore store, Index index, boolean relay, Replica.Listener listener);

        Replicas REAL = Replica::new;
    }

    /** What a machine has done wrong. */
    record Broken(String rule, String what) {}

    private final LightweightFleet hollow = new LightweightFleet();
    private final SplittableRandom random;
    private final Configurations configurations;
    private final Replicas replicas;
    private final Publisher.Budget budget;
    private final Machine head;
    private final List<Machine> controls = new ArrayList<>();
    private final List<Machine> nodes = new ArrayList<>();
    private final boolean[] cut = new boolean[REGIONS];
    private final Map<Long, Sum> history = new HashMap<>();
    private final Map<Long, Sum> indexes = new HashMap<>();
    private final Map<Long, Long> enteredUs = new HashMap<>();
    private final Map<Machine, Long> inForce = new IdentityHashMap<>();
    private final List<Broken> broken = new ArrayList<>();
    private final List<Long> delaysUs = new ArrayList<>();
    private final boolean checksIndex;
    private final long remembered;
    private ChangeWriter writer;
    private boolean measuring;
    private int refused;

    ReplicationRun(
            long seed,
            Configurations configurations,
            RouteConfiguration start,
            int controlMachines,
            int nodeCount,
            Publisher.Budget budget,
            Replicas replicas,
            boolean checksIndex) {
        random = new SplittableRandom(seed * 7_919 + 13);
        this.configurations = configurations;
        this.budget = budget;
        this.replicas = replicas;
        this.checksIndex = checksIndex;
        remembered = checksIndex ? FEW_REMEMBERED : REMEMBERED;
        hollow.distance((from, to) ->
                from.region() == to.region() ? NEAR_US : cut[from.region()] || cut[to.region()] ? -1 : FAR_US);
        writer = new ChangeWriter(start, Version.epoch(start.store().version()));
        remember();
        head = hollow.machine("writer", 0);
        // What goes to a few control machines may take what nodes must not.
        head.publish(
                start.store(),
                new Publisher.Budget(
                        10 * budget.bytesPerSPerReplica(),
                        10 * budget.burstBytesPerReplica(),
                        budget.totalBytesPerS(),
                        100 * budget.entriesPerSPerReplica()));
        for (int i = 0; i < controlMachines; i++) {
            Machine control = hollow.machine("control-" + i, i % REGIONS);
            controls.add(control);
            begin(control, start, 0);
        }
        for (int i = 0; i < nodeCount; i++) {
            Machine node = hollow.machine("node-" + i, i % REGIONS);
            nodes.add(node);
            begin(node, start, random.nextInt(1, 2_000_000));
        }
    }

    LightweightFleet hollow() {
        return hollow;
    }

    List<Machine> controls() {
        return controls;
    }

    List<Machine> nodes() {
        return nodes;
    }

    List<Broken> broken() {
        return broken;
    }

    /** From a change's entry to where it was in force, in microseconds, one for each change and node. */
    List<Long> delaysUs() {
        return delaysUs;
    }

    ChangeWriter writer() {
        return writer;
    }

    int refused() {
        return refused;
    }

    /** Has delays be counted from now on, or no more. */
    void measure(boolean on) {
        measuring = on;
    }

    private void remember() {
        history.put(writer.store().version(), writer.store().live().sum());
        if (checksIndex) {
            indexes.put(
                    writer.store().version(), writer.configuration().routes().matchSum());
        }
        enteredUs.put(writer.store().version(), hollow.nowUs());
    }

    /** A machine begins with a catalog that was whole at its version. */
    private void begin(Machine machine, RouteConfiguration from, long afterUs) {
        begin(machine, from.store(), from, afterUs);
    }

    private void begin(Machine machine, VersionedStore store, Index index, long afterUs) {
        boolean relay = controls.contains(machine);
        Replica replica =
                replicas.of(machine.name(), store, index, relay, (fresh, made) -> took(machine, relay, fresh, made));
        inForce.put(machine, store.version());
        if (relay) {
            machine.publish(store, budget);
        }
        machine.follow(replica, relay ? List.of(head) : controls, afterUs);
    }

    private void took(Machine machine, boolean relay, VersionedStore store, Index index) {
        long before = inForce.put(machine, store.version());
        if (store.version() < before) {
            broken.add(new Broken(
                    "no version goes back",
                    machine.name() + " from " + Version.format(before) + " to " + Version.format(store.version())));
        }
        if (!store.live().sum().equals(history.get(store.version()))) {
            broken.add(new Broken(
                    "what is in force is what was written, whole",
                    machine.name() + " at " + Version.format(store.version())));
        }
        if (checksIndex && !((RouteConfiguration) index).routes().matchSum().equals(indexes.get(store.version()))) {
            broken.add(new Broken(
                    "requests are looked up in what is in force",
                    machine.name() + " at " + Version.format(store.version())));
        }
        if (measuring && !relay) {
            for (long version = before + 1; version <= store.version(); version++) {
                Long entered = enteredUs.get(version);
                if (entered != null) {
                    delaysUs.add(hollow.nowUs() - entered);
                }
            }
        }
        if (relay) {
            machine.settle(store.forgetRemovals(remembered));
        }
    }

    /** So many changes are entered, as one batch. */
    void change(int size) {
        if (!writer.submit(configurations.batch(writer.configuration(), size)).isEmpty()) {
            refused++;
            return;
        }
        remember();
        head.settle(writer.store().forgetRemovals(remembered));
    }

    /** Has changes come evenly, so many a second, up to that time. */
    void changes(double perS, long untilUs) {
        long everyUs = (long) (SECOND_US / perS);
        hollow.at(hollow.nowUs() + everyUs / 2 + random.nextLong(everyUs), () -> {
            if (hollow.nowUs() < untilUs) {
                change(1);
                changes(perS, untilUs);
            }
        });
    }

    /** A region loses all others, or finds them again. */
    void cut(int region, boolean off) {
        cut[region] = off;
    }

    boolean isCut(int region) {
        return cut[region];
    }

    /** A machine dies and is there again after a while, with what it had or, of a node, with this. */
    void restart(Machine machine, long afterUs, RouteConfiguration from) {
        if (!machine.isUp()) {
            return;
        }
        Replica old = machine.replica();
        machine.kill();
        hollow.at(hollow.nowUs() + afterUs, () -> {
            machine.start();
            if (from == null) {
                // A control machine keeps what went away too.
                begin(
                        machine,
                        controls.contains(machine)
                                ? old.store()
                                : VersionedStore.of(
                                        old.store().live(), old.store().version()),
                        old.index(),
                        1_000);
            } else {
                begin(machine, from, 1_000);
            }
        });
    }

    /** The same with just this on its disk. */
    void restart(Machine machine, long afterUs, VersionedStore store, Index index) {
        machine.kill();
        hollow.at(hollow.nowUs() + afterUs, () -> {
            machine.start();
            begin(machine, store, index, 1_000);
        });
    }

    /** Another writer takes over, from what the control machine that is furthest has. */
    void takeOver() {
        Machine furthest = controls.get(0);
        for (Machine control : controls) {
            long most = furthest.replica().store().version();
            if (control.isUp() && control.replica().store().version() > most) {
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
    List<String> behind() {
        List<String> behind = new ArrayList<>();
        for (List<Machine> some : List.of(controls, nodes)) {
            for (Machine machine : some) {
                if (machine.isUp()
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
    static List<Broken> seed(long seed, int nodeCount, Replicas replicas) {
        Configurations configurations = new Configurations(seed, 5, 20);
        RouteConfiguration start = configurations.whole(150);
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
            run.hollow.at(
                    random.nextLong(endUs), () -> run.change(random.nextInt(6) == 0 ? random.nextInt(20, 200) : 1));
        }
        for (int i = 0; i < 12; i++) {
            run.hollow.at(random.nextLong(endUs), () -> run.harm(random, start));
        }
        run.hollow.run(endUs);
        for (int region = 0; region < REGIONS; region++) {
            run.cut(region, false);
        }
        // Whoever was cut off finds out by silence, then waits for its turn to ask.
        run.hollow.run(endUs + 60 * SECOND_US);
        for (String each : run.behind()) {
            run.broken.add(new Broken("all are the same after the healing", each));
        }
        return run.broken;
    }

    private void harm(SplittableRandom draw, RouteConfiguration start) {
        switch (draw.nextInt(7)) {
            case 0, 1 -> {
                int region = draw.nextInt(REGIONS);
                cut(region, true);
                hollow.at(hollow.nowUs() + draw.nextLong(25 * SECOND_US), () -> cut(region, false));
            }
            case 2 -> restart(controls.get(draw.nextInt(controls.size())), draw.nextLong(1, 3 * SECOND_US), null);
            case 3 -> controls.forEach(c -> restart(c, draw.nextLong(1, 5 * SECOND_US), null));
            case 4 -> {
                for (int i = 0; i < 10; i++) {
                    restart(nodes.get(draw.nextInt(nodes.size())), draw.nextLong(1, 3 * SECOND_US), null);
                }
            }
            case 5 -> restart(nodes.get(draw.nextInt(nodes.size())), draw.nextLong(1, SECOND_US), start);
            default -> takeOver();
        }
    }
}
