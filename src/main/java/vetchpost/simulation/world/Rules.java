package vetchpost.simulation.world;

import vetchpost.simulation.check.Limits;

/** The rules' figures: what nodes are told of them, and what they are held to. */
public final class Rules {
    static final long COLD_NS = 23_000_000_000L;
    static final double COLD_FROM = 0.12;
    static final long WINDOW_NS = 1_200_000_000L;
    private static final long GRACE_NS = 500_000_000L;
    private static final double MULTIPLE = 4;
    private static final long FALL_NS = 2_000_000_000L;
    /** As on the sockets of the service: each time limit is 50 ms longer, that of answers by 8 ms more. */
    private static final long SLACK_NS = 50_000_000L;

    private static final long ANSWER_NS = 58_000_000L;

    private Rules() {}

    /** What the checker holds nodes to. */
    public static Limits limits() {
        return new Limits(GRACE_NS, WINDOW_NS, COLD_NS, COLD_FROM, MULTIPLE, FALL_NS, ANSWER_NS, SLACK_NS);
    }

    /** The same in a node's configuration. */
    static String json() {
        return "{\"askWithinUs\":10000000,\"drainGraceUs\":" + GRACE_NS / 1_000 + ",\"coldUs\":"
                + COLD_NS / 1_000 + ",\"coldFrom\":" + COLD_FROM + ",\"overloadFactor\":" + MULTIPLE
                + ",\"fallUs\":" + FALL_NS / 1_000 + "}";
    }
}
