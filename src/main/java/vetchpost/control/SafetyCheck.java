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

    private final double leastLeft;
    private final double mostShed;

    /**
     * What must be left.
     *
     * @param leastLeft share of the fleet's weight, of all servers on the list, that goes on taking requests
     * @param mostShed share of a class's requests that may be refused
     */
    public SafetyCheck(double leastLeft, double mostShed) {
        this.leastLeft = leastLeft;
        this.mostShed = mostShed;
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
                capacity(before, after, now, against);
                if (change.kind() == OverrideKind.DRAIN) {
                    zone(server, before, after, now, against);
                }
            }
            case SHED -> {
                if (!now.classes().contains(change.subject())) {
                    against.add("there is no class '" + change.subject() + "'; there are "
                            + String.join(", ", now.classes()));
                } else if (after.shedPerMille(change.subject()) > mostShed * 1_000
                        && after.shedPerMille(change.subject()) > before.shedPerMille(change.subject())) {
                    against.add("it refuses " + percent(after.shedPerMille(change.subject()) / 1_000.0) + " of "
                            + change.subject() + ", and most is " + percent(mostShed));
                }
            }
            default -> {}
        }
        return against;
    }

    private void capacity(OverrideEffects before, OverrideEffects after, FleetState now, List<String> against) {
        double all =
                now.servers().stream().mapToDouble(FleetState.Server::weight).sum();
        double left = left(after, now);
        if (left < leastLeft * all && left < left(before, now)) {
            against.add(String.format(
                    Locale.ROOT,
                    "it leaves %s of the fleet's weight (%s before), and least"
                            + " is %s; %d of %d servers take requests then",
                    percent(left / all),
                    percent(left(before, now) / all),
                    percent(leastLeft),
                    now.servers().stream().filter(s -> takes(s, after)).count(),
                    now.servers().size()));
        }
    }

    private static void zone(
            FleetState.Server server,
            OverrideEffects before,
            OverrideEffects after,
            FleetState now,
            List<String> against) {
        Map<String, Integer> left = new HashMap<>();
        now.servers().forEach(s -> left.merge(s.zone(), takes(s, after) ? 1 : 0, Integer::sum));
        if (!server.zone().isEmpty() && left.get(server.zone()) == 0 && takes(server, before)) {
            against.add(server.id() + " is the last server of zone " + server.zone() + " that takes requests");
        }
    }

    private static boolean takes(FleetState.Server server, OverrideEffects effects) {
        return !server.draining() && !effects.isDraining(server.id());
    }

    private static double left(OverrideEffects effects, FleetState now) {
        return now.servers().stream()
                .filter(s -> takes(s, effects))
                .mapToDouble(s -> effects.weight(s.id(), s.weight()))
                .sum();
    }

    private static String percent(double share) {
        return Math.round(share * PERCENT) + " %";
    }
}
