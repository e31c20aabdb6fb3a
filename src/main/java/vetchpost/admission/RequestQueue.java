package vetchpost.admission;

/** Requests that wait one behind the other: those of a client, or of the few that share its line. */
final class RequestQueue extends Flow {
    /** The one that goes first, and the one that came last; null if nobody waits. */
    QueuedRequest head;

    QueuedRequest tail;

    RequestQueue(SchedulingNode parent, int key) {
        super(parent, key, 1);
    }

    void append(QueuedRequest waiter) {
        waiter.before = tail;
        if (tail == null) {
            head = waiter;
        } else {
            tail.behind = waiter;
        }
        tail = waiter;
    }

    /** Takes one out wherever it stands. */
    void unlink(QueuedRequest waiter) {
        if (waiter.before == null) {
            head = waiter.behind;
        } else {
            waiter.before.behind = waiter.behind;
        }
        if (waiter.behind == null) {
            tail = waiter.before;
        } else {
            waiter.behind.before = waiter.before;
        }
        waiter.before = null;
        waiter.behind = null;
    }
}
