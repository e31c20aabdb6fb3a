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
        waiter.previous = tail;
        if (tail == null) {
            head = waiter;
        } else {
            tail.next = waiter;
        }
        tail = waiter;
    }

    /** Takes one out wherever it stands. */
    void unlink(QueuedRequest waiter) {
        if (waiter.previous == null) {
            head = waiter.next;
        } else {
            waiter.previous.next = waiter.next;
        }
        if (waiter.next == null) {
            tail = waiter.previous;
        } else {
            waiter.next.previous = waiter.previous;
        }
        waiter.previous = null;
        waiter.next = null;
    }
}
