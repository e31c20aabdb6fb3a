package vetchpost.sources;

/**
 * How several sources' words are made one list. Times are in microseconds.
 *
 * @param mostGone share of the fleet that may go at once because nobody names it any more
 * @param confirmUs what more than that has to be left out for, before it goes
 * @param flaps returns after which a server is kept out for a while
 * @param calmUs half of what is counted of them is forgotten in so long
 * @param absentUs who was away for so long is taken for cold when it is back
 */
public record MergeRules(
        double maxRemovedFraction,
        long removalConfirmationUs,
        int maxFlaps,
        long flapHalfLifeUs,
        long coldAfterAbsenceUs) {}
