package vetchpost.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;

/**
 * All that decides a run: what there is, how much is asked, what goes wrong, and the seed of every chance.
 * The same plan gives the same run.
 *
 * @param seed of all that is not said here
 * @param nodes how many nodes
 * @param boxes how many boxes
 * @param racks in how many racks
 * @param pushed whether the list is pushed, and not asked for
 * @param rate requests a second
 * @param lengthMs for how long they come
 * @param workMs what a request takes of a warm box, on average
 * @param slots requests that a box works on at a time
 * @param faults in the order of their times
 * @param only which requests, by their numbers, are sent; all if null
 */
public record Plan(
        long seed,
        int nodes,
        int servers,
        int racks,
        boolean pushed,
        double rate,
        long durationMs,
        double workMs,
        int slots,
        List<Fault> faults,
        BitSet onlyRequests) {

    private static final Comparator<Fault> BY_TIME = Comparator.comparingLong(Fault::atMs);

    /** Largest shares of boxes that fail together, as seen in service. */
    private static final double KILLED_FRACTION = 0.22;

    private static final double SILENCED_FRACTION = 0.18;
    private static final double FAILING_FRACTION = 0.20;
    private static final double RESTARTING_FRACTION = 0.29;
    private static final int SIMULTANEOUS_ONE_IN = 5;
    private static final double MAX_WORK_MS = 120;
    private static final int MAX_MANY_NODES_SERVERS = 60;

    /** Puts the faults in the order of their times. */
    public Plan {
        faults = faults.stream().sorted(BY_TIME).toList();
    }

    /** The plan of a seed. */
    public static Plan of(long seed) {
        SplittableRandom random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 1);
        int nodes = 1 + random.nextInt(4);
        int boxes = 4 + random.nextInt(9);
        int racks = 1 + random.nextInt(Math.min(4, boxes / 2));
        long lengthMs = 4_000 + random.nextInt(8_000);
        int slots = 1 + random.nextInt(2);
        double rate = 40 + 120 * random.nextDouble();
        // As busy as boxes are in service, and sometimes more than is good for them.
        double load = 0.2 + 0.8 * random.nextDouble();
        double workMs = Math.min(MAX_WORK_MS, load * 1_000 * slots * boxes / rate);
        List<Fault> faults = new ArrayList<>();
        int most = 1 + random.nextInt(9);
        for (int i = 0; i < most; i++) {
            addRandomFaults(random, nodes, boxes, lengthMs, faults);
        }
        if (random.nextInt(SIMULTANEOUS_ONE_IN) == 0) {
            addSimultaneousFaults(random, nodes, boxes, lengthMs, faults);
        }
        return new Plan(seed, nodes, boxes, racks, random.nextInt(3) == 0, rate, lengthMs, workMs, slots, faults, null);
    }

    /**
     * The plan of a seed for many nodes before a large fleet, at the load per server of the service: on the
     * same day most nodes are killed in one instant, a rack is lost and back cold in one tick, six in ten
     * servers are replaced within seconds and the list is silent or late, each or all of them by the seed.
     *
     * @param nodes how many, from 1 on
     */
    public static Plan ofManyNodes(long seed, int nodes) {
        SplittableRandom random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 3);
        int boxes = MAX_MANY_NODES_SERVERS - random.nextInt(MAX_MANY_NODES_SERVERS / 3);
        int racks = 4 + random.nextInt(5);
        long lengthMs = 5_000 + random.nextInt(3_000);
        double perBox = 12 + 8 * random.nextDouble();
        double workMs = (0.4 + 0.5 * random.nextDouble()) * 1_000 / perBox;
        int troubles = 1 + random.nextInt(15);
        long at = 800 + random.nextInt(1_500);
        List<Fault> faults = new ArrayList<>();
        if ((troubles & 1) != 0) {
            for (int n = 0; n < (7 * nodes + 9) / 10; n++) {
                faults.add(
                        new Fault(at + random.nextInt(2) * 400, Fault.Kind.CRASH, n, 300 + random.nextInt(3_000), 0));
            }
        }
        if ((troubles & 2) != 0) {
            int rack = random.nextInt(racks);
            long lost = at - random.nextInt(600);
            long back = 400 + random.nextInt(1_800);
            for (int n = rack; n < boxes; n += racks) {
                faults.add(new Fault(lost, Fault.Kind.KILL, n, back, 0));
            }
        }
        if ((troubles & 4) != 0) {
            for (int n = 0; n < 6 * boxes / 10; n++) {
                faults.add(new Fault(
                        at + random.nextInt(3_000),
                        random.nextBoolean() ? Fault.Kind.REPLACE : Fault.Kind.DRAIN,
                        n,
                        200 + random.nextInt(1_000),
                        0));
            }
        }
        if ((troubles & 8) != 0) {
            faults.add(new Fault(
                    at, random.nextBoolean() ? Fault.Kind.MUTE : Fault.Kind.LATE, 0, random.nextInt(3_000), 0));
            forEachAffected(
                    random, boxes, FAILING_FRACTION / 2, n -> faults.add(new Fault(at, Fault.Kind.SLOW, n, 2_000, 6)));
        }
        return new Plan(
                seed, nodes, boxes, racks, random.nextInt(4) == 0, perBox * boxes, lengthMs, workMs, 1, faults, null);
    }

    /** All that is seen together on the worst days, within one second. */
    private static void addSimultaneousFaults(
            SplittableRandom random, int nodes, int boxes, long lengthMs, List<Fault> faults) {
        long at = 500 + random.nextLong(lengthMs / 2);
        long duration = 1_000 + random.nextLong(3_000);
        forEachAffected(
                random,
                boxes,
                KILLED_FRACTION,
                n -> faults.add(new Fault(at + random.nextLong(1_000), Fault.Kind.KILL, n, duration, 0)));
        forEachAffected(
                random,
                boxes,
                SILENCED_FRACTION,
                n -> faults.add(new Fault(at + random.nextLong(1_000), Fault.Kind.SILENCE, n, duration, 0)));
        forEachAffected(
                random,
                boxes,
                FAILING_FRACTION,
                n -> faults.add(new Fault(
                        at + random.nextLong(1_000), Fault.Kind.FAIL, n, duration, 0.44 + 0.53 * random.nextDouble())));
        forEachAffected(
                random,
                nodes,
                RESTARTING_FRACTION,
                n -> faults.add(new Fault(at + random.nextLong(1_000), Fault.Kind.CRASH, n, duration, 0)));
    }

    private static void addRandomFaults(
            SplittableRandom random, int nodes, int boxes, long lengthMs, List<Fault> faults) {
        // Some fall together: in the same instant as the one before.
        long at = !faults.isEmpty() && random.nextInt(3) == 0
                ? faults.get(faults.size() - 1).atMs()
                : 200 + random.nextLong(lengthMs - 400);
        long duration = 300 + random.nextLong(4_000);
        double part = 0.3 + 0.7 * random.nextDouble();
        int box = random.nextInt(boxes);
        switch (random.nextInt(18)) {
            case 0, 1 -> faults.add(new Fault(at, Fault.Kind.DRAIN, box, 800 + duration, 0));
            case 2 -> faults.add(new Fault(at, Fault.Kind.REPLACE, box, duration / 4, 0));
            case 3 ->
                forEachAffected(
                        random,
                        boxes,
                        KILLED_FRACTION,
                        n -> faults.add(new Fault(at, Fault.Kind.KILL, n, duration, 0)));
            case 4 ->
                forEachAffected(
                        random,
                        boxes,
                        SILENCED_FRACTION,
                        n -> faults.add(new Fault(at, Fault.Kind.SILENCE, n, duration, 0)));
            case 5 ->
                forEachAffected(
                        random,
                        boxes,
                        FAILING_FRACTION,
                        n -> faults.add(new Fault(at, Fault.Kind.FAIL, n, duration, part)));
            case 6 -> faults.add(new Fault(at, Fault.Kind.SLOW, box, duration, 2 + 8 * part));
            case 7 -> faults.add(new Fault(at, Fault.Kind.SPOIL, box, duration, 0.5 * part));
            case 8 -> faults.add(new Fault(at, Fault.Kind.RESET, box, duration, 0.5 * part));
            case 9 -> faults.add(new Fault(at, Fault.Kind.DEAF, box, duration, 0));
            case 10 -> faults.add(new Fault(at, Fault.Kind.CRASH, random.nextInt(nodes), duration, 0));
            case 11 -> faults.add(new Fault(at, Fault.Kind.STOP, random.nextInt(nodes), duration, 0));
            case 12 -> faults.add(new Fault(at, Fault.Kind.STALL, random.nextInt(nodes), duration / 8, 0));
            case 13 -> faults.add(new Fault(at, Fault.Kind.MOVE, 0, 0, 0));
            case 14 -> faults.add(new Fault(at, Fault.Kind.MUTE, 0, duration, 0));
            case 15 ->
                faults.add(new Fault(
                        at,
                        switch (random.nextInt(3)) {
                            case 0 -> Fault.Kind.BREAK;
                            case 1 -> Fault.Kind.LATE;
                            default -> Fault.Kind.SHRINK;
                        },
                        0,
                        duration / 4,
                        0));
            case 16 ->
                faults.add(new Fault(
                        at,
                        random.nextBoolean()
                                ? Fault.Kind.BURST
                                : random.nextBoolean() ? Fault.Kind.ORDERS : Fault.Kind.PHOTOS,
                        0,
                        0,
                        5 + random.nextInt(60)));
            default -> faults.add(new Fault(at, Fault.Kind.RUDE, 0, 0, 1 + random.nextInt(12)));
        }
    }

    private static void forEachAffected(SplittableRandom random, int of, double share, IntConsumer each) {
        int count = Math.max(1, (int) (share * of));
        int first = random.nextInt(of);
        for (int i = 0; i < count; i++) {
            each.accept((first + i) % of);
        }
    }

    /** The same with these faults. */
    public Plan withFaults(List<Fault> fewer) {
        return new Plan(seed, nodes, servers, racks, pushed, rate, durationMs, workMs, slots, fewer, onlyRequests);
    }

    /** The same with these requests only. */
    public Plan withOnlyRequests(BitSet fewer) {
        return new Plan(seed, nodes, servers, racks, pushed, rate, durationMs, workMs, slots, faults, fewer);
    }
}
