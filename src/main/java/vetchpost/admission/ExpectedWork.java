package vetchpost.admission;

/**
 * Learns from latencies how much work a request of each class takes. The clients' own estimate ({@code X-Estimate}) is
 * not used: a client that stated less would get more than its share. Used by {@link FairAdmission}, on the node's event
 * loop.
 */
final class ExpectedWork {
    /** Weight of a new latency in the mean. */
    private static final double SMOOTHING_FACTOR = 1.0 / 32;
    /**
     * Factor by which the minimum grows with each response, so that it follows a change of work but not hours of
     * overload.
     */
    private static final double MIN_LATENCY_GROWTH = 1.000002;
    /** Responses of a class before its latency counts as known: the first ones are slow, and few. */
    private static final int MIN_SAMPLES = 16;
    /** Cost of a class whose latency is not known yet. */
    private static final double DEFAULT_COST_US = 20_000;

    private final double[] meanLatencyUs;
    private final double[] minLatencyUs;
    private final int[] sampleCounts;

    ExpectedWork(int classes) {
        meanLatencyUs = new double[classes];
        minLatencyUs = new double[classes];
        sampleCounts = new int[classes];
    }

    /** Records the latency of a successful attempt. */
    void recordLatency(int classIndex, long latencyUs) {
        sampleCounts[classIndex] = Math.min(Integer.MAX_VALUE - 1, sampleCounts[classIndex] + 1);
        meanLatencyUs[classIndex] +=
                Math.max(SMOOTHING_FACTOR, 1.0 / sampleCounts[classIndex]) * (latencyUs - meanLatencyUs[classIndex]);
        if (sampleCounts[classIndex] >= MIN_SAMPLES) {
            minLatencyUs[classIndex] = minLatencyUs[classIndex] == 0
                    ? meanLatencyUs[classIndex]
                    : Math.min(minLatencyUs[classIndex] * MIN_LATENCY_GROWTH, meanLatencyUs[classIndex]);
        }
    }

    /** Cost of a request: the minimum of the mean latencies, which contains the least of other requests' work. */
    double costUs(int classIndex) {
        return Math.max(1, minLatencyUs[classIndex] > 0 ? minLatencyUs[classIndex] : DEFAULT_COST_US);
    }

    /** Mean latency from the first attempt on; 0 if it is not known. */
    double usualLatencyUs(int classIndex) {
        return sampleCounts[classIndex] < MIN_SAMPLES ? 0 : meanLatencyUs[classIndex];
    }
}
