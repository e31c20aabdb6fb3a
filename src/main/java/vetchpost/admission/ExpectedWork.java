package vetchpost.admission;

/**
 * What a request of a class takes. What clients say of it ({@code X-Estimate}) is not used: one that said
 * less would get more than its share.
 */
final class ExpectedWork {
    /** Share of a new latency in the usual one. */
    private static final double GAIN = 1.0 / 32;
    /** Growth of the least with each answer, so that it follows a change of work, but not a crowd's hours. */
    private static final double DRIFT = 1.000002;
    /** Answers of a class before they count: the first ones are slow, and few. */
    private static final int ENOUGH = 16;
    /** Taken for all classes until there are. */
    private static final double FIRST_US = 20_000;

    private final double[] usualUs;
    private final double[] leastUs;
    private final int[] answers;

    ExpectedWork(int classes) {
        usualUs = new double[classes];
        leastUs = new double[classes];
        answers = new int[classes];
    }

    void served(int cls, long latencyUs) {
        answers[cls] = Math.min(Integer.MAX_VALUE - 1, answers[cls] + 1);
        usualUs[cls] += Math.max(GAIN, 1.0 / answers[cls]) * (latencyUs - usualUs[cls]);
        if (answers[cls] >= ENOUGH) {
            leastUs[cls] = leastUs[cls] == 0 ? usualUs[cls] : Math.min(leastUs[cls] * DRIFT, usualUs[cls]);
        }
    }

    /**
     * Cost of a request: the least of the mean latencies, which has the least of other requests' work in it.
     */
    double costUs(int cls) {
        return Math.max(1, leastUs[cls] > 0 ? leastUs[cls] : FIRST_US);
    }

    /** How long an answer usually takes from the first attempt on; 0 if that is not known. */
    double usualUs(int cls) {
        return answers[cls] < ENOUGH ? 0 : usualUs[cls];
    }
}
