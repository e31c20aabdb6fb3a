package vetchpost.admission;

/**
 * The few clients of a tenant that ask for much, told from the crowd in fixed memory: the space-saving sketch
 * (A. Metwally, D. Agrawal, A. El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data
 * Streams", ICDT 2005), halved with time. What a client is known to have asked for is its counter less what
 * it took over from the one whose place it got.
 */
final class HeavyHitters {
    static final int PLACES = 16;
    /** A client with more than this part of what its tenant asks for has a line of its own. */
    private static final double HEAVY = 1.0 / 32;
    /** Of so little nobody can be told heavy, in requests. */
    private static final double LEAST = 8;

    private static final long HALF_LIFE_US = 1_000_000;

    private final long[] clients = new long[PLACES];
    private final double[] counts = new double[PLACES];
    private final double[] errors = new double[PLACES];
    private double all;
    private long halvedUs;

    /**
     * A client has asked once more.
     *
     * @return its place if it is heavy, else -1
     */
    int asked(long client, long nowUs) {
        age(nowUs);
        all++;
        int place = 0;
        int least = 0;
        while (place < PLACES && (clients[place] != client || counts[place] == 0)) {
            least = counts[place] < counts[least] ? place : least;
            place++;
        }
        if (place == PLACES) {
            place = least;
            clients[place] = client;
            errors[place] = counts[place];
        }
        counts[place]++;
        double known = counts[place] - errors[place];
        return known >= LEAST && known > HEAVY * all ? place : -1;
    }

    private void age(long nowUs) {
        if (nowUs - halvedUs < HALF_LIFE_US) {
            return;
        }
        double kept = StrictMath.pow(0.5, (nowUs - halvedUs) / HALF_LIFE_US);
        halvedUs += (nowUs - halvedUs) / HALF_LIFE_US * HALF_LIFE_US;
        all *= kept;
        for (int i = 0; i < PLACES; i++) {
            counts[i] *= kept;
            errors[i] *= kept;
        }
    }
}
