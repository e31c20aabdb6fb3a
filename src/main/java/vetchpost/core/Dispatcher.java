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
    private static final long MAX_RESPONSE_MARGIN_US = 25_000;

    private static final int RESPONSE_MARGIN_DIVISOR = 8;
    private static final long PROBE_TIMEOUT_US = 250_000;
    /** A loop that is so far behind may not have read yet that a client has left: it is looked at before more
     * is done for it. A sixth of the time in which that has to be known, and rare on a loop that keeps up. */
    private static final long DISCONNECT_CHECK_MIN_DELAY_US = 50_000;

    /** Names of zones that are told apart, those of the settings and others; far more than any list has. */
    private static final int MAX_ZONES = 4_096;

    private final Clock clock;
    private final EventLoopDelay loopDelay;
    private final ServerTransport transport;
    private final Runnable subscribeToList;
    private final Runnable requestFullList;
    private final long suspectRetentionUs;
    private final RequestLog log = new RequestLog();
    private final Balancer balancer;
    private final Map<Long, PendingRequest> pendingById = new HashMap<>();
    private final ServerListQueue listQueue = new ServerListQueue();
    private boolean hasScheduledChunk;
    private final Map<String, Integer> zoneIndices = new HashMap<>();
    private final Deque<BalancerCall> queuedCalls = new ArrayDeque<>();
    private RoutePolicy routes = RoutePolicy.NONE;
    private Subset subset;
    private AdmissionControl admission;
    private AttemptObserver attemptObserver;
    private RequestRecorder recorder;
    private boolean isAdvancingAdmission;
    private Clock.Timer admissionTimer;
    private long admissionWakeUpUs = Long.MAX_VALUE;
    private boolean isCallingBalancer;
    private Clock.Timer wakeTimer;

    /** A call of the module that is due, and the request that it touches, if any. */
    private record BalancerCall(PendingRequest request, Runnable call) {}

    /** A request taken, until it is answered and no attempt is out. */
    private final class PendingRequest implements AdmissionControl.Applicant {
        private final ClientRequest request;
        private final ClientReply reply;
        private final long id;
        private final RouteLimits limits;
        private final long deadlineUs;
        private final long acceptedUs;
        private final long arrivedUs;
        private final List<SentAttempt> attempts = new ArrayList<>(2);
        private AdmissionControl.RequestProgress admissionProgress;
        private boolean isOffered;
        private Clock.Timer deadlineTimer;
        private int attemptsInFlight;
        private boolean isCompleted;
        /** The answer is on its way to the client, bit by bit. */
        private boolean isStreaming;
        /** An attempt has ended so that it may have run. */
        private boolean mayHaveRun;
        /** The last error that a server has answered, for clients that are passed such on. */
        private ServerResponse lastServerError;

        PendingRequest(
                ClientRequest request,
                ClientReply reply,
                RouteLimits bounds,
                long deadlineUs,
                long takenUs,
                long arrivedUs) {
            this.request = request;
            this.reply = reply;
            this.limits = bounds;
            this.id = request.id();
            this.deadlineUs = deadlineUs;
            this.acceptedUs = takenUs;
            this.arrivedUs = arrivedUs;
        }

        /** Nothing is owed any more; what waits for a connection must not be sent. */
        void complete() {
            if (!isCompleted && !isStreaming) {
                releaseLimits();
            }
            isCompleted = true;
            deadlineTimer.cancel();
            for (SentAttempt attempt : new ArrayList<>(attempts)) {
                if (attempt.transportAttempt != null && !attempt.transportAttempt.mayHaveReachedServer()) {
                    attempt.transportAttempt.abandon(Result.MOOT);
                }
            }
            removeIfDone();
        }

        /** Counts it off; of an answer that is passed on bit by bit, at its end. */
        void releaseLimits() {
            limits.release();
            if (admissionProgress != null) {
                notifyAdmission(admissionProgress::onCompleted);
            }
        }

        @Override
        public void admitted() {
            offerToBalancer(this);
        }

        @Override
        public void rejected(long retryAfterUs) {
            if (isOffered) {
                return; // By a door that has failed: the module has it now, and may have sent it.
            }
            tell(this, RequestRecorder.Completion.REFUSED, retryAfterUs);
            // A time that it may count on comes before what its route says in general.
            reply.rejected(retryAfterUs > 0 ? retryAfterUs : limits.retryAfterUs(0));
            complete();
        }

        /** To be called before an answer of the node's own. */
        void markReplyIfMayHaveRun() {
            if (mayHaveRun || attemptsInFlight > 0) {
                reply.markMayHaveRun();
            }
        }

        void removeIfDone() {
            if (isCompleted && attemptsInFlight == 0) {
                pendingById.remove(id, this);
            }
        }
    }

    /** An attempt of a request. */
    private final class SentAttempt implements ServerTransport.OutgoingRequest {
        private final PendingRequest pending;
        private final int number;
        private final String serverId;
        private final long sentUs;
        private final long timeoutAtUs;
        private ServerTransport.Attempt transportAttempt;
        private Clock.Timer timeoutTimer;
        private long loopDelayUs;
        private boolean isEnded;
        /** When its answer began to be passed on, or 0. */
        private long streamingSinceUs;

        SentAttempt(PendingRequest request, int number, String serverId, long sentUs, long untilUs) {
            this.pending = request;
            this.number = number;
            this.serverId = serverId;
            this.sentUs = sentUs;
            this.timeoutAtUs = untilUs;
        }

        @Override
        public ClientRequest request() {
            // Sent late for want of a connection: what the loop was behind by then is not the server's.
            loopDelayUs = Math.min(loopDelay.currentUs(), clock.nowUs() - sentUs);
            return pending.request;
        }

        @Override
        public long responseTimeoutUs() {
            return timeoutAtUs - clock.nowUs();
        }

        @Override
        public boolean onResponseStarted(ServerResponse answer) {
            if (pending.isCompleted) {
                return false;
            }
            streamingSinceUs = clock.nowUs();
            // From here on it takes as long as it takes, and whoever passes it on watches that it goes on.
            timeoutTimer.cancel();
            pending.isStreaming = true;
            tell(pending, RequestRecorder.Completion.SERVED, 0);
            pending.complete();
            pending.reply.served(answer);
            callBalancer(pending, () -> balancer.onFirstByte(clock.nowUs(), pending.id, number));
            return true;
        }

        @Override
        public void onEnded(Result result, ServerResponse answer) {
            isEnded = true;
            if (log.isEnabled()) {
                log.write(
                        "ended",
                        RequestLog.id(pending.id),
                        "attempt",
                        number,
                        serverId,
                        result,
                        "after",
                        clock.nowUs() - sentUs,
                        "us",
                        pending.isCompleted ? "over" : "");
            }
            pending.attemptsInFlight--;
            pending.mayHaveRun |= !result.neverRan;
            if (recorder != null) {
                recorder.attemptEnded(clock.nowUs(), pending.id, number, result, clock.nowUs() - sentUs);
            }
            if (timeoutTimer != null) {
                timeoutTimer.cancel();
            }
            if (streamingSinceUs > 0) {
                pending.releaseLimits();
            } else if (result == Result.OK && !pending.isCompleted) {
                pending.reply.served(answer);
                tell(pending, RequestRecorder.Completion.SERVED, 0);
                pending.complete();
            } else if (result == Result.ERROR) {
                pending.lastServerError = answer;
            }
            pending.removeIfDone();
            // How long a body takes is its length's affair and its reader's.
            long tookUs = (streamingSinceUs > 0 ? streamingSinceUs : clock.nowUs()) - sentUs;
            if (admission != null && result == Result.OK) {
                notifyAdmission(() -> admission.recordLatency(pending.request.classIndex(), tookUs));
            }
            loopDelayUs = Math.min(loopDelayUs + loopDelay.currentUs(), tookUs);
            callBalancer(
                    pending,
                    () -> balancer.onOutcome(
                            clock.nowUs(),
                            new Outcome(pending.id, number, result, tookUs, pending.isCompleted, null, loopDelayUs)));
            if (attemptObserver != null) {
                attemptObserver.onAttemptEnded(serverId, result, answer, loopDelayUs > tookUs / 2, clock.nowUs());
            }
            if (subset != null) {
                List<ServerList.Target> changes = subset.onAttemptEnded(serverId, result, clock.nowUs());
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
        this.loopDelay = stall;
        this.transport = servers;
        this.subscribeToList = listSubscription;
        this.requestFullList = wholeList;
        this.suspectRetentionUs = doubtUs;
        zones.forEach(z -> this.zoneIndices.put(z, this.zoneIndices.size()));
        balancer = module.apply(this);
    }

    /** Gives up its timers; what is held stays unanswered. For the end of a rehearsal. */
    public void close() {
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        if (admissionTimer != null) {
            admissionTimer.cancel();
        }
        pendingById.values().forEach(h -> h.deadlineTimer.cancel());
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
        attemptObserver = other;
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
        if (admissionTimer != null) {
            admissionTimer.cancel();
            admissionWakeUpUs = Long.MAX_VALUE;
        }
    }

    /** The door that requests stand before, or null. */
    public AdmissionControl admission() {
        return admission;
    }

    /** How many requests are held: unanswered, or with an attempt out. */
    public int pendingRequests() {
        return pendingById.size();
    }

    /**
     * Calls the module, or queues the call while one is running: the module is not re-entrant, and what
     * its own actions bring about at once (a connection refused, a send that is moot) comes back to it
     * only after the call that caused it.
     */
    private void callBalancer(PendingRequest touches, Runnable call) {
        queuedCalls.add(new BalancerCall(touches, call));
        if (isCallingBalancer) {
            return;
        }
        isCallingBalancer = true;
        try {
            for (BalancerCall event = queuedCalls.poll(); event != null; event = queuedCalls.poll()) {
                runCall(event);
            }
        } finally {
            isCallingBalancer = false;
        }
        if (admission != null) {
            advanceAdmission();
        }
    }

    /** Lets the door do what is due; what that brings about comes back to it in the same turn. */
    private void advanceAdmission() {
        if (isAdvancingAdmission || isCallingBalancer) {
            return;
        }
        isAdvancingAdmission = true;
        try {
            admission.advance(clock.nowUs());
        } catch (RuntimeException | Error e) {
            removeFailedAdmission(e);
        } finally {
            isAdvancingAdmission = false;
        }
        long at = admission == null ? Long.MAX_VALUE : admission.nextWakeUpUs();
        if (at != admissionWakeUpUs) {
            if (admissionTimer != null) {
                admissionTimer.cancel();
            }
            admissionWakeUpUs = at;
            admissionTimer = at == Long.MAX_VALUE
                    ? null
                    : clock.schedule(at, () -> {
                        admissionWakeUpUs = Long.MAX_VALUE;
                        if (admission != null) {
                            advanceAdmission();
                        }
                    });
        }
    }

    /** A fault in what the door makes of it is the door's alone. */
    private void notifyAdmission(Runnable what) {
        if (admission == null) {
            return;
        }
        try {
            what.run();
        } catch (RuntimeException | Error e) {
            removeFailedAdmission(e);
        }
    }

    /** The node goes on without a door rather than behind a broken one, and what stood there goes in. */
    private void removeFailedAdmission(Throwable why) {
        LOG.log(Level.ERROR, "the door has failed and is taken out", why);
        admission = null;
        for (PendingRequest waiting : List.copyOf(pendingById.values())) {
            if (!waiting.isCompleted && !waiting.isOffered) {
                offerToBalancer(waiting);
            }
        }
    }

    /** A fault of one call must not take the node with it; its request still gets the answer it is owed. */
    private void runCall(BalancerCall event) {
        try {
            event.call.run();
        } catch (RuntimeException | Error e) {
            // Errors too: out of memory for one request, the next may be small.
            LOG.log(Level.ERROR, "a call of the module failed", e);
            if (event.request != null) {
                fail(event.request, Failure.INTERNAL_ERROR);
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
        if (pendingById.containsKey(request.id())) {
            recordRejection(request, RequestRecorder.RejectionReason.DUPLICATE_ID);
            reply.failed(Failure.DUPLICATE_ID);
            return;
        }
        RouteLimits bounds = routes.limitsOf(request);
        if (bounds == null) {
            recordRejection(request, RequestRecorder.RejectionReason.AMBIGUOUS_PATH);
            reply.failed(Failure.AMBIGUOUS_PATH);
            return;
        }
        if (request.bodyLength() > bounds.maxBodyBytes()) {
            recordRejection(request, RequestRecorder.RejectionReason.BODY_TOO_LARGE);
            reply.failed(Failure.BODY_TOO_LARGE);
            return;
        }
        if (!bounds.tryAcquire()) {
            recordRejection(request, RequestRecorder.RejectionReason.ROUTE_LIMIT);
            reply.rejected(bounds.retryAfterUs(0));
            return;
        }
        // The client's time has been running while a loop that was behind left the request unread.
        long takenUs = clock.nowUs();
        long arrivedUs = takenUs - Math.max(waitedUs, loopDelay.currentUs());
        long leftUs = Math.min(request.remainingUs(), bounds.requestTimeoutUs());
        PendingRequest taken = new PendingRequest(
                request,
                reply,
                request.bodyRemainder() == null ? bounds : new SingleAttemptLimits(bounds),
                arrivedUs + leftUs - Math.min(MAX_RESPONSE_MARGIN_US, leftUs / RESPONSE_MARGIN_DIVISOR),
                takenUs,
                arrivedUs);
        pendingById.put(request.id(), taken);
        if (log.isEnabled()) {
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
        taken.deadlineTimer = clock.schedule(arrivedUs + leftUs, () -> expire(taken));
        reply.onDisconnect(() -> onClientDisconnected(taken));
        if (admission == null) {
            offerToBalancer(taken);
            return;
        }
        try {
            taken.admissionProgress = admission.arrive(
                    taken.acceptedUs,
                    request,
                    reply.connectionId(),
                    taken.acceptedUs - arrivedUs,
                    taken.deadlineUs,
                    taken);
        } catch (RuntimeException | Error e) {
            removeFailedAdmission(e);
            return;
        }
        advanceAdmission();
    }

    private void recordRejection(ClientRequest request, RequestRecorder.RejectionReason why) {
        if (recorder != null) {
            recorder.rejected(clock.nowUs(), request, why);
        }
    }

    /** Its client hears this now. */
    private void tell(PendingRequest request, RequestRecorder.Completion what, long retryAfterUs) {
        if (recorder != null) {
            recorder.completed(clock.nowUs(), request.id, what, retryAfterUs);
        }
    }

    /** Has the module decide on it. */
    private void offerToBalancer(PendingRequest taken) {
        if (taken.isOffered) {
            return;
        }
        taken.isOffered = true;
        if (recorder != null) {
            recorder.admitted(clock.nowUs(), taken.id);
        }
        callBalancer(taken, () -> {
            ClientRequest request = taken.request;
            long now = clock.nowUs();
            long queuedUs = taken.admissionProgress == null ? 0 : now - taken.acceptedUs;
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
                            taken.limits));
        });
    }

    private void onClientDisconnected(PendingRequest left) {
        if (log.isEnabled()) {
            log.write("left by its client", RequestLog.id(left.id), left.attemptsInFlight, "out");
        }
        if (!left.isCompleted) {
            tell(left, RequestRecorder.Completion.LEFT, 0);
        }
        left.complete();
        callBalancer(left, () -> balancer.onClientDisconnected(clock.nowUs(), left.id));
    }

    /** The client's time is up and the module has said nothing: no request may stay without an answer. */
    private void expire(PendingRequest late) {
        if (!late.isCompleted) {
            LOG.log(Level.WARNING, "a request ran out of time unanswered");
            if (log.isEnabled()) {
                log.write("ran out of time", RequestLog.id(late.id));
            }
            fail(late, Failure.DEADLINE_EXCEEDED);
            callBalancer(late, () -> balancer.onClientDisconnected(clock.nowUs(), late.id));
        }
    }

    private void fail(PendingRequest request, Failure why) {
        if (!request.isCompleted) {
            if (why != Failure.UNSERVED || !passOnServerError(request)) {
                request.markReplyIfMayHaveRun();
                request.reply.failed(why);
            }
            tell(request, RequestRecorder.Completion.FAILED, 0);
            request.complete();
        }
    }

    /** Whether a server's own error was passed on for what the module has given up. */
    private static boolean passOnServerError(PendingRequest request) {
        return request.lastServerError != null && request.reply.passOnError(request.lastServerError);
    }

    // ---------------------------------------------------------------- the module's actions

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        PendingRequest request = pendingById.get(requestId);
        if (request == null) {
            LOG.log(Level.ERROR, "the module sent a request that is not held");
            return;
        }
        long now = clock.nowUs();
        long until = untilUs <= 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs);
        until = Math.min(until - now, request.limits.attemptTimeoutUs()) + now;
        if (request.admissionProgress != null && request.attempts.isEmpty()) {
            notifyAdmission(request.admissionProgress::onFirstAttemptSent);
        }
        SentAttempt sent = new SentAttempt(request, request.attempts.size(), serverId, now, until);
        request.attempts.add(sent);
        request.attemptsInFlight++;
        if (recorder != null) {
            recorder.attemptSent(now, requestId, serverId, until);
        }
        if (log.isEnabled()) {
            log.write("send", RequestLog.id(requestId), "attempt", sent.number, serverId, "for", until - now, "us");
        }
        if (!request.isCompleted
                && loopDelay.currentUs() >= DISCONNECT_CHECK_MIN_DELAY_US
                && request.reply.hasDisconnected()) {
            onClientDisconnected(request);
        }
        if (request.isCompleted || now >= until) {
            sent.onEnded(Result.MOOT, null);
            return;
        }
        sent.timeoutTimer = clock.schedule(until, () -> sent.transportAttempt.abandon(Result.TIMEOUT));
        sent.transportAttempt = transport.send(serverId, sent);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        PendingRequest request = pendingById.get(requestId);
        if (request != null && attempt >= 0 && attempt < request.attempts.size()) {
            SentAttempt sent = request.attempts.get(attempt);
            if (!sent.isEnded) {
                sent.transportAttempt.abandon(Result.CANCELLED);
            }
        }
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        PendingRequest request = pendingById.get(requestId);
        if (request != null && !request.isCompleted) {
            if (!passOnServerError(request)) {
                request.markReplyIfMayHaveRun();
                request.reply.rejected(request.limits.retryAfterUs(retryAfterUs));
            }
            tell(request, RequestRecorder.Completion.REFUSED, retryAfterUs);
            request.complete();
        }
    }

    @Override
    public void fail(long requestId) {
        PendingRequest request = pendingById.get(requestId);
        if (request != null) {
            fail(request, Failure.UNSERVED);
        }
    }

    @Override
    public void wakeAt(long atUs) {
        // It keeps one wake-up pending at most, so a new one takes the place of the last.
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        wakeTimer = clock.schedule(atUs, () -> callBalancer(null, () -> balancer.onWake(clock.nowUs())));
    }

    @Override
    public void probe(String serverId) {
        long sentUs = clock.nowUs();
        ServerTransport.Attempt[] probe = new ServerTransport.Attempt[1];
        Clock.Timer timer = clock.schedule(sentUs + PROBE_TIMEOUT_US, () -> probe[0].abandon(Result.TIMEOUT));
        probe[0] = transport.probe(serverId, (result, answer) -> {
            timer.cancel();
            long tookUs = clock.nowUs() - sentUs;
            callBalancer(null, () -> balancer.onProbe(clock.nowUs(), serverId, result, tookUs, null));
        });
    }

    @Override
    public void subscribe() {
        subscribeToList.run();
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
        callBalancer(null, () -> balancer.onPrior(clock.nowUs(), prior));
    }

    /** The servers as they were told last, those that drain too. */
    public List<ServerList.Target> knownServers() {
        return listQueue.known();
    }

    // ---------------------------------------------------------------- the list of servers

    /** Takes in a list, at once or after the call of the module that is running; a large one bit by bit. */
    public void onList(ServerList list) {
        listQueue.add(list);
        applyLists();
    }

    /** Takes in the list as the node last had it, which may be old; at the start. */
    public void onCachedList(ServerList list) {
        applyChunk(listQueue.known(list));
    }

    private void applyLists() {
        while (listQueue.hasNext() && (!hasScheduledChunk || listQueue.isBacklogged())) {
            applyChunk(listQueue.next());
            // What is left of a large list waits for the next turn, and lists behind it wait with it.
            hasScheduledChunk |= listQueue.isPartiallyApplied();
            if (hasScheduledChunk && !listQueue.isBacklogged()) {
                clock.schedule(clock.nowUs(), this::resumeLists);
                break;
            }
        }
        if (listQueue.pollNewSuspects()) {
            LOG.log(
                    Level.WARNING,
                    "a list leaves out {0} servers, more than it names: they stay until" + " another does so too",
                    listQueue.suspectCount());
            clock.schedule(clock.nowUs() + suspectRetentionUs, () -> {
                listQueue.removeSuspects();
                applyLists();
            });
            requestFullList.run();
        }
    }

    private void resumeLists() {
        hasScheduledChunk = false;
        applyLists();
    }

    /** Goes through with all that waits of lists, in this turn. */
    public void applyAllLists() {
        while (listQueue.hasNext()) {
            applyChunk(listQueue.next());
        }
    }

    /** The watch on the list has failed. */
    public void onListFailed() {
        callBalancer(null, () -> balancer.onListFailed(clock.nowUs()));
    }

    private void applyChunk(ServerListQueue.ListChunk told) {
        tell(subset == null ? told : subset.filter(told));
    }

    /** A zone that the settings don't name is one all the same: what may have run there must stay there. */
    private int zoneIndex(String name) {
        Integer known = zoneIndices.get(name);
        if (known == null) {
            known = zoneIndices.size() < MAX_ZONES ? -2 - zoneIndices.size() : -1;
            if (known != -1) {
                zoneIndices.put(name, known);
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
                    zoneIndex(target.zone()),
                    target.cell(),
                    target.state(),
                    target.weight(),
                    1_000 * target.bootMs()));
        }
        callBalancer(null, () -> {
            transport.update(list);
            balancer.onServers(clock.nowUs(), slice.kind(), entries);
        });
    }
}
