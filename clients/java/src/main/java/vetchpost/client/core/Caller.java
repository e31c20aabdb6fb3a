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

    private static final int USUAL_PER_MILLE = 500;
    private static final int NEARLY_ALL_PER_MILLE = 950;

    private final Settings settings;
    private final DoubleSupplier draws;
    private final Nodes nodes;
    private final Budget budget;
    private final Latencies latencies = new Latencies();
    private final Map<Long, Call> calls = new HashMap<>();
    private final Set<Call> line = new LinkedHashSet<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::number));
    private long timersMade;
    private boolean hadHope;
    private long nowMs = Long.MIN_VALUE;
    private List<Action> actions = new ArrayList<>();

    /** A call's wake-up; stale if the call has another one since. */
    private record Timer(long atMs, long number, Call call) {}

    /**
     * A client without nodes.
     *
     * @param draws random numbers from 0 up to, but not including, 1
     */
    public Caller(Settings settings, DoubleSupplier draws) {
        this.settings = settings;
        this.draws = draws;
        nodes = new Nodes(settings, draws);
        budget = new Budget(settings.budget(), settings.budgetPerMille());
    }

    /** A node to send to from now on. @param local whether it comes before those that are not */
    public List<Action> addNode(long now, String name, boolean local) {
        at(now);
        nodes.add(name, local, nowMs);
        return done();
    }

    /** A node that gets no more calls; those it has go on. */
    public List<Action> removeNode(long now, String name) {
        at(now);
        nodes.remove(name);
        return done();
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
        at(now);
        Call call = new Call(id, repeat, nowMs + withinMs, windowMs);
        if (calls.putIfAbsent(id, call) != null) {
            throw new IllegalArgumentException("call " + id + " is not over");
        }
        if (withinMs <= 0) {
            end(call, Outcome.failed(Outcome.Kind.LATE, false, "no time left at its start"));
        } else {
            place(call);
        }
        return done();
    }

    /** How an attempt has ended; of one that is over already it has no effect. */
    public List<Action> ended(long now, long id, int number, Ending how) {
        at(now);
        Call call = calls.get(id);
        Call.Attempt attempt = call == null ? null : call.out(number);
        if (attempt == null) {
            return done();
        }
        Node node = attempt.node;
        if (how.kind() == Ending.Kind.SERVED) {
            node.served();
            latencies.add(nowMs - attempt.sentMs);
            budget.served();
            call.over(attempt);
            end(call, new Outcome(Outcome.Kind.SERVED, true, -1, number, how.cause()));
            return done();
        }
        if (how.kind() == Ending.Kind.REFUSED) {
            node.refused(attempt.sentMs, nowMs);
        } else if (how.answered()) {
            node.answered();
        } else {
            node.failed(attempt.sentMs, nowMs);
        }
        call.ended(attempt, how, nowMs);
        again(call);
        return done();
    }

    /** Whoever made the call has no more use for it. */
    public List<Action> cancel(long now, long id) {
        at(now);
        Call call = calls.get(id);
        if (call != null) {
            end(call, Outcome.failed(Outcome.Kind.CANCELLED, call.mayHaveRun() || call.isOut(), "cancelled"));
        }
        return done();
    }

    /** What is due by now. */
    public List<Action> wake(long now) {
        at(now);
        while (!timers.isEmpty() && timers.peek().atMs() <= nowMs) {
            Timer timer = timers.poll();
            if (!timer.call().over && timer.call().wakeMs == timer.atMs()) {
                timer.call().wakeMs = NEVER;
                tick(timer.call());
            }
        }
        return done();
    }

    /** When {@link #wake} is due, or {@link #NEVER}. */
    public long nextWakeMs() {
        while (!timers.isEmpty()
                && (timers.peek().call().over
                        || timers.peek().call().wakeMs != timers.peek().atMs())) {
            timers.poll();
        }
        long next = timers.isEmpty() ? NEVER : timers.peek().atMs();
        long trial = line.isEmpty() ? -1 : nodes.nextTrialMs(nowMs);
        return trial < 0 ? next : Math.min(next, trial);
    }

    /** Calls that are not over. */
    public int open() {
        return calls.size();
    }

    private void at(long now) {
        nowMs = Math.max(nowMs, now);
    }

    private List<Action> done() {
        nodes.sweep();
        // Those in line first see whether there is room, or, once, that there is no more hope of it.
        boolean hope = nodes.anyHopeful(nowMs);
        boolean lost = hadHope && !hope;
        hadHope = hope;
        if (!line.isEmpty() && (lost || nodes.anyFree(nowMs))) {
            for (Call call : List.copyOf(line)) {
                place(call);
                if (!lost && !nodes.anyFree(nowMs)) {
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
        if (atMs != call.wakeMs) {
            call.wakeMs = atMs;
            timers.add(new Timer(atMs, timersMade++, call));
        }
    }

    /** Sends it if a node has room; else it waits, or ends at once where waiting has no sense. */
    private void place(Call call) {
        if (call.sendings() > 0 && !budget.has()) {
            conclude(call);
            return;
        }
        long sendByMs = sendByMs(call);
        if (line.contains(call) && nowMs >= sendByMs) {
            conclude(call);
            return;
        }
        Node node = nodes.choose(nowMs, n -> call.notBeforeMs(n) <= nowMs, call::hasTried);
        if (node != null) {
            line.remove(call);
            send(call, node);
            return;
        }
        long earliest = nodes.earliestMs(nowMs, call::notBeforeMs);
        if (earliest >= call.untilMs() || !line.contains(call) && line.size() >= settings.waiting()) {
            conclude(call);
            return;
        }
        line.add(call);
        wakeAt(call, earliest > nowMs ? Math.min(earliest, sendByMs) : sendByMs);
    }

    /** Until when sending it has sense: later than that half of all answers would come too late. Calls that
     * stand in line until their last moment would take the room of those that can still be served. */
    private long sendByMs(Call call) {
        long usual = latencies.quantile(USUAL_PER_MILLE);
        return usual < 0 ? call.untilMs() : call.untilMs() - usual;
    }

    private void send(Call call, Node node) {
        if (call.sendings() > 0) {
            budget.take();
        }
        node.sent();
        Call.Attempt attempt = call.sent(node, nowMs);
        actions.add(new Action.Send(call.id, attempt.number, node.name, call.untilMs() - nowMs, attempt.number > 0));
        if (call.repeat == Repeat.SAFE && attempt.number == 0 && settings.secondCopyPerMille() > 0) {
            long usual = latencies.quantile(settings.secondCopyPerMille());
            call.secondMs = usual < 0 ? -1 : nowMs + usual;
        }
        watch(call);
    }

    /** Wakes a call that is out when the first of its times comes. */
    private void watch(Call call) {
        long next = call.untilMs();
        if (call.secondMs >= 0) {
            next = Math.min(next, call.secondMs);
        }
        if (isTimed(call)) {
            for (Call.Attempt attempt : call.out()) {
                next = Math.min(next, attempt.sentMs + settings.perAttemptMs());
            }
        }
        wakeAt(call, next);
    }

    private boolean isTimed(Call call) {
        return settings.perAttemptMs() > 0 && call.repeat != Repeat.UNSAFE;
    }

    private void tick(Call call) {
        if (nowMs >= call.deadlineMs) {
            late(call);
            return;
        }
        boolean closed = nowMs >= call.untilMs();
        boolean waited = !call.isOut();
        for (Call.Attempt attempt : call.out()) {
            if (closed || isTimed(call) && nowMs >= attempt.sentMs + settings.perAttemptMs()) {
                actions.add(new Action.Abandon(call.id, attempt.number));
                silence(attempt);
                call.ended(attempt, Ending.silent(Ending.Kind.MAY_HAVE_RUN, "no answer in its time"), nowMs);
            }
        }
        if (!call.isOut()) {
            if (closed) {
                conclude(call);
            } else if (waited) {
                place(call);
            } else {
                again(call);
            }
            return;
        }
        if (call.secondMs >= 0 && nowMs >= call.secondMs) {
            call.secondMs = -1;
            secondCopy(call);
        }
        watch(call);
    }

    private void secondCopy(Call call) {
        if (call.sendings() >= settings.attempts() || !budget.has()) {
            return;
        }
        Predicate<Node> other = n -> !call.hasTried(n) && call.notBeforeMs(n) <= nowMs;
        Node node = nodes.choose(nowMs, other, n -> false);
        if (node != null) {
            send(call, node);
        }
    }

    /** After an attempt that was not served: whether, and when, it goes out again. */
    private void again(Call call) {
        if (call.isOut()) {
            watch(call);
            return;
        }
        call.secondMs = -1;
        if (call.sendings() >= settings.attempts() || !call.mayRepeat() || !budget.has()) {
            conclude(call);
            return;
        }
        long backoffUntilMs = nowMs + waitMs(call);
        long earliest = Math.max(backoffUntilMs, nodes.earliestMs(nowMs, call::notBeforeMs));
        if (earliest >= call.untilMs()) {
            conclude(call);
        } else if (backoffUntilMs > nowMs) {
            wakeAt(call, backoffUntilMs);
        } else {
            place(call);
        }
    }

    /** Full jitter (Brooker, "Exponential Backoff And Jitter", 2015); none where nothing was reached and
     * another node can be asked. */
    private long waitMs(Call call) {
        if (call.last.kind() == Ending.Kind.NEVER_RAN && nodes.hasFree(nowMs, n -> !call.hasTried(n))) {
            return 0;
        }
        long most = settings.backoffMs();
        for (int i = 1; i < call.sendings() && most < settings.backoffMostMs(); i++) {
            most *= 2;
        }
        return (long) (draws.getAsDouble() * Math.min(most, settings.backoffMostMs()));
    }

    private void late(Call call) {
        boolean ran = call.mayHaveRun() || call.isOut();
        for (Call.Attempt attempt : call.out()) {
            actions.add(new Action.Abandon(call.id, attempt.number));
            silence(attempt);
            call.over(attempt);
        }
        end(call, Outcome.failed(Outcome.Kind.LATE, ran, "its deadline has passed"));
    }

    /** A node that lets an attempt's time pass has failed, unless that was too short for nearly all. */
    private void silence(Call.Attempt attempt) {
        if (nowMs - attempt.sentMs >= latencies.quantile(NEARLY_ALL_PER_MILLE)) {
            attempt.node.failed(attempt.sentMs, nowMs);
        } else {
            attempt.node.abandoned(attempt.sentMs);
        }
    }

    /** Nothing more is tried: what is known of it. */
    private void conclude(Call call) {
        Ending last = call.last;
        long comeBack = call.comeBackMs() == NEVER ? -1 : Math.max(0, call.comeBackMs() - nowMs);
        if (call.mayHaveRun() && (call.repeat != Repeat.SAFE || last.kind() != Ending.Kind.REFUSED)) {
            end(call, new Outcome(Outcome.Kind.MAY_HAVE_RUN, true, comeBack, -1, last.cause()));
        } else if (last != null && last.kind() == Ending.Kind.REFUSED) {
            end(call, new Outcome(Outcome.Kind.REFUSED, call.mayHaveRun(), comeBack, -1, last.cause()));
        } else if (last != null) {
            end(call, Outcome.failed(Outcome.Kind.NEVER_RAN, false, last.cause()));
        } else if (nodes.anyHopeful(nowMs)) {
            end(call, Outcome.failed(Outcome.Kind.REFUSED, false, "no node has room for it in its time"));
        } else {
            end(call, Outcome.failed(Outcome.Kind.NEVER_RAN, false, "no node to send it to"));
        }
    }

    private void end(Call call, Outcome how) {
        for (Call.Attempt attempt : call.out()) {
            actions.add(new Action.Abandon(call.id, attempt.number));
            attempt.node.abandoned(attempt.sentMs);
            call.over(attempt);
        }
        call.over = true;
        calls.remove(call.id);
        line.remove(call);
        actions.add(new Action.End(call.id, how));
    }
}
