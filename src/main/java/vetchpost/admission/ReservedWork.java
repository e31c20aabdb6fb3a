package vetchpost.admission;

/**
 * The cost of the reserved retries, drained at the current rate like a leaky bucket, so that a change of the rate moves
 * the retry times that are given later. Used by {@link FairAdmission}, on the node's event loop.
 */
final class ReservedWork {
    private double reservedCost;
    private long updatedUs;

    /** How long it takes until the reserved cost has drained at this rate, in microseconds. */
    double remainingUs(double perUs, long nowUs) {
        reservedCost = Math.max(0, reservedCost - perUs * (nowUs - updatedUs));
        updatedUs = nowUs;
        return reservedCost / perUs;
    }

    /** Adds the cost of a reserved request. */
    void add(double cost) {
        reservedCost += cost;
    }
}
