package vetchpost.admission;

/**
 * What a request of a class takes. What clients say of it ({@code X-Estimate}) is not used: one that said
 * less would get more than its share.
 */
final class ExpectedWork {
    /** Share of a new latency in the usual one. */
    private static final double SMOOTHING_FACTOR = 1.0 / 32;
    /** Growth of the least with each answer, so that it follows a change of work, but not a crowd's hours. */
    private static final double MIN_LATENCY_GROWTH = 1.000002;
    /** Answers of a class before they count: the first ones are slow, and few. */
    private static final int MIN_SAMPLES = 16;
    /** Taken for all classes until there are. */
    private static final double DEFAULT_COST_US = 20_000;

    private final double[] meanLatencyUs;
    private final double[] minLatencyUs;
    private final int[] sampleCounts;

    ExpectedWork(int classes) {
        meanLatencyUs = new double[classes];
        minLatencyUs = new double[classes];
        sampleCounts = new int[classes];
    }

    void recordLatency(int cls, long latencyUs) {
        sampleCounts[cls] = Math.min(Integer.MAX_VALUE - 1, sampleCounts[cls] + 1);
        meanLatencyUs[cls] += Math.max(SMOOTHING_FACTOR, 1.0 / sampleCounts[cls]) * (latencyUs - meanLatencyUs[cls]);
        if (sampleCounts[cls] >= MIN_SAMPLES) {
            minLatencyUs[cls] = minLatencyUs[cls] == 0
                    ? meanLatencyUs[cls]
                    : Math.min(minLatencyUs[cls] * MIN_LATENCY_GROWTH, meanLatencyUs[cls]);
        }
    }

    /**
     * Cost of a request: the least of the mean latencies, which has the least of other requests' work in it.
     */
    double costUs(int cls) {
        return Math.max(1, minLatencyUs[cls] > 0 ? minLatencyUs[cls] : DEFAULT_COST_US);
    }

    /** How long an answer usually takes from the first attempt on; 0 if that is not known. */
    double usualLatencyUs(int cls) {
        return sampleCounts[cls] < MIN_SAMPLES ? 0 : meanLatencyUs[cls];
    }
}
