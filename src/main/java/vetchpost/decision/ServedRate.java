package vetchpost.decision;

/**
 * How often this node gets an answer from the fleet: now, as a running mean of the gaps between answers, and
 * at best lately, for each unit of the servers' sizes. The second tells what a server can do, which the first
 * does not: it falls with what is asked, and most of all in a jam. No I/O, and no clock but what it is told.
 */
final class ServedRate {
    /** Gap between answers assumed before any: most of a large fleet's nodes may have just started. */
    private static final double FIRST_GAP_US = 1_000_000;
    /** Share of a new gap in the running mean: about the last 32. */
    private static final double MEAN_GAIN = 1.0 / 32;
    /** Answers are counted over so long for the best: the answers of one short stall must not make it. */
    private static final long SPAN_US = 2_000_000;
    /** Part of the best that is left after each span: half of it after two and a half minutes. */
    private static final double KEPT = 0.99;

    private long lastAt;
    private double gapUs = FIRST_GAP_US;
    private int answers;
    private long spanFrom;
    /** Answers of the span, each as its part of the servers of its moment. */
    private double inSpan;

    private double bestPerUs;

    /** The first request goes out: from here on it counts that nothing is answered. */
    void begin(long nowUs) {
        if (lastAt == 0) {
            lastAt = nowUs;
            spanFrom = nowUs;
        }
    }

    /**
     * An answer has come.
     *
     * @param fleetSize the sizes of the servers that may be sent to, above 0 if there are any
     */
    void answered(long nowUs, double fleetSize) {
        gapUs += Math.max(MEAN_GAIN, 1.0 / ++answers) * (nowUs - lastAt - gapUs);
        lastAt = nowUs;
        inSpan += fleetSize > 0 ? 1 / fleetSize : 0;
        long spanUs = nowUs - spanFrom;
        if (spanUs >= SPAN_US) {
            bestPerUs = Math.max(KEPT * bestPerUs, inSpan / spanUs);
            spanFrom = nowUs;
            inSpan = 0;
        }
    }

    /** Mean time between answers of all servers, in microseconds. */
    double gapUs() {
        return gapUs;
    }

    /**
     * Time between answers of one unit of size, in microseconds: at best lately, or now if that is shorter.
     *
     * @param fleetSize the sizes of the servers that may be sent to, above 0
     */
    double unitGapUs(long nowUs, double fleetSize) {
        double nowGap = fleetSize * Math.max(gapUs, lastAt == 0 ? 0 : MEAN_GAIN * (nowUs - lastAt));
        return bestPerUs > 0 ? Math.min(nowGap, 1 / bestPerUs) : nowGap;
    }
}
