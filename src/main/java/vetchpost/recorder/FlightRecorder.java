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
 * Records the last requests in bounded memory: all that failed, were rejected, took more than one attempt or were slow,
 * and one in {@value #SAMPLING_INTERVAL} of the others. The core reports to it on the event loop, and explanations read
 * it there. It decides nothing and performs no I/O.
 */
public final class FlightRecorder implements RequestRecorder {
    /** Of the requests that are not notable, one in this many is kept. */
    public static final int SAMPLING_INTERVAL = 16;
    /** Open requests traced at once; further ones are not recorded. */
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
     * Creates an empty recorder.
     *
     * @param maxNotable number of notable requests to keep; a quarter as many sampled ones are kept
     * @param slowThresholdsUs for each class, the duration beyond which an answer is slow, in microseconds
     */
    public FlightRecorder(int maxNotable, long[] slowThresholdsUs) {
        this.maxNotable = maxNotable;
        this.slowThresholdsUs = slowThresholdsUs.clone();
    }

    @Override
    public void rejected(long nowUs, ClientRequest request, RejectionReason reason) {
        rejectionCounts.add(nowUs, request.classIndex(), reason == RejectionReason.ROUTE_LIMIT, reason.text());
        RequestTrace trace = startTrace(nowUs, request, request.remainingUs(), 0);
        trace.complete(nowUs, reason == RejectionReason.ROUTE_LIMIT ? Completion.REFUSED : Completion.FAILED, 0);
        trace.setReason(reason.text());
        keep(notable, trace, maxNotable);
    }

    @Override
    public void accepted(long nowUs, ClientRequest request, long remainingUs, long loopDelayUs) {
        if (openTraces.size() < MAX_OPEN_REQUESTS) {
            openTraces.put(request.id(), startTrace(nowUs, request, remainingUs, loopDelayUs));
        }
    }

    private static RequestTrace startTrace(long nowUs, ClientRequest request, long remainingUs, long loopDelayUs) {
        return new RequestTrace(
                request.id(),
                request.classIndex(),
                request.method(),
                request.target(),
                nowUs,
                remainingUs,
                loopDelayUs);
    }

    @Override
    public void admitted(long nowUs, long id) {
        RequestTrace trace = openTraces.get(id);
        if (trace != null) {
            trace.setAdmitted(nowUs);
        }
    }

    @Override
    public void candidatesDrawn(long id, Candidate first, Candidate second) {
        RequestTrace trace = openTraces.get(id);
        if (trace != null) {
            trace.setCandidates(first, second);
        }
    }

    @Override
    public void attemptSent(long nowUs, long id, String serverId, long deadlineUs) {
        RequestTrace trace = openTraces.get(id);
        if (trace != null) {
            trace.addAttempt(nowUs, serverId, deadlineUs);
        }
    }

    @Override
    public void attemptEnded(long nowUs, long id, int attempt, Result result, long durationUs) {
        RequestTrace trace = openTraces.get(id);
        if (trace != null) {
            trace.endAttempt(attempt, result, durationUs);
            closeIfComplete(trace);
        }
    }

    @Override
    public void reasonGiven(long id, UnservedReason reason) {
        RequestTrace trace = openTraces.get(id);
        if (trace != null) {
            trace.setReason(reason.text());
        }
    }

    @Override
    public void completed(long nowUs, long id, Completion completion, long retryAfterUs) {
        RequestTrace trace = openTraces.get(id);
        if (trace == null) {
            return;
        }
        trace.complete(nowUs, completion, retryAfterUs);
        if (completion == Completion.REFUSED || completion == Completion.FAILED) {
            String cause = trace.reason() != null
                    ? trace.reason()
                    : completion == Completion.REFUSED
                            ? "the node's door has no place for it"
                            : "its client's time was up, or a fault of the node's";
            trace.setReason(cause);
            rejectionCounts.add(nowUs, trace.classIndex(), completion == Completion.REFUSED, cause);
        }
        closeIfComplete(trace);
    }

    private void closeIfComplete(RequestTrace trace) {
        if (!trace.isComplete()) {
            return;
        }
        openTraces.remove(trace.id(), trace);
        completedCount++;
        if (isNotable(trace)) {
            keep(notable, trace, maxNotable);
        } else if (completedCount % SAMPLING_INTERVAL == 0) {
            keep(sampled, trace, Math.max(1, maxNotable / SAMPLED_CAPACITY_DIVISOR));
        }
    }

    private boolean isNotable(RequestTrace trace) {
        return trace.outcome() != Completion.SERVED
                || trace.attempts().size() > 1
                || trace.classIndex() >= slowThresholdsUs.length
                || trace.durationUs() > slowThresholdsUs[trace.classIndex()];
    }

    private static void keep(Deque<RequestTrace> traces, RequestTrace trace, int capacity) {
        if (traces.size() >= capacity) {
            traces.poll();
        }
        traces.add(trace);
    }

    /** The latest request of this id, open or kept; null if it is not, or no longer, known. */
    public RequestTrace find(long id) {
        RequestTrace found = openTraces.get(id);
        for (Deque<RequestTrace> traces : List.of(notable, sampled)) {
            for (Iterator<RequestTrace> iterator = traces.descendingIterator(); found == null && iterator.hasNext(); ) {
                RequestTrace trace = iterator.next();
                found = trace.id() == id ? trace : null;
            }
        }
        return found;
    }

    /**
     * The last notable requests, the latest first.
     *
     * @param count the largest number to return
     */
    public List<RequestTrace> lastNotable(int count) {
        List<RequestTrace> traces = new ArrayList<>();
        for (Iterator<RequestTrace> iterator = notable.descendingIterator();
                iterator.hasNext() && traces.size() < count; ) {
            traces.add(iterator.next());
        }
        return traces;
    }

    /** Counts of rejected and failed requests. */
    public RejectionCounts rejectionCounts() {
        return rejectionCounts;
    }

    /** How many requests are open or kept. */
    public int size() {
        return openTraces.size() + notable.size() + sampled.size();
    }
}
