package vetchpost.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BinaryOperator;

/**
 * What leases come to together. A drain or a freeze holds while any lease says so. Of several weights of a
 * server, or shares of a class, that of the highest priority holds; of equal ones the more careful: the lower
 * weight, the higher share.
 */
public final class OverrideEffects {
    /** None. */
    public static final OverrideEffects NONE = new OverrideEffects(java.util.List.of());

    private static final int PER_MILLE = 1_000;

    private final Set<String> drainedServers = new HashSet<>();
    private final Map<String, OverrideRequest> weightRequests = new HashMap<>();
    private final Map<String, OverrideRequest> shedRequests = new HashMap<>();
    private boolean frozen;

    /** Of these, in whatever order. */
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

    private static BinaryOperator<OverrideRequest> higherPriority(BinaryOperator<OverrideRequest> ofEqual) {
        return (a, b) -> a.priority() == b.priority() ? ofEqual.apply(a, b) : a.priority() > b.priority() ? a : b;
    }

    /** Whether this server takes nothing new. */
    public boolean isDraining(String server) {
        return drainedServers.contains(server);
    }

    /** A server's weight, of the one that its sources tell. */
    public double weight(String server, double said) {
        OverrideRequest change = weightRequests.get(server);
        return change == null ? said : said * change.perMille() / PER_MILLE;
    }

    /** How many thousandths of a class's requests are refused on arrival. */
    public int shedPerMille(String cls) {
        OverrideRequest change = shedRequests.get(cls);
        return change == null ? 0 : change.perMille();
    }

    /** Whether the list of servers is held as it is. */
    public boolean isFrozen() {
        return frozen;
    }
}
