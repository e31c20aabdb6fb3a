package vetchpost.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The overrides that hold, and how each came and went. Bounded; each ends by itself at its time by the clock
 * of the calls, which nobody can set.
 */
public final class Leases {
    /** More are refused. */
    public static final int MAX_LEASES = 1_000;

    private static final int MAX_REMEMBERED_KEYS = 10_000;
    private static final long US_PER_MS = 1_000;

    private final SafetyCheck safetyCheck;
    private final Map<Long, Lease> activeLeases = new LinkedHashMap<>();
    /** Of what commands came to, by their keys, so that a repeated one acts once. */
    private final Map<String, Long> leaseNumberByKey = new LinkedHashMap<>();

    private OverrideEffects effects = OverrideEffects.NONE;
    private long lastNumber;

    /**
     * What became of a wish.
     *
     * @param lease null if it was refused
     * @param against what was said against it, also where it was carried out anyway
     * @param repeated whether it had been carried out before, by its key
     */
    public record Decision(Lease lease, List<String> objections, boolean repeated) {}

    /** None so far. */
    public Leases(SafetyCheck judge) {
        this.safetyCheck = judge;
    }

    /** What a change would come to; nothing is changed by asking. */
    public Decision check(OverrideRequest change, FleetState now, long nowUs, long unixMs) {
        expire(nowUs);
        Long known = leaseNumberByKey.get(change.key());
        if (known != null) {
            Lease lease = activeLeases.get(known);
            return new Decision(
                    lease,
                    lease != null ? List.of() : List.of("override " + known + ", which this command made, has ended"),
                    true);
        }
        if (activeLeases.size() >= MAX_LEASES) {
            return new Decision(null, List.of(MAX_LEASES + " overrides hold already, and more are not kept"), false);
        }
        List<String> against = safetyCheck.objections(change, activeLeases.values(), now);
        if (!against.isEmpty() && !change.force()) {
            return new Decision(null, against, false);
        }
        return new Decision(
                new Lease(lastNumber + 1, change, unixMs, nowUs + change.durationMs() * US_PER_MS), against, false);
    }

    /** Has numbers go on behind this one, which was given before a restart. */
    public void resumeNumberingAfter(long number) {
        lastNumber = Math.max(lastNumber, number);
    }

    /** Has a lease hold that has been judged, or that held before a restart. */
    public void grant(Lease lease) {
        lastNumber = Math.max(lastNumber, lease.number());
        activeLeases.put(lease.number(), lease);
        leaseNumberByKey.put(lease.change().key(), lease.number());
        if (leaseNumberByKey.size() > MAX_REMEMBERED_KEYS) {
            leaseNumberByKey.remove(leaseNumberByKey.keySet().iterator().next());
        }
        effects = new OverrideEffects(activeLeases.values());
    }

    /** Whether there is one of this number. */
    public boolean contains(long number) {
        return activeLeases.containsKey(number);
    }

    /** Ends one before its time; false if there is none of this number. */
    public boolean undo(long number) {
        boolean there = activeLeases.remove(number) != null;
        effects = there ? new OverrideEffects(activeLeases.values()) : effects;
        return there;
    }

    /** Ends those whose time has come, and says which. */
    public List<Lease> expire(long nowUs) {
        List<Lease> ended = new ArrayList<>();
        for (Lease lease : activeLeases.values()) {
            if (lease.endUs() <= nowUs) {
                ended.add(lease);
            }
        }
        if (!ended.isEmpty()) {
            ended.forEach(lease -> activeLeases.remove(lease.number()));
            effects = new OverrideEffects(activeLeases.values());
        }
        return ended;
    }

    /** When the next ends by itself; the largest number for never. */
    public long nextExpiryUs() {
        return activeLeases.values().stream().mapToLong(Lease::endUs).min().orElse(Long.MAX_VALUE);
    }

    /** What they come to. */
    public OverrideEffects effects() {
        return effects;
    }

    /** All that hold, the oldest first. */
    public Collection<Lease> activeLeases() {
        return List.copyOf(activeLeases.values());
    }
}
