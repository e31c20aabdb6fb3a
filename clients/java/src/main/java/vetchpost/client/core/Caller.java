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
 * All calls of one client. Each method is told the time and returns what is to be done now;
 * {@link #nextWakeMs} says when {@link #wake} is due. Times are in milliseconds from any beginning; one that
 * goes back counts as none passed. Not for several threads at once.
 */
public final class Caller {
    /** The answer of {@link #nextWakeMs} while nothing is due. */
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

    /** A call's wake-up; stale if the call has another one since. */
    private record Timer(long atMs, long sequence, Call call) {}

    /**
     * A client without nodes.
     *
     * @param draws random numbers from 0 up to, but not including, 1
     */
    public Caller(Settings settings, DoubleSupplier draws) {
        this.settings = settings;
        this.random = draws;
        nodes = new Nodes(settings, draws);
        budget = new Budget(settings.budget(), settings.budgetPerMille());
    }

    /** A node to send to from now on. @param local whether it comes before those that are not */
    public List<Action> addNode(long now, String name, boolean local) {
        advanceClock(now);
        nodes.add(name, local, nowMs);
        return takeActions();
    }

    /** A node that gets no more calls; those it has go on. */
    public List<Action> removeNode(long now, String name) {
        advanceClock(now);
        nodes.remove(name);
        return takeActions();
    }

    /**
     * A new call.
     *
     * @param id of the caller's choice; of no other call that is not over
     * @param withinMs its deadline, counted from now
     * @param windowMs of a keyed call: for how long servers drop repeats of its key
     * @throws IllegalArgumentException if a call of this id is not over
     */
    public List<Action> begin(long now, long id, Repeat repeat, long withinMs, long windowMs) {
        advanceClock(now);
        Call call = new Call(id, repeat, nowMs + withinMs, windowMs);
        if (calls.putIfAbsent(id, call) != null) {
            throw new IllegalArgumentException("call " + id + " is not over");
        }
        if (withinMs <= 0) {
            end(call, Outcome.failed(Outcome.Kind.LATE, false, "no time left at its start"));
        } else {
            dispatch(call);
        }
        return takeActions();
    }

    /** How an attempt has ended; of one that is over already it has no effect. */
    public List<Action> ended(long now, long id, int number, Ending how) {
        advanceClock(now);
        Call call = calls.get(id);
        Call.Attempt attempt = call == null ? null : call.inFlightAttempts(number);
        if (attempt == null) {
            return takeActions();
        }
        Node node = attempt.node;
        if (how.kind() == Ending.Kind.SERVED) {
            node.recordServed();
            latencies.add(nowMs - attempt.sentMs);
            budget.creditServedCall();
            call.finish(attempt);
            end(call, new Outcome(Outcome.Kind.SERVED, true, -1, number, how.cause()));
            return takeActions();
        }
        if (how.kind() == Ending.Kind.REFUSED) {
            node.recordRefusal(attempt.sentMs, nowMs);
        } else if (how.answered()) {
            node.recordAnswer();
        } else {
            node.recordFailure(attempt.sentMs, nowMs);
        }
        call.recordEnding(attempt, how, nowMs);
        retryOrConclude(call);
        return takeActions();
    }

    /** Whoever made the call has no more use for it. */
    public List<Action> cancel(long now, long id) {
        advanceClock(now);
        Call call = calls.get(id);
        if (call != null) {
            end(call, Outcome.failed(Outcome.Kind.CANCELLED, call.mayHaveRun() || call.isInFlight(), "cancelled"));
        }
        return takeActions();
    }

    /** What is due by now. */
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

    /** When {@link #wake} is due, or {@link #NEVER}. */
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

    /** Calls that are not over. */
    public int open() {
        return calls.size();
    }

    private void advanceClock(long now) {
        nowMs = Math.max(nowMs, now);
    }

    private List<Action> takeActions() {
        nodes.removeDrained();
        // Those in line first see whether there is room, or, once, that there is no more hope of it.
        boolean hope = nodes.anyInRotation(nowMs);
        boolean lost = hadNodeInRotation && !hope;
        hadNodeInRotation = hope;
        if (!waitingCalls.isEmpty() && (lost || nodes.anyAvailable(nowMs))) {
            for (Call call : List.copyOf(waitingCalls)) {
                dispatch(call);
                if (!lost && !nodes.anyAvailable(nowMs)) {
                    break;
                }
            }
        }
        List<Action> all = actions;
        actions = new ArrayList<>();
        return all;
    }

    // ---------------------------------------------------------------- one call

    private void wakeAt(Call call, long atMs) {
        if (atMs != call.wakeAtMs) {
            call.wakeAtMs = atMs;
            timers.add(new Timer(atMs, timersCreated++, call));
        }
    }

    /** Sends it if a node has room; else it waits, or ends at once where waiting has no sense. */
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
        if (earliest >= call.answerByMs() || !waitingCalls.contains(call) && waitingCalls.size() >= settings.waiting()) {
            conclude(call);
            return;
        }
        waitingCalls.add(call);
        wakeAt(call, earliest > nowMs ? Math.min(earliest, sendByMs) : sendByMs);
    }

    /** Until when sending it has sense: later than that half of all answers would come too late. Calls that
     * stand in line until their last moment would take the room of those that can still be served. */
    private long latestSendMs(Call call) {
        long usual = latencies.quantile(MEDIAN_PER_MILLE);
        return usual < 0 ? call.answerByMs() : call.answerByMs() - usual;
    }

    private void send(Call call, Node node) {
        if (call.attemptCount() > 0) {
            budget.spendRetry();
        }
        node.recordSent();
        Call.Attempt attempt = call.addAttempt(node, nowMs);
        actions.add(new Action.Send(call.id, attempt.number, node.name, call.answerByMs() - nowMs, attempt.number > 0));
        if (call.repeat == Repeat.SAFE && attempt.number == 0 && settings.secondCopyPerMille() > 0) {
            long usual = latencies.quantile(settings.secondCopyPerMille());
            call.hedgeAtMs = usual < 0 ? -1 : nowMs + usual;
        }
        scheduleNextWake(call);
    }

    /** Wakes a call that is out when the first of its times comes. */
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
        boolean closed = nowMs >= call.answerByMs();
        boolean waited = !call.isInFlight();
        for (Call.Attempt attempt : call.inFlightAttempts()) {
            if (closed || hasAttemptTimeout(call) && nowMs >= attempt.sentMs + settings.perAttemptMs()) {
                actions.add(new Action.Abandon(call.id, attempt.number));
                recordTimeout(attempt);
                call.recordEnding(attempt, Ending.silent(Ending.Kind.MAY_HAVE_RUN, "no answer in its time"), nowMs);
            }
        }
        if (!call.isInFlight()) {
            if (closed) {
                conclude(call);
            } else if (waited) {
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
        Predicate<Node> other = n -> !call.hasTried(n) && call.notBeforeMs(n) <= nowMs;
        Node node = nodes.choose(nowMs, other, n -> false);
        if (node != null) {
            send(call, node);
        }
    }

    /** After an attempt that was not served: whether, and when, it goes out again. */
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

    /** Full jitter (Brooker, "Exponential Backoff And Jitter", 2015); none where nothing was reached and
     * another node can be asked. */
    private long backoffMs(Call call) {
        if (call.lastEnding.kind() == Ending.Kind.NEVER_RAN && nodes.anyAvailableAmong(nowMs, n -> !call.hasTried(n))) {
            return 0;
        }
        long most = settings.backoffMs();
        for (int i = 1; i < call.attemptCount() && most < settings.backoffMostMs(); i++) {
            most *= 2;
        }
        return (long) (random.getAsDouble() * Math.min(most, settings.backoffMostMs()));
    }

    private void expire(Call call) {
        boolean ran = call.mayHaveRun() || call.isInFlight();
        for (Call.Attempt attempt : call.inFlightAttempts()) {
            actions.add(new Action.Abandon(call.id, attempt.number));
            recordTimeout(attempt);
            call.finish(attempt);
        }
        end(call, Outcome.failed(Outcome.Kind.LATE, ran, "its deadline has passed"));
    }

    /** A node that lets an attempt's time pass has failed, unless that was too short for nearly all. */
    private void recordTimeout(Call.Attempt attempt) {
        if (nowMs - attempt.sentMs >= latencies.quantile(SLOW_ANSWER_PER_MILLE)) {
            attempt.node.recordFailure(attempt.sentMs, nowMs);
        } else {
            attempt.node.recordAbandoned(attempt.sentMs);
        }
    }

    /** Nothing more is tried: what is known of it. */
    private void conclude(Call call) {
        Ending last = call.lastEnding;
        long comeBack = call.earliestRetryMs() == NEVER ? -1 : Math.max(0, call.earliestRetryMs() - nowMs);
        if (call.mayHaveRun() && (call.repeat != Repeat.SAFE || last.kind() != Ending.Kind.REFUSED)) {
            end(call, new Outcome(Outcome.Kind.MAY_HAVE_RUN, true, comeBack, -1, last.cause()));
        } else if (last != null && last.kind() == Ending.Kind.REFUSED) {
            end(call, new Outcome(Outcome.Kind.REFUSED, call.mayHaveRun(), comeBack, -1, last.cause()));
        } else if (last != null) {
            end(call, Outcome.failed(Outcome.Kind.NEVER_RAN, false, last.cause()));
        } else if (nodes.anyInRotation(nowMs)) {
            end(call, Outcome.failed(Outcome.Kind.REFUSED, false, "no node has room for it in its time"));
        } else {
            end(call, Outcome.failed(Outcome.Kind.NEVER_RAN, false, "no node to send it to"));
        }
    }

    private void end(Call call, Outcome how) {
        for (Call.Attempt attempt : call.inFlightAttempts()) {
            actions.add(new Action.Abandon(call.id, attempt.number));
            attempt.node.recordAbandoned(attempt.sentMs);
            call.finish(attempt);
        }
        call.finished = true;
        calls.remove(call.id);
        waitingCalls.remove(call);
        actions.add(new Action.End(call.id, how));
    }
}
