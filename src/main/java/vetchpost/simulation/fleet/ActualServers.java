package vetchpost.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The actual condition of each simulated server over time, whatever sources and health checks report. Drawn once at
 * the start of a {@link FleetRun}, which reads it; not changed afterwards.
 */
final class ActualServers {
    /** How a server responds to requests and to health checks. */
    enum Condition {
        HEALTHY,
        DOWN,
        UNRESPONSIVE,
        FAILING,
        SLOW,
        /** Another application has taken over the address. */
        WRONG_SERVER,
        /** Fails requests, but passes health checks. */
        FAILING_BUT_CHECKED_HEALTHY,
        /** Serves requests, but fails health checks. */
        HEALTHY_BUT_CHECK_FAILING
    }

    /** From {@code atUs} on the server has this condition, until the next change; in microseconds from the start. */
    record ConditionChange(long atUs, Condition condition) {}

    /** When a server joins, starts to drain and leaves, in microseconds from the start; -1 for never. */
    static final class Lifetime {
        final List<ConditionChange> conditionChanges = new ArrayList<>();
        long joinsUs;
        long drainsUs = -1;
        long leavesUs = -1;

        Condition conditionAt(long atUs) {
            Condition condition = Condition.HEALTHY;
            for (ConditionChange change : conditionChanges) {
                condition = change.atUs <= atUs ? change.condition : condition;
            }
            return condition;
        }
    }

    static final int SERVER_COUNT = 12;
    private static final int JOINING_SERVER_COUNT = 3;
    private static final double FAULTY_FRACTION = 0.35;
    private static final double DRAINED_FRACTION = 0.15;

    final List<Lifetime> lifetimes = new ArrayList<>();

    /**
     * Draws the lifetimes: some servers fail and recover, some drain and leave, some join late.
     *
     * @param quietUs when the last fault ends, in microseconds from the start
     */
    ActualServers(SplittableRandom random, long quietUs) {
        for (int i = 0; i < SERVER_COUNT; i++) {
            Lifetime lifetime = new Lifetime();
            if (i >= SERVER_COUNT - JOINING_SERVER_COUNT) {
                lifetime.joinsUs = random.nextLong(quietUs / 2);
            }
            if (random.nextDouble() < DRAINED_FRACTION) {
                lifetime.drainsUs = lifetime.joinsUs + random.nextLong(1, quietUs / 2);
                lifetime.leavesUs = lifetime.drainsUs + 2_000_000;
                lifetime.conditionChanges.add(new ConditionChange(
                        lifetime.leavesUs, random.nextBoolean() ? Condition.DOWN : Condition.WRONG_SERVER));
            } else if (random.nextDouble() < FAULTY_FRACTION) {
                long atUs = lifetime.joinsUs + random.nextLong(quietUs / 2);
                Condition[] conditions = Condition.values();
                for (int remaining = 1 + random.nextInt(4); remaining > 0 && atUs < quietUs; remaining--) {
                    // An address that another application has taken over doesn't recover by itself.
                    Condition condition = conditions[1 + random.nextInt(conditions.length - 1)];
                    lifetime.conditionChanges.add(new ConditionChange(
                            atUs, condition == Condition.WRONG_SERVER ? Condition.DOWN : condition));
                    atUs += 200_000 + random.nextLong(quietUs / 4);
                    lifetime.conditionChanges.add(new ConditionChange(Math.min(atUs, quietUs), Condition.HEALTHY));
                    atUs += 100_000 + random.nextLong(quietUs / 4);
                }
                lifetime.conditionChanges.add(new ConditionChange(quietUs, Condition.HEALTHY));
            }
            lifetimes.add(lifetime);
        }
    }

    /** Whether the server has joined and isn't draining at this time, in microseconds from the start. */
    boolean isReady(int server, long atUs) {
        Lifetime lifetime = lifetimes.get(server);
        return atUs >= lifetime.joinsUs && (lifetime.drainsUs < 0 || atUs < lifetime.drainsUs);
    }

    /** Whether the server has joined and hasn't left at this time, in microseconds from the start. */
    boolean isListed(int server, long atUs) {
        Lifetime lifetime = lifetimes.get(server);
        return atUs >= lifetime.joinsUs && (lifetime.leavesUs < 0 || atUs < lifetime.leavesUs);
    }
}
