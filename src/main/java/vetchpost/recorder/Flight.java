package vetchpost.recorder;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import vetchpost.core.RequestRecorder.Completion;
import vetchpost.decision.Balancer.Candidate;
import vetchpost.decision.Balancer.Result;

/** What is kept of one request. Times are microseconds of the loop's clock, lengths of time microseconds. */
public final class Flight {
    private static final int MOST_ATTEMPTS = 8;
    private static final int MOST_TARGET = 128;

    private final long id;
    private final int classIndex;
    private final String method;
    private final String target;
    private final long takenUs;
    private final long leftUs;
    private final long layUs;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private long offeredUs = -1;
    private Candidate first;
    private Candidate second;
    private Completion told;
    private long toldUs;
    private long retryAfterUs;
    private String why;

    /**
     * One attempt.
     *
     * @param drawn of which two it was chosen, the second maybe null; null where it was not drawn
     * @param tookUs until its end, or -1 while it is out
     */
    public record Attempt(
            String serverId, long afterUs, long forUs, List<Candidate> drawn, Result result, long tookUs) {}

    Flight(long id, int classIndex, String method, String target, long takenUs, long leftUs, long layUs) {
        this.id = id;
        this.classIndex = classIndex;
        this.method = method;
        this.target = target.length() <= MOST_TARGET ? target : target.substring(0, MOST_TARGET);
        this.takenUs = takenUs;
        this.leftUs = leftUs;
        this.layUs = layUs;
    }

    void offered(long nowUs) {
        offeredUs = nowUs;
    }

    void drew(Candidate one, Candidate other) {
        first = one;
        second = other;
    }

    void sent(long nowUs, String serverId, long untilUs) {
        if (attempts.size() < MOST_ATTEMPTS) {
            boolean drawn = first != null
                    && (first.serverId().equals(serverId)
                            || second != null && second.serverId().equals(serverId));
            attempts.add(new Attempt(
                    serverId,
                    nowUs - takenUs,
                    untilUs - nowUs,
                    !drawn ? null : second == null ? List.of(first) : List.of(first, second),
                    null,
                    -1));
        }
        first = null;
        second = null;
    }

    void ended(int number, Result result, long tookUs) {
        if (number < attempts.size()) {
            Attempt a = attempts.get(number);
            attempts.set(number, new Attempt(a.serverId, a.afterUs, a.forUs, a.drawn, result, tookUs));
        }
    }

    void because(String reason) {
        why = reason;
    }

    void told(long nowUs, Completion what, long advisedUs) {
        told = what;
        toldUs = nowUs;
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
    public long takenUs() {
        return takenUs;
    }

    /** Until its client gives up, from its taking. */
    public long leftUs() {
        return leftUs;
    }

    /** How long it may have lain unread before. */
    public long layUs() {
        return layUs;
    }

    /** How long it stood at the node's door; 0 where there is none. */
    public long queuedUs() {
        return offeredUs < 0 ? 0 : offeredUs - takenUs;
    }

    /** All its attempts, those that are still out too. */
    public List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** What its client was told; null while it waits. */
    public Completion told() {
        return told;
    }

    /** From its taking to its answer, or -1. */
    public long tookUs() {
        return told == null ? -1 : toldUs - takenUs;
    }

    /** When to come again, as its refusal said; 0 for nothing. */
    public long retryAfterUs() {
        return retryAfterUs;
    }

    /** Why it was refused or has failed, in words; null where it was not, or nobody said why. */
    public String why() {
        return why;
    }

    boolean isOver() {
        return told != null && attempts.stream().noneMatch(a -> a.result == null);
    }
}
