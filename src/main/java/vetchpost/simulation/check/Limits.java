package vetchpost.simulation.check;

/**
 * The limits that the {@link Checker} applies. Names that end in Ns are in nanoseconds.
 *
 * @param drainGraceNs how long a node may go on sending to a server after notice that it drains or is gone
 * @param deduplicationWindowNs how long a rack remembers an idempotency key
 * @param coldPeriodNs time from a server's start until it is warm
 * @param coldInitialFraction fraction of its warm capacity at the start, from 0 to 1
 * @param coldOverloadFactor multiple of its present capacity beyond which a cold server is overloaded
 * @param coldWindowNs window over which work sent to a cold server is summed
 * @param answerMarginNs how long after its deadline an answer may still be written
 * @param slackNs tolerance added to every other time limit
 */
public record Limits(
        long drainGraceNs,
        long deduplicationWindowNs,
        long coldPeriodNs,
        double coldInitialFraction,
        double coldOverloadFactor,
        long coldWindowNs,
        long answerMarginNs,
        long slackNs) {}
