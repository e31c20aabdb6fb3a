package vetchpost.admission;

import vetchpost.admission.Contention.Contender;

/**
 * The state of a tenant that has sent requests lately: its heavy hitters, reservations, contention among its classes,
 * drained cost and quota. Used by {@link FairAdmission}, on the node's event loop.
 */
final class TenantState {
    /** A tenant may use this much of its quota in a burst, as in the decision module. */
    private static final double MAX_QUOTA_BURST_S = 1;

    final HeavyHitters heavyHitters = new HeavyHitters();
    /** Reserved work by class. */
    final ReservedWork[] reservedByClass;
    /** The tenant's requests within its share (0) and over it (1), as contenders among those of all tenants. */
    final Contender[] shareContenders = new Contender[2];

    private final Contention[] classContention = {new Contention(), new Contention()};
    private final Contender[][] classContenders;
    /** The classes again, as contenders among those of all tenants. */
    private final Contender[][] leafContenders;

    private final double[] drainedCosts;
    private final double quotaPerS;
    private double remainingQuota;
    private long quotaUpdatedUs;
    long lastSeenUs;

    /**
     * Creates the state of a tenant without requests.
     *
     * @param shareWeights of the requests within its share and over it
     * @param classWeights of its classes
     * @param quotaPerS requests a second within its share at this node; 0 for no limit
     * @param nowUs the node's time in microseconds
     */
    TenantState(double[] shareWeights, double[] classWeights, double quotaPerS, long nowUs) {
        int classCount = classWeights.length;
        this.classContenders = new Contender[2][classCount];
        leafContenders = new Contender[2][classCount];
        double totalClassWeight = 0;
        for (double classWeight : classWeights) {
            totalClassWeight += classWeight;
        }
        for (int side = 0; side < 2; side++) {
            shareContenders[side] = new Contender(shareWeights[side]);
            for (int classIndex = 0; classIndex < classCount; classIndex++) {
                this.classContenders[side][classIndex] = new Contender(classWeights[classIndex]);
                leafContenders[side][classIndex] =
                        new Contender(shareWeights[side] * classWeights[classIndex] / totalClassWeight);
            }
        }
        this.quotaPerS = quotaPerS;
        drainedCosts = new double[2 * classCount];
        reservedByClass = new ReservedWork[classCount];
        for (int classIndex = 0; classIndex < classCount; classIndex++) {
            reservedByClass[classIndex] = new ReservedWork();
        }
        remainingQuota = maxQuotaBurst();
        quotaUpdatedUs = nowUs;
    }

    private double maxQuotaBurst() {
        return Math.max(1, quotaPerS * MAX_QUOTA_BURST_S);
    }

    /** Records a request of this class. */
    void recordRequest(int classIndex, boolean isWithinShare, long nowUs) {
        int side = isWithinShare ? 0 : 1;
        classContention[side].recordRequest(classContenders[side][classIndex], nowUs);
    }

    /** The class's fraction of the tenant's capacity while all classes with recent requests want theirs. */
    double classFraction(int classIndex, boolean isWithinShare, long nowUs) {
        int side = isWithinShare ? 0 : 1;
        return classContention[side].fraction(classContenders[side][classIndex], nowUs);
    }

    /** The contender of a class among those of all tenants. */
    Contender leafContender(int classIndex, boolean isWithinShare) {
        return leafContenders[isWithinShare ? 0 : 1][classIndex];
    }

    /** Records an admitted request of this class and cost. */
    void recordDrained(int classIndex, boolean isWithinShare, double cost) {
        drainedCosts[2 * classIndex + (isWithinShare ? 0 : 1)] += cost;
    }

    /** The cost that was admitted of this class so far. */
    double drainedCost(int classIndex, boolean isWithinShare) {
        return drainedCosts[2 * classIndex + (isWithinShare ? 0 : 1)];
    }

    /** Consumes one request of the quota; false if there is none left. */
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

    /** Returns the consumed quota of a request that was rejected. */
    void refundQuota() {
        remainingQuota = Math.min(maxQuotaBurst(), remainingQuota + 1);
    }
}
