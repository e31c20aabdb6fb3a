package vetchpost.simulation.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import vetchpost.control.AuditEntryJson;
import vetchpost.control.AuditLog;
import vetchpost.control.AuditLog.Entry;
import vetchpost.control.AuditLog.Event;
import vetchpost.control.FleetState;
import vetchpost.control.Lease;
import vetchpost.control.Leases;
import vetchpost.control.Leases.Decision;
import vetchpost.control.OverrideKind;
import vetchpost.control.OverrideRequest;
import vetchpost.control.SafetyCheck;
import vetchpost.sources.Membership.Member;
import vetchpost.sources.ServerOverrides;

/** Operators who drain, weigh and freeze as chance has it, undo some of it, and a node that forgets all but
 * its trail; with a list of its own of what may not be sent to whom. */
final class SimulatedOperators implements ServerOverrides {
    private static final long US_PER_MS = 1_000;
    private static final int MAX_LEASE_LENGTH_MS = 6_000;

    private final SplittableRandom random;
    private final List<String> auditLog = new ArrayList<>();
    private final List<DrainPeriod> drains = new ArrayList<>();
    private Leases leases = leases();
    private int commands;

    /** The checker's own note of a drain. */
    private static final class DrainPeriod {
        private final String server;
        private final long leaseNumber;
        private final long fromUs;
        private long untilUs;

        DrainPeriod(String server, long number, long fromUs, long untilUs) {
            this.server = server;
            this.leaseNumber = number;
            this.fromUs = fromUs;
            this.untilUs = untilUs;
        }
    }

    SimulatedOperators(long seed) {
        random = new SplittableRandom(seed * 0xD1B54A32D192ED03L + 31);
    }

    private static Leases leases() {
        return new Leases(new SafetyCheck(0.3, 0.9));
    }

    /** One command, or a restart; says what is wrong, or nothing. */
    String act(List<Member> members, long us) {
        long nowUs = us / US_PER_MS * US_PER_MS;
        leases.expire(nowUs);
        if (members.isEmpty()) {
            return "";
        }
        if (random.nextInt(8) == 0) {
            return restart(members, nowUs);
        }
        if (random.nextInt(5) == 0 && commands > 0) {
            long number = 1 + random.nextInt(commands);
            if (leases.undo(number)) {
                auditLog.add(
                        AuditEntryJson.format(new Entry(Event.UNDONE, number, nowUs / US_PER_MS, null, "bob", "")));
                drains.stream().filter(b -> b.leaseNumber == number).forEach(b -> b.untilUs = nowUs);
            }
            return "";
        }
        OverrideKind kind = List.of(OverrideKind.DRAIN, OverrideKind.DRAIN, OverrideKind.WEIGHT, OverrideKind.FREEZE)
                .get(random.nextInt(4));
        String server = members.get(random.nextInt(members.size())).id();
        long length = 1_000 + random.nextInt(MAX_LEASE_LENGTH_MS - 1_000);
        OverrideRequest change = new OverrideRequest(
                kind,
                kind == OverrideKind.FREEZE ? "" : server,
                kind == OverrideKind.WEIGHT ? 1 + random.nextInt(1_000) : 0,
                length,
                "ann",
                "a drawn night",
                random.nextInt(3),
                "k" + commands++,
                random.nextInt(6) == 0);
        Decision verdict = leases.check(change, fleetState(members), nowUs, nowUs / US_PER_MS);
        if (verdict.lease() != null) {
            leases.grant(verdict.lease());
            auditLog.add(AuditEntryJson.format(
                    new Entry(Event.GRANTED, verdict.lease().number(), nowUs / US_PER_MS, change, "ann", "")));
            if (kind == OverrideKind.DRAIN) {
                drains.add(new DrainPeriod(server, verdict.lease().number(), us, nowUs + length * US_PER_MS));
            }
        }
        return "";
    }

    private static FleetState fleetState(List<Member> members) {
        return new FleetState(
                members.stream()
                        .map(m -> new FleetState.Server(m.id(), m.zone(), m.weight(), m.draining()))
                        .toList(),
                List.of());
    }

    private String restart(List<Member> members, long nowUs) {
        Leases before = leases;
        List<Entry> entries = auditLog.stream().map(AuditEntryJson::parse).toList();
        leases = leases();
        AuditLog.activeLeases(entries, nowUs / US_PER_MS, nowUs).forEach(leases::grant);
        entries.forEach(e -> leases.resumeNumberingAfter(e.number()));
        boolean same = before.activeLeases().stream()
                        .map(Lease::endUs)
                        .sorted()
                        .toList()
                        .equals(leases.activeLeases().stream()
                                .map(Lease::endUs)
                                .sorted()
                                .toList())
                && members.stream()
                        .allMatch(m -> before.effects().isDraining(m.id()) == isDraining(m.id())
                                && before.effects().weight(m.id(), 1) == weight(m.id(), 1))
                && before.effects().isFrozen() == isListFrozen();
        return same ? "" : "overrides: a restart has changed what holds";
    }

    /** Lets what is due end. */
    void expire(long us) {
        leases.expire(us / US_PER_MS * US_PER_MS);
    }

    /** Whether a drain forbids an attempt, by the checker's own notes. */
    boolean forbids(String server, long us, long graceUs) {
        return drains.stream().anyMatch(b -> b.server.equals(server) && us > b.fromUs + graceUs && us < b.untilUs);
    }

    /** How many hold. */
    int activeLeaseCount() {
        return leases.activeLeases().size();
    }

    @Override
    public boolean isDraining(String id) {
        return leases.effects().isDraining(id);
    }

    @Override
    public double weight(String id, double said) {
        return leases.effects().weight(id, said);
    }

    @Override
    public boolean isListFrozen() {
        return leases.effects().isFrozen();
    }
}
