package vetchpost.simulation.check;

/**
 * The figures of the rules, in nanoseconds where not said otherwise.
 *
 * @param graceNs how long sends to a draining or gone server may go on after the node was told
 * @param windowNs how long a rack remembers a key
 * @param coldNs a server is warm so long after its start
 * @param coldFrom the share of its capacity that it has at first
 * @param multiple a cold server bears so many times its present capacity
 * @param fallNs in any span of this length
 * @param answerNs an answer may be so late
 * @param slackNs every other limit is so much longer
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
