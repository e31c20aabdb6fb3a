package vetchpost.client.core;

/**
 * The state of one node: its attempts in flight, their limit, its recent failures and its ejection. The limit follows
 * the node's refusals (additive increase, multiplicative decrease at most once per round trip). Used by {@link Caller}
 * on its thread.
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

    /** Whether it may get an attempt now. An ejected node whose time has passed gets one trial attempt at a time. */
    boolean isAvailable(long nowMs) {
        if (removed) {
            return false;
        }
        return ejectedUntilMs >= 0 ? nowMs >= ejectedUntilMs && !trialInFlight : inFlight < limitMille / MILLE;
    }

    /** Returns when an ejected node gets a trial attempt, if that is in the future; else -1. */
    long trialMs(long nowMs) {
        return !removed && ejectedUntilMs > nowMs ? ejectedUntilMs : -1;
    }

    /** Whether it is present and either not ejected or due for, or in, its trial. */
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

    /** Returns its load score, from attempts in flight and recent failures; lower is better. */
    long score(long nowMs) {
        return (inFlight + 1) * (MILLE + decayFailures(nowMs));
    }

    void recordSent() {
        inFlight++;
        trialInFlight = ejectedUntilMs >= 0;
    }

    /** Records an attempt that was abandoned and says nothing about the node. */
    void recordAbandoned(long sentMs) {
        inFlight--;
        if (isTrial(sentMs)) {
            trialInFlight = false;
        }
    }

    /** Records an answer, whatever its status: the node is reachable, which ends its ejection. */
    void recordAnswer() {
        inFlight--;
        consecutiveFailures = 0;
        if (ejectedUntilMs >= 0) {
            // The limit starts afresh, so that the calls that waited for the node do not reach it all at once.
            ejectedUntilMs = -1;
            ejectionMs = 0;
            trialInFlight = false;
            limitMille = settings.limit() * MILLE;
        }
    }

    /** Records a served call: the limit grows by one per full round of it, while at least half of it is in use. */
    void recordServed() {
        boolean limitInUse = 2L * inFlight >= limitMille / MILLE;
        recordAnswer();
        if (limitInUse) {
            limitMille = Math.min(settings.limitMost() * MILLE, limitMille + MILLE * MILLE / limitMille);
        }
    }

    /** Records a refusal: lowers the limit to 7/10, but once only for all attempts that were in flight together. */
    void recordRefusal(long sentMs, long nowMs) {
        recordAnswer();
        if (sentMs >= limitLoweredMs) {
            limitMille = Math.max(MILLE, limitMille * 7 / 10);
            limitLoweredMs = nowMs + 1;
        }
    }

    /** Records an attempt without an answer; ejects the node after enough in a row, or after a failed trial. */
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

    /** Whether an attempt is the trial: attempts sent before the ejection ended say nothing about it. */
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
