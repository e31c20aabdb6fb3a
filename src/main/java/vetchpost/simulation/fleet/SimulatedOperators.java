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

/**
 * Operators who drain, weight and freeze servers at random, and undo some of it; at times the node restarts and
 * rebuilds its leases from the audit log alone. Keeps its own record of drains, by which {@link FleetRun} checks that
 * no drained server is sent requests. Used by one run, on its thread.
 */
final class SimulatedOperators implements ServerOverrides {
    private static final long US_PER_MS = 1_000;
    private static final int MAX_LEASE_LENGTH_MS = 6_000;

    private final SplittableRandom random;
    private final List<String> auditLog = new ArrayList<>();
    private final List<DrainPeriod> drains = new ArrayList<>();
    private Leases leases = leases();
    private int commandCount;

    /** An accepted drain, recorded apart from the leases under test; times in microseconds from the start. */
    private static final class DrainPeriod {
        private final String server;
        private final long leaseNumber;
        private final long fromUs;
        private long untilUs;

        DrainPeriod(String server, long leaseNumber, long fromUs, long untilUs) {
            this.server = server;
            this.leaseNumber = leaseNumber;
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

    /**
     * Performs one random command, undo or restart.
     *
     * @param elapsedUs the time from the start, in microseconds
     * @return the broken rule, or an empty text
     */
    String act(List<Member> members, long elapsedUs) {
        long nowUs = elapsedUs / US_PER_MS * US_PER_MS;
        leases.expire(nowUs);
        if (members.isEmpty()) {
            return "";
        }
        if (random.nextInt(8) == 0) {
            return restart(members, nowUs);
        }
        if (random.nextInt(5) == 0 && commandCount > 0) {
            long number = 1 + random.nextInt(commandCount);
            if (leases.undo(number)) {
                auditLog.add(
                        AuditEntryJson.format(new Entry(Event.UNDONE, number, nowUs / US_PER_MS, null, "bob", "")));
                drains.stream().filter(d -> d.leaseNumber == number).forEach(d -> d.untilUs = nowUs);
            }
            return "";
        }
        OverrideKind kind = List.of(OverrideKind.DRAIN, OverrideKind.DRAIN, OverrideKind.WEIGHT, OverrideKind.FREEZE)
                .get(random.nextInt(4));
        String server = members.get(random.nextInt(members.size())).id();
        long lengthMs = 1_000 + random.nextInt(MAX_LEASE_LENGTH_MS - 1_000);
        OverrideRequest request = new OverrideRequest(
                kind,
                kind == OverrideKind.FREEZE ? "" : server,
                kind == OverrideKind.WEIGHT ? 1 + random.nextInt(1_000) : 0,
                lengthMs,
                "ann",
                "simulated operation",
                random.nextInt(3),
                "k" + commandCount++,
                random.nextInt(6) == 0);
        Decision decision = leases.check(request, fleetState(members), nowUs, nowUs / US_PER_MS);
        if (decision.lease() != null) {
            leases.grant(decision.lease());
            auditLog.add(AuditEntryJson.format(
                    new Entry(Event.GRANTED, decision.lease().number(), nowUs / US_PER_MS, request, "ann", "")));
            if (kind == OverrideKind.DRAIN) {
                drains.add(new DrainPeriod(server, decision.lease().number(), elapsedUs, nowUs + lengthMs * US_PER_MS));
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
        Leases previous = leases;
        List<Entry> entries = auditLog.stream().map(AuditEntryJson::parse).toList();
        leases = leases();
        AuditLog.activeLeases(entries, nowUs / US_PER_MS, nowUs).forEach(leases::grant);
        entries.forEach(e -> leases.resumeNumberingAfter(e.number()));
        boolean unchanged = previous.activeLeases().stream()
                        .map(Lease::endUs)
                        .sorted()
                        .toList()
                        .equals(leases.activeLeases().stream()
                                .map(Lease::endUs)
                                .sorted()
                                .toList())
                && members.stream()
                        .allMatch(m -> previous.effects().isDraining(m.id()) == isDraining(m.id())
                                && previous.effects().weight(m.id(), 1) == weight(m.id(), 1))
                && previous.effects().isFrozen() == isListFrozen();
        return unchanged ? "" : "overrides: a restart changed the active overrides";
    }

    /** Ends leases that are due at this time, in microseconds from the start. */
    void expire(long elapsedUs) {
        leases.expire(elapsedUs / US_PER_MS * US_PER_MS);
    }

    /** Whether a recorded drain, past its grace period, forbids an attempt at this time. */
    boolean forbids(String server, long elapsedUs, long graceUs) {
        return drains.stream()
                .anyMatch(d -> d.server.equals(server) && elapsedUs > d.fromUs + graceUs && elapsedUs < d.untilUs);
    }

    /** Number of active leases. */
    int activeLeaseCount() {
        return leases.activeLeases().size();
    }

    @Override
    public boolean isDraining(String id) {
        return leases.effects().isDraining(id);
    }

    @Override
    public double weight(String id, double reported) {
        return leases.effects().weight(id, reported);
    }

    @Override
    public boolean isListFrozen() {
        return leases.effects().isFrozen();
    }
}
