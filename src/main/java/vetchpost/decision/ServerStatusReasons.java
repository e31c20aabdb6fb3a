package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;

/** Says of a server, for people, why it is sent nothing or less than it might be. */
final class ServerStatusReasons {
    private static final double US_PER_MS = 1_000;

    private ServerStatusReasons() {}

    static Candidate candidate(Server server, double pace) {
        return new Candidate(server.id, server.weight / (1 + server.errors), server.inFlight, server.limit, pace);
    }

    /**
     * The reasons, the weightiest first.
     *
     * @param server null if no list has named it
     * @param chosenFrom whether it is among those that this node chooses from
     * @param coldUntil when a cold server may be sent its next request; 0 for a warm one
     */
    static List<String> of(
            Server server,
            long now,
            Settings set,
            boolean chosenFrom,
            boolean throttled,
            boolean jammed,
            long coldUntil) {
        if (server == null || server.state == ServerState.GONE) {
            return List.of("the list does not name it");
        }
        List<String> reasons = new ArrayList<>();
        if (server.state == ServerState.DRAINING) {
            reasons.add("it drains");
        } else if (!chosenFrom) {
            reasons.add("it is not among the part of the servers that this node has");
        }
        if (server.ejected) {
            reasons.add("it is left out after failures, and tried again in " + formatMs(server.nextTrialAt - now));
        }
        for (int c = 0; c < set.classes.size(); c++) {
            if (server.classExcludedUntil[c] > now) {
                reasons.add("it gets no " + set.classes.get(c).name() + " for "
                        + formatMs(server.classExcludedUntil[c] - now) + ": " + server.classFailureStreaks[c]
                        + " failed in a row");
            }
        }
        if (coldUntil > now) {
            reasons.add("it has just started, and gets its next request in " + formatMs(coldUntil - now));
        }
        if (server.inFlight + 1 > Math.max(1, server.limit)) {
            reasons.add("it is at its limit: " + server.inFlight + " in flight of "
                    + String.format(Locale.ROOT, "%.1f", server.limit));
        }
        if (server.pausedUntil > now) {
            reasons.add("it rests for " + formatMs(server.pausedUntil - now)
                    + ": this node's part of its limit is under one");
        }
        if (server.errors > 0) {
            reasons.add("it is drawn less: " + server.errors + " failed in a row");
        }
        if (throttled || jammed) {
            reasons.add(
                    throttled
                            ? "the node sends hardly anything: few answers came in time lately"
                            : "the node has out all that its servers' limits allow");
        }
        return reasons;
    }

    private static String formatMs(long us) {
        return String.format(Locale.ROOT, "%.0f ms", Math.max(0, us) / US_PER_MS);
    }
}
