package vetchpost.decision;

/**
 * Measures how often this node gets an answer from the fleet: the current rate, as a running mean of the gaps between
 * answers, and the recent peak per unit of the servers' list weights. The peak shows what a server can do; the current
 * rate falls with demand, and most of all in overload. No I/O and no clock; {@link ServiceQBalancer} calls it on its
 * thread.
 */
final class ServedRate {
    /** Gap between answers assumed before the first: most nodes of a large fleet may have just started. */
    private static final double INITIAL_GAP_US = 1_000_000;
    /** Weight of a new gap in the running mean: about the last 32 count. */
    private static final double MEAN_GAIN = 1.0 / 32;
    /** Window over which the peak is measured, so that a burst of answers after a short pause does not set it. */
    private static final long WINDOW_US = 2_000_000;
    /** Fraction of the peak that is left after each window: half of it after two and a half minutes. */
    private static final double PEAK_DECAY_PER_WINDOW = 0.99;

    private long lastAnswerAt;
    private double meanGapUs = INITIAL_GAP_US;
    private int answerCount;
    private long windowStart;
    /** Answers of the window, each divided by the total weight of the servers at its time. */
    private double windowAnswersPerUnit;

    private double peakRatePerUs;

    /** Records that the first request is sent: from here on, time without answers counts. */
    void start(long nowUs) {
        if (lastAnswerAt == 0) {
            lastAnswerAt = nowUs;
            windowStart = nowUs;
        }
    }

    /**
     * Records an answer.
     *
     * @param nowUs time of the answer
     * @param totalWeight the total weight of the servers in use, above 0 if there are any
     */
    void recordAnswer(long nowUs, double totalWeight) {
        meanGapUs += Math.max(MEAN_GAIN, 1.0 / ++answerCount) * (nowUs - lastAnswerAt - meanGapUs);
        lastAnswerAt = nowUs;
        windowAnswersPerUnit += totalWeight > 0 ? 1 / totalWeight : 0;
        long windowUs = nowUs - windowStart;
        if (windowUs >= WINDOW_US) {
            peakRatePerUs = Math.max(PEAK_DECAY_PER_WINDOW * peakRatePerUs, windowAnswersPerUnit / windowUs);
            windowStart = nowUs;
            windowAnswersPerUnit = 0;
        }
    }

    /** Returns the mean time between answers of all servers, in microseconds. */
    double meanGapUs() {
        return meanGapUs;
    }

    /**
     * Returns the time between answers per unit of weight, in microseconds: at the recent peak, or now if that is
     * shorter.
     *
     * @param nowUs the current time
     * @param totalWeight the total weight of the servers in use, above 0
     */
    double gapPerUnitUs(long nowUs, double totalWeight) {
        double currentGapUs =
                totalWeight * Math.max(meanGapUs, lastAnswerAt == 0 ? 0 : MEAN_GAIN * (nowUs - lastAnswerAt));
        return peakRatePerUs > 0 ? Math.min(currentGapUs, 1 / peakRatePerUs) : currentGapUs;
    }
}
