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
class RecollectionTest {
    private static final long NOW = States.NOW_MS;
    private static final long HOUR = 3_600_000;
    private static final Rules ASKS = new Rules(24 * HOUR, 30_000, true);
    private static final Rules CANT_ASK = new Rules(24 * HOUR, 30_000, false);
    private static final ServerList NONE = new ServerList(0, true, List.of());

    private static RestoredState of(Snapshot snapshot, Rules rules) {
        return RestoredState.of(snapshot, NONE, NOW, rules);
    }

    @Test
    void whatWasThereJustNowIsUsedAtOnce() {
        RestoredState fresh = of(States.of(12, 2, NOW - 5_000), CANT_ASK);
        assertEquals(12, fresh.usable().size());
        assertTrue(fresh.usable().values().stream().allMatch(c -> c > 0.99));
    }

    /** A retired box's address may be another application's by now: nothing is sent there unasked. */
    @Test
    void aWeekOldListIsAskedBeforeItIsUsedOrNotUsedAtAll() {
        Snapshot old = States.of(12, 0, NOW - 7 * 24 * HOUR);
        assertEquals(0, of(old, ASKS).usable().size());
        assertEquals(12, of(old, ASKS).toProbe().size());
        assertEquals(0, of(old, CANT_ASK).usable().size());
        assertEquals(0, of(old, CANT_ASK).toProbe().size());
        assertEquals(12, of(old, CANT_ASK).dropped());
    }

    @Test
    void theLikeliestAreAskedFirst() {
        List<ServerRecord> boxes = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            boxes.add(States.server(i, NOW - HOUR * (1 + i * 7 % 10), null));
        }
        List<Target> ask = of(States.snapshot(NOW - HOUR, boxes), ASKS).toProbe();
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
    void agesFromTheFutureAreNoAges() {
        Snapshot ahead = States.of(4, 0, NOW + 365 * 24 * HOUR);
        assertEquals(0, of(ahead, ASKS).usable().size(), "the clock was ahead when it was written");
        assertEquals(4, of(ahead, ASKS).toProbe().size());
        assertEquals(4, of(ahead, CANT_ASK).dropped());
        RestoredState set = RestoredState.of(States.of(4, 0, NOW), NONE, NOW + 365 * 24 * HOUR, ASKS);
        assertEquals(0, set.usable().size(), "the clock is ahead now");
        assertEquals(4, set.toProbe().size());
    }

    @Test
    void aNewerListHasSaidAll() {
        Snapshot snapshot = States.of(20, 0, NOW - 5_000);
        List<Target> twelve = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            twelve.add(States.target(i));
        }
        RestoredState newer = RestoredState.of(snapshot, new ServerList(42, true, twelve), NOW, ASKS);
        assertEquals(0, newer.usable().size() + newer.toProbe().size());
        assertEquals(8, newer.dropped());
        // 20 run now, by the snapshot: the list is from before, when they were 12.
        RestoredState older = RestoredState.of(snapshot, new ServerList(40, true, twelve), NOW, ASKS);
        assertEquals(8, older.usable().size());
        assertTrue(older.usable().keySet().stream().noneMatch(twelve::contains));
    }

    @Test
    void whoDrainedIsNotBroughtBack() {
        Target ready = States.target(1);
        Target drains = new Target(ready.id(), ready.address(), "a", 1, ServerState.DRAINING, 1, 0);
        Snapshot snapshot =
                States.snapshot(NOW, List.of(new ServerRecord(drains, NOW, ConfirmationSource.LIST, 0, null)));
        assertTrue(of(snapshot, ASKS).usable().isEmpty());
        assertTrue(of(snapshot, ASKS).toProbe().isEmpty());
    }

    @Test
    void twoBoxesAtOneAddressAreOneTheNewer() {
        Target first = States.target(1);
        Target second = new Target("s-x", first.address(), "a", 1, ServerState.READY, 1, 0);
        Snapshot snapshot = States.snapshot(
                NOW,
                List.of(
                        new ServerRecord(first, NOW - 9_000, ConfirmationSource.LIST, 0, null),
                        new ServerRecord(second, NOW - 1_000, ConfirmationSource.LIST, 0, null)));
        assertEquals(
                List.of(second), List.copyOf(of(snapshot, CANT_ASK).usable().keySet()));
        // An address that the given list has for somebody else is not the snapshot's to give.
        ServerList listed = new ServerList(1, true, List.of(second));
        assertTrue(RestoredState.of(States.snapshot(NOW, List.of(States.server(1, NOW, null))), listed, NOW, ASKS)
                .usable()
                .isEmpty());
    }

    @Test
    void confidenceFallsWithAge() {
        double before = 1.1;
        for (long ageMs : new long[] {0, 60_000, HOUR, 24 * HOUR, 7 * 24 * HOUR, 365 * 24 * HOUR}) {
            double sure = Confidence.ofServer(ageMs, 24 * HOUR);
            assertTrue(sure < before && sure >= 0 && sure <= 1, ageMs + ": " + sure);
            before = sure;
        }
        assertEquals(Math.exp(-1), Confidence.ofServer(24 * HOUR, 24 * HOUR), 1e-9);
        assertEquals(0.5, Confidence.afterAge(10_000, 10_000), 1e-9);
        assertEquals(1, Confidence.afterAge(-4_000, 10_000), 1e-9, "clocks differ a little");
        assertEquals(0, Confidence.afterAge(-6_000, 10_000), 1e-9, "but not so much");
    }
}
