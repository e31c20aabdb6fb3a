package vetchpost.admission;

/**
 * Work that clients have been told to come back with: laid end to end, as in a leaky bucket, so that a
 * change of the rate moves the times that are still to be told.
 */
final class ReservedWork {
    private double work;
    private long seenUs;

    /** How long until what is booked has gone out at this rate, in microseconds. */
    double lastsUs(double perUs, long nowUs) {
        work = Math.max(0, work - perUs * (nowUs - seenUs));
        seenUs = nowUs;
        return work / perUs;
    }

    void add(double cost) {
        work += cost;
    }
}
