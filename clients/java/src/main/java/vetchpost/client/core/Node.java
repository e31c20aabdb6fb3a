package vetchpost.client.core;

/**
 * What is known of one node: calls in flight, a limit on them that follows its refusals (additive increase,
 * multiplicative decrease, at most once a round trip), failures, and whether it is left out for a while.
 */
final class Node {
    private static final long MILLE = 1_000;
    private static final long HALF_LIFE_MS = 10_000;
    private static final int MOST_HALVINGS = 30;
    private static final long MOST_RECENT = 1_000_000;

    final String name;
    final boolean local;
    private final Settings settings;
    private int inFlight;
    private boolean removed;
    private long limit;
    private long loweredMs = Long.MIN_VALUE;
    private long recent;
    private long recentMs;
    private int inRow;
    private long ejectedMs;
    private long ejectedUntilMs = -1;
    private boolean trying;

    Node(String name, boolean local, Settings settings, long nowMs) {
        this.name = name;
        this.local = local;
        this.settings = settings;
        limit = settings.limit() * MILLE;
        recentMs = nowMs;
    }

    /** Whether it may get a call now: a node on trial gets one, and nobody else until that has ended. */
    boolean free(long nowMs) {
        if (removed) {
            return false;
        }
        return ejectedUntilMs >= 0 ? nowMs >= ejectedUntilMs && !trying : inFlight < limit / MILLE;
    }

    /** When it is tried again, if that is still to come; else -1. */
    long trialMs(long nowMs) {
        return !removed && ejectedUntilMs > nowMs ? ejectedUntilMs : -1;
    }

    /** Whether calls may be had from it before long: it is there and not left out, or being tried. */
    boolean hopeful(long nowMs) {
        return !removed && (ejectedUntilMs < 0 || nowMs >= ejectedUntilMs);
    }

    boolean isGone() {
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
        return (inFlight + 1) * (MILLE + decayed(nowMs));
    }

    void sent() {
        inFlight++;
        trying = ejectedUntilMs >= 0;
    }

    /** An attempt is over without a word about the node: its caller has no more use for it. */
    void abandoned(long sentMs) {
        inFlight--;
        if (isTrial(sentMs)) {
            trying = false;
        }
    }

    /** It has answered, so it is there. */
    void answered() {
        inFlight--;
        inRow = 0;
        if (ejectedUntilMs >= 0) {
            // Back, but as one that nobody knows: those who waited for it come bit by bit.
            ejectedUntilMs = -1;
            ejectedMs = 0;
            trying = false;
            limit = settings.limit() * MILLE;
        }
    }

    /** It has served a call: room for one more for each round of its limit, while that is made use of. */
    void served() {
        boolean inUse = 2L * inFlight >= limit / MILLE;
        answered();
        if (inUse) {
            limit = Math.min(settings.limitMost() * MILLE, limit + MILLE * MILLE / limit);
        }
    }

    /** It has refused a call: fewer at a time, but once only for all that were out together. */
    void refused(long sentMs, long nowMs) {
        answered();
        if (sentMs >= loweredMs) {
            limit = Math.max(MILLE, limit * 7 / 10);
            loweredMs = nowMs + 1;
        }
    }

    /** It has not answered. */
    void failed(long sentMs, long nowMs) {
        inFlight--;
        recent = Math.min(MOST_RECENT, decayed(nowMs) + MILLE);
        inRow++;
        if (isTrial(sentMs)) {
            trying = false;
            eject(nowMs);
        } else if (ejectedUntilMs < 0 && inRow >= settings.ejectAfter()) {
            eject(nowMs);
        }
    }

    /** Calls from before it was left out say nothing about the trial. */
    private boolean isTrial(long sentMs) {
        return trying && sentMs >= ejectedUntilMs;
    }

    private void eject(long nowMs) {
        ejectedMs = ejectedMs == 0 ? settings.ejectMs() : Math.min(settings.ejectMostMs(), 2 * ejectedMs);
        ejectedUntilMs = nowMs + ejectedMs;
    }

    private long decayed(long nowMs) {
        long halvings = (nowMs - recentMs) / HALF_LIFE_MS;
        if (halvings > 0) {
            recent >>= Math.min(MOST_HALVINGS, halvings);
            recentMs += halvings * HALF_LIFE_MS;
        }
        return recent;
    }
}
