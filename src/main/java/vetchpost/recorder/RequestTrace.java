package vetchpost.recorder;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import vetchpost.core.RequestRecorder.Completion;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;

/** What is kept of one request. Times are microseconds of the loop's clock, lengths of time microseconds. */
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
     * @param drawn of which two it was chosen, the second maybe null; null where it was not drawn
     * @param tookUs until its end, or -1 while it is out
     */
    public record Attempt(
            String serverId,
            long startedAfterUs,
            long timeoutUs,
            List<Candidate> candidates,
            Result result,
            long durationUs) {}

    RequestTrace(long id, int classIndex, String method, String target, long takenUs, long leftUs, long layUs) {
        this.id = id;
        this.classIndex = classIndex;
        this.method = method;
        this.target = target.length() <= MAX_TARGET_LENGTH ? target : target.substring(0, MAX_TARGET_LENGTH);
        this.acceptedUs = takenUs;
        this.remainingUs = leftUs;
        this.eventLoopDelayUs = layUs;
    }

    void setAdmitted(long nowUs) {
        admittedUs = nowUs;
    }

    void setCandidates(Candidate one, Candidate other) {
        firstCandidate = one;
        secondCandidate = other;
    }

    void addAttempt(long nowUs, String serverId, long untilUs) {
        if (attempts.size() < MAX_RECORDED_ATTEMPTS) {
            boolean drawn = firstCandidate != null
                    && (firstCandidate.serverId().equals(serverId)
                            || secondCandidate != null
                                    && secondCandidate.serverId().equals(serverId));
            attempts.add(new Attempt(
                    serverId,
                    nowUs - acceptedUs,
                    untilUs - nowUs,
                    !drawn
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

    void endAttempt(int number, Result result, long tookUs) {
        if (number < attempts.size()) {
            Attempt a = attempts.get(number);
            attempts.set(number, new Attempt(a.serverId, a.startedAfterUs, a.timeoutUs, a.candidates, result, tookUs));
        }
    }

    void setReason(String reason) {
        decisionReason = reason;
    }

    void outcome(long nowUs, Completion what, long advisedUs) {
        outcome = what;
        completedUs = nowUs;
        retryAfterUs = advisedUs;
    }

    /** Its id. */
    public long id() {
        return id;
    }

    /** Index into the settings' classes. */
    public int classIndex() {
        return classIndex;
    }

    /** Method and path, cut where it is long. */
    public String request() {
        return method + " " + target;
    }

    /** When it was taken. */
    public long acceptedUs() {
        return acceptedUs;
    }

    /** Until its client gives up, from its taking. */
    public long remainingUs() {
        return remainingUs;
    }

    /** How long it may have lain unread before. */
    public long eventLoopDelayUs() {
        return eventLoopDelayUs;
    }

    /** How long it stood at the node's door; 0 where there is none. */
    public long queuedUs() {
        return admittedUs < 0 ? 0 : admittedUs - acceptedUs;
    }

    /** All its attempts, those that are still out too. */
    public List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** What its client was told; null while it waits. */
    public Completion outcome() {
        return outcome;
    }

    /** From its taking to its answer, or -1. */
    public long durationUs() {
        return outcome == null ? -1 : completedUs - acceptedUs;
    }

    /** When to come again, as its refusal said; 0 for nothing. */
    public long retryAfterUs() {
        return retryAfterUs;
    }

    /** Why it was refused or has failed, in words; null where it was not, or nobody said why. */
    public String reason() {
        return decisionReason;
    }

    boolean isComplete() {
        return outcome != null && attempts.stream().noneMatch(a -> a.result == null);
    }
}
