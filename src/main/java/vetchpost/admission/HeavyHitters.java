package vetchpost.admission;

/**
 * The few clients of a tenant that ask for much, told from the crowd in fixed memory: the space-saving sketch
 * (A. Metwally, D. Agrawal, A. El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data
 * Streams", ICDT 2005), halved with time. What a client is known to have asked for is its counter less what
 * it took over from the one whose place it got.
 */
final class HeavyHitters {
    static final int MAX_TRACKED_CLIENTS = 16;
    /** A client with more than this part of what its tenant asks for has a line of its own. */
    private static final double HEAVY_FRACTION = 1.0 / 32;
    /** Of so little nobody can be told heavy, in requests. */
    private static final double MIN_HEAVY_REQUESTS = 8;

    private static final long HALF_LIFE_US = 1_000_000;

    private final long[] clientIds = new long[MAX_TRACKED_CLIENTS];
    private final double[] counts = new double[MAX_TRACKED_CLIENTS];
    private final double[] errors = new double[MAX_TRACKED_CLIENTS];
    private double totalRequests;
    private long decayedUs;

    /**
     * A client has asked once more.
     *
     * @return its place if it is heavy, else -1
     */
    int recordRequest(long client, long nowUs) {
        decay(nowUs);
        totalRequests++;
        int place = 0;
        int least = 0;
        while (place < MAX_TRACKED_CLIENTS && (clientIds[place] != client || counts[place] == 0)) {
            least = counts[place] < counts[least] ? place : least;
            place++;
        }
        if (place == MAX_TRACKED_CLIENTS) {
            place = least;
            clientIds[place] = client;
            errors[place] = counts[place];
        }
        counts[place]++;
        double known = counts[place] - errors[place];
        return known >= MIN_HEAVY_REQUESTS && known > HEAVY_FRACTION * totalRequests ? place : -1;
    }

    private void decay(long nowUs) {
        if (nowUs - decayedUs < HALF_LIFE_US) {
            return;
        }
        double kept = StrictMath.pow(0.5, (nowUs - decayedUs) / HALF_LIFE_US);
        decayedUs += (nowUs - decayedUs) / HALF_LIFE_US * HALF_LIFE_US;
        totalRequests *= kept;
        for (int i = 0; i < MAX_TRACKED_CLIENTS; i++) {
            counts[i] *= kept;
            errors[i] *= kept;
        }
    }
}
