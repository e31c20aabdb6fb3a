package vetchpost.recorder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import vetchpost.core.ClientRequest;
import vetchpost.core.Headers;
import vetchpost.core.RequestRecorder.Completion;
import vetchpost.core.RequestRecorder.RejectionReason;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.UnservedReason;

/** What is kept of requests, in bounded memory, and what was refused by cause. */
class FlightRecorderTest {
    private static final long MS = 1_000;
    private static final long MINUTE = 60_000 * MS;
    private static final Headers NO_FIELDS = new Headers() {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public void forEach(java.util.function.BiConsumer<String, String> action) {}
    };

    private final FlightRecorder recorder = new FlightRecorder(8, new long[] {100 * MS, 100 * MS});
    private long nowUs = 5 * MINUTE;

    private static ClientRequest request(long id, String target) {
        return new ClientRequest(id, (int) (id % 2), -1, 400 * MS, 0, false, "GET", target, NO_FIELDS, new byte[0]);
    }

    private void accept(long id) {
        recorder.accepted(nowUs, request(id, "/a"), 400 * MS, 2 * MS);
        recorder.admitted(nowUs, id);
    }

    private void attempt(long id, int number, String server, Result result, long tookUs) {
        recorder.attemptSent(nowUs, id, server, nowUs + 100 * MS);
        nowUs += tookUs;
        recorder.attemptEnded(nowUs, id, number, result, tookUs);
    }

    private void serve(long id, long tookUs) {
        accept(id);
        attempt(id, 0, "s0", Result.OK, tookUs);
        recorder.completed(nowUs, id, Completion.SERVED, 0);
    }

    private void reject(long id, UnservedReason why) {
        accept(id);
        recorder.reasonGiven(id, why);
        recorder.completed(nowUs, id, Completion.REFUSED, 1_000 * MS);
    }

    @Test
    void recordsRequestFromAcceptanceToCompletion() {
        accept(7);
        recorder.candidatesDrawn(7, new Candidate("s1", 1, 2, 4, 1), new Candidate("s0", 0.5, 3, 4, 2));
        nowUs += 10 * MS;
        attempt(7, 0, "s1", Result.ERROR, 30 * MS);
        attempt(7, 1, "s2", Result.OK, 20 * MS);
        assertEquals("nothing", recorder.find(7).outcome() == null ? "nothing" : "something");
        recorder.completed(nowUs, 7, Completion.SERVED, 0);
        RequestTrace flight = recorder.find(7);
        assertEquals("GET /a", flight.request());
        assertEquals(Completion.SERVED, flight.outcome());
        assertEquals(60 * MS, flight.durationUs());
        assertEquals(2 * MS, flight.eventLoopDelayUs());
        assertEquals(2, flight.attempts().size());
        RequestTrace.Attempt first = flight.attempts().get(0);
        assertEquals("s1", first.serverId());
        assertEquals(10 * MS, first.startedAfterUs());
        assertEquals(Result.ERROR, first.result());
        assertEquals(
                List.of("s1", "s0"),
                first.candidates().stream().map(Candidate::serverId).toList());
        assertNull(flight.attempts().get(1).candidates(), "the next in order is not drawn");
    }

    @Test
    void keepsNotableRequestsAndSamplesTheRest() {
        for (int i = 1; i <= 64; i++) {
            serve(i, 10 * MS);
        }
        assertEquals(2, recorder.size(), "usual ones, a quarter of eight at most");
        assertNotNull(recorder.find(64));
        assertNull(recorder.find(63));
        serve(100, 150 * MS);
        reject(101, UnservedReason.SHED);
        accept(102);
        recorder.completed(nowUs, 102, Completion.LEFT, 0);
        accept(103);
        attempt(103, 0, "s0", Result.FULL, MS);
        attempt(103, 1, "s1", Result.OK, MS);
        recorder.completed(nowUs, 103, Completion.SERVED, 0);
        assertEquals(
                List.of(103L, 102L, 101L, 100L),
                recorder.lastNotable(10).stream().map(RequestTrace::id).collect(Collectors.toList()));
        assertEquals(
                List.of(103L),
                recorder.lastNotable(1).stream().map(RequestTrace::id).toList());
    }

    @Test
    void runningAttemptKeepsTraceOpen() {
        accept(1);
        recorder.attemptSent(nowUs, 1, "s0", nowUs + 100 * MS);
        recorder.reasonGiven(1, UnservedReason.DEADLINE_EXCEEDED);
        recorder.completed(nowUs, 1, Completion.FAILED, 0);
        assertEquals(0, recorder.lastNotable(9).size());
        assertEquals(-1, recorder.find(1).attempts().get(0).durationUs());
        recorder.attemptEnded(nowUs + MS, 1, 0, Result.CANCELLED, MS);
        assertEquals(1, recorder.lastNotable(9).size());
        assertEquals(Result.CANCELLED, recorder.find(1).attempts().get(0).result());
    }

    @Test
    void boundsMemory() {
        for (int i = 0; i < 10_000; i++) {
            recorder.accepted(nowUs, request(i, "/" + "x".repeat(100_000)), 400 * MS, 0);
        }
        assertEquals(FlightRecorder.MAX_OPEN_REQUESTS, recorder.size());
        assertTrue(recorder.find(0).request().length() < 200);
        for (int i = 0; i < 10_000; i++) {
            recorder.completed(nowUs, i, Completion.LEFT, 0);
        }
        assertEquals(8, recorder.size());
        for (int i = 0; i < 10_000; i++) {
            recorder.rejected(nowUs, request(i, "/a"), RejectionReason.ROUTE_LIMIT);
        }
        assertEquals(8, recorder.size());
        accept(1);
        for (int i = 0; i < 100; i++) {
            recorder.attemptSent(nowUs, 1, "s", nowUs);
            recorder.attemptEnded(nowUs, 1, i, Result.FULL, 1);
        }
        assertTrue(recorder.find(1).attempts().size() < 10);
    }

    @Test
    void ignoresEventsOfUnknownRequests() {
        recorder.admitted(nowUs, 9);
        recorder.candidatesDrawn(9, new Candidate("s", 1, 1, 1, 1), null);
        recorder.attemptSent(nowUs, 9, "s", nowUs);
        recorder.attemptEnded(nowUs, 9, 0, Result.OK, 1);
        recorder.reasonGiven(9, UnservedReason.SHED);
        recorder.completed(nowUs, 9, Completion.REFUSED, 0);
        assertEquals(0, recorder.size());
        assertEquals(List.of(), recorder.rejectionCounts().withinLast(nowUs, MINUTE));
    }

    private List<String> counts(long spanUs) {
        return recorder.rejectionCounts().withinLast(nowUs, spanUs).stream()
                .map(l -> l.count() + " " + l.classIndex() + " " + (l.rejected() ? "refused" : "failed") + ": "
                        + l.cause())
                .toList();
    }

    @Test
    void countsRejectionsByCauseForOneHour() {
        reject(2, UnservedReason.SHED);
        reject(4, UnservedReason.SHED);
        reject(1, UnservedReason.NO_CAPACITY);
        recorder.rejected(nowUs, request(3, "/a"), RejectionReason.AMBIGUOUS_PATH);
        accept(5);
        recorder.completed(nowUs, 5, Completion.FAILED, 0);
        assertEquals(
                "2 0 refused: " + UnservedReason.SHED.text(), counts(MINUTE).get(0));
        assertEquals(4, counts(MINUTE).size());
        assertTrue(
                counts(MINUTE).contains("1 1 failed: " + RejectionReason.AMBIGUOUS_PATH.text()),
                counts(MINUTE).toString());
        nowUs += 5 * MINUTE;
        reject(6, UnservedReason.SHED);
        assertEquals(List.of("1 0 refused: " + UnservedReason.SHED.text()), counts(MINUTE));
        assertEquals(
                "3 0 refused: " + UnservedReason.SHED.text(),
                counts(10 * MINUTE).get(0));
        nowUs += 57 * MINUTE;
        assertEquals(List.of("1 0 refused: " + UnservedReason.SHED.text()), counts(60 * MINUTE));
        nowUs += 600 * MINUTE;
        assertEquals(List.of(), counts(60 * MINUTE));
    }
}
