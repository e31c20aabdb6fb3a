package vetchpost.decision;

import java.util.SplittableRandom;

/**
 * Decides which fraction of the low-value requests a node sheds on arrival, so that those of above-mean value find
 * capacity. Each above-mean request that was rejected unsent raises the fraction, each that was sent lowers it, so that
 * about {@link #TARGET_REJECTED_FRACTION} of them are rejected while the fleet is overloaded. Low-value requests that
 * are let through use the remaining capacity. No I/O and no clock; {@link ServiceQBalancer} calls it on its thread.
 */
final class LoadShedder {
    /** Fraction of above-mean requests that may be rejected: just enough to show that the fleet is full. */
    static final double TARGET_REJECTED_FRACTION = 0.04;
    /** Increase of the fraction per rejection: twenty in a row would raise it from 0 to 1. */
    static final double SHED_STEP = 0.05;
    /** Maximum fraction shed: the requests let through show when there is capacity again. */
    static final double MAX_SHED_FRACTION = 0.75;

    private double shedFraction;

    /** Records that an attempt is about to be sent. */
    void recordSent(PendingRequest pending) {
        if (pending.aboveMeanValue && pending.attemptCount == 0) {
            shedFraction =
                    Math.max(0, shedFraction - SHED_STEP * TARGET_REJECTED_FRACTION / (1 - TARGET_REJECTED_FRACTION));
        }
    }

    /** Records that a request got its final answer without being served. */
    void recordUnserved(PendingRequest pending) {
        if (pending.aboveMeanValue && pending.attemptCount == 0) {
            shedFraction = Math.min(MAX_SHED_FRACTION, shedFraction + SHED_STEP);
        }
    }

    /** Returns whether a request is to be shed on arrival. */
    boolean shouldShed(PendingRequest pending, SplittableRandom random) {
        return shedFraction > 0 && !pending.aboveMeanValue && random.nextDouble() < shedFraction;
    }
}
