package vetchpost.client.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One call: its class, deadline and attempts, and what their endings say. Used by {@link Caller} on its thread. */
final class Call {
    /** One attempt; finished once it has ended or was abandoned. */
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
    /** When its hedge is due; -1 if none is. */
    long hedgeAtMs = -1;
    /** When its one valid wake-up is due. */
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

    /** Returns the attempt of this number if it is in flight, else null. */
    Attempt inFlightAttempt(int number) {
        Attempt attempt = number >= 0 && number < attempts.size() ? attempts.get(number) : null;
        return attempt == null || attempt.finished ? null : attempt;
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

    /** Finishes an attempt and keeps what its ending says about the call. */
    void recordEnding(Attempt attempt, Ending ending, long nowMs) {
        finish(attempt);
        lastEnding = ending;
        if (ending.kind() == Ending.Kind.MAY_HAVE_RUN) {
            mayHaveRun = true;
            if (repeat == Repeat.KEYED) {
                deduplicationEndMs = Math.min(deduplicationEndMs, attempt.sentMs + deduplicationWindowMs);
            }
        } else if (ending.kind() == Ending.Kind.REFUSED && ending.retryAfterMs() >= 0) {
            notBeforeMsByNode.merge(attempt.node, nowMs + ending.retryAfterMs(), Math::max);
        }
    }

    /** Finishes an attempt; anything it reports later is ignored. */
    void finish(Attempt attempt) {
        attempt.finished = true;
        inFlightCount--;
    }

    boolean hasTried(Node node) {
        return attempts.stream().anyMatch(a -> a.node == node);
    }

    /** Returns when this node accepts a retry by its Retry-After; the smallest number if it sent none. */
    long notBeforeMs(Node node) {
        return notBeforeMsByNode.getOrDefault(node, Long.MIN_VALUE);
    }

    /** Returns the earliest time at which any node accepts a retry; the largest number if none sent a Retry-After. */
    long earliestRetryMs() {
        return notBeforeMsByNode.values().stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Returns until when an answer is accepted. A retry of a keyed call that may have run must not reach a server that
     * has forgotten its key, however long it is in transit: so its attempts are abandoned at the window's end.
     */
    long answerByMs() {
        return Math.min(deadlineMs, deduplicationEndMs);
    }

    /** Whether its class allows another attempt. */
    boolean mayRetry() {
        return repeat != Repeat.UNSAFE || !mayHaveRun;
    }
}
