package vetchpost.admission;

import vetchpost.admission.Contention.Contender;

/** What is kept of a tenant that has asked for something lately. */
final class TenantState {
    /** A tenant may use up this much of its share at once, as in the module. */
    private static final double SHARE_BURST_S = 1;

    final HeavyHitters heavy = new HeavyHitters();
    /** By class. */
    final ReservedWork[] booked;
    /** What lies within its share, and what beyond, among those of all tenants; and in each its classes. */
    final Contender[] shares = new Contender[2];

    private final Contention[] among = {new Contention(), new Contention()};
    private final Contender[][] classes;
    /** The classes again, among those of all tenants. */
    private final Contender[][] leaves;

    private final double[] drained;
    private final double quotaPerS;
    private double shareLeft;
    private long shareSeenUs;
    long seenUs;

    /**
     * Nothing asked yet.
     *
     * @param weights of what lies within its share and beyond it
     * @param worths of its classes
     * @param quotaPerS requests a second inside its share at this node; 0 for no limit
     */
    TenantState(double[] weights, double[] worths, double quotaPerS, long nowUs) {
        int classes = worths.length;
        this.classes = new Contender[2][classes];
        leaves = new Contender[2][classes];
        double all = 0;
        for (double worth : worths) {
            all += worth;
        }
        for (int i = 0; i < 2; i++) {
            shares[i] = new Contender(weights[i]);
            for (int c = 0; c < classes; c++) {
                this.classes[i][c] = new Contender(worths[c]);
                leaves[i][c] = new Contender(weights[i] * worths[c] / all);
            }
        }
        this.quotaPerS = quotaPerS;
        drained = new double[2 * classes];
        booked = new ReservedWork[classes];
        for (int c = 0; c < classes; c++) {
            booked[c] = new ReservedWork();
        }
        shareLeft = mostShare();
        shareSeenUs = nowUs;
    }

    private double mostShare() {
        return Math.max(1, quotaPerS * SHARE_BURST_S);
    }

    /** It has asked for something of this class. */
    void asks(int cls, boolean inShare, long nowUs) {
        int i = inShare ? 0 : 1;
        among[i].asks(classes[i][cls], nowUs);
    }

    /** What part of the tenant's is this class's while all that it asked for lately want theirs. */
    double share(int cls, boolean inShare, long nowUs) {
        int i = inShare ? 0 : 1;
        return among[i].share(classes[i][cls], nowUs);
    }

    /** A class of it among those of all tenants. */
    Contender leaf(int cls, boolean inShare) {
        return leaves[inShare ? 0 : 1][cls];
    }

    /** A request of this class and cost has gone out. */
    void drain(int cls, boolean inShare, double cost) {
        drained[2 * cls + (inShare ? 0 : 1)] += cost;
    }

    /** What has gone out so far. */
    double drained(int cls, boolean inShare) {
        return drained[2 * cls + (inShare ? 0 : 1)];
    }

    /** Uses up one request of its share; false if there is none left. */
    boolean takeShare(long nowUs) {
        if (quotaPerS <= 0) {
            return true;
        }
        shareLeft = Math.min(mostShare(), shareLeft + quotaPerS * (nowUs - shareSeenUs) / 1e6);
        shareSeenUs = nowUs;
        if (shareLeft < 1) {
            return false;
        }
        shareLeft--;
        return true;
    }

    /** A request that had used up one was turned away. */
    void giveShareBack() {
        shareLeft = Math.min(mostShare(), shareLeft + 1);
    }
}
