package vetchpost.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BinaryOperator;

/**
 * The combined effects of several leases. A drain or a freeze applies while any lease demands it. Of several weights of
 * a server, or shed fractions of a class, the one of the highest priority applies; of equal priorities the stricter:
 * the lower weight, the larger shed fraction. Immutable; {@link Leases} builds it anew after each change.
 */
public final class OverrideEffects {
    /** No effects. */
    public static final OverrideEffects NONE = new OverrideEffects(java.util.List.of());

    private static final int PER_MILLE = 1_000;

    private final Set<String> drainedServers = new HashSet<>();
    private final Map<String, OverrideRequest> weightRequests = new HashMap<>();
    private final Map<String, OverrideRequest> shedRequests = new HashMap<>();
    private boolean frozen;

    /** Combines these leases; their order does not matter. */
    public OverrideEffects(Collection<Lease> leases) {
        for (Lease lease : leases) {
            OverrideRequest change = lease.change();
            switch (change.kind()) {
                case DRAIN -> drainedServers.add(change.subject());
                case WEIGHT ->
                    weightRequests.merge(
                            change.subject(), change, higherPriority((a, b) -> a.perMille() <= b.perMille() ? a : b));
                case SHED ->
                    shedRequests.merge(
                            change.subject(), change, higherPriority((a, b) -> a.perMille() >= b.perMille() ? a : b));
                case FREEZE -> frozen = true;
            }
        }
    }

    private static BinaryOperator<OverrideRequest> higherPriority(BinaryOperator<OverrideRequest> tieBreak) {
        return (a, b) -> a.priority() == b.priority() ? tieBreak.apply(a, b) : a.priority() > b.priority() ? a : b;
    }

    /** Whether an override drains this server. */
    public boolean isDraining(String server) {
        return drainedServers.contains(server);
    }

    /**
     * A server's weight with overrides applied.
     *
     * @param reportedWeight its weight as its sources report it
     */
    public double weight(String server, double reportedWeight) {
        OverrideRequest change = weightRequests.get(server);
        return change == null ? reportedWeight : reportedWeight * change.perMille() / PER_MILLE;
    }

    /** The part of a class's requests that is rejected on arrival, in thousandths from 0 to 1,000. */
    public int shedPerMille(String cls) {
        OverrideRequest change = shedRequests.get(cls);
        return change == null ? 0 : change.perMille();
    }

    /** Whether the list of servers is frozen. */
    public boolean isFrozen() {
        return frozen;
    }
}
