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
public final class TestSnapshots {
    public static final long NOW_MS = 1_767_225_600_000L;
    public static final List<String> CLASSES = List.of("view", "photo", "order");

    private TestSnapshots() {}

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

    public static PerServer healthy(int number, long heardMs) {
        return new PerServer(
                "s-" + number, 0, 100, 1_000 * heardMs, 1_000 * heardMs, 0, 0, 0, 1.5, 3, false, List.of(0, 0, 0));
    }

    public static PerServer failing(int number, long heardMs) {
        return new PerServer("s-" + number, 0, 100, 1_000 * heardMs, 0, 6, 10, 0.9, 5, 0.25, true, List.of(2, 0, 4));
    }

    public static ServerRecord server(int number, long confirmedMs, PerServer knowledge) {
        return new ServerRecord(
                target(number), confirmedMs, ConfirmationSource.LIST, knowledge == null ? 0 : confirmedMs, knowledge);
    }

    public static Snapshot snapshot(long takenMs, List<ServerRecord> boxes, SelfFault... troubles) {
        EnumSet<SelfFault> all = EnumSet.noneOf(SelfFault.class);
        all.addAll(List.of(troubles));
        return new Snapshot(
                new SnapshotOrigin(takenMs, takenMs, takenMs - 3_600_000, 41, all),
                CLASSES.stream().map(c -> new ClassState(c, 50, 20_000, 15_000)).toList(),
                boxes);
    }

    /** So many boxes, the first few of them ill. */
    public static Snapshot of(int boxes, int ill, long takenMs) {
        List<ServerRecord> states = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            states.add(server(i, takenMs, i < ill ? failing(i, takenMs) : healthy(i, takenMs)));
        }
        return snapshot(takenMs, states);
    }

    /** Any figures that a snapshot can hold. */
    public static Snapshot random(SplittableRandom random, int boxes) {
        List<ServerRecord> states = new ArrayList<>();
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
            states.add(new ServerRecord(
                    target(i),
                    1 + random.nextLong(1L << 42),
                    ConfirmationSource.values()[random.nextInt(3)],
                    known == null ? 0 : 1 + random.nextLong(1L << 42),
                    known));
        }
        return new Snapshot(
                new SnapshotOrigin(
                        random.nextLong(),
                        1 + random.nextLong(1L << 42),
                        1 + random.nextLong(1L << 42),
                        random.nextLong(),
                        random.nextBoolean()
                                ? EnumSet.of(SelfFault.STALLED, SelfFault.MOST_SERVERS_FAILING)
                                : EnumSet.noneOf(SelfFault.class)),
                List.of(new ClassState("view", 3, 0.5, 0)),
                states);
    }
}
