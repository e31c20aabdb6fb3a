package vetchpost.admission;

import vetchpost.admission.Contention.Contender;

/** What is kept of a tenant that has asked for something lately. */
final class TenantState {
    /** A tenant may use up this much of its share at once, as in the module. */
    private static final double MAX_QUOTA_BURST_S = 1;

    final HeavyHitters heavyHitters = new HeavyHitters();
    /** By class. */
    final ReservedWork[] reservedByClass;
    /** What lies within its share, and what beyond, among those of all tenants; and in each its classes. */
    final Contender[] shareContenders = new Contender[2];

    private final Contention[] classContention = {new Contention(), new Contention()};
    private final Contender[][] classContenders;
    /** The classes again, among those of all tenants. */
    private final Contender[][] leafContenders;

    private final double[] drainedCosts;
    private final double quotaPerS;
    private double remainingQuota;
    private long quotaUpdatedUs;
    long lastSeenUs;

    /**
     * Nothing asked yet.
     *
     * @param weights of what lies within its share and beyond it
     * @param worths of its classes
     * @param quotaPerS requests a second inside its share at this node; 0 for no limit
     */
    TenantState(double[] weights, double[] worths, double quotaPerS, long nowUs) {
        int classes = worths.length;
        this.classContenders = new Contender[2][classes];
        leafContenders = new Contender[2][classes];
        double all = 0;
        for (double worth : worths) {
            all += worth;
        }
        for (int i = 0; i < 2; i++) {
            shareContenders[i] = new Contender(weights[i]);
            for (int c = 0; c < classes; c++) {
                this.classContenders[i][c] = new Contender(worths[c]);
                leafContenders[i][c] = new Contender(weights[i] * worths[c] / all);
            }
        }
        this.quotaPerS = quotaPerS;
        drainedCosts = new double[2 * classes];
        reservedByClass = new ReservedWork[classes];
        for (int c = 0; c < classes; c++) {
            reservedByClass[c] = new ReservedWork();
        }
        remainingQuota = maxQuotaBurst();
        quotaUpdatedUs = nowUs;
    }

    private double maxQuotaBurst() {
        return Math.max(1, quotaPerS * MAX_QUOTA_BURST_S);
    }

    /** It has asked for something of this class. */
    void recordRequest(int cls, boolean inShare, long nowUs) {
        int i = inShare ? 0 : 1;
        classContention[i].recordRequest(classContenders[i][cls], nowUs);
    }

    /** What part of the tenant's is this class's while all that it asked for lately want theirs. */
    double classFraction(int cls, boolean inShare, long nowUs) {
        int i = inShare ? 0 : 1;
        return classContention[i].fraction(classContenders[i][cls], nowUs);
    }

    /** A class of it among those of all tenants. */
    Contender leafContender(int cls, boolean inShare) {
        return leafContenders[inShare ? 0 : 1][cls];
    }

    /** A request of this class and cost has gone out. */
    void recordDrained(int cls, boolean inShare, double cost) {
        drainedCosts[2 * cls + (inShare ? 0 : 1)] += cost;
    }

    /** What has gone out so far. */
    double drainedCost(int cls, boolean inShare) {
        return drainedCosts[2 * cls + (inShare ? 0 : 1)];
    }

    /** Uses up one request of its share; false if there is none left. */
    boolean tryConsumeQuota(long nowUs) {
        if (quotaPerS <= 0) {
            return true;
        }
        remainingQuota = Math.min(maxQuotaBurst(), remainingQuota + quotaPerS * (nowUs - quotaUpdatedUs) / 1e6);
        quotaUpdatedUs = nowUs;
        if (remainingQuota < 1) {
            return false;
        }
        remainingQuota--;
        return true;
    }

    /** A request that had used up one was turned away. */
    void refundQuota() {
        remainingQuota = Math.min(maxQuotaBurst(), remainingQuota + 1);
    }
}
