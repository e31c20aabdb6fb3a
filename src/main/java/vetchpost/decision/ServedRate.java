package vetchpost.decision;

/**
 * How often this node gets an answer from the fleet: now, as a running mean of the gaps between answers, and
 * at best lately, for each unit of the servers' sizes. The second tells what a server can do, which the first
 * does not: it falls with what is asked, and most of all in a jam. No I/O, and no clock but what it is told.
 */
final class ServedRate {
    /** Gap between answers assumed before any: most of a large fleet's nodes may have just started. */
    private static final double INITIAL_GAP_US = 1_000_000;
    /** Share of a new gap in the running mean: about the last 32. */
    private static final double MEAN_GAIN = 1.0 / 32;
    /** Answers are counted over so long for the best: the answers of one short stall must not make it. */
    private static final long WINDOW_US = 2_000_000;
    /** Part of the best that is left after each span: half of it after two and a half minutes. */
    private static final double PEAK_DECAY_PER_WINDOW = 0.99;

    private long lastAnswerAt;
    private double meanGapUs = INITIAL_GAP_US;
    private int answerCount;
    private long windowStart;
    /** Answers of the span, each as its part of the servers of its moment. */
    private double windowAnswersPerUnit;

    private double peakRatePerUs;

    /** The first request goes out: from here on it counts that nothing is answered. */
    void start(long nowUs) {
        if (lastAnswerAt == 0) {
            lastAnswerAt = nowUs;
            windowStart = nowUs;
        }
    }

    /**
     * An answer has come.
     *
     * @param fleetSize the sizes of the servers that may be sent to, above 0 if there are any
     */
    void recordAnswer(long nowUs, double fleetSize) {
        meanGapUs += Math.max(MEAN_GAIN, 1.0 / ++answerCount) * (nowUs - lastAnswerAt - meanGapUs);
        lastAnswerAt = nowUs;
        windowAnswersPerUnit += fleetSize > 0 ? 1 / fleetSize : 0;
        long spanUs = nowUs - windowStart;
        if (spanUs >= WINDOW_US) {
            peakRatePerUs = Math.max(PEAK_DECAY_PER_WINDOW * peakRatePerUs, windowAnswersPerUnit / spanUs);
            windowStart = nowUs;
            windowAnswersPerUnit = 0;
        }
    }

    /** Mean time between answers of all servers, in microseconds. */
    double meanGapUs() {
        return meanGapUs;
    }

    /**
     * Time between answers of one unit of size, in microseconds: at best lately, or now if that is shorter.
     *
     * @param fleetSize the sizes of the servers that may be sent to, above 0
     */
    double gapPerUnitUs(long nowUs, double fleetSize) {
        double nowGap = fleetSize * Math.max(meanGapUs, lastAnswerAt == 0 ? 0 : MEAN_GAIN * (nowUs - lastAnswerAt));
        return peakRatePerUs > 0 ? Math.min(nowGap, 1 / peakRatePerUs) : nowGap;
    }
}
