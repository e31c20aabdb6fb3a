package vetchpost.recorder;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import vetchpost.core.RequestRecorder.Completion;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;

/**
 * The recorded course of one request. {@link FlightRecorder} fills it on the event loop and explanations read it there.
 * Times are microseconds of the loop's monotonic clock, and so are durations.
 */
public final class RequestTrace {
    private static final int MAX_RECORDED_ATTEMPTS = 8;
    private static final int MAX_TARGET_LENGTH = 128;

    private final long id;
    private final int classIndex;
    private final String method;
    private final String target;
    private final long acceptedUs;
    private final long remainingUs;
    private final long eventLoopDelayUs;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private long admittedUs = -1;
    private Candidate firstCandidate;
    private Candidate secondCandidate;
    private Completion outcome;
    private long completedUs;
    private long retryAfterUs;
    private String decisionReason;

    /**
     * One attempt.
     *
     * @param startedAfterUs time from the request's acceptance to the start of the attempt
     * @param timeoutUs time that the attempt had, from its start
     * @param candidates the two servers drawn, of which one was chosen; the second may be missing; null if none were
     *     drawn
     * @param result null while the attempt is running
     * @param durationUs time until its end, or -1 while it is running
     */
    public record Attempt(
            String serverId,
            long startedAfterUs,
            long timeoutUs,
            List<Candidate> candidates,
            Result result,
            long durationUs) {}

    RequestTrace(
            long id,
            int classIndex,
            String method,
            String target,
            long acceptedUs,
            long remainingUs,
            long eventLoopDelayUs) {
        this.id = id;
        this.classIndex = classIndex;
        this.method = method;
        this.target = target.length() <= MAX_TARGET_LENGTH ? target : target.substring(0, MAX_TARGET_LENGTH);
        this.acceptedUs = acceptedUs;
        this.remainingUs = remainingUs;
        this.eventLoopDelayUs = eventLoopDelayUs;
    }

    void setAdmitted(long nowUs) {
        admittedUs = nowUs;
    }

    void setCandidates(Candidate first, Candidate second) {
        firstCandidate = first;
        secondCandidate = second;
    }

    void addAttempt(long nowUs, String serverId, long deadlineUs) {
        if (attempts.size() < MAX_RECORDED_ATTEMPTS) {
            boolean isDrawn = firstCandidate != null
                    && (firstCandidate.serverId().equals(serverId)
                            || secondCandidate != null
                                    && secondCandidate.serverId().equals(serverId));
            attempts.add(new Attempt(
                    serverId,
                    nowUs - acceptedUs,
                    deadlineUs - nowUs,
                    !isDrawn
                            ? null
                            : secondCandidate == null
                                    ? List.of(firstCandidate)
                                    : List.of(firstCandidate, secondCandidate),
                    null,
                    -1));
        }
        firstCandidate = null;
        secondCandidate = null;
    }

    void endAttempt(int number, Result result, long durationUs) {
        if (number < attempts.size()) {
            Attempt attempt = attempts.get(number);
            attempts.set(
                    number,
                    new Attempt(
                            attempt.serverId,
                            attempt.startedAfterUs,
                            attempt.timeoutUs,
                            attempt.candidates,
                            result,
                            durationUs));
        }
    }

    void setReason(String reason) {
        decisionReason = reason;
    }

    void complete(long nowUs, Completion completion, long retryAfterUs) {
        outcome = completion;
        completedUs = nowUs;
        this.retryAfterUs = retryAfterUs;
    }

    /** The request's id. */
    public long id() {
        return id;
    }

    /** Index of its class in the settings. */
    public int classIndex() {
        return classIndex;
    }

    /** Method and target; a long target is cut. */
    public String request() {
        return method + " " + target;
    }

    /** When it was accepted. */
    public long acceptedUs() {
        return acceptedUs;
    }

    /** Time from acceptance until its client gives up. */
    public long remainingUs() {
        return remainingUs;
    }

    /** How long it may have waited unread before it was accepted: the event-loop delay. */
    public long eventLoopDelayUs() {
        return eventLoopDelayUs;
    }

    /** Time in the admission queue; 0 where there is none. */
    public long queuedUs() {
        return admittedUs < 0 ? 0 : admittedUs - acceptedUs;
    }

    /** All its attempts, including running ones. */
    public List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** How it was completed; null while it is pending. */
    public Completion outcome() {
        return outcome;
    }

    /** Time from acceptance to completion, or -1 while it is pending. */
    public long durationUs() {
        return outcome == null ? -1 : completedUs - acceptedUs;
    }

    /** The retry-after of its rejection; 0 for none. */
    public long retryAfterUs() {
        return retryAfterUs;
    }

    /** Why it was rejected or failed, as text; null if it was neither, or no reason is known. */
    public String reason() {
        return decisionReason;
    }

    boolean isComplete() {
        return outcome != null && attempts.stream().noneMatch(a -> a.result == null);
    }
}
