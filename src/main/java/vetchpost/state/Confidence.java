package vetchpost.state;

/**
 * Confidence in old statistics, from 0 (none) to 1, by age and number of samples. The constants are estimates of
 * how quickly servers change; docs/state.md explains them.
 */
final class Confidence {
    /** Tolerated difference between the clocks of two machines, or of one before and after a restart. */
    static final long MAX_CLOCK_SKEW_MS = 5_000;
    /** Faults last for seconds: half of the failing servers have recovered after this time. */
    static final double HEALTH_HALF_LIFE_MS = 10_000;
    /** A server's speed and capacity relative to others change with the other load on its machine. */
    static final double RELATIVE_LATENCY_HALF_LIFE_MS = 300_000;
    /** The latency of a class changes with releases and the time of day. */
    static final double CLASS_LATENCY_HALF_LIFE_MS = 3_600_000;
    /** Number of samples at which confidence is one half. */
    private static final double HALF_CONFIDENCE_ANSWERS = 4;

    private Confidence() {}

    /** Returns the confidence after an age with the given half-life; 0 for a time in the future. */
    static double afterAge(long ageMs, double halfLifeMs) {
        return ageMs < -MAX_CLOCK_SKEW_MS ? 0 : StrictMath.pow(0.5, Math.max(0, ageMs) / halfLifeMs);
    }

    /** Returns the confidence that a server still exists, by time since its confirmation and mean lifetime. */
    static double ofServer(long ageMs, long meanLifetimeMs) {
        return ageMs < -MAX_CLOCK_SKEW_MS ? 0 : StrictMath.exp(-Math.max(0, ageMs) / (double) meanLifetimeMs);
    }

    /** Returns the confidence in statistics that are based on a number of samples. */
    static double ofSampleCount(int sampleCount) {
        return Math.max(0, sampleCount) / (Math.max(0, sampleCount) + HALF_CONFIDENCE_ANSWERS);
    }
}
