package vetchpost.state;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.ServerStatistics.PerServer;

/** Snapshots for tests. */
public final class States {
    public static final long NOW_MS = 1_767_225_600_000L;
    public static final List<String> CLASSES = List.of("view", "photo", "order");

    private States() {}

    public static Target target(int number) {
        return new Target(
                "s-" + number,
                new InetSocketAddress("127.0." + number / 250 + "." + (1 + number % 250), 8_000 + number % 1_000),
                "a",
                number % 3,
                ServerState.READY,
                1,
                0);
    }

    public static PerServer well(int number, long heardMs) {
        return new PerServer(
                "s-" + number, 0, 100, 1_000 * heardMs, 1_000 * heardMs, 0, 0, 0, 1.5, 3, false, List.of(0, 0, 0));
    }

    public static PerServer ill(int number, long heardMs) {
        return new PerServer("s-" + number, 0, 100, 1_000 * heardMs, 0, 6, 10, 0.9, 5, 0.25, true, List.of(2, 0, 4));
    }

    public static BoxState box(int number, long confirmedMs, PerServer knowledge) {
        return new BoxState(
                target(number), confirmedMs, Confirmed.LIST, knowledge == null ? 0 : confirmedMs, knowledge);
    }

    public static Snapshot snapshot(long takenMs, List<BoxState> boxes, Trouble... troubles) {
        EnumSet<Trouble> all = EnumSet.noneOf(Trouble.class);
        all.addAll(List.of(troubles));
        return new Snapshot(
                new Origin(takenMs, takenMs, takenMs - 3_600_000, 41, all),
                CLASSES.stream().map(c -> new ClassState(c, 50, 20_000, 15_000)).toList(),
                boxes);
    }

    /** So many boxes, the first few of them ill. */
    public static Snapshot of(int boxes, int ill, long takenMs) {
        List<BoxState> states = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            states.add(box(i, takenMs, i < ill ? ill(i, takenMs) : well(i, takenMs)));
        }
        return snapshot(takenMs, states);
    }

    /** Any figures that a snapshot can hold. */
    public static Snapshot random(SplittableRandom random, int boxes) {
        List<BoxState> states = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            PerServer known = random.nextInt(4) == 0
                    ? null
                    : new PerServer(
                            "s-" + i,
                            0,
                            random.nextInt(Integer.MAX_VALUE),
                            random.nextLong(1L << 52),
                            random.nextLong(1L << 52),
                            random.nextInt(1_000),
                            random.nextInt(17),
                            random.nextDouble(),
                            10 * random.nextDouble(),
                            20 * random.nextDouble(),
                            random.nextBoolean(),
                            List.of(random.nextInt(9), 0, 3));
            states.add(new BoxState(
                    target(i),
                    1 + random.nextLong(1L << 42),
                    Confirmed.values()[random.nextInt(3)],
                    known == null ? 0 : 1 + random.nextLong(1L << 42),
                    known));
        }
        return new Snapshot(
                new Origin(
                        random.nextLong(),
                        1 + random.nextLong(1L << 42),
                        1 + random.nextLong(1L << 42),
                        random.nextLong(),
                        random.nextBoolean()
                                ? EnumSet.of(Trouble.STALLED, Trouble.MOST_ILL)
                                : EnumSet.noneOf(Trouble.class)),
                List.of(new ClassState("view", 3, 0.5, 0)),
                states);
    }
}
