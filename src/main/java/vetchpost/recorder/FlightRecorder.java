package vetchpost.recorder;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import vetchpost.core.ClientRequest;
import vetchpost.core.RequestRecorder;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.UnservedReason;

/**
 * The last requests, in bounded memory: all that failed, were refused, took more than one attempt or were
 * slow, and one in {@value #SAMPLING_INTERVAL} of the others. For whoever asks why; it decides nothing, and does no
 * I/O.
 */
public final class FlightRecorder implements RequestRecorder {
    /** One in so many of the requests that nothing was special about is kept. */
    public static final int SAMPLING_INTERVAL = 16;
    /** Requests in hand that are followed at once; what comes beyond is not recorded. */
    static final int MAX_OPEN_REQUESTS = 4_096;

    private static final int SAMPLE_PART = 4;

    private final int most;
    private final long[] slowUs;
    private final Map<Long, RequestTrace> open = new HashMap<>();
    private final Deque<RequestTrace> special = new ArrayDeque<>();
    private final Deque<RequestTrace> usual = new ArrayDeque<>();
    private final RejectionCounts refusals = new RejectionCounts();
    private long seen;

    /**
     * Empty.
     *
     * @param most so many special ones are kept, and a quarter as many usual ones
     * @param slowUs by class, from when on an answer is slow, in microseconds
     */
    public FlightRecorder(int most, long[] slowUs) {
        this.most = most;
        this.slowUs = slowUs.clone();
    }

    @Override
    public void rejected(long nowUs, ClientRequest request, RejectionReason why) {
        refusals.add(nowUs, request.classIndex(), why == RejectionReason.ROUTE_LIMIT, why.text());
        RequestTrace flight = flight(nowUs, request, request.remainingUs(), 0);
        flight.outcome(nowUs, why == RejectionReason.ROUTE_LIMIT ? Completion.REFUSED : Completion.FAILED, 0);
        flight.because(why.text());
        keep(special, flight, most);
    }

    @Override
    public void accepted(long nowUs, ClientRequest request, long leftUs, long layUs) {
        if (open.size() < MAX_OPEN_REQUESTS) {
            open.put(request.id(), flight(nowUs, request, leftUs, layUs));
        }
    }

    private static RequestTrace flight(long nowUs, ClientRequest request, long leftUs, long layUs) {
        return new RequestTrace(
                request.id(), request.classIndex(), request.method(), request.target(), nowUs, leftUs, layUs);
    }

    @Override
    public void admitted(long nowUs, long id) {
        RequestTrace flight = open.get(id);
        if (flight != null) {
            flight.offered(nowUs);
        }
    }

    @Override
    public void candidatesDrawn(long id, Candidate first, Candidate second) {
        RequestTrace flight = open.get(id);
        if (flight != null) {
            flight.drew(first, second);
        }
    }

    @Override
    public void attemptSent(long nowUs, long id, String serverId, long untilUs) {
        RequestTrace flight = open.get(id);
        if (flight != null) {
            flight.sent(nowUs, serverId, untilUs);
        }
    }

    @Override
    public void attemptEnded(long nowUs, long id, int attempt, Result result, long tookUs) {
        RequestTrace flight = open.get(id);
        if (flight != null) {
            flight.ended(attempt, result, tookUs);
            closeIfOver(flight);
        }
    }

    @Override
    public void reasonGiven(long id, UnservedReason why) {
        RequestTrace flight = open.get(id);
        if (flight != null) {
            flight.because(why.text());
        }
    }

    @Override
    public void completed(long nowUs, long id, Completion what, long retryAfterUs) {
        RequestTrace flight = open.get(id);
        if (flight == null) {
            return;
        }
        flight.outcome(nowUs, what, retryAfterUs);
        if (what == Completion.REFUSED || what == Completion.FAILED) {
            String cause = flight.reason() != null
                    ? flight.reason()
                    : what == Completion.REFUSED
                            ? "the node's door has no place for it"
                            : "its client's time was up, or a fault of the node's";
            flight.because(cause);
            refusals.add(nowUs, flight.classIndex(), what == Completion.REFUSED, cause);
        }
        closeIfOver(flight);
    }

    private void closeIfOver(RequestTrace flight) {
        if (!flight.isOver()) {
            return;
        }
        open.remove(flight.id(), flight);
        seen++;
        if (isSpecial(flight)) {
            keep(special, flight, most);
        } else if (seen % SAMPLING_INTERVAL == 0) {
            keep(usual, flight, Math.max(1, most / SAMPLE_PART));
        }
    }

    private boolean isSpecial(RequestTrace flight) {
        return flight.outcome() != Completion.SERVED
                || flight.attempts().size() > 1
                || flight.classIndex() >= slowUs.length
                || flight.durationUs() > slowUs[flight.classIndex()];
    }

    private static void keep(Deque<RequestTrace> some, RequestTrace flight, int most) {
        if (some.size() >= most) {
            some.poll();
        }
        some.add(flight);
    }

    /** The request of this id that came last, in hand or kept; null if it is not known (any more). */
    public RequestTrace find(long id) {
        RequestTrace found = open.get(id);
        for (Deque<RequestTrace> some : List.of(special, usual)) {
            for (Iterator<RequestTrace> last = some.descendingIterator(); found == null && last.hasNext(); ) {
                RequestTrace flight = last.next();
                found = flight.id() == id ? flight : null;
            }
        }
        return found;
    }

    /** The last special ones, the latest first. */
    public List<RequestTrace> last(int many) {
        List<RequestTrace> last = new ArrayList<>();
        for (Iterator<RequestTrace> next = special.descendingIterator(); next.hasNext() && last.size() < many; ) {
            last.add(next.next());
        }
        return last;
    }

    /** What was refused or has failed, counted. */
    public RejectionCounts rejectionCounts() {
        return refusals;
    }

    /** How many are kept or followed. */
    public int size() {
        return open.size() + special.size() + usual.size();
    }
}
