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
        private boolean over;

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
    long secondMs = -1;
    /** The one time at which it wants to be woken. */
    long wakeMs = Long.MAX_VALUE;

    boolean over;
    Ending last;
    private final long windowMs;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private final Map<Node, Long> notBefore = new HashMap<>(2);
    private long windowEndMs = Long.MAX_VALUE;
    private boolean mayHaveRun;
    private int out;

    Call(long id, Repeat repeat, long deadlineMs, long windowMs) {
        this.id = id;
        this.repeat = repeat;
        this.deadlineMs = deadlineMs;
        this.windowMs = windowMs;
    }

    Attempt sent(Node node, long nowMs) {
        Attempt attempt = new Attempt(attempts.size(), node, nowMs);
        attempts.add(attempt);
        out++;
        return attempt;
    }

    /** The attempt of this number if it is out, else null. */
    Attempt out(int number) {
        Attempt one = number >= 0 && number < attempts.size() ? attempts.get(number) : null;
        return one == null || one.over ? null : one;
    }

    List<Attempt> out() {
        return attempts.stream().filter(a -> !a.over).toList();
    }

    boolean isOut() {
        return out > 0;
    }

    int sendings() {
        return attempts.size();
    }

    /** An attempt of it is over, and this is all that is known of it. */
    void ended(Attempt attempt, Ending how, long nowMs) {
        over(attempt);
        last = how;
        if (how.kind() == Ending.Kind.MAY_HAVE_RUN) {
            mayHaveRun = true;
            if (repeat == Repeat.KEYED) {
                windowEndMs = Math.min(windowEndMs, attempt.sentMs + windowMs);
            }
        } else if (how.kind() == Ending.Kind.REFUSED && how.retryAfterMs() >= 0) {
            notBefore.merge(attempt.node, nowMs + how.retryAfterMs(), Math::max);
        }
    }

    /** No more is wanted of an attempt, and whatever it does has no weight. */
    void over(Attempt attempt) {
        attempt.over = true;
        out--;
    }

    boolean hasTried(Node node) {
        return attempts.stream().anyMatch(a -> a.node == node);
    }

    /** When this node takes it, by the node's own word; the distant past if it has said none. */
    long notBeforeMs(Node node) {
        return notBefore.getOrDefault(node, Long.MIN_VALUE);
    }

    /** The earliest time that any node has named; the largest number if none has. */
    long comeBackMs() {
        return notBefore.values().stream().mapToLong(t -> t).min().orElse(Long.MAX_VALUE);
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Until when it may be answered. A repeat of a keyed call that may have run must not arrive after the
     * servers have forgotten its key, however long it is on its way: so it is given up by then.
     */
    long untilMs() {
        return Math.min(deadlineMs, windowEndMs);
    }

    /** Whether its class lets it go out once more. */
    boolean mayRepeat() {
        return repeat != Repeat.UNSAFE || !mayHaveRun;
    }
}
