package vetchpost.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The boxes as they are, whatever anybody says of them: what goes wrong with each, and when. */
final class ActualServers {
    /** What a box does with requests. */
    enum Condition {
        WELL,
        DEAD,
        SILENT,
        FAILING,
        SLOW,
        STRANGER,
        LYING,
        SICK_PATH
    }

    /** What befalls a box: from then on it is so, until the next. */
    record Turn(long atUs, Condition mood) {}

    /** How long it is a node's address, and when it is told to drain, from the start; -1 for never. */
    static final class Life {
        final List<Turn> turns = new ArrayList<>();
        long comesUs;
        long drainsUs = -1;
        long goesUs = -1;

        Condition mood(long us) {
            Condition mood = Condition.WELL;
            for (Turn turn : turns) {
                mood = turn.atUs <= us ? turn.mood : mood;
            }
            return mood;
        }
    }

    static final int BOXES = 12;
    private static final int NEW = 3;
    private static final double ILL = 0.35;
    private static final double DRAINED = 0.15;

    final List<Life> lives = new ArrayList<>();

    /** Drawn from chance: some boxes fall ill and recover, some drain and go, some are new. */
    ActualServers(SplittableRandom chance, long quietUs) {
        for (int i = 0; i < BOXES; i++) {
            Life life = new Life();
            if (i >= BOXES - NEW) {
                life.comesUs = chance.nextLong(quietUs / 2);
            }
            if (chance.nextDouble() < DRAINED) {
                life.drainsUs = life.comesUs + chance.nextLong(1, quietUs / 2);
                life.goesUs = life.drainsUs + 2_000_000;
                life.turns.add(new Turn(life.goesUs, chance.nextBoolean() ? Condition.DEAD : Condition.STRANGER));
            } else if (chance.nextDouble() < ILL) {
                long at = life.comesUs + chance.nextLong(quietUs / 2);
                Condition[] moods = Condition.values();
                for (int n = 1 + chance.nextInt(4); n > 0 && at < quietUs; n--) {
                    // One that another application has taken the address of does not come back by itself.
                    Condition mood = moods[1 + chance.nextInt(moods.length - 1)];
                    life.turns.add(new Turn(at, mood == Condition.STRANGER ? Condition.DEAD : mood));
                    at += 200_000 + chance.nextLong(quietUs / 4);
                    life.turns.add(new Turn(Math.min(at, quietUs), Condition.WELL));
                    at += 100_000 + chance.nextLong(quietUs / 4);
                }
                life.turns.add(new Turn(quietUs, Condition.WELL));
            }
            lives.add(life);
        }
    }

    /** Whether the box is one of the fleet then, and takes new requests. */
    boolean isReady(int box, long us) {
        Life life = lives.get(box);
        return us >= life.comesUs && (life.drainsUs < 0 || us < life.drainsUs);
    }

    boolean isThere(int box, long us) {
        Life life = lives.get(box);
        return us >= life.comesUs && (life.goesUs < 0 || us < life.goesUs);
    }
}
