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

    private static final int SAMPLED_CAPACITY_DIVISOR = 4;

    private final int maxNotable;
    private final long[] slowThresholdsUs;
    private final Map<Long, RequestTrace> openTraces = new HashMap<>();
    private final Deque<RequestTrace> notable = new ArrayDeque<>();
    private final Deque<RequestTrace> sampled = new ArrayDeque<>();
    private final RejectionCounts rejectionCounts = new RejectionCounts();
    private long completedCount;

    /**
     * Empty.
     *
     * @param most so many special ones are kept, and a quarter as many usual ones
     * @param slowUs by class, from when on an answer is slow, in microseconds
     */
    public FlightRecorder(int most, long[] slowUs) {
        this.maxNotable = most;
        this.slowThresholdsUs = slowUs.clone();
    }

    @Override
    public void rejected(long nowUs, ClientRequest request, RejectionReason why) {
        rejectionCounts.add(nowUs, request.classIndex(), why == RejectionReason.ROUTE_LIMIT, why.text());
        RequestTrace flight = startTrace(nowUs, request, request.remainingUs(), 0);
        flight.outcome(nowUs, why == RejectionReason.ROUTE_LIMIT ? Completion.REFUSED : Completion.FAILED, 0);
        flight.setReason(why.text());
        keep(notable, flight, maxNotable);
    }

    @Override
    public void accepted(long nowUs, ClientRequest request, long leftUs, long layUs) {
        if (openTraces.size() < MAX_OPEN_REQUESTS) {
            openTraces.put(request.id(), startTrace(nowUs, request, leftUs, layUs));
        }
    }

    private static RequestTrace startTrace(long nowUs, ClientRequest request, long leftUs, long layUs) {
        return new RequestTrace(
                request.id(), request.classIndex(), request.method(), request.target(), nowUs, leftUs, layUs);
    }

    @Override
    public void admitted(long nowUs, long id) {
        RequestTrace flight = openTraces.get(id);
        if (flight != null) {
            flight.setAdmitted(nowUs);
        }
    }

    @Override
    public void candidatesDrawn(long id, Candidate first, Candidate second) {
        RequestTrace flight = openTraces.get(id);
        if (flight != null) {
            flight.setCandidates(first, second);
        }
    }

    @Override
    public void attemptSent(long nowUs, long id, String serverId, long untilUs) {
        RequestTrace flight = openTraces.get(id);
        if (flight != null) {
            flight.addAttempt(nowUs, serverId, untilUs);
        }
    }

    @Override
    public void attemptEnded(long nowUs, long id, int attempt, Result result, long tookUs) {
        RequestTrace flight = openTraces.get(id);
        if (flight != null) {
            flight.endAttempt(attempt, result, tookUs);
            closeIfComplete(flight);
        }
    }

    @Override
    public void reasonGiven(long id, UnservedReason why) {
        RequestTrace flight = openTraces.get(id);
        if (flight != null) {
            flight.setReason(why.text());
        }
    }

    @Override
    public void completed(long nowUs, long id, Completion what, long retryAfterUs) {
        RequestTrace flight = openTraces.get(id);
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
            flight.setReason(cause);
            rejectionCounts.add(nowUs, flight.classIndex(), what == Completion.REFUSED, cause);
        }
        closeIfComplete(flight);
    }

    private void closeIfComplete(RequestTrace flight) {
        if (!flight.isComplete()) {
            return;
        }
        openTraces.remove(flight.id(), flight);
        completedCount++;
        if (isNotable(flight)) {
            keep(notable, flight, maxNotable);
        } else if (completedCount % SAMPLING_INTERVAL == 0) {
            keep(sampled, flight, Math.max(1, maxNotable / SAMPLED_CAPACITY_DIVISOR));
        }
    }

    private boolean isNotable(RequestTrace flight) {
        return flight.outcome() != Completion.SERVED
                || flight.attempts().size() > 1
                || flight.classIndex() >= slowThresholdsUs.length
                || flight.durationUs() > slowThresholdsUs[flight.classIndex()];
    }

    private static void keep(Deque<RequestTrace> some, RequestTrace flight, int most) {
        if (some.size() >= most) {
            some.poll();
        }
        some.add(flight);
    }

    /** The request of this id that came last, in hand or kept; null if it is not known (any more). */
    public RequestTrace find(long id) {
        RequestTrace found = openTraces.get(id);
        for (Deque<RequestTrace> some : List.of(notable, sampled)) {
            for (Iterator<RequestTrace> last = some.descendingIterator(); found == null && last.hasNext(); ) {
                RequestTrace flight = last.next();
                found = flight.id() == id ? flight : null;
            }
        }
        return found;
    }

    /** The last special ones, the latest first. */
    public List<RequestTrace> lastNotable(int many) {
        List<RequestTrace> last = new ArrayList<>();
        for (Iterator<RequestTrace> next = notable.descendingIterator(); next.hasNext() && last.size() < many; ) {
            last.add(next.next());
        }
        return last;
    }

    /** What was refused or has failed, counted. */
    public RejectionCounts rejectionCounts() {
        return rejectionCounts;
    }

    /** How many are kept or followed. */
    public int size() {
        return openTraces.size() + notable.size() + sampled.size();
    }
}
