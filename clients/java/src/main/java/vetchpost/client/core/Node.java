package vetchpost.client.core;

/**
 * What is known of one node: calls in flight, a limit on them that follows its refusals (additive increase,
 * multiplicative decrease, at most once a round trip), failures, and whether it is left out for a while.
 */
final class Node {
    private static final long MILLE = 1_000;
    private static final long FAILURE_HALF_LIFE_MS = 10_000;
    private static final int MAX_HALVINGS = 30;
    private static final long MAX_RECENT_FAILURES_MILLE = 1_000_000;

    final String name;
    final boolean local;
    private final Settings settings;
    private int inFlight;
    private boolean removed;
    private long limitMille;
    private long limitLoweredMs = Long.MIN_VALUE;
    private long recentFailuresMille;
    private long failuresDecayedMs;
    private int consecutiveFailures;
    private long ejectionMs;
    private long ejectedUntilMs = -1;
    private boolean trialInFlight;

    Node(String name, boolean local, Settings settings, long nowMs) {
        this.name = name;
        this.local = local;
        this.settings = settings;
        limitMille = settings.limit() * MILLE;
        failuresDecayedMs = nowMs;
    }

    /** Whether it may get a call now: a node on trial gets one, and nobody else until that has ended. */
    boolean isAvailable(long nowMs) {
        if (removed) {
            return false;
        }
        return ejectedUntilMs >= 0 ? nowMs >= ejectedUntilMs && !trialInFlight : inFlight < limitMille / MILLE;
    }

    /** When it is tried again, if that is still to come; else -1. */
    long trialMs(long nowMs) {
        return !removed && ejectedUntilMs > nowMs ? ejectedUntilMs : -1;
    }

    /** Whether calls may be had from it before long: it is there and not left out, or being tried. */
    boolean isInRotation(long nowMs) {
        return !removed && (ejectedUntilMs < 0 || nowMs >= ejectedUntilMs);
    }

    boolean isDrained() {
        return removed && inFlight == 0;
    }

    boolean isRemoved() {
        return removed;
    }

    void remove() {
        removed = true;
    }

    /** By calls in flight and recent failures; the lower the better. */
    long score(long nowMs) {
        return (inFlight + 1) * (MILLE + decayFailures(nowMs));
    }

    void recordSent() {
        inFlight++;
        trialInFlight = ejectedUntilMs >= 0;
    }

    /** An attempt is over without a word about the node: its caller has no more use for it. */
    void recordAbandoned(long sentMs) {
        inFlight--;
        if (isTrial(sentMs)) {
            trialInFlight = false;
        }
    }

    /** It has answered, so it is there. */
    void recordAnswer() {
        inFlight--;
        consecutiveFailures = 0;
        if (ejectedUntilMs >= 0) {
            // Back, but as one that nobody knows: those who waited for it come bit by bit.
            ejectedUntilMs = -1;
            ejectionMs = 0;
            trialInFlight = false;
            limitMille = settings.limit() * MILLE;
        }
    }

    /** It has served a call: room for one more for each round of its limit, while that is made use of. */
    void recordServed() {
        boolean inUse = 2L * inFlight >= limitMille / MILLE;
        recordAnswer();
        if (inUse) {
            limitMille = Math.min(settings.limitMost() * MILLE, limitMille + MILLE * MILLE / limitMille);
        }
    }

    /** It has refused a call: fewer at a time, but once only for all that were out together. */
    void recordRefusal(long sentMs, long nowMs) {
        recordAnswer();
        if (sentMs >= limitLoweredMs) {
            limitMille = Math.max(MILLE, limitMille * 7 / 10);
            limitLoweredMs = nowMs + 1;
        }
    }

    /** It has not answered. */
    void recordFailure(long sentMs, long nowMs) {
        inFlight--;
        recentFailuresMille = Math.min(MAX_RECENT_FAILURES_MILLE, decayFailures(nowMs) + MILLE);
        consecutiveFailures++;
        if (isTrial(sentMs)) {
            trialInFlight = false;
            eject(nowMs);
        } else if (ejectedUntilMs < 0 && consecutiveFailures >= settings.ejectAfter()) {
            eject(nowMs);
        }
    }

    /** Calls from before it was left out say nothing about the trial. */
    private boolean isTrial(long sentMs) {
        return trialInFlight && sentMs >= ejectedUntilMs;
    }

    private void eject(long nowMs) {
        ejectionMs = ejectionMs == 0 ? settings.ejectMs() : Math.min(settings.ejectMostMs(), 2 * ejectionMs);
        ejectedUntilMs = nowMs + ejectionMs;
    }

    private long decayFailures(long nowMs) {
        long halvings = (nowMs - failuresDecayedMs) / FAILURE_HALF_LIFE_MS;
        if (halvings > 0) {
            recentFailuresMille >>= Math.min(MAX_HALVINGS, halvings);
            failuresDecayedMs += halvings * FAILURE_HALF_LIFE_MS;
        }
        return recentFailuresMille;
    }
}
