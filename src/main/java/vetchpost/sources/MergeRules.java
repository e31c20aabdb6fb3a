package vetchpost.sources;

/**
 * How the reports of several sources are merged. Times are in microseconds.
 *
 * @param maxRemovedFraction fraction of the fleet, 0 to 1, that may leave at once because no source names it any more
 * @param removalConfirmationUs how long further servers must be missing before they leave
 * @param maxFlaps returns after which a server is kept out for a while
 * @param flapHalfLifeUs time in which the count of returns halves
 * @param coldAfterAbsenceUs a server that returns after this long an absence counts as cold
 */
public record MergeRules(
        double maxRemovedFraction,
        long removalConfirmationUs,
        int maxFlaps,
        long flapHalfLifeUs,
        long coldAfterAbsenceUs) {}
