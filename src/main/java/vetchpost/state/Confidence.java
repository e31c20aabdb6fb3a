package vetchpost.state;

/**
 * How far knowledge of some age is still believed, from 0 to 1. Everything here is a guess about how quickly
 * things change; docs/state.md says where the constants come from.
 */
final class Confidence {
    /** Clocks of two machines, or of one before and after a restart, differ by less. */
    static final long MAX_CLOCK_SKEW_MS = 5_000;
    /** Trouble lasts for seconds: half of what fails at one moment fails no more so much later. */
    static final double HEALTH_HALF_LIFE_MS = 10_000;
    /** Whether a box is quick, or large, changes with what else its machine does. */
    static final double RELATIVE_LATENCY_HALF_LIFE_MS = 300_000;
    /** What requests take changes with releases and hours of the day. */
    static final double CLASS_LATENCY_HALF_LIFE_MS = 3_600_000;
    /** Answers after which own experience is believed by half. */
    private static final double HALF_CONFIDENCE_ANSWERS = 4;

    private Confidence() {}

    /** In something whose certainty halves in every such time; none in what comes from the future. */
    static double afterAge(long ageMs, double halfMs) {
        return ageMs < -MAX_CLOCK_SKEW_MS ? 0 : StrictMath.pow(0.5, Math.max(0, ageMs) / halfMs);
    }

    /** That a box confirmed so long ago is still there, where boxes live so long on average. */
    static double ofServer(long ageMs, long lifeMs) {
        return ageMs < -MAX_CLOCK_SKEW_MS ? 0 : StrictMath.exp(-Math.max(0, ageMs) / (double) lifeMs);
    }

    /** In what rests on so many answers. */
    static double ofSampleCount(int answers) {
        return Math.max(0, answers) / (Math.max(0, answers) + HALF_CONFIDENCE_ANSWERS);
    }
}
