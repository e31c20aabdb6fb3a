package vetchpost.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks an override before it takes effect. It evaluates the state that would result together with all active leases,
 * so that many small steps are rejected where a single large one would be. Called by {@link Leases}; it has no state of
 * its own.
 */
public final class SafetyCheck {
    private static final double PERCENT = 100;

    private final double minRemainingFraction;
    private final double maxShedFraction;

    /**
     * Creates a check with these bounds, both fractions from 0 to 1.
     *
     * @param minRemainingFraction fraction of the weight of all listed servers that must keep accepting requests
     * @param maxShedFraction largest fraction of a class's requests that may be rejected
     */
    public SafetyCheck(double minRemainingFraction, double maxShedFraction) {
        this.minRemainingFraction = minRemainingFraction;
        this.maxShedFraction = maxShedFraction;
    }

    /**
     * Objections to a change, each with figures; empty if there are none.
     *
     * @param activeLeases the active leases, without the change
     */
    public List<String> objections(OverrideRequest change, Collection<Lease> activeLeases, FleetState fleetState) {
        List<Lease> leasesWithChange = new ArrayList<>(activeLeases);
        leasesWithChange.add(new Lease(0, change, 0, 0));
        OverrideEffects before = new OverrideEffects(activeLeases);
        OverrideEffects after = new OverrideEffects(leasesWithChange);
        List<String> objections = new ArrayList<>();
        switch (change.kind()) {
            case DRAIN, WEIGHT -> {
                FleetState.Server server = fleetState.servers().stream()
                        .filter(candidate -> candidate.id().equals(change.subject()))
                        .findFirst()
                        .orElse(null);
                if (server == null) {
                    objections.add("there is no server '" + change.subject() + "' on the list of "
                            + fleetState.servers().size());
                    break;
                }
                checkRemainingWeight(before, after, fleetState, objections);
                if (change.kind() == OverrideKind.DRAIN) {
                    checkZone(server, before, after, fleetState, objections);
                }
            }
            case SHED -> {
                if (!fleetState.classes().contains(change.subject())) {
                    objections.add("there is no class '" + change.subject() + "'; there are "
                            + String.join(", ", fleetState.classes()));
                } else if (after.shedPerMille(change.subject()) > maxShedFraction * 1_000
                        && after.shedPerMille(change.subject()) > before.shedPerMille(change.subject())) {
                    objections.add("it refuses " + formatPercent(after.shedPerMille(change.subject()) / 1_000.0)
                            + " of " + change.subject() + ", and most is " + formatPercent(maxShedFraction));
                }
            }
            default -> {}
        }
        return objections;
    }

    private void checkRemainingWeight(
            OverrideEffects before, OverrideEffects after, FleetState fleetState, List<String> objections) {
        double totalWeight = fleetState.servers().stream()
                .mapToDouble(FleetState.Server::weight)
                .sum();
        double remaining = remainingWeight(after, fleetState);
        if (remaining < minRemainingFraction * totalWeight && remaining < remainingWeight(before, fleetState)) {
            objections.add(String.format(
                    Locale.ROOT,
                    "it leaves %s of the fleet's weight (%s before), and least"
                            + " is %s; %d of %d servers take requests then",
                    formatPercent(remaining / totalWeight),
                    formatPercent(remainingWeight(before, fleetState) / totalWeight),
                    formatPercent(minRemainingFraction),
                    fleetState.servers().stream()
                            .filter(server -> acceptsRequests(server, after))
                            .count(),
                    fleetState.servers().size()));
        }
    }

    private static void checkZone(
            FleetState.Server server,
            OverrideEffects before,
            OverrideEffects after,
            FleetState fleetState,
            List<String> objections) {
        Map<String, Integer> remainingByZone = new HashMap<>();
        fleetState
                .servers()
                .forEach(listed ->
                        remainingByZone.merge(listed.zone(), acceptsRequests(listed, after) ? 1 : 0, Integer::sum));
        if (!server.zone().isEmpty() && remainingByZone.get(server.zone()) == 0 && acceptsRequests(server, before)) {
            objections.add(server.id() + " is the last server of zone " + server.zone() + " that takes requests");
        }
    }

    private static boolean acceptsRequests(FleetState.Server server, OverrideEffects effects) {
        return !server.draining() && !effects.isDraining(server.id());
    }

    private static double remainingWeight(OverrideEffects effects, FleetState fleetState) {
        return fleetState.servers().stream()
                .filter(server -> acceptsRequests(server, effects))
                .mapToDouble(server -> effects.weight(server.id(), server.weight()))
                .sum();
    }

    private static String formatPercent(double fraction) {
        return Math.round(fraction * PERCENT) + " %";
    }
}
