package vetchpost.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the active overrides as leases: checks requests, grants, undoes and expires them. Each lease ends by itself at
 * its time. The number of leases is bounded. {@link ControlApi} calls it on the node's event loop. Times come from the
 * caller's monotonic clock, which nobody can set.
 */
public final class Leases {
    /** Requests beyond this number of active leases are rejected. */
    public static final int MAX_LEASES = 1_000;

    private static final int MAX_REMEMBERED_KEYS = 10_000;
    private static final long US_PER_MS = 1_000;

    private final SafetyCheck safetyCheck;
    private final Map<Long, Lease> activeLeases = new LinkedHashMap<>();
    /** Lease numbers by idempotency key, so that a repeated command takes effect once. */
    private final Map<String, Long> leaseNumberByKey = new LinkedHashMap<>();

    private OverrideEffects effects = OverrideEffects.NONE;
    private long lastNumber;

    /**
     * The outcome of checking a request.
     *
     * @param lease the lease to grant, or the one already granted to a repeated command; null if rejected or ended
     * @param objections what the safety check objected to, also where the request was forced
     * @param repeated whether a command with the same key was granted before
     */
    public record Decision(Lease lease, List<String> objections, boolean repeated) {}

    /**
     * Creates an empty set of leases.
     *
     * @param safetyCheck checks each request against the leases that are active
     */
    public Leases(SafetyCheck safetyCheck) {
        this.safetyCheck = safetyCheck;
    }

    /**
     * Checks a request without granting it. Expires leases that are due.
     *
     * @param fleetState the servers and classes known at this moment
     * @param nowUs monotonic time in microseconds
     * @param unixMs Unix time in milliseconds, kept as the time of the grant
     * @return the lease to grant, or the objections
     */
    public Decision check(OverrideRequest change, FleetState fleetState, long nowUs, long unixMs) {
        expire(nowUs);
        Long previousNumber = leaseNumberByKey.get(change.key());
        if (previousNumber != null) {
            Lease lease = activeLeases.get(previousNumber);
            return new Decision(
                    lease,
                    lease != null
                            ? List.of()
                            : List.of("override " + previousNumber + ", which this command made, has ended"),
                    true);
        }
        if (activeLeases.size() >= MAX_LEASES) {
            return new Decision(null, List.of(MAX_LEASES + " overrides hold already, and more are not kept"), false);
        }
        List<String> objections = safetyCheck.objections(change, activeLeases.values(), fleetState);
        if (!objections.isEmpty() && !change.force()) {
            return new Decision(null, objections, false);
        }
        return new Decision(
                new Lease(lastNumber + 1, change, unixMs, nowUs + change.durationMs() * US_PER_MS), objections, false);
    }

    /** Continues numbering after this number, which was assigned before a restart. */
    public void resumeNumberingAfter(long number) {
        lastNumber = Math.max(lastNumber, number);
    }

    /** Activates a lease that has passed the check, or that was active before a restart. */
    public void grant(Lease lease) {
        lastNumber = Math.max(lastNumber, lease.number());
        activeLeases.put(lease.number(), lease);
        leaseNumberByKey.put(lease.change().key(), lease.number());
        if (leaseNumberByKey.size() > MAX_REMEMBERED_KEYS) {
            leaseNumberByKey.remove(leaseNumberByKey.keySet().iterator().next());
        }
        effects = new OverrideEffects(activeLeases.values());
    }

    /** Whether a lease of this number is active. */
    public boolean contains(long number) {
        return activeLeases.containsKey(number);
    }

    /**
     * Ends a lease before its time.
     *
     * @return whether a lease of this number was active
     */
    public boolean undo(long number) {
        boolean isActive = activeLeases.remove(number) != null;
        effects = isActive ? new OverrideEffects(activeLeases.values()) : effects;
        return isActive;
    }

    /**
     * Ends the leases that are due.
     *
     * @param nowUs monotonic time in microseconds
     * @return the leases that have ended
     */
    public List<Lease> expire(long nowUs) {
        List<Lease> expired = new ArrayList<>();
        for (Lease lease : activeLeases.values()) {
            if (lease.endUs() <= nowUs) {
                expired.add(lease);
            }
        }
        if (!expired.isEmpty()) {
            expired.forEach(lease -> activeLeases.remove(lease.number()));
            effects = new OverrideEffects(activeLeases.values());
        }
        return expired;
    }

    /** When the next lease expires, in microseconds; {@link Long#MAX_VALUE} if none is active. */
    public long nextExpiryUs() {
        return activeLeases.values().stream().mapToLong(Lease::endUs).min().orElse(Long.MAX_VALUE);
    }

    /** The combined effects of all active leases. */
    public OverrideEffects effects() {
        return effects;
    }

    /** All active leases, the oldest first. */
    public Collection<Lease> activeLeases() {
        return List.copyOf(activeLeases.values());
    }
}
