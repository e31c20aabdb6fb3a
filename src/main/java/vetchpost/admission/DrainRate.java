package vetchpost.admission;

/**
 * How much goes out of a queue, measured only while something waits: what a quiet door lets through tells
 * nothing of how much could go. What it is measured against is the caller's: microseconds for the whole
 * door, so that the rate is the work of so many servers, or what goes out of the door for a part of it, so
 * that it is that part's share.
 */
final class DrainRate {
    private double drained;
    private double span;
    private double seen;

    /**
     * Measured until now.
     *
     * @param at the place on what it is measured against; it only grows
     * @param memory what lies so far back counts a third
     * @param busy whether something waited all the while
     */
    void passed(double at, double memory, boolean busy) {
        if (busy && at > seen) {
            double kept = StrictMath.exp(-(at - seen) / memory);
            drained *= kept;
            span = span * kept + memory * (1 - kept);
        }
        seen = Math.max(seen, at);
    }

    /** What lies before this does not count. */
    void skip(double at) {
        seen = Math.max(seen, at);
    }

    /** Something of this cost has gone out. */
    void add(double cost) {
        drained += cost;
    }

    /** What went out for one of what it is measured against; 0 where less than {@code least} has passed. */
    double rate(double least) {
        return span < least ? 0 : drained / span;
    }
}
