package vetchpost.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import vetchpost.control.Leases.Verdict;
import vetchpost.control.Situation.Server;
import vetchpost.control.Trail.Entry;
import vetchpost.control.Trail.Event;

/** Overrides as leases: judged, stacked, ended by themselves, kept over restarts. */
class LeasesTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long HOUR_US = HOUR_MS * 1_000;
    private final Leases leases = new Leases(new Judge(0.5, 0.9));
    private int keys;

    private Change change(Kind kind, String subject, int perMille, int priority) {
        return new Change(kind, subject, perMille, HOUR_MS, "ann", "sick", priority, "k" + keys++, false);
    }

    private static Change anyway(Change c) {
        return new Change(
                c.kind(), c.subject(), c.perMille(), c.lengthMs(), c.owner(), c.reason(), c.priority(), c.key(), true);
    }

    /** Ten servers, the first two in zone a, of equal weight. */
    private static Situation ten() {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            servers.add(new Server("s" + i, i < 2 ? "a" : "b", 1, false));
        }
        return new Situation(servers, List.of("read", "write"));
    }

    private Verdict ask(Change change, long nowUs) {
        Verdict verdict = leases.judge(change, ten(), nowUs, 0);
        if (verdict.lease() != null) {
            leases.grant(verdict.lease());
        }
        return verdict;
    }

    @Test
    void drainsOneByOneAreRefusedOnceTooMuchWouldBeGone() {
        for (int i = 3; i < 8; i++) {
            assertNotNull(ask(change(Kind.DRAIN, "s" + i, 0, 0), 0).lease(), "s" + i);
        }
        Verdict sixth = ask(change(Kind.DRAIN, "s8", 0, 0), 0);
        assertNull(sixth.lease());
        assertEquals(
                List.of("it leaves 40 % of the fleet's weight (50 % before), and least is 50 %; 4 of 10"
                        + " servers take requests then"),
                sixth.against());
        assertNull(ask(change(Kind.WEIGHT, "s8", 10, 0), 0).lease(), "a hundredth of it is hardly more");
        Verdict forced = ask(anyway(change(Kind.DRAIN, "s8", 0, 0)), 0);
        assertNotNull(forced.lease());
        assertEquals(1, forced.against().size(), "what was said against it is kept");
        assertNotNull(ask(change(Kind.DRAIN, "s8", 0, 0), 0).lease(), "it takes nothing more away");
    }

    @Test
    void theLastServerOfAZoneStays() {
        assertNotNull(ask(change(Kind.DRAIN, "s0", 0, 0), 0).lease());
        assertEquals(
                List.of("s1 is the last server of zone a that takes requests"),
                ask(change(Kind.DRAIN, "s1", 0, 0), 0).against());
        ask(anyway(change(Kind.DRAIN, "s1", 0, 0)), 0);
        assertNotNull(ask(change(Kind.DRAIN, "s1", 0, 0), 0).lease(), "it takes nothing more away");
    }

    @Test
    void whatIsNotThereIsRefusedByName() {
        assertEquals(
                List.of("there is no server 's77' on the list of 10"),
                ask(change(Kind.DRAIN, "s77", 0, 0), 0).against());
        assertEquals(
                List.of("there is no class 'wirte'; there are read, write"),
                ask(change(Kind.SHED, "wirte", 500, 0), 0).against());
        assertEquals(
                List.of("it refuses 95 % of read, and most is 90 %"),
                ask(change(Kind.SHED, "read", 950, 0), 0).against());
        ask(anyway(change(Kind.SHED, "read", 950, 0)), 0);
        assertNotNull(ask(change(Kind.SHED, "read", 500, 0), 0).lease(), "no more is refused by it");
    }

    @Test
    void ofTwoThatSetOneAmountTheHigherPriorityHoldsAndOfEqualOnesTheMoreCareful() {
        ask(change(Kind.WEIGHT, "s3", 800, 1), 0);
        long lower = ask(change(Kind.WEIGHT, "s3", 300, 1), 0).lease().number();
        assertEquals(0.3, leases.effects().weight("s3", 1), 1e-9);
        ask(change(Kind.WEIGHT, "s3", 900, 2), 0);
        assertEquals(1.8, leases.effects().weight("s3", 2), 1e-9);
        leases.undo(lower);
        assertEquals(0.9, leases.effects().weight("s3", 1), 1e-9);
        ask(change(Kind.SHED, "read", 100, 0), 0);
        ask(change(Kind.SHED, "read", 400, 0), 0);
        assertEquals(400, leases.effects().shed("read"));
        assertEquals(0, leases.effects().shed("write"));
    }

    @Test
    void oppositeOnesOfOneTickStackAndEachEndsAtItsOwnTime() {
        ask(new Change(Kind.DRAIN, "s5", 0, 1_000, "ann", "sick", 0, "x", false), 0);
        ask(change(Kind.WEIGHT, "s5", 1_000, 9), 0);
        assertTrue(leases.effects().drains("s5"), "no weight lifts a drain");
        assertEquals(1_000_000, leases.nextUs());
        assertEquals(List.of(), leases.expire(999_999));
        assertEquals(1, leases.expire(1_000_000).size());
        assertFalse(leases.effects().drains("s5"));
        assertEquals(HOUR_US, leases.nextUs());
    }

    @Test
    void aRepeatedCommandActsOnce() {
        Change drain = change(Kind.DRAIN, "s4", 0, 0);
        Verdict first = ask(drain, 0);
        Verdict again = ask(drain, 5);
        assertTrue(again.repeated());
        assertEquals(first.lease(), again.lease());
        leases.undo(first.lease().number());
        Verdict late = ask(drain, 9);
        assertNull(late.lease(), "and not once more after it was undone");
        assertEquals(List.of("override 1, which this command made, has ended"), late.against());
    }

    @Test
    void tenThousandOverridesAreBounded() {
        int granted = 0;
        for (int i = 0; i < 10_000; i++) {
            granted += ask(change(Kind.SHED, "read", 1, 0), 0).lease() == null ? 0 : 1;
        }
        assertEquals(Leases.MOST, granted);
        assertEquals(
                List.of("1000 overrides hold already, and more are not kept"),
                ask(change(Kind.SHED, "read", 1, 0), 0).against());
        assertNotNull(ask(change(Kind.SHED, "read", 1, 0), HOUR_US).lease(), "once some have ended");
    }

    @Test
    void anOverrideIsCheckedInItself() {
        assertThrows(IllegalArgumentException.class, () -> change(Kind.WEIGHT, "s1", 0, 0));
        assertThrows(IllegalArgumentException.class, () -> change(Kind.WEIGHT, "s1", 1_001, 0));
        assertThrows(IllegalArgumentException.class, () -> change(Kind.DRAIN, "s1", 5, 0));
        assertThrows(IllegalArgumentException.class, () -> change(Kind.DRAIN, "", 0, 0));
        assertThrows(IllegalArgumentException.class, () -> change(Kind.DRAIN, "a\nb", 0, 0));
        assertThrows(IllegalArgumentException.class, () -> change(Kind.DRAIN, "s1", 0, 10));
        for (long length : new long[] {0, 999, Change.MOST_MS + 1, Long.MAX_VALUE}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new Change(Kind.FREEZE, "", 0, length, "ann", "night", 0, "k", false));
        }
    }

    @Test
    void whatHeldIsReadOffTheTrailAfterARestart() {
        Change drain = change(Kind.DRAIN, "s1", 0, 0);
        Change shed = change(Kind.SHED, "read", 5, 0);
        Change freeze = new Change(Kind.FREEZE, "", 0, 1_000, "bob", "night", 0, "f", false);
        List<Entry> entries = List.of(
                new Entry(Event.GRANTED, 1, 10_000, drain, "ann", ""),
                new Entry(Event.GRANTED, 2, 20_000, shed, "ann", ""),
                new Entry(Event.GRANTED, 3, 20_000, freeze, "bob", ""),
                new Entry(Event.REFUSED, 0, 20_500, drain, "bob", "no"),
                new Entry(Event.UNDONE, 2, 21_000, null, "ann", ""));
        List<Lease> held = Trail.held(entries, 30_000, 500);
        assertEquals(1, held.size(), "undone, and ended while it was away, do not hold");
        assertEquals(500 + HOUR_US - 20_000_000, held.get(0).endUs());
        assertEquals(
                500 + HOUR_US - 11_000_000,
                Trail.held(entries, 0, 500).get(0).endUs(),
                "a clock that was set back is not earlier than the trail's last word");
        assertEquals(List.of(), Trail.held(entries, 10_000 + HOUR_MS, 0));
    }

    @Test
    void aTrailThatWasTouchedIsFound() {
        List<String> lines = new ArrayList<>();
        String before = Trail.ROOT;
        for (int i = 0; i < 5; i++) {
            lines.add(Trail.line(before, "entry " + i));
            before = Trail.hashOf(lines.get(i));
        }
        assertEquals(0, Trail.broken(lines));
        assertEquals("entry 3", Trail.textOf(lines.get(3)));
        for (int i = 0; i < 4; i++) {
            List<String> without = new ArrayList<>(lines);
            without.remove(i);
            assertEquals(i + 1, Trail.broken(without), "line " + i + " taken out");
            List<String> changed = new ArrayList<>(lines);
            changed.set(i, lines.get(i).replace("entry", "Entry"));
            assertEquals(i + 1, Trail.broken(changed));
        }
        assertEquals(1, Trail.broken(List.of("")));
    }

    @Test
    void drawnAtRandomLeasesEndOnTimeAndARestartChangesNothing() {
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            Leases before = new Leases(new Judge(0.5, 0.9));
            List<Entry> trail = new ArrayList<>();
            long nowUs = 0;
            for (int i = 0; i < 40; i++) {
                nowUs += 1_000L * random.nextInt(2_000);
                Kind kind = Kind.values()[random.nextInt(4)];
                String subject = kind == Kind.FREEZE ? "" : kind == Kind.SHED ? "read" : "s" + random.nextInt(10);
                int amount = kind == Kind.WEIGHT || kind == Kind.SHED ? 1 + random.nextInt(1_000) : 0;
                Change change = new Change(
                        kind,
                        subject,
                        amount,
                        1_000 + random.nextInt(20_000),
                        "ann",
                        "x",
                        random.nextInt(3),
                        "k" + random.nextInt(60),
                        random.nextInt(4) == 0);
                for (Lease ended : before.expire(nowUs)) {
                    assertTrue(ended.endUs() <= nowUs);
                }
                Verdict verdict = before.judge(change, ten(), nowUs, nowUs / 1_000);
                if (verdict.lease() != null && !verdict.repeated()) {
                    before.grant(verdict.lease());
                    trail.add(new Entry(Event.GRANTED, verdict.lease().number(), nowUs / 1_000, change, "", ""));
                }
                if (random.nextInt(5) == 0) {
                    long number = 1 + random.nextInt(40);
                    if (before.undo(number)) {
                        trail.add(new Entry(Event.UNDONE, number, nowUs / 1_000, null, "", ""));
                    }
                }
                for (Lease lease : before.all()) {
                    assertTrue(lease.endUs() > nowUs, "none outlives its time");
                }
                Leases after = new Leases(new Judge(0.5, 0.9));
                Trail.held(trail, nowUs / 1_000, nowUs / 1_000 * 1_000).forEach(after::grant);
                for (int s = 0; s < 10; s++) {
                    assertEquals(
                            before.effects().drains("s" + s), after.effects().drains("s" + s));
                    assertEquals(
                            before.effects().weight("s" + s, 1), after.effects().weight("s" + s, 1));
                }
                assertEquals(before.effects().shed("read"), after.effects().shed("read"));
                assertEquals(before.effects().isFrozen(), after.effects().isFrozen());
            }
        }
    }

    @Test
    void aShareOfAClassIsRefusedEvenly() {
        ask(change(Kind.SHED, "write", 400, 0), 0);
        Shedder shedder =
                new Shedder(request -> vetchpost.core.RouteLimits.NONE, List.of("read", "write"), leases::effects);
        StringBuilder entered = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            entered.append(shedder.limitsOf(request(1)).tryAcquire() ? "+" : "-");
            assertTrue(shedder.limitsOf(request(0)).tryAcquire());
        }
        assertEquals("++-+-++-+-", entered.toString());
    }

    private static vetchpost.core.ClientRequest request(int cls) {
        return new vetchpost.core.ClientRequest(1, cls, -1, 1, 0, false, "GET", "/", null, new byte[0]);
    }
}
