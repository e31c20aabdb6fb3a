package vetchpost.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;

/**
 * Everything that decides a run: topology, load, faults and the seed of all random choices. The same plan gives
 * the same run.
 *
 * @param seed seed of all random choices of the run
 * @param nodes number of nodes, from 1
 * @param servers number of servers, from 1
 * @param racks number of racks that the servers are in, from 1
 * @param pushed whether discovery pushes the list, instead of sending it on request
 * @param rate new client operations per second
 * @param durationMs time during which operations start, in milliseconds
 * @param workMs mean processing time of a request on a warm server, in milliseconds
 * @param slots requests that a server processes at a time, from 1
 * @param faults faults, in the order of their times
 * @param onlyRequests numbers of the operations to send; null for all
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

    /** The largest fractions of servers or nodes that fail together in service. */
    private static final double KILLED_FRACTION = 0.22;

    private static final double SILENCED_FRACTION = 0.18;
    private static final double FAILING_FRACTION = 0.20;
    private static final double RESTARTING_FRACTION = 0.29;
    private static final int SIMULTANEOUS_ONE_IN = 5;
    private static final double MAX_WORK_MS = 120;
    private static final int MAX_MANY_NODES_SERVERS = 60;

    /** Sorts the faults by time. */
    public Plan {
        faults = faults.stream().sorted(BY_TIME).toList();
    }

    /** Draws the plan of a seed, for one to four nodes and at most twelve servers. */
    public static Plan of(long seed) {
        SplittableRandom random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 1);
        int nodes = 1 + random.nextInt(4);
        int servers = 4 + random.nextInt(9);
        int racks = 1 + random.nextInt(Math.min(4, servers / 2));
        long durationMs = 4_000 + random.nextInt(8_000);
        int slots = 1 + random.nextInt(2);
        double rate = 40 + 120 * random.nextDouble();
        // From the load of servers in service up to overload.
        double load = 0.2 + 0.8 * random.nextDouble();
        double workMs = Math.min(MAX_WORK_MS, load * 1_000 * slots * servers / rate);
        List<Fault> faults = new ArrayList<>();
        int faultCount = 1 + random.nextInt(9);
        for (int i = 0; i < faultCount; i++) {
            addRandomFaults(random, nodes, servers, durationMs, faults);
        }
        if (random.nextInt(SIMULTANEOUS_ONE_IN) == 0) {
            addSimultaneousFaults(random, nodes, servers, durationMs, faults);
        }
        return new Plan(
                seed, nodes, servers, racks, random.nextInt(3) == 0, rate, durationMs, workMs, slots, faults, null);
    }

    /**
     * Draws the plan of a seed for many nodes and 41 to 60 servers, at the service's load per server. By the
     * seed it has one or more of these faults: most nodes are killed at once, a rack fails and restarts cold at
     * once, six in ten servers are replaced within seconds, and discovery is silent or late while servers slow
     * down.
     *
     * @param nodes number of nodes, from 1
     */
    public static Plan ofManyNodes(long seed, int nodes) {
        SplittableRandom random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 3);
        int servers = MAX_MANY_NODES_SERVERS - random.nextInt(MAX_MANY_NODES_SERVERS / 3);
        int racks = 4 + random.nextInt(5);
        long durationMs = 5_000 + random.nextInt(3_000);
        double ratePerServer = 12 + 8 * random.nextDouble();
        double workMs = (0.4 + 0.5 * random.nextDouble()) * 1_000 / ratePerServer;
        int faultSelection = 1 + random.nextInt(15);
        long atMs = 800 + random.nextInt(1_500);
        List<Fault> faults = new ArrayList<>();
        if ((faultSelection & 1) != 0) {
            for (int n = 0; n < (7 * nodes + 9) / 10; n++) {
                faults.add(
                        new Fault(atMs + random.nextInt(2) * 400, Fault.Kind.CRASH, n, 300 + random.nextInt(3_000), 0));
            }
        }
        if ((faultSelection & 2) != 0) {
            int rack = random.nextInt(racks);
            long lostMs = atMs - random.nextInt(600);
            long outageMs = 400 + random.nextInt(1_800);
            for (int n = rack; n < servers; n += racks) {
                faults.add(new Fault(lostMs, Fault.Kind.KILL, n, outageMs, 0));
            }
        }
        if ((faultSelection & 4) != 0) {
            for (int n = 0; n < 6 * servers / 10; n++) {
                faults.add(new Fault(
                        atMs + random.nextInt(3_000),
                        random.nextBoolean() ? Fault.Kind.REPLACE : Fault.Kind.DRAIN,
                        n,
                        200 + random.nextInt(1_000),
                        0));
            }
        }
        if ((faultSelection & 8) != 0) {
            faults.add(new Fault(
                    atMs,
                    random.nextBoolean() ? Fault.Kind.SILENCE_DISCOVERY : Fault.Kind.DELAY_DISCOVERY,
                    0,
                    random.nextInt(3_000),
                    0));
            forEachAffected(
                    random,
                    servers,
                    FAILING_FRACTION / 2,
                    n -> faults.add(new Fault(atMs, Fault.Kind.SLOW, n, 2_000, 6)));
        }
        return new Plan(
                seed,
                nodes,
                servers,
                racks,
                random.nextInt(4) == 0,
                ratePerServer * servers,
                durationMs,
                workMs,
                1,
                faults,
                null);
    }

    /** Adds the faults that come together in the worst incidents, within one second. */
    private static void addSimultaneousFaults(
            SplittableRandom random, int nodes, int servers, long durationMs, List<Fault> faults) {
        long atMs = 500 + random.nextLong(durationMs / 2);
        long faultMs = 1_000 + random.nextLong(3_000);
        forEachAffected(
                random,
                servers,
                KILLED_FRACTION,
                n -> faults.add(new Fault(atMs + random.nextLong(1_000), Fault.Kind.KILL, n, faultMs, 0)));
        forEachAffected(
                random,
                servers,
                SILENCED_FRACTION,
                n -> faults.add(new Fault(atMs + random.nextLong(1_000), Fault.Kind.VANISH, n, faultMs, 0)));
        forEachAffected(
                random,
                servers,
                FAILING_FRACTION,
                n -> faults.add(new Fault(
                        atMs + random.nextLong(1_000),
                        Fault.Kind.FAIL,
                        n,
                        faultMs,
                        0.44 + 0.53 * random.nextDouble())));
        forEachAffected(
                random,
                nodes,
                RESTARTING_FRACTION,
                n -> faults.add(new Fault(atMs + random.nextLong(1_000), Fault.Kind.CRASH, n, faultMs, 0)));
    }

    private static void addRandomFaults(
            SplittableRandom random, int nodes, int servers, long durationMs, List<Fault> faults) {
        // One fault in three comes at the same instant as the one before.
        long atMs = !faults.isEmpty() && random.nextInt(3) == 0
                ? faults.get(faults.size() - 1).atMs()
                : 200 + random.nextLong(durationMs - 400);
        long faultMs = 300 + random.nextLong(4_000);
        double fraction = 0.3 + 0.7 * random.nextDouble();
        int server = random.nextInt(servers);
        switch (random.nextInt(18)) {
            case 0, 1 -> faults.add(new Fault(atMs, Fault.Kind.DRAIN, server, 800 + faultMs, 0));
            case 2 -> faults.add(new Fault(atMs, Fault.Kind.REPLACE, server, faultMs / 4, 0));
            case 3 ->
                forEachAffected(
                        random,
                        servers,
                        KILLED_FRACTION,
                        n -> faults.add(new Fault(atMs, Fault.Kind.KILL, n, faultMs, 0)));
            case 4 ->
                forEachAffected(
                        random,
                        servers,
                        SILENCED_FRACTION,
                        n -> faults.add(new Fault(atMs, Fault.Kind.VANISH, n, faultMs, 0)));
            case 5 ->
                forEachAffected(
                        random,
                        servers,
                        FAILING_FRACTION,
                        n -> faults.add(new Fault(atMs, Fault.Kind.FAIL, n, faultMs, fraction)));
            case 6 -> faults.add(new Fault(atMs, Fault.Kind.SLOW, server, faultMs, 2 + 8 * fraction));
            case 7 -> faults.add(new Fault(atMs, Fault.Kind.CORRUPT_RESPONSES, server, faultMs, 0.5 * fraction));
            case 8 -> faults.add(new Fault(atMs, Fault.Kind.RESET, server, faultMs, 0.5 * fraction));
            case 9 -> faults.add(new Fault(atMs, Fault.Kind.STOP_READING, server, faultMs, 0));
            case 10 -> faults.add(new Fault(atMs, Fault.Kind.CRASH, random.nextInt(nodes), faultMs, 0));
            case 11 -> faults.add(new Fault(atMs, Fault.Kind.STOP, random.nextInt(nodes), faultMs, 0));
            case 12 -> faults.add(new Fault(atMs, Fault.Kind.PAUSE, random.nextInt(nodes), faultMs / 8, 0));
            case 13 -> faults.add(new Fault(atMs, Fault.Kind.MOVE_DISCOVERY, 0, 0, 0));
            case 14 -> faults.add(new Fault(atMs, Fault.Kind.SILENCE_DISCOVERY, 0, faultMs, 0));
            case 15 ->
                faults.add(new Fault(
                        atMs,
                        switch (random.nextInt(3)) {
                            case 0 -> Fault.Kind.BREAK_WATCHES;
                            case 1 -> Fault.Kind.DELAY_DISCOVERY;
                            default -> Fault.Kind.SHRINK_LISTS;
                        },
                        0,
                        faultMs / 4,
                        0));
            case 16 ->
                faults.add(new Fault(
                        atMs,
                        random.nextBoolean()
                                ? Fault.Kind.PAGE_BURST
                                : random.nextBoolean() ? Fault.Kind.ORDER_BURST : Fault.Kind.PHOTO_BURST,
                        0,
                        0,
                        5 + random.nextInt(60)));
            default -> faults.add(new Fault(atMs, Fault.Kind.MALFORMED_CLIENTS, 0, 0, 1 + random.nextInt(12)));
        }
    }

    private static void forEachAffected(SplittableRandom random, int total, double fraction, IntConsumer action) {
        int count = Math.max(1, (int) (fraction * total));
        int first = random.nextInt(total);
        for (int i = 0; i < count; i++) {
            action.accept((first + i) % total);
        }
    }

    /** This plan with these faults instead. */
    public Plan withFaults(List<Fault> replacement) {
        return new Plan(
                seed, nodes, servers, racks, pushed, rate, durationMs, workMs, slots, replacement, onlyRequests);
    }

    /** This plan with these operations only, by number. */
    public Plan withOnlyRequests(BitSet replacement) {
        return new Plan(seed, nodes, servers, racks, pushed, rate, durationMs, workMs, slots, faults, replacement);
    }
}
