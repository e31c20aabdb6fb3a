package vetchpost.admission;

/**
 * An exponentially weighted mean of the cost that leaves a queue, measured only while requests wait: what an idle
 * admission control lets through says nothing of how much it could. The caller chooses what it is measured against:
 * microseconds, which gives the work of a number of servers, or the cost that all queues drain, which gives a fraction
 * of it. Used by {@link FairAdmission}, on the node's event loop.
 */
final class DrainRate {
    private double drainedCost;
    private double measuredSpan;
    private double position;

    /**
     * Advances the measurement.
     *
     * @param newPosition the current position on what it is measured against; it only grows
     * @param timeConstant time constant in the same unit: what lies this far back counts a third
     * @param isBusy whether requests waited all the while
     */
    void advanceTo(double newPosition, double timeConstant, boolean isBusy) {
        if (isBusy && newPosition > position) {
            double decay = StrictMath.exp(-(newPosition - position) / timeConstant);
            drainedCost *= decay;
            measuredSpan = measuredSpan * decay + timeConstant * (1 - decay);
        }
        position = Math.max(position, newPosition);
    }

    /** Excludes everything before this position from the measurement. */
    void skipTo(double newPosition) {
        position = Math.max(position, newPosition);
    }

    /** Adds a cost that has left the queue. */
    void add(double cost) {
        drainedCost += cost;
    }

    /** The mean cost for each unit that it is measured against; 0 if less than {@code minSpan} was measured. */
    double rate(double minSpan) {
        return measuredSpan < minSpan ? 0 : drainedCost / measuredSpan;
    }
}
