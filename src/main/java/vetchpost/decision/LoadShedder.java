package vetchpost.decision;

import java.util.SplittableRandom;

/**
 * Which part of the requests of little worth a node refuses as they come, so that those of more worth find
 * room: what is worth more than the mean is upper, the rest lower. Each upper request that had to be refused
 * unsent raises the part, each that was sent lowers it, so that about {@link #TARGET_REJECTED_FRACTION} of the upper ones are
 * refused while the fleet can't take all. The lower ones that are let through fill what the upper ones leave.
 * No I/O and no clock.
 */
final class LoadShedder {
    /** Part of the upper requests that may be refused: as little as shows that the fleet is full. */
    static final double TARGET_REJECTED_FRACTION = 0.04;
    /** By how much one refusal raises the part: twenty in a row take it from none to all. */
    static final double SHED_STEP = 0.05;
    /** Most that is refused: what comes through shows when there is room again. */
    static final double MAX_SHED_FRACTION = 0.75;

    private double shedFraction;

    /** Before an attempt of it goes out. */
    void recordSent(PendingRequest call) {
        if (call.aboveMeanValue && call.attemptCount == 0) {
            shedFraction =
                    Math.max(0, shedFraction - SHED_STEP * TARGET_REJECTED_FRACTION / (1 - TARGET_REJECTED_FRACTION));
        }
    }

    /** It has its final answer and was not served. */
    void recordUnserved(PendingRequest call) {
        if (call.aboveMeanValue && call.attemptCount == 0) {
            shedFraction = Math.min(MAX_SHED_FRACTION, shedFraction + SHED_STEP);
        }
    }

    /** Whether it is to be refused as it comes. */
    boolean shouldShed(PendingRequest call, SplittableRandom random) {
        return shedFraction > 0 && !call.aboveMeanValue && random.nextDouble() < shedFraction;
    }
}
