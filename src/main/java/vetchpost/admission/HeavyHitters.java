package vetchpost.admission;

/**
 * Finds the few clients of a tenant that send many of its requests, in fixed memory: the space-saving sketch (A.
 * Metwally, D. Agrawal, A. El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data Streams", ICDT
 * 2005), with counts that halve with time. A client's known count is its counter less what it took over from the client
 * whose entry it got. Used by {@link FairAdmission}, on the node's event loop.
 */
final class HeavyHitters {
    static final int MAX_TRACKED_CLIENTS = 16;
    /** A client with more than this fraction of its tenant's requests has a queue of its own. */
    private static final double HEAVY_FRACTION = 1.0 / 32;
    /** A client with fewer requests than this is never a heavy hitter. */
    private static final double MIN_HEAVY_REQUESTS = 8;

    private static final long HALF_LIFE_US = 1_000_000;

    private final long[] clientIds = new long[MAX_TRACKED_CLIENTS];
    private final double[] counts = new double[MAX_TRACKED_CLIENTS];
    private final double[] errors = new double[MAX_TRACKED_CLIENTS];
    private double totalRequests;
    private long decayedUs;

    /**
     * Records a request of a client.
     *
     * @return the client's entry if it is a heavy hitter, else -1
     */
    int recordRequest(long client, long nowUs) {
        decay(nowUs);
        totalRequests++;
        int entry = 0;
        int minEntry = 0;
        while (entry < MAX_TRACKED_CLIENTS && (clientIds[entry] != client || counts[entry] == 0)) {
            minEntry = counts[entry] < counts[minEntry] ? entry : minEntry;
            entry++;
        }
        if (entry == MAX_TRACKED_CLIENTS) {
            entry = minEntry;
            clientIds[entry] = client;
            errors[entry] = counts[entry];
        }
        counts[entry]++;
        double knownCount = counts[entry] - errors[entry];
        return knownCount >= MIN_HEAVY_REQUESTS && knownCount > HEAVY_FRACTION * totalRequests ? entry : -1;
    }

    private void decay(long nowUs) {
        if (nowUs - decayedUs < HALF_LIFE_US) {
            return;
        }
        double factor = StrictMath.pow(0.5, (nowUs - decayedUs) / HALF_LIFE_US);
        decayedUs += (nowUs - decayedUs) / HALF_LIFE_US * HALF_LIFE_US;
        totalRequests *= factor;
        for (int i = 0; i < MAX_TRACKED_CLIENTS; i++) {
            counts[i] *= factor;
            errors[i] *= factor;
        }
    }
}
