package vetchpost.admission;

/**
 * A first-in, first-out queue of the requests of one client, or of the few clients that share it; a linked list, so
 * that a request can be removed from anywhere. Used by {@link FairAdmission}, on the node's event loop.
 */
final class RequestQueue extends Flow {
    /** The first and the last request; null if the queue is empty. */
    QueuedRequest head;

    QueuedRequest tail;

    RequestQueue(SchedulingNode parent, int key) {
        super(parent, key, 1);
    }

    void append(QueuedRequest request) {
        request.previous = tail;
        if (tail == null) {
            head = request;
        } else {
            tail.next = request;
        }
        tail = request;
    }

    /** Removes a request from any position. */
    void unlink(QueuedRequest request) {
        if (request.previous == null) {
            head = request.next;
        } else {
            request.previous.next = request.next;
        }
        if (request.next == null) {
            tail = request.previous;
        } else {
            request.next.previous = request.previous;
        }
        request.previous = null;
        request.next = null;
    }
}
