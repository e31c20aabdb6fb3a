package vetchpost.core;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import vetchpost.decision.Balancer;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Outcome;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.ServerStatistics;

/**
 * The life of requests: it holds them and their attempts from the moment they are taken until each has its
 * one final answer and no attempt is out. It alone calls the decision module, carries out what that decides
 * over a {@link ServerTransport}, and turns what comes back into outcomes. It decides nothing, and knows
 * neither protocols nor sockets. All of it runs on one event loop.
 */
public final class Dispatcher implements Balancer.Actions {
    private static final Logger LOG = System.getLogger(Dispatcher.class.getName());

    /** The module's deadline lies so far before the client's, or this part of the time left if that is
     * less: the answer's way, timers, and a processor that is busy just after a start. */
    private static final long ANSWER_MARGIN_US = 25_000;

    private static final int ANSWER_MARGIN_PART = 8;
    private static final long PROBE_US = 250_000;
    /** A loop that is so far behind may not have read yet that a client has left: it is looked at before more
     * is done for it. A sixth of the time in which that has to be known, and rare on a loop that keeps up. */
    private static final long LOOK_FROM_US = 50_000;

    /** Names of zones that are told apart, those of the settings and others; far more than any list has. */
    private static final int MAX_ZONES = 4_096;

    private final Clock clock;
    private final EventLoopDelay stall;
    private final ServerTransport servers;
    private final Runnable listSubscription;
    private final Runnable wholeList;
    private final long doubtUs;
    private final RequestLog log = new RequestLog();
    private final Balancer balancer;
    private final Map<Long, Held> held = new HashMap<>();
    private final ServerListQueue intake = new ServerListQueue();
    private boolean takingIn;
    private final Map<String, Integer> zones = new HashMap<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private RoutePolicy routes = RoutePolicy.NONE;
    private Subset subset;
    private AdmissionControl admission;
    private AttemptObserver witness;
    private RequestRecorder recorder;
    private boolean advancing;
    private Clock.Timer turn;
    private long turnUs = Long.MAX_VALUE;
    private boolean inCall;
    private Clock.Timer wake;

    /** A call of the module that is due, and the request that it touches, if any. */
    private record Event(Held touches, Runnable call) {}

    /** A request taken, until it is answered and no attempt is out. */
    private final class Held implements AdmissionControl.Applicant {
        private final ClientRequest request;
        private final ClientReply reply;
        private final long id;
        private final RouteLimits bounds;
        private final long deadlineUs;
        private final long takenUs;
        private final long arrivedUs;
        private final List<Sent> sent = new ArrayList<>(2);
        private AdmissionControl.RequestProgress entry;
        private boolean offered;
        private Clock.Timer guard;
        private int out;
        private boolean over;
        /** The answer is on its way to the client, bit by bit. */
        private boolean streaming;
        /** An attempt has ended so that it may have run. */
        private boolean mayHaveRun;
        /** The last error that a server has answered, for clients that are passed such on. */
        private ServerResponse error;

        Held(
                ClientRequest request,
                ClientReply reply,
                RouteLimits bounds,
                long deadlineUs,
                long takenUs,
                long arrivedUs) {
            this.request = request;
            this.reply = reply;
            this.bounds = bounds;
            this.id = request.id();
            this.deadlineUs = deadlineUs;
            this.takenUs = takenUs;
            this.arrivedUs = arrivedUs;
        }

        /** Nothing is owed any more; what waits for a connection must not be sent. */
        void end() {
            if (!over && !streaming) {
                leave();
            }
            over = true;
            guard.cancel();
            for (Sent attempt : new ArrayList<>(sent)) {
                if (attempt.attempt != null && !attempt.attempt.mayHaveReachedServer()) {
                    attempt.attempt.abandon(Result.MOOT);
                }
            }
            forgetIfDone();
        }

        /** Counts it off; of an answer that is passed on bit by bit, at its end. */
        void leave() {
            bounds.release();
            if (entry != null) {
                tellDoor(entry::ended);
            }
        }

        @Override
        public void admitted() {
            offer(this);
        }

        @Override
        public void rejected(long retryAfterUs) {
            if (offered) {
                return; // By a door that has failed: the module has it now, and may have sent it.
            }
            tell(this, RequestRecorder.Completion.REFUSED, retryAfterUs);
            // A time that it may count on comes before what its route says in general.
            reply.rejected(retryAfterUs > 0 ? retryAfterUs : bounds.retryAfterUs(0));
            end();
        }

        /** To be called before an answer of the node's own. */
        void tellWhetherRun() {
            if (mayHaveRun || out > 0) {
                reply.markMayHaveRun();
            }
        }

        void forgetIfDone() {
            if (over && out == 0) {
                held.remove(id, this);
            }
        }
    }

    /** An attempt of a request. */
    private final class Sent implements ServerTransport.OutgoingRequest {
        private final Held request;
        private final int number;
        private final String serverId;
        private final long sentUs;
        private final long untilUs;
        private ServerTransport.Attempt attempt;
        private Clock.Timer timer;
        private long stallUs;
        private boolean over;
        /** When its answer began to be passed on, or 0. */
        private long begunUs;

        Sent(Held request, int number, String serverId, long sentUs, long untilUs) {
            this.request = request;
            this.number = number;
            this.serverId = serverId;
            this.sentUs = sentUs;
            this.untilUs = untilUs;
        }

        @Override
        public ClientRequest request() {
            // Sent late for want of a connection: what the loop was behind by then is not the server's.
            stallUs = Math.min(stall.currentUs(), clock.nowUs() - sentUs);
            return request.request;
        }

        @Override
        public long responseTimeoutUs() {
            return untilUs - clock.nowUs();
        }

        @Override
        public boolean onResponseStarted(ServerResponse answer) {
            if (request.over) {
                return false;
            }
            begunUs = clock.nowUs();
            // From here on it takes as long as it takes, and whoever passes it on watches that it goes on.
            timer.cancel();
            request.streaming = true;
            tell(request, RequestRecorder.Completion.SERVED, 0);
            request.end();
            request.reply.served(answer);
            enter(request, () -> balancer.onFirstByte(clock.nowUs(), request.id, number));
            return true;
        }

        @Override
        public void onEnded(Result result, ServerResponse answer) {
            over = true;
            if (log.isOn()) {
                log.write(
                        "ended",
                        RequestLog.id(request.id),
                        "attempt",
                        number,
                        serverId,
                        result,
                        "after",
                        clock.nowUs() - sentUs,
                        "us",
                        request.over ? "over" : "");
            }
            request.out--;
            request.mayHaveRun |= !result.neverRan;
            if (recorder != null) {
                recorder.attemptEnded(clock.nowUs(), request.id, number, result, clock.nowUs() - sentUs);
            }
            if (timer != null) {
                timer.cancel();
            }
            if (begunUs > 0) {
                request.leave();
            } else if (result == Result.OK && !request.over) {
                request.reply.served(answer);
                tell(request, RequestRecorder.Completion.SERVED, 0);
                request.end();
            } else if (result == Result.ERROR) {
                request.error = answer;
            }
            request.forgetIfDone();
            // How long a body takes is its length's affair and its reader's.
            long tookUs = (begunUs > 0 ? begunUs : clock.nowUs()) - sentUs;
            if (admission != null && result == Result.OK) {
                tellDoor(() -> admission.recordLatency(request.request.classIndex(), tookUs));
            }
            stallUs = Math.min(stallUs + stall.currentUs(), tookUs);
            enter(
                    request,
                    () -> balancer.onOutcome(
                            clock.nowUs(),
                            new Outcome(request.id, number, result, tookUs, request.over, null, stallUs)));
            if (witness != null) {
                witness.onAttemptEnded(serverId, result, answer, stallUs > tookUs / 2, clock.nowUs());
            }
            if (subset != null) {
                List<ServerList.Target> changes = subset.ended(serverId, result, clock.nowUs());
                if (!changes.isEmpty()) {
                    tell(new ServerListQueue.ListChunk(ListKind.CHANGES, new ServerList(0, false, changes)));
                }
            }
        }
    }

    /**
     * A node's requests, none so far.
     *
     * @param zones the names of the settings' zones, in their order
     * @param listSubscription how to ask for changes of the list
     * @param wholeList how to ask for all of it
     * @param doubtUs for how long servers stay that a doubtful list leaves out
     * @param module makes the decision module for its actions
     * @throws IllegalArgumentException if the module rejects its settings
     */
    public Dispatcher(
            Clock clock,
            EventLoopDelay stall,
            ServerTransport servers,
            List<String> zones,
            Runnable listSubscription,
            Runnable wholeList,
            long doubtUs,
            Function<Balancer.Actions, Balancer> module) {
        this.clock = clock;
        this.stall = stall;
        this.servers = servers;
        this.listSubscription = listSubscription;
        this.wholeList = wholeList;
        this.doubtUs = doubtUs;
        zones.forEach(z -> this.zones.put(z, this.zones.size()));
        balancer = module.apply(this);
    }

    /** Gives up its timers; what is held stays unanswered. For the end of a rehearsal. */
    public void close() {
        if (wake != null) {
            wake.cancel();
        }
        if (turn != null) {
            turn.cancel();
        }
        held.values().forEach(h -> h.guard.cancel());
    }

    /** Has these routes hold for requests from now on; those in hand keep theirs. */
    public void setRoutes(RoutePolicy policy) {
        routes = policy;
    }

    /** Has this node keep to a part of the fleet; before the first list. */
    public void setSubset(Subset part) {
        subset = part;
    }

    /** Has this see how attempts end, besides the module; null for nobody. */
    public void setAttemptObserver(AttemptObserver other) {
        witness = other;
    }

    /** Has this see what becomes of requests from now on; null for nobody. */
    public void setRecorder(RequestRecorder other) {
        recorder = other;
    }

    /** Has requests from now on stand before this door, or before none if it is null. */
    public void admission(AdmissionControl door) {
        AdmissionControl before = admission;
        admission = door;
        if (before != null) {
            before.admitAll();
        }
        if (turn != null) {
            turn.cancel();
            turnUs = Long.MAX_VALUE;
        }
    }

    /** The door that requests stand before, or null. */
    public AdmissionControl admission() {
        return admission;
    }

    /** How many requests are held: unanswered, or with an attempt out. */
    public int pendingRequests() {
        return held.size();
    }

    /**
     * Calls the module, or queues the call while one is running: the module is not re-entrant, and what
     * its own actions bring about at once (a connection refused, a send that is moot) comes back to it
     * only after the call that caused it.
     */
    private void enter(Held touches, Runnable call) {
        events.add(new Event(touches, call));
        if (inCall) {
            return;
        }
        inCall = true;
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                call(event);
            }
        } finally {
            inCall = false;
        }
        if (admission != null) {
            advance();
        }
    }

    /** Lets the door do what is due; what that brings about comes back to it in the same turn. */
    private void advance() {
        if (advancing || inCall) {
            return;
        }
        advancing = true;
        try {
            admission.advance(clock.nowUs());
        } catch (RuntimeException | Error e) {
            doorFailed(e);
        } finally {
            advancing = false;
        }
        long at = admission == null ? Long.MAX_VALUE : admission.nextWakeUpUs();
        if (at != turnUs) {
            if (turn != null) {
                turn.cancel();
            }
            turnUs = at;
            turn = at == Long.MAX_VALUE
                    ? null
                    : clock.schedule(at, () -> {
                        turnUs = Long.MAX_VALUE;
                        if (admission != null) {
                            advance();
                        }
                    });
        }
    }

    /** A fault in what the door makes of it is the door's alone. */
    private void tellDoor(Runnable what) {
        if (admission == null) {
            return;
        }
        try {
            what.run();
        } catch (RuntimeException | Error e) {
            doorFailed(e);
        }
    }

    /** The node goes on without a door rather than behind a broken one, and what stood there goes in. */
    private void doorFailed(Throwable why) {
        LOG.log(Level.ERROR, "the door has failed and is taken out", why);
        admission = null;
        for (Held waiting : List.copyOf(held.values())) {
            if (!waiting.over && !waiting.offered) {
                offer(waiting);
            }
        }
    }

    /** A fault of one call must not take the node with it; its request still gets the answer it is owed. */
    private void call(Event event) {
        try {
            event.call.run();
        } catch (RuntimeException | Error e) {
            // Errors too: out of memory for one request, the next may be small.
            LOG.log(Level.ERROR, "a call of the module failed", e);
            if (event.touches != null) {
                fail(event.touches, Failure.INTERNAL_ERROR);
            }
        }
    }

    // ---------------------------------------------------------------- clients

    /**
     * Takes a request; its reply is owed from here on.
     *
     * @param waitedUs how long ago its last byte was read
     */
    public void accept(ClientRequest request, ClientReply reply, long waitedUs) {
        if (held.containsKey(request.id())) {
            turnedAway(request, RequestRecorder.RejectionReason.DUPLICATE_ID);
            reply.failed(Failure.DUPLICATE_ID);
            return;
        }
        RouteLimits bounds = routes.limitsOf(request);
        if (bounds == null) {
            turnedAway(request, RequestRecorder.RejectionReason.AMBIGUOUS_PATH);
            reply.failed(Failure.AMBIGUOUS_PATH);
            return;
        }
        if (request.bodyLength() > bounds.maxBodyBytes()) {
            turnedAway(request, RequestRecorder.RejectionReason.BODY_TOO_LARGE);
            reply.failed(Failure.BODY_TOO_LARGE);
            return;
        }
        if (!bounds.tryAcquire()) {
            turnedAway(request, RequestRecorder.RejectionReason.ROUTE_LIMIT);
            reply.rejected(bounds.retryAfterUs(0));
            return;
        }
        // The client's time has been running while a loop that was behind left the request unread.
        long takenUs = clock.nowUs();
        long arrivedUs = takenUs - Math.max(waitedUs, stall.currentUs());
        long leftUs = Math.min(request.remainingUs(), bounds.requestTimeoutUs());
        Held taken = new Held(
                request,
                reply,
                request.bodyRemainder() == null ? bounds : new SingleAttemptLimits(bounds),
                arrivedUs + leftUs - Math.min(ANSWER_MARGIN_US, leftUs / ANSWER_MARGIN_PART),
                takenUs,
                arrivedUs);
        held.put(request.id(), taken);
        if (log.isOn()) {
            log.write(
                    "taken",
                    RequestLog.id(taken.id),
                    "class",
                    request.classIndex(),
                    "left",
                    taken.deadlineUs - takenUs,
                    "us, lay",
                    takenUs - arrivedUs,
                    "us");
        }
        if (recorder != null) {
            recorder.accepted(takenUs, request, arrivedUs + leftUs - takenUs, takenUs - arrivedUs);
        }
        taken.guard = clock.schedule(arrivedUs + leftUs, () -> expire(taken));
        reply.onDisconnect(() -> leave(taken));
        if (admission == null) {
            offer(taken);
            return;
        }
        try {
            taken.entry = admission.arrive(
                    taken.takenUs, request, reply.connectionId(), taken.takenUs - arrivedUs, taken.deadlineUs, taken);
        } catch (RuntimeException | Error e) {
            doorFailed(e);
            return;
        }
        advance();
    }

    private void turnedAway(ClientRequest request, RequestRecorder.RejectionReason why) {
        if (recorder != null) {
            recorder.rejected(clock.nowUs(), request, why);
        }
    }

    /** Its client hears this now. */
    private void tell(Held request, RequestRecorder.Completion what, long retryAfterUs) {
        if (recorder != null) {
            recorder.completed(clock.nowUs(), request.id, what, retryAfterUs);
        }
    }

    /** Has the module decide on it. */
    private void offer(Held taken) {
        if (taken.offered) {
            return;
        }
        taken.offered = true;
        if (recorder != null) {
            recorder.admitted(clock.nowUs(), taken.id);
        }
        enter(taken, () -> {
            ClientRequest request = taken.request;
            long now = clock.nowUs();
            long queuedUs = taken.entry == null ? 0 : now - taken.takenUs;
            balancer.onRequest(
                    now,
                    new Request(
                            request.id(),
                            request.classIndex(),
                            request.tenant(),
                            Math.max(0, taken.deadlineUs - now),
                            request.workUs(),
                            request.retry(),
                            now - taken.arrivedUs - queuedUs,
                            queuedUs,
                            taken.bounds));
        });
    }

    private void leave(Held left) {
        if (log.isOn()) {
            log.write("left by its client", RequestLog.id(left.id), left.out, "out");
        }
        if (!left.over) {
            tell(left, RequestRecorder.Completion.LEFT, 0);
        }
        left.end();
        enter(left, () -> balancer.onClientDisconnected(clock.nowUs(), left.id));
    }

    /** The client's time is up and the module has said nothing: no request may stay without an answer. */
    private void expire(Held late) {
        if (!late.over) {
            LOG.log(Level.WARNING, "a request ran out of time unanswered");
            if (log.isOn()) {
                log.write("ran out of time", RequestLog.id(late.id));
            }
            fail(late, Failure.DEADLINE_EXCEEDED);
            enter(late, () -> balancer.onClientDisconnected(clock.nowUs(), late.id));
        }
    }

    private void fail(Held request, Failure why) {
        if (!request.over) {
            if (why != Failure.UNSERVED || !saysError(request)) {
                request.tellWhetherRun();
                request.reply.failed(why);
            }
            tell(request, RequestRecorder.Completion.FAILED, 0);
            request.end();
        }
    }

    /** Whether a server's own error was passed on for what the module has given up. */
    private static boolean saysError(Held request) {
        return request.error != null && request.reply.passOnError(request.error);
    }

    // ---------------------------------------------------------------- the module's actions

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        Held request = held.get(requestId);
        if (request == null) {
            LOG.log(Level.ERROR, "the module sent a request that is not held");
            return;
        }
        long now = clock.nowUs();
        long until = untilUs <= 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs);
        until = Math.min(until - now, request.bounds.attemptTimeoutUs()) + now;
        if (request.entry != null && request.sent.isEmpty()) {
            tellDoor(request.entry::sent);
        }
        Sent sent = new Sent(request, request.sent.size(), serverId, now, until);
        request.sent.add(sent);
        request.out++;
        if (recorder != null) {
            recorder.attemptSent(now, requestId, serverId, until);
        }
        if (log.isOn()) {
            log.write("send", RequestLog.id(requestId), "attempt", sent.number, serverId, "for", until - now, "us");
        }
        if (!request.over && stall.currentUs() >= LOOK_FROM_US && request.reply.hasDisconnected()) {
            leave(request);
        }
        if (request.over || now >= until) {
            sent.onEnded(Result.MOOT, null);
            return;
        }
        sent.timer = clock.schedule(until, () -> sent.attempt.abandon(Result.TIMEOUT));
        sent.attempt = servers.send(serverId, sent);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        Held request = held.get(requestId);
        if (request != null && attempt >= 0 && attempt < request.sent.size()) {
            Sent sent = request.sent.get(attempt);
            if (!sent.over) {
                sent.attempt.abandon(Result.CANCELLED);
            }
        }
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        Held request = held.get(requestId);
        if (request != null && !request.over) {
            if (!saysError(request)) {
                request.tellWhetherRun();
                request.reply.rejected(request.bounds.retryAfterUs(retryAfterUs));
            }
            tell(request, RequestRecorder.Completion.REFUSED, retryAfterUs);
            request.end();
        }
    }

    @Override
    public void fail(long requestId) {
        Held request = held.get(requestId);
        if (request != null) {
            fail(request, Failure.UNSERVED);
        }
    }

    @Override
    public void wakeAt(long atUs) {
        // It keeps one wake-up pending at most, so a new one takes the place of the last.
        if (wake != null) {
            wake.cancel();
        }
        wake = clock.schedule(atUs, () -> enter(null, () -> balancer.onWake(clock.nowUs())));
    }

    @Override
    public void probe(String serverId) {
        long sentUs = clock.nowUs();
        ServerTransport.Attempt[] probe = new ServerTransport.Attempt[1];
        Clock.Timer timer = clock.schedule(sentUs + PROBE_US, () -> probe[0].abandon(Result.TIMEOUT));
        probe[0] = servers.probe(serverId, (result, answer) -> {
            timer.cancel();
            long tookUs = clock.nowUs() - sentUs;
            enter(null, () -> balancer.onProbe(clock.nowUs(), serverId, result, tookUs, null));
        });
    }

    @Override
    public void subscribe() {
        listSubscription.run();
    }

    @Override
    public void log(String line) {
        LOG.log(Level.INFO, line);
    }

    @Override
    public boolean wantsExplanations() {
        return recorder != null;
    }

    @Override
    public void reportCandidates(long requestId, Balancer.Candidate first, Balancer.Candidate second) {
        if (recorder != null) {
            recorder.candidatesDrawn(requestId, first, second);
        }
    }

    @Override
    public void reportReason(long requestId, Balancer.UnservedReason why) {
        if (recorder != null) {
            recorder.reasonGiven(requestId, why);
        }
    }

    // ---------------------------------------------------------------- what the module knows

    /** Why this server is sent nothing, or less than it might be. */
    public List<String> explainServer(String serverId) {
        return balancer.explainServer(clock.nowUs(), serverId);
    }

    /** What the module has learned of these servers, and of the classes. */
    public ServerStatistics statistics(List<String> serverIds) {
        return balancer.statistics(serverIds);
    }

    /** Has the module begin with this where it has learned nothing yet. */
    public void restore(ServerStatistics prior) {
        enter(null, () -> balancer.onPrior(clock.nowUs(), prior));
    }

    /** The servers as they were told last, those that drain too. */
    public List<ServerList.Target> knownServers() {
        return intake.known();
    }

    // ---------------------------------------------------------------- the list of servers

    /** Takes in a list, at once or after the call of the module that is running; a large one bit by bit. */
    public void onList(ServerList list) {
        intake.add(list);
        takeLists();
    }

    /** Takes in the list as the node last had it, which may be old; at the start. */
    public void onKnownList(ServerList list) {
        takeSlice(intake.known(list));
    }

    private void takeLists() {
        while (intake.hasNext() && (!takingIn || intake.isCrowded())) {
            takeSlice(intake.next());
            // What is left of a large list waits for the next turn, and lists behind it wait with it.
            takingIn |= intake.isMidList();
            if (takingIn && !intake.isCrowded()) {
                clock.schedule(clock.nowUs(), this::goOn);
                break;
            }
        }
        if (intake.hasNewDoubt()) {
            LOG.log(
                    Level.WARNING,
                    "a list leaves out {0} servers, more than it names: they stay until" + " another does so too",
                    intake.doubted());
            clock.schedule(clock.nowUs() + doubtUs, () -> {
                intake.obey();
                takeLists();
            });
            wholeList.run();
        }
    }

    private void goOn() {
        takingIn = false;
        takeLists();
    }

    /** Goes through with all that waits of lists, in this turn. */
    public void applyAllLists() {
        while (intake.hasNext()) {
            takeSlice(intake.next());
        }
    }

    /** The watch on the list has failed. */
    public void onListFailed() {
        enter(null, () -> balancer.onListFailed(clock.nowUs()));
    }

    private void takeSlice(ServerListQueue.ListChunk told) {
        tell(subset == null ? told : subset.of(told));
    }

    /** A zone that the settings don't name is one all the same: what may have run there must stay there. */
    private int zone(String name) {
        Integer known = zones.get(name);
        if (known == null) {
            known = zones.size() < MAX_ZONES ? -2 - zones.size() : -1;
            if (known != -1) {
                zones.put(name, known);
            }
        }
        return known;
    }

    private void tell(ServerListQueue.ListChunk slice) {
        ServerList list = slice.list();
        List<ServerEntry> entries = new ArrayList<>();
        for (ServerList.Target target : list.targets()) {
            entries.add(new ServerEntry(
                    target.id(),
                    zone(target.zone()),
                    target.cell(),
                    target.state(),
                    target.weight(),
                    1_000 * target.bootMs()));
        }
        enter(null, () -> {
            servers.update(list);
            balancer.onServers(clock.nowUs(), slice.kind(), entries);
        });
    }
}
