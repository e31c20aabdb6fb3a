package vetchpost.admission;

/**
 * How much goes out of a queue, measured only while something waits: what a quiet door lets through tells
 * nothing of how much could go. What it is measured against is the caller's: microseconds for the whole
 * door, so that the rate is the work of so many servers, or what goes out of the door for a part of it, so
 * that it is that part's share.
 */
final class DrainRate {
    private double drainedCost;
    private double measuredSpan;
    private double position;

    /**
     * Measured until now.
     *
     * @param at the place on what it is measured against; it only grows
     * @param memory what lies so far back counts a third
     * @param busy whether something waited all the while
     */
    void advanceTo(double at, double memory, boolean busy) {
        if (busy && at > position) {
            double kept = StrictMath.exp(-(at - position) / memory);
            drainedCost *= kept;
            measuredSpan = measuredSpan * kept + memory * (1 - kept);
        }
        position = Math.max(position, at);
    }

    /** What lies before this does not count. */
    void skipTo(double at) {
        position = Math.max(position, at);
    }

    /** Something of this cost has gone out. */
    void add(double cost) {
        drainedCost += cost;
    }

    /** What went out for one of what it is measured against; 0 where less than {@code least} has passed. */
    double rate(double least) {
        return measuredSpan < least ? 0 : drainedCost / measuredSpan;
    }
}
