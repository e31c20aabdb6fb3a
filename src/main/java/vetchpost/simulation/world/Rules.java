package vetchpost.simulation.world;

import vetchpost.simulation.check.Limits;

/** The limits of the rules, as the nodes' configuration states them and as the checker applies them. */
public final class Rules {
    static final long COLD_PERIOD_NS = 23_000_000_000L;
    static final double COLD_INITIAL_FRACTION = 0.12;
    static final long DEDUPLICATION_WINDOW_NS = 1_200_000_000L;
    private static final long DRAIN_GRACE_NS = 500_000_000L;
    private static final double COLD_OVERLOAD_FACTOR = 4;
    private static final long COLD_WINDOW_NS = 2_000_000_000L;
    /** The service's tolerances: 50 ms on each time limit, and 8 ms more on answers. */
    private static final long SLACK_NS = 50_000_000L;

    private static final long ANSWER_MARGIN_NS = 58_000_000L;

    private Rules() {}

    /** The limits for the checker. */
    public static Limits limits() {
        return new Limits(
                DRAIN_GRACE_NS,
                DEDUPLICATION_WINDOW_NS,
                COLD_PERIOD_NS,
                COLD_INITIAL_FRACTION,
                COLD_OVERLOAD_FACTOR,
                COLD_WINDOW_NS,
                ANSWER_MARGIN_NS,
                SLACK_NS);
    }

    /** The limits in the form of a node's configuration. */
    static String json() {
        return "{\"askWithinUs\":10000000,\"drainGraceUs\":" + DRAIN_GRACE_NS / 1_000 + ",\"coldUs\":"
                + COLD_PERIOD_NS / 1_000 + ",\"coldFrom\":" + COLD_INITIAL_FRACTION + ",\"overloadFactor\":"
                + COLD_OVERLOAD_FACTOR
                + ",\"fallUs\":" + COLD_WINDOW_NS / 1_000 + "}";
    }
}
