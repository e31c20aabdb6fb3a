package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;

/**
 * Explains to operators why a server is sent nothing or less than others. Stateless; called by {@link ServiceQBalancer}
 * on its thread.
 */
final class ServerStatusReasons {
    private static final double US_PER_MS = 1_000;

    private ServerStatusReasons() {}

    static Candidate candidate(Server server, double relativeLatency) {
        return new Candidate(
                server.id, server.weight / (1 + server.errors), server.inFlight, server.limit, relativeLatency);
    }

    /**
     * Returns the reasons, the most important first.
     *
     * @param server null if no list has named it
     * @param now the current time, in microseconds of the balancer's clock
     * @param settings the node's settings
     * @param inUse whether the server is in this node's subset
     * @param throttled whether the node throttles its sends
     * @param atTotalLimit whether the node has in flight what all limits together allow
     * @param coldUntil when a cold server may be sent its next request; 0 for a warm one
     */
    static List<String> of(
            Server server,
            long now,
            Settings settings,
            boolean inUse,
            boolean throttled,
            boolean atTotalLimit,
            long coldUntil) {
        if (server == null || server.state == ServerState.GONE) {
            return List.of("it is not in the server list");
        }
        List<String> reasons = new ArrayList<>();
        if (server.state == ServerState.DRAINING) {
            reasons.add("it drains");
        } else if (!inUse) {
            reasons.add("it is not in this node's subset of the servers");
        }
        if (server.ejected) {
            reasons.add(
                    "it is ejected after failures, and gets a trial request in " + formatMs(server.nextTrialAt - now));
        }
        for (int classIndex = 0; classIndex < settings.classes.size(); classIndex++) {
            if (server.classExcludedUntil[classIndex] > now) {
                reasons.add("it gets no " + settings.classes.get(classIndex).name() + " requests for "
                        + formatMs(server.classExcludedUntil[classIndex] - now) + ": "
                        + server.classFailureStreaks[classIndex] + " failed in a row");
            }
        }
        if (coldUntil > now) {
            reasons.add("it is in slow start, and gets its next request in " + formatMs(coldUntil - now));
        }
        if (server.inFlight + 1 > Math.max(1, server.limit)) {
            reasons.add("it is at its limit: " + server.inFlight + " in flight of "
                    + String.format(Locale.ROOT, "%.1f", server.limit));
        }
        if (server.pausedUntil > now) {
            reasons.add("it is paused for " + formatMs(server.pausedUntil - now)
                    + ": its limit at this node is below one request");
        }
        if (server.errors > 0) {
            reasons.add("it is drawn less often: " + server.errors + " failed in a row");
        }
        if (throttled || atTotalLimit) {
            reasons.add(
                    throttled
                            ? "the node throttles its sends: few answers came in time lately"
                            : "the node has as many requests in flight as its servers' limits together allow");
        }
        return reasons;
    }

    private static String formatMs(long us) {
        return String.format(Locale.ROOT, "%.0f ms", Math.max(0, us) / US_PER_MS);
    }
}
