package vetchpost.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The boxes as they are, whatever anybody says of them: what goes wrong with each, and when. */
final class ActualServers {
    /** What a box does with requests. */
    enum Condition {
        HEALTHY,
        DOWN,
        UNRESPONSIVE,
        FAILING,
        SLOW,
        WRONG_SERVER,
        FAILING_BUT_CHECKED_HEALTHY,
        HEALTHY_BUT_CHECK_FAILING
    }

    /** What befalls a box: from then on it is so, until the next. */
    record ConditionChange(long atUs, Condition condition) {}

    /** How long it is a node's address, and when it is told to drain, from the start; -1 for never. */
    static final class Lifetime {
        final List<ConditionChange> conditionChanges = new ArrayList<>();
        long joinsUs;
        long drainsUs = -1;
        long leavesUs = -1;

        Condition conditionAt(long us) {
            Condition mood = Condition.HEALTHY;
            for (ConditionChange turn : conditionChanges) {
                mood = turn.atUs <= us ? turn.condition : mood;
            }
            return mood;
        }
    }

    static final int SERVER_COUNT = 12;
    private static final int JOINING_SERVER_COUNT = 3;
    private static final double FAULTY_FRACTION = 0.35;
    private static final double DRAINED_FRACTION = 0.15;

    final List<Lifetime> lifetimes = new ArrayList<>();

    /** Drawn from chance: some boxes fall ill and recover, some drain and go, some are new. */
    ActualServers(SplittableRandom chance, long quietUs) {
        for (int i = 0; i < SERVER_COUNT; i++) {
            Lifetime life = new Lifetime();
            if (i >= SERVER_COUNT - JOINING_SERVER_COUNT) {
                life.joinsUs = chance.nextLong(quietUs / 2);
            }
            if (chance.nextDouble() < DRAINED_FRACTION) {
                life.drainsUs = life.joinsUs + chance.nextLong(1, quietUs / 2);
                life.leavesUs = life.drainsUs + 2_000_000;
                life.conditionChanges.add(new ConditionChange(
                        life.leavesUs, chance.nextBoolean() ? Condition.DOWN : Condition.WRONG_SERVER));
            } else if (chance.nextDouble() < FAULTY_FRACTION) {
                long at = life.joinsUs + chance.nextLong(quietUs / 2);
                Condition[] moods = Condition.values();
                for (int n = 1 + chance.nextInt(4); n > 0 && at < quietUs; n--) {
                    // One that another application has taken the address of does not come back by itself.
                    Condition mood = moods[1 + chance.nextInt(moods.length - 1)];
                    life.conditionChanges.add(
                            new ConditionChange(at, mood == Condition.WRONG_SERVER ? Condition.DOWN : mood));
                    at += 200_000 + chance.nextLong(quietUs / 4);
                    life.conditionChanges.add(new ConditionChange(Math.min(at, quietUs), Condition.HEALTHY));
                    at += 100_000 + chance.nextLong(quietUs / 4);
                }
                life.conditionChanges.add(new ConditionChange(quietUs, Condition.HEALTHY));
            }
            lifetimes.add(life);
        }
    }

    /** Whether the box is one of the fleet then, and takes new requests. */
    boolean isReady(int box, long us) {
        Lifetime life = lifetimes.get(box);
        return us >= life.joinsUs && (life.drainsUs < 0 || us < life.drainsUs);
    }

    boolean isListed(int box, long us) {
        Lifetime life = lifetimes.get(box);
        return us >= life.joinsUs && (life.leavesUs < 0 || us < life.leavesUs);
    }
}
