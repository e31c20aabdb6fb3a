package vetchpost.admission;

/**
 * Work that clients have been told to come back with: laid end to end, as in a leaky bucket, so that a
 * change of the rate moves the times that are still to be told.
 */
final class ReservedWork {
    private double reservedCost;
    private long updatedUs;

    /** How long until what is booked has gone out at this rate, in microseconds. */
    double remainingUs(double perUs, long nowUs) {
        reservedCost = Math.max(0, reservedCost - perUs * (nowUs - updatedUs));
        updatedUs = nowUs;
        return reservedCost / perUs;
    }

    void add(double cost) {
        reservedCost += cost;
    }
}
