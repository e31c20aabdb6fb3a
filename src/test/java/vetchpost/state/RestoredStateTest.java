package vetchpost.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.core.ServerList;
import vetchpost.core.ServerList.Target;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.state.RestoredState.Rules;

/** With which boxes of an old snapshot a node begins. */
class RestoredStateTest {
    private static final long NOW_MS = TestSnapshots.NOW_MS;
    private static final long HOUR_MS = 3_600_000;
    private static final Rules WITH_IDENTITY = new Rules(24 * HOUR_MS, 30_000, true);
    private static final Rules WITHOUT_IDENTITY = new Rules(24 * HOUR_MS, 30_000, false);
    private static final ServerList EMPTY_LIST = new ServerList(0, true, List.of());

    private static RestoredState of(Snapshot snapshot, Rules rules) {
        return RestoredState.of(snapshot, EMPTY_LIST, NOW_MS, rules);
    }

    @Test
    void usesRecentlyConfirmedServersAtOnce() {
        RestoredState fresh = of(TestSnapshots.of(12, 2, NOW_MS - 5_000), WITHOUT_IDENTITY);
        assertEquals(12, fresh.usable().size());
        assertTrue(fresh.usable().values().stream().allMatch(c -> c > 0.99));
    }

    /** A retired box's address may be another application's by now: nothing is sent there unasked. */
    @Test
    void probesOrDropsServersOfAWeekOldSnapshot() {
        Snapshot old = TestSnapshots.of(12, 0, NOW_MS - 7 * 24 * HOUR_MS);
        assertEquals(0, of(old, WITH_IDENTITY).usable().size());
        assertEquals(12, of(old, WITH_IDENTITY).toProbe().size());
        assertEquals(0, of(old, WITHOUT_IDENTITY).usable().size());
        assertEquals(0, of(old, WITHOUT_IDENTITY).toProbe().size());
        assertEquals(12, of(old, WITHOUT_IDENTITY).dropped());
    }

    @Test
    void probesTheMostRecentlyConfirmedFirst() {
        List<ServerRecord> boxes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            boxes.add(TestSnapshots.server(i, NOW_MS - HOUR_MS * (1 + i * 7 % 10), null));
        }
        List<Target> ask = of(TestSnapshots.snapshot(NOW_MS - HOUR_MS, boxes), WITH_IDENTITY)
                .toProbe();
        List<Long> ages = ask.stream()
                .map(t -> boxes.stream()
                        .filter(b -> b.target().equals(t))
                        .findFirst()
                        .orElseThrow()
                        .confirmedMs())
                .toList();
        for (int i = 1; i < ages.size(); i++) {
            assertTrue(ages.get(i - 1) >= ages.get(i), ages.toString());
        }
    }

    @Test
    void doesNotUseServersConfirmedInTheFuture() {
        Snapshot ahead = TestSnapshots.of(4, 0, NOW_MS + 365 * 24 * HOUR_MS);
        assertEquals(0, of(ahead, WITH_IDENTITY).usable().size(), "the clock was ahead when it was written");
        assertEquals(4, of(ahead, WITH_IDENTITY).toProbe().size());
        assertEquals(4, of(ahead, WITHOUT_IDENTITY).dropped());
        RestoredState set = RestoredState.of(
                TestSnapshots.of(4, 0, NOW_MS), EMPTY_LIST, NOW_MS + 365 * 24 * HOUR_MS, WITH_IDENTITY);
        assertEquals(0, set.usable().size(), "the clock is ahead now");
        assertEquals(4, set.toProbe().size());
    }

    @Test
    void aNewerListOverridesTheSnapshot() {
        Snapshot snapshot = TestSnapshots.of(20, 0, NOW_MS - 5_000);
        List<Target> twelve = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            twelve.add(TestSnapshots.target(i));
        }
        RestoredState newer = RestoredState.of(snapshot, new ServerList(42, true, twelve), NOW_MS, WITH_IDENTITY);
        assertEquals(0, newer.usable().size() + newer.toProbe().size());
        assertEquals(8, newer.dropped());
        // 20 run now, by the snapshot: the list is from before, when they were 12.
        RestoredState older = RestoredState.of(snapshot, new ServerList(40, true, twelve), NOW_MS, WITH_IDENTITY);
        assertEquals(8, older.usable().size());
        assertTrue(older.usable().keySet().stream().noneMatch(twelve::contains));
    }

    @Test
    void drainingServersAreNotRestored() {
        Target ready = TestSnapshots.target(1);
        Target drains = new Target(ready.id(), ready.address(), "a", 1, ServerState.DRAINING, 1, 0);
        Snapshot snapshot = TestSnapshots.snapshot(
                NOW_MS, List.of(new ServerRecord(drains, NOW_MS, ConfirmationSource.LIST, 0, null)));
        assertTrue(of(snapshot, WITH_IDENTITY).usable().isEmpty());
        assertTrue(of(snapshot, WITH_IDENTITY).toProbe().isEmpty());
    }

    @Test
    void keepsTheNewerOfTwoServersAtOneAddress() {
        Target first = TestSnapshots.target(1);
        Target second = new Target("s-x", first.address(), "a", 1, ServerState.READY, 1, 0);
        Snapshot snapshot = TestSnapshots.snapshot(
                NOW_MS,
                List.of(
                        new ServerRecord(first, NOW_MS - 9_000, ConfirmationSource.LIST, 0, null),
                        new ServerRecord(second, NOW_MS - 1_000, ConfirmationSource.LIST, 0, null)));
        assertEquals(
                List.of(second),
                List.copyOf(of(snapshot, WITHOUT_IDENTITY).usable().keySet()));
        // An address that the given list has for somebody else is not the snapshot's to give.
        ServerList listed = new ServerList(1, true, List.of(second));
        assertTrue(RestoredState.of(
                        TestSnapshots.snapshot(NOW_MS, List.of(TestSnapshots.server(1, NOW_MS, null))),
                        listed,
                        NOW_MS,
                        WITH_IDENTITY)
                .usable()
                .isEmpty());
    }

    @Test
    void confidenceFallsWithAgeAndToleratesClockSkew() {
        double before = 1.1;
        for (long ageMs : new long[] {0, 60_000, HOUR_MS, 24 * HOUR_MS, 7 * 24 * HOUR_MS, 365 * 24 * HOUR_MS}) {
            double sure = Confidence.ofServer(ageMs, 24 * HOUR_MS);
            assertTrue(sure < before && sure >= 0 && sure <= 1, ageMs + ": " + sure);
            before = sure;
        }
        assertEquals(Math.exp(-1), Confidence.ofServer(24 * HOUR_MS, 24 * HOUR_MS), 1e-9);
        assertEquals(0.5, Confidence.afterAge(10_000, 10_000), 1e-9);
        assertEquals(1, Confidence.afterAge(-4_000, 10_000), 1e-9, "clocks differ a little");
        assertEquals(0, Confidence.afterAge(-6_000, 10_000), 1e-9, "but not so much");
    }
}
