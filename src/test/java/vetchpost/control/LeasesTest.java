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
import vetchpost.control.AuditLog.Entry;
import vetchpost.control.AuditLog.Event;
import vetchpost.control.FleetState.Server;
import vetchpost.control.Leases.Decision;

/** Overrides as leases: judged, stacked, ended by themselves, kept over restarts. */
class LeasesTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long HOUR_US = HOUR_MS * 1_000;
    private final Leases leases = new Leases(new SafetyCheck(0.5, 0.9));
    private int keys;

    private OverrideRequest change(OverrideKind kind, String subject, int perMille, int priority) {
        return new OverrideRequest(kind, subject, perMille, HOUR_MS, "ann", "sick", priority, "k" + keys++, false);
    }

    private static OverrideRequest forced(OverrideRequest c) {
        return new OverrideRequest(
                c.kind(),
                c.subject(),
                c.perMille(),
                c.durationMs(),
                c.owner(),
                c.reason(),
                c.priority(),
                c.key(),
                true);
    }

    /** Ten servers, the first two in zone a, of equal weight. */
    private static FleetState tenServers() {
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            servers.add(new Server("s" + i, i < 2 ? "a" : "b", 1, false));
        }
        return new FleetState(servers, List.of("read", "write"));
    }

    private Decision request(OverrideRequest change, long nowUs) {
        Decision verdict = leases.check(change, tenServers(), nowUs, 0);
        if (verdict.lease() != null) {
            leases.grant(verdict.lease());
        }
        return verdict;
    }

    @Test
    void rejectsFurtherDrainsBelowMinimumRemainingWeight() {
        for (int i = 3; i < 8; i++) {
            assertNotNull(request(change(OverrideKind.DRAIN, "s" + i, 0, 0), 0).lease(), "s" + i);
        }
        Decision sixth = request(change(OverrideKind.DRAIN, "s8", 0, 0), 0);
        assertNull(sixth.lease());
        assertEquals(
                List.of("it leaves 40 % of the fleet's weight (50 % before), and least is 50 %; 4 of 10"
                        + " servers take requests then"),
                sixth.objections());
        assertNull(request(change(OverrideKind.WEIGHT, "s8", 10, 0), 0).lease(), "a hundredth of it is hardly more");
        Decision forced = request(forced(change(OverrideKind.DRAIN, "s8", 0, 0)), 0);
        assertNotNull(forced.lease());
        assertEquals(1, forced.objections().size(), "what was said against it is kept");
        assertNotNull(request(change(OverrideKind.DRAIN, "s8", 0, 0), 0).lease(), "it takes nothing more away");
    }

    @Test
    void rejectsDrainingLastServerOfZone() {
        assertNotNull(request(change(OverrideKind.DRAIN, "s0", 0, 0), 0).lease());
        assertEquals(
                List.of("s1 is the last server of zone a that takes requests"),
                request(change(OverrideKind.DRAIN, "s1", 0, 0), 0).objections());
        request(forced(change(OverrideKind.DRAIN, "s1", 0, 0)), 0);
        assertNotNull(request(change(OverrideKind.DRAIN, "s1", 0, 0), 0).lease(), "it takes nothing more away");
    }

    @Test
    void rejectsUnknownServersAndClassesByName() {
        assertEquals(
                List.of("there is no server 's77' on the list of 10"),
                request(change(OverrideKind.DRAIN, "s77", 0, 0), 0).objections());
        assertEquals(
                List.of("there is no class 'wirte'; there are read, write"),
                request(change(OverrideKind.SHED, "wirte", 500, 0), 0).objections());
        assertEquals(
                List.of("it refuses 95 % of read, and most is 90 %"),
                request(change(OverrideKind.SHED, "read", 950, 0), 0).objections());
        request(forced(change(OverrideKind.SHED, "read", 950, 0)), 0);
        assertNotNull(request(change(OverrideKind.SHED, "read", 500, 0), 0).lease(), "no more is refused by it");
    }

    @Test
    void higherPriorityWinsAndEqualPriorityTakesTheStricterAmount() {
        request(change(OverrideKind.WEIGHT, "s3", 800, 1), 0);
        long lower =
                request(change(OverrideKind.WEIGHT, "s3", 300, 1), 0).lease().number();
        assertEquals(0.3, leases.effects().weight("s3", 1), 1e-9);
        request(change(OverrideKind.WEIGHT, "s3", 900, 2), 0);
        assertEquals(1.8, leases.effects().weight("s3", 2), 1e-9);
        leases.undo(lower);
        assertEquals(0.9, leases.effects().weight("s3", 1), 1e-9);
        request(change(OverrideKind.SHED, "read", 100, 0), 0);
        request(change(OverrideKind.SHED, "read", 400, 0), 0);
        assertEquals(400, leases.effects().shedPerMille("read"));
        assertEquals(0, leases.effects().shedPerMille("write"));
    }

    @Test
    void conflictingOverridesStackAndExpireIndependently() {
        request(new OverrideRequest(OverrideKind.DRAIN, "s5", 0, 1_000, "ann", "sick", 0, "x", false), 0);
        request(change(OverrideKind.WEIGHT, "s5", 1_000, 9), 0);
        assertTrue(leases.effects().isDraining("s5"), "no weight lifts a drain");
        assertEquals(1_000_000, leases.nextExpiryUs());
        assertEquals(List.of(), leases.expire(999_999));
        assertEquals(1, leases.expire(1_000_000).size());
        assertFalse(leases.effects().isDraining("s5"));
        assertEquals(HOUR_US, leases.nextExpiryUs());
    }

    @Test
    void repeatedCommandTakesEffectOnce() {
        OverrideRequest drain = change(OverrideKind.DRAIN, "s4", 0, 0);
        Decision first = request(drain, 0);
        Decision again = request(drain, 5);
        assertTrue(again.repeated());
        assertEquals(first.lease(), again.lease());
        leases.undo(first.lease().number());
        Decision late = request(drain, 9);
        assertNull(late.lease(), "and not once more after it was undone");
        assertEquals(List.of("override 1, which this command made, has ended"), late.objections());
    }

    @Test
    void boundsNumberOfOverrides() {
        int granted = 0;
        for (int i = 0; i < 10_000; i++) {
            granted += request(change(OverrideKind.SHED, "read", 1, 0), 0).lease() == null ? 0 : 1;
        }
        assertEquals(Leases.MAX_LEASES, granted);
        assertEquals(
                List.of("1000 overrides hold already, and more are not kept"),
                request(change(OverrideKind.SHED, "read", 1, 0), 0).objections());
        assertNotNull(request(change(OverrideKind.SHED, "read", 1, 0), HOUR_US).lease(), "once some have ended");
    }

    @Test
    void rejectsInvalidRequests() {
        assertThrows(IllegalArgumentException.class, () -> change(OverrideKind.WEIGHT, "s1", 0, 0));
        assertThrows(IllegalArgumentException.class, () -> change(OverrideKind.WEIGHT, "s1", 1_001, 0));
        assertThrows(IllegalArgumentException.class, () -> change(OverrideKind.DRAIN, "s1", 5, 0));
        assertThrows(IllegalArgumentException.class, () -> change(OverrideKind.DRAIN, "", 0, 0));
        assertThrows(IllegalArgumentException.class, () -> change(OverrideKind.DRAIN, "a\nb", 0, 0));
        assertThrows(IllegalArgumentException.class, () -> change(OverrideKind.DRAIN, "s1", 0, 10));
        for (long length : new long[] {0, 999, OverrideRequest.MAX_DURATION_MS + 1, Long.MAX_VALUE}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new OverrideRequest(OverrideKind.FREEZE, "", 0, length, "ann", "night", 0, "k", false));
        }
    }

    @Test
    void restoresActiveLeasesFromAuditLog() {
        OverrideRequest drain = change(OverrideKind.DRAIN, "s1", 0, 0);
        OverrideRequest shed = change(OverrideKind.SHED, "read", 5, 0);
        OverrideRequest freeze = new OverrideRequest(OverrideKind.FREEZE, "", 0, 1_000, "bob", "night", 0, "f", false);
        List<Entry> entries = List.of(
                new Entry(Event.GRANTED, 1, 10_000, drain, "ann", ""),
                new Entry(Event.GRANTED, 2, 20_000, shed, "ann", ""),
                new Entry(Event.GRANTED, 3, 20_000, freeze, "bob", ""),
                new Entry(Event.REFUSED, 0, 20_500, drain, "bob", "no"),
                new Entry(Event.UNDONE, 2, 21_000, null, "ann", ""));
        List<Lease> held = AuditLog.activeLeases(entries, 30_000, 500);
        assertEquals(1, held.size(), "undone, and ended while it was away, do not hold");
        assertEquals(500 + HOUR_US - 20_000_000, held.get(0).endUs());
        assertEquals(
                500 + HOUR_US - 11_000_000,
                AuditLog.activeLeases(entries, 0, 500).get(0).endUs(),
                "a clock that was set back is not earlier than the trail's last word");
        assertEquals(List.of(), AuditLog.activeLeases(entries, 10_000 + HOUR_MS, 0));
    }

    @Test
    void detectsTamperedAuditLog() {
        List<String> lines = new ArrayList<>();
        String before = AuditLog.ROOT_HASH;
        for (int i = 0; i < 5; i++) {
            lines.add(AuditLog.chainedLine(before, "entry " + i));
            before = AuditLog.hashOf(lines.get(i));
        }
        assertEquals(0, AuditLog.firstBrokenLine(lines));
        assertEquals("entry 3", AuditLog.textOf(lines.get(3)));
        for (int i = 0; i < 4; i++) {
            List<String> without = new ArrayList<>(lines);
            without.remove(i);
            assertEquals(i + 1, AuditLog.firstBrokenLine(without), "line " + i + " taken out");
            List<String> changed = new ArrayList<>(lines);
            changed.set(i, lines.get(i).replace("entry", "Entry"));
            assertEquals(i + 1, AuditLog.firstBrokenLine(changed));
        }
        assertEquals(1, AuditLog.firstBrokenLine(List.of("")));
    }

    @Test
    void randomLeasesExpireOnTimeAndSurviveRestart() {
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            Leases before = new Leases(new SafetyCheck(0.5, 0.9));
            List<Entry> trail = new ArrayList<>();
            long nowUs = 0;
            for (int i = 0; i < 40; i++) {
                nowUs += 1_000L * random.nextInt(2_000);
                OverrideKind kind = OverrideKind.values()[random.nextInt(4)];
                String subject = kind == OverrideKind.FREEZE
                        ? ""
                        : kind == OverrideKind.SHED ? "read" : "s" + random.nextInt(10);
                int amount = kind == OverrideKind.WEIGHT || kind == OverrideKind.SHED ? 1 + random.nextInt(1_000) : 0;
                OverrideRequest change = new OverrideRequest(
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
                Decision verdict = before.check(change, tenServers(), nowUs, nowUs / 1_000);
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
                for (Lease lease : before.activeLeases()) {
                    assertTrue(lease.endUs() > nowUs, "none outlives its time");
                }
                Leases after = new Leases(new SafetyCheck(0.5, 0.9));
                AuditLog.activeLeases(trail, nowUs / 1_000, nowUs / 1_000 * 1_000)
                        .forEach(after::grant);
                for (int s = 0; s < 10; s++) {
                    assertEquals(
                            before.effects().isDraining("s" + s),
                            after.effects().isDraining("s" + s));
                    assertEquals(
                            before.effects().weight("s" + s, 1), after.effects().weight("s" + s, 1));
                }
                assertEquals(
                        before.effects().shedPerMille("read"), after.effects().shedPerMille("read"));
                assertEquals(before.effects().isFrozen(), after.effects().isFrozen());
            }
        }
    }

    @Test
    void shedsFractionOfClassEvenly() {
        request(change(OverrideKind.SHED, "write", 400, 0), 0);
        SheddingRoutePolicy shedder = new SheddingRoutePolicy(
                request -> vetchpost.core.RouteLimits.NONE, List.of("read", "write"), leases::effects);
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
