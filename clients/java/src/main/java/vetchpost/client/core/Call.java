package vetchpost.client.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One call: its attempts, and what they have told. */
final class Call {
    /** An attempt; over once it has ended or been given up. */
    static final class Attempt {
        final int number;
        final Node node;
        final long sentMs;
        private boolean finished;

        Attempt(int number, Node node, long sentMs) {
            this.number = number;
            this.node = node;
            this.sentMs = sentMs;
        }
    }

    final long id;
    final Repeat repeat;
    final long deadlineMs;
    /** When its second copy is due; -1 if none is. */
    long hedgeAtMs = -1;
    /** The one time at which it wants to be woken. */
    long wakeAtMs = Long.MAX_VALUE;

    boolean finished;
    Ending lastEnding;
    private final long deduplicationWindowMs;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private final Map<Node, Long> notBeforeMsByNode = new HashMap<>(2);
    private long deduplicationEndMs = Long.MAX_VALUE;
    private boolean mayHaveRun;
    private int inFlightCount;

    Call(long id, Repeat repeat, long deadlineMs, long windowMs) {
        this.id = id;
        this.repeat = repeat;
        this.deadlineMs = deadlineMs;
        this.deduplicationWindowMs = windowMs;
    }

    Attempt addAttempt(Node node, long nowMs) {
        Attempt attempt = new Attempt(attempts.size(), node, nowMs);
        attempts.add(attempt);
        inFlightCount++;
        return attempt;
    }

    /** The attempt of this number if it is out, else null. */
    Attempt inFlightAttempts(int number) {
        Attempt one = number >= 0 && number < attempts.size() ? attempts.get(number) : null;
        return one == null || one.finished ? null : one;
    }

    List<Attempt> inFlightAttempts() {
        return attempts.stream().filter(a -> !a.finished).toList();
    }

    boolean isInFlight() {
        return inFlightCount > 0;
    }

    int attemptCount() {
        return attempts.size();
    }

    /** An attempt of it is over, and this is all that is known of it. */
    void recordEnding(Attempt attempt, Ending how, long nowMs) {
        finish(attempt);
        lastEnding = how;
        if (how.kind() == Ending.Kind.MAY_HAVE_RUN) {
            mayHaveRun = true;
            if (repeat == Repeat.KEYED) {
                deduplicationEndMs = Math.min(deduplicationEndMs, attempt.sentMs + deduplicationWindowMs);
            }
        } else if (how.kind() == Ending.Kind.REFUSED && how.retryAfterMs() >= 0) {
            notBeforeMsByNode.merge(attempt.node, nowMs + how.retryAfterMs(), Math::max);
        }
    }

    /** No more is wanted of an attempt, and whatever it does has no weight. */
    void finish(Attempt attempt) {
        attempt.finished = true;
        inFlightCount--;
    }

    boolean hasTried(Node node) {
        return attempts.stream().anyMatch(a -> a.node == node);
    }

    /** When this node takes it, by the node's own word; the distant past if it has said none. */
    long notBeforeMs(Node node) {
        return notBeforeMsByNode.getOrDefault(node, Long.MIN_VALUE);
    }

    /** The earliest time that any node has named; the largest number if none has. */
    long earliestRetryMs() {
        return notBeforeMsByNode.values().stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Until when it may be answered. A repeat of a keyed call that may have run must not arrive after the
     * servers have forgotten its key, however long it is on its way: so it is given up by then.
     */
    long answerByMs() {
        return Math.min(deadlineMs, deduplicationEndMs);
    }

    /** Whether its class lets it go out once more. */
    boolean mayRetry() {
        return repeat != Repeat.UNSAFE || !mayHaveRun;
    }
}
