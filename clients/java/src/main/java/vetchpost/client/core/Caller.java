package vetchpost.client.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Makes all decisions for the calls of one client: node choice, retries, hedges and endings. Each method takes the
 * current time and returns the actions to perform now; {@link #nextWakeMs} says when {@link #wake} is due. Times are
 * in milliseconds since any fixed start; a time that goes backwards counts as no time passed. {@code Client} calls it
 * from its one thread; it is not thread-safe.
 */
public final class Caller {
    /** Returned by {@link #nextWakeMs} while nothing is due. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final int MEDIAN_PER_MILLE = 500;
    private static final int SLOW_ANSWER_PER_MILLE = 950;

    private final Settings settings;
    private final DoubleSupplier random;
    private final Nodes nodes;
    private final Budget budget;
    private final Latencies latencies = new Latencies();
    private final Map<Long, Call> calls = new HashMap<>();
    private final Set<Call> waitingCalls = new LinkedHashSet<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::sequence));
    private long timersCreated;
    private boolean hadNodeInRotation;
    private long nowMs = Long.MIN_VALUE;
    private List<Action> actions = new ArrayList<>();

    /** A scheduled wake-up of a call; stale if the call has been rescheduled since. */
    private record Timer(long atMs, long sequence, Call call) {}

    /**
     * Creates a caller without nodes.
     *
     * @param random random numbers from 0 up to, but not including, 1
     */
    public Caller(Settings settings, DoubleSupplier random) {
        this.settings = settings;
        this.random = random;
        nodes = new Nodes(settings, random);
        budget = new Budget(settings.budget(), settings.budgetPerMille());
    }

    /**
     * Adds a node to send to from now on.
     *
     * @param name the node's URL; a node of this name that is not removed is left as it is
     * @param local whether it is preferred to nodes that are not local
     */
    public List<Action> addNode(long now, String name, boolean local) {
        advanceClock(now);
        nodes.add(name, local, nowMs);
        return takeActions();
    }

    /** Removes a node: it gets no new attempts, and its attempts in flight continue. */
    public List<Action> removeNode(long now, String name) {
        advanceClock(now);
        nodes.remove(name);
        return takeActions();
    }

    /**
     * Starts a call.
     *
     * @param id chosen by the caller of this method; must differ from the ids of all unfinished calls
     * @param withinMs its deadline, relative to now; a call with 0 or less ends at once as late
     * @param windowMs for a keyed call, how long servers drop repeats of its key; otherwise ignored
     * @throws IllegalArgumentException if an unfinished call has this id
     */
    public List<Action> begin(long now, long id, Repeat repeat, long withinMs, long windowMs) {
        advanceClock(now);
        Call call = new Call(id, repeat, nowMs + withinMs, windowMs);
        if (calls.putIfAbsent(id, call) != null) {
            throw new IllegalArgumentException("call " + id + " is not over");
        }
        if (withinMs <= 0) {
            end(call, Outcome.failed(Outcome.Kind.LATE, false, "its deadline had passed when it started"));
        } else {
            dispatch(call);
        }
        return takeActions();
    }

    /** Records how an attempt has ended; has no effect for an attempt that has finished already. */
    public List<Action> ended(long now, long id, int number, Ending ending) {
        advanceClock(now);
        Call call = calls.get(id);
        Call.Attempt attempt = call == null ? null : call.inFlightAttempt(number);
        if (attempt == null) {
            return takeActions();
        }
        Node node = attempt.node;
        if (ending.kind() == Ending.Kind.SERVED) {
            node.recordServed();
            latencies.add(nowMs - attempt.sentMs);
            budget.creditServedCall();
            call.finish(attempt);
            end(call, new Outcome(Outcome.Kind.SERVED, true, -1, number, ending.cause()));
            return takeActions();
        }
        if (ending.kind() == Ending.Kind.REFUSED) {
            node.recordRefusal(attempt.sentMs, nowMs);
        } else if (ending.answered()) {
            node.recordAnswer();
        } else {
            node.recordFailure(attempt.sentMs, nowMs);
        }
        call.recordEnding(attempt, ending, nowMs);
        retryOrConclude(call);
        return takeActions();
    }

    /** Cancels a call and abandons its attempts in flight; has no effect for a call that is over. */
    public List<Action> cancel(long now, long id) {
        advanceClock(now);
        Call call = calls.get(id);
        if (call != null) {
            end(call, Outcome.failed(Outcome.Kind.CANCELLED, call.mayHaveRun() || call.isInFlight(), "cancelled"));
        }
        return takeActions();
    }

    /** Handles all wake-ups that are due. */
    public List<Action> wake(long now) {
        advanceClock(now);
        while (!timers.isEmpty() && timers.peek().atMs() <= nowMs) {
            Timer timer = timers.poll();
            if (!timer.call().finished && timer.call().wakeAtMs == timer.atMs()) {
                timer.call().wakeAtMs = NEVER;
                handleWake(timer.call());
            }
        }
        return takeActions();
    }

    /** Returns when {@link #wake} is due, or {@link #NEVER}. */
    public long nextWakeMs() {
        while (!timers.isEmpty()
                && (timers.peek().call().finished
                        || timers.peek().call().wakeAtMs != timers.peek().atMs())) {
            timers.poll();
        }
        long next = timers.isEmpty() ? NEVER : timers.peek().atMs();
        long trial = waitingCalls.isEmpty() ? -1 : nodes.nextTrialMs(nowMs);
        return trial < 0 ? next : Math.min(next, trial);
    }

    /** Returns the number of calls that are not over. */
    public int open() {
        return calls.size();
    }

    private void advanceClock(long now) {
        nowMs = Math.max(nowMs, now);
    }

    private List<Action> takeActions() {
        nodes.removeDrained();
        // Waiting calls are dispatched in order while a node is available. When the last node leaves the rotation,
        // all of them are tried once, so that those which cannot be served in time end now.
        boolean hasNodeInRotation = nodes.anyInRotation(nowMs);
        boolean lostLastNode = hadNodeInRotation && !hasNodeInRotation;
        hadNodeInRotation = hasNodeInRotation;
        if (!waitingCalls.isEmpty() && (lostLastNode || nodes.anyAvailable(nowMs))) {
            for (Call call : List.copyOf(waitingCalls)) {
                dispatch(call);
                if (!lostLastNode && !nodes.anyAvailable(nowMs)) {
                    break;
                }
            }
        }
        List<Action> pending = actions;
        actions = new ArrayList<>();
        return pending;
    }

    private void wakeAt(Call call, long atMs) {
        if (atMs != call.wakeAtMs) {
            call.wakeAtMs = atMs;
            timers.add(new Timer(atMs, timersCreated++, call));
        }
    }

    /** Sends a call if a node is available; otherwise it waits, or ends at once if waiting cannot help. */
    private void dispatch(Call call) {
        if (call.attemptCount() > 0 && !budget.hasRetry()) {
            conclude(call);
            return;
        }
        long sendByMs = latestSendMs(call);
        if (waitingCalls.contains(call) && nowMs >= sendByMs) {
            conclude(call);
            return;
        }
        Node node = nodes.choose(nowMs, n -> call.notBeforeMs(n) <= nowMs, call::hasTried);
        if (node != null) {
            waitingCalls.remove(call);
            send(call, node);
            return;
        }
        long earliest = nodes.earliestSendMs(nowMs, call::notBeforeMs);
        if (earliest >= call.answerByMs()
                || !waitingCalls.contains(call) && waitingCalls.size() >= settings.waiting()) {
            conclude(call);
            return;
        }
        waitingCalls.add(call);
        wakeAt(call, earliest > nowMs ? Math.min(earliest, sendByMs) : sendByMs);
    }

    /**
     * Returns the last time at which a call may be sent: half of all answers would come too late after it. Calls
     * that waited until their very deadline would use capacity that others need to be served in time.
     */
    private long latestSendMs(Call call) {
        long medianMs = latencies.quantile(MEDIAN_PER_MILLE);
        return medianMs < 0 ? call.answerByMs() : call.answerByMs() - medianMs;
    }

    private void send(Call call, Node node) {
        if (call.attemptCount() > 0) {
            budget.spendRetry();
        }
        node.recordSent();
        Call.Attempt attempt = call.addAttempt(node, nowMs);
        actions.add(new Action.Send(call.id, attempt.number, node.name, call.answerByMs() - nowMs, attempt.number > 0));
        if (call.repeat == Repeat.SAFE && attempt.number == 0 && settings.secondCopyPerMille() > 0) {
            long hedgeDelayMs = latencies.quantile(settings.secondCopyPerMille());
            call.hedgeAtMs = hedgeDelayMs < 0 ? -1 : nowMs + hedgeDelayMs;
        }
        scheduleNextWake(call);
    }

    /** Wakes a call in flight at the earliest of its answer limit, its hedge and its attempts' timeouts. */
    private void scheduleNextWake(Call call) {
        long next = call.answerByMs();
        if (call.hedgeAtMs >= 0) {
            next = Math.min(next, call.hedgeAtMs);
        }
        if (hasAttemptTimeout(call)) {
            for (Call.Attempt attempt : call.inFlightAttempts()) {
                next = Math.min(next, attempt.sentMs + settings.perAttemptMs());
            }
        }
        wakeAt(call, next);
    }

    private boolean hasAttemptTimeout(Call call) {
        return settings.perAttemptMs() > 0 && call.repeat != Repeat.UNSAFE;
    }

    private void handleWake(Call call) {
        if (nowMs >= call.deadlineMs) {
            expire(call);
            return;
        }
        boolean isTooLate = nowMs >= call.answerByMs();
        boolean wasWaiting = !call.isInFlight();
        for (Call.Attempt attempt : call.inFlightAttempts()) {
            if (isTooLate || hasAttemptTimeout(call) && nowMs >= attempt.sentMs + settings.perAttemptMs()) {
                actions.add(new Action.Abandon(call.id, attempt.number));
                recordTimeout(attempt);
                call.recordEnding(attempt, Ending.silent(Ending.Kind.MAY_HAVE_RUN, "no answer in time"), nowMs);
            }
        }
        if (!call.isInFlight()) {
            if (isTooLate) {
                conclude(call);
            } else if (wasWaiting) {
                dispatch(call);
            } else {
                retryOrConclude(call);
            }
            return;
        }
        if (call.hedgeAtMs >= 0 && nowMs >= call.hedgeAtMs) {
            call.hedgeAtMs = -1;
            sendHedge(call);
        }
        scheduleNextWake(call);
    }

    private void sendHedge(Call call) {
        if (call.attemptCount() >= settings.attempts() || !budget.hasRetry()) {
            return;
        }
        Predicate<Node> untried = n -> !call.hasTried(n) && call.notBeforeMs(n) <= nowMs;
        Node node = nodes.choose(nowMs, untried, n -> false);
        if (node != null) {
            send(call, node);
        }
    }

    /** After an attempt that was not served: retries now, schedules a retry, or ends the call. */
    private void retryOrConclude(Call call) {
        if (call.isInFlight()) {
            scheduleNextWake(call);
            return;
        }
        call.hedgeAtMs = -1;
        if (call.attemptCount() >= settings.attempts() || !call.mayRetry() || !budget.hasRetry()) {
            conclude(call);
            return;
        }
        long backoffUntilMs = nowMs + backoffMs(call);
        long earliest = Math.max(backoffUntilMs, nodes.earliestSendMs(nowMs, call::notBeforeMs));
        if (earliest >= call.answerByMs()) {
            conclude(call);
        } else if (backoffUntilMs > nowMs) {
            wakeAt(call, backoffUntilMs);
        } else {
            dispatch(call);
        }
    }

    /**
     * Returns the wait before a retry: exponential with full jitter (Brooker, "Exponential Backoff And Jitter", 2015).
     * It is 0 if the last attempt never ran and an untried node is available.
     */
    private long backoffMs(Call call) {
        if (call.lastEnding.kind() == Ending.Kind.NEVER_RAN && nodes.anyAvailableAmong(nowMs, n -> !call.hasTried(n))) {
            return 0;
        }
        long maxWaitMs = settings.backoffMs();
        for (int i = 1; i < call.attemptCount() && maxWaitMs < settings.backoffMostMs(); i++) {
            maxWaitMs *= 2;
        }
        return (long) (random.getAsDouble() * Math.min(maxWaitMs, settings.backoffMostMs()));
    }

    private void expire(Call call) {
        boolean mayHaveRun = call.mayHaveRun() || call.isInFlight();
        for (Call.Attempt attempt : call.inFlightAttempts()) {
            actions.add(new Action.Abandon(call.id, attempt.number));
            recordTimeout(attempt);
            call.finish(attempt);
        }
        end(call, Outcome.failed(Outcome.Kind.LATE, mayHaveRun, "its deadline has passed"));
    }

    /**
     * Records an attempt that timed out: a failure of its node, unless it had less time than nearly all answers take.
     */
    private void recordTimeout(Call.Attempt attempt) {
        if (nowMs - attempt.sentMs >= latencies.quantile(SLOW_ANSWER_PER_MILLE)) {
            attempt.node.recordFailure(attempt.sentMs, nowMs);
        } else {
            attempt.node.recordAbandoned(attempt.sentMs);
        }
    }

    /** Ends a call that is not retried, with the outcome that follows from its attempts. */
    private void conclude(Call call) {
        Ending last = call.lastEnding;
        long retryAfterMs = call.earliestRetryMs() == NEVER ? -1 : Math.max(0, call.earliestRetryMs() - nowMs);
        if (call.mayHaveRun() && (call.repeat != Repeat.SAFE || last.kind() != Ending.Kind.REFUSED)) {
            end(call, new Outcome(Outcome.Kind.MAY_HAVE_RUN, true, retryAfterMs, -1, last.cause()));
        } else if (last != null && last.kind() == Ending.Kind.REFUSED) {
            end(call, new Outcome(Outcome.Kind.REFUSED, call.mayHaveRun(), retryAfterMs, -1, last.cause()));
        } else if (last != null) {
            end(call, Outcome.failed(Outcome.Kind.NEVER_RAN, false, last.cause()));
        } else if (nodes.anyInRotation(nowMs)) {
            end(call, Outcome.failed(Outcome.Kind.REFUSED, false, "no node has capacity for it before its deadline"));
        } else {
            end(call, Outcome.failed(Outcome.Kind.NEVER_RAN, false, "no node is available"));
        }
    }

    private void end(Call call, Outcome outcome) {
        for (Call.Attempt attempt : call.inFlightAttempts()) {
            actions.add(new Action.Abandon(call.id, attempt.number));
            attempt.node.recordAbandoned(attempt.sentMs);
            call.finish(attempt);
        }
        call.finished = true;
        calls.remove(call.id);
        waitingCalls.remove(call);
        actions.add(new Action.End(call.id, outcome));
    }
}
