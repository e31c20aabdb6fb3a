package vetchpost.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Judges an override before it has an effect, by what is left once it has: with all that holds already, so
 * that the tenth small step is refused where the first was not.
 */
public final class SafetyCheck {
    private static final double PERCENT = 100;

    private final double minRemainingFraction;
    private final double maxShedFraction;

    /**
     * What must be left.
     *
     * @param leastLeft share of the fleet's weight, of all servers on the list, that goes on taking requests
     * @param mostShed share of a class's requests that may be refused
     */
    public SafetyCheck(double leastLeft, double mostShed) {
        this.minRemainingFraction = leastLeft;
        this.maxShedFraction = mostShed;
    }

    /**
     * What can be said against a change, each with figures; empty if nothing.
     *
     * @param held the leases that hold, without the change
     */
    public List<String> objections(OverrideRequest change, Collection<Lease> held, FleetState now) {
        List<Lease> with = new ArrayList<>(held);
        with.add(new Lease(0, change, 0, 0));
        OverrideEffects before = new OverrideEffects(held);
        OverrideEffects after = new OverrideEffects(with);
        List<String> against = new ArrayList<>();
        switch (change.kind()) {
            case DRAIN, WEIGHT -> {
                FleetState.Server server = now.servers().stream()
                        .filter(s -> s.id().equals(change.subject()))
                        .findFirst()
                        .orElse(null);
                if (server == null) {
                    against.add("there is no server '" + change.subject() + "' on the list of "
                            + now.servers().size());
                    break;
                }
                checkRemainingWeight(before, after, now, against);
                if (change.kind() == OverrideKind.DRAIN) {
                    checkZone(server, before, after, now, against);
                }
            }
            case SHED -> {
                if (!now.classes().contains(change.subject())) {
                    against.add("there is no class '" + change.subject() + "'; there are "
                            + String.join(", ", now.classes()));
                } else if (after.shedPerMille(change.subject()) > maxShedFraction * 1_000
                        && after.shedPerMille(change.subject()) > before.shedPerMille(change.subject())) {
                    against.add("it refuses " + formatPercent(after.shedPerMille(change.subject()) / 1_000.0) + " of "
                            + change.subject() + ", and most is " + formatPercent(maxShedFraction));
                }
            }
            default -> {}
        }
        return against;
    }

    private void checkRemainingWeight(
            OverrideEffects before, OverrideEffects after, FleetState now, List<String> against) {
        double all =
                now.servers().stream().mapToDouble(FleetState.Server::weight).sum();
        double left = remainingWeight(after, now);
        if (left < minRemainingFraction * all && left < remainingWeight(before, now)) {
            against.add(String.format(
                    Locale.ROOT,
                    "it leaves %s of the fleet's weight (%s before), and least"
                            + " is %s; %d of %d servers take requests then",
                    formatPercent(left / all),
                    formatPercent(remainingWeight(before, now) / all),
                    formatPercent(minRemainingFraction),
                    now.servers().stream()
                            .filter(s -> acceptsRequests(s, after))
                            .count(),
                    now.servers().size()));
        }
    }

    private static void checkZone(
            FleetState.Server server,
            OverrideEffects before,
            OverrideEffects after,
            FleetState now,
            List<String> against) {
        Map<String, Integer> left = new HashMap<>();
        now.servers().forEach(s -> left.merge(s.zone(), acceptsRequests(s, after) ? 1 : 0, Integer::sum));
        if (!server.zone().isEmpty() && left.get(server.zone()) == 0 && acceptsRequests(server, before)) {
            against.add(server.id() + " is the last server of zone " + server.zone() + " that takes requests");
        }
    }

    private static boolean acceptsRequests(FleetState.Server server, OverrideEffects effects) {
        return !server.draining() && !effects.isDraining(server.id());
    }

    private static double remainingWeight(OverrideEffects effects, FleetState now) {
        return now.servers().stream()
                .filter(s -> acceptsRequests(s, effects))
                .mapToDouble(s -> effects.weight(s.id(), s.weight()))
                .sum();
    }

    private static String formatPercent(double share) {
        return Math.round(share * PERCENT) + " %";
    }
}
