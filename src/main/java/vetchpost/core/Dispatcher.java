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
 * Accepts client requests and keeps each of them, with its attempts, until it has its one final answer and no attempt
 * is in flight. It is the only caller of the decision module (the {@link Balancer}): it carries out the module's
 * decisions over a {@link ServerTransport} and reports the results back as outcomes. It makes no decisions itself and
 * knows neither protocols nor sockets.
 *
 * <p>The protocol adapters call it with requests, and the node with server lists. All calls, timers and callbacks run
 * on the node's one event loop; nothing here is thread-safe.
 */
public final class Dispatcher implements Balancer.Actions {
    private static final Logger LOG = System.getLogger(Dispatcher.class.getName());

    /**
     * The balancer's deadline is this much earlier than the client's, or the remaining time divided by
     * {@link #RESPONSE_MARGIN_DIVISOR} if that is less. It leaves time to transmit the answer, for timers, and for a
     * processor that is busy just after a start.
     */
    private static final long MAX_RESPONSE_MARGIN_US = 25_000;

    private static final int RESPONSE_MARGIN_DIVISOR = 8;
    private static final long PROBE_TIMEOUT_US = 250_000;
    /**
     * From this event-loop delay on, a request's connection is checked for a disconnect before an attempt is sent,
     * since the loop may not have read it yet. It is a sixth of the time within which a disconnect must be noticed, and
     * rare on a loop that keeps up.
     */
    private static final long DISCONNECT_CHECK_MIN_DELAY_US = 50_000;

    /** Limit of distinct zone names, from the settings and from lists together; far more than any list has. */
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

    /** A queued call of the balancer, and the request that it concerns; null if it concerns none. */
    private record BalancerCall(PendingRequest request, Runnable call) {}

    /** An accepted request, kept until it is answered and no attempt is in flight. */
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
        /** Whether the answer is being streamed to the client. */
        private boolean isStreaming;
        /** Whether an attempt has ended that may have run on a server. */
        private boolean mayHaveRun;
        /** The last error response of a server, for protocols that pass such responses on to clients. */
        private ServerResponse lastServerError;

        PendingRequest(
                ClientRequest request,
                ClientReply reply,
                RouteLimits limits,
                long deadlineUs,
                long acceptedUs,
                long arrivedUs) {
            this.request = request;
            this.reply = reply;
            this.limits = limits;
            this.id = request.id();
            this.deadlineUs = deadlineUs;
            this.acceptedUs = acceptedUs;
            this.arrivedUs = arrivedUs;
        }

        /**
         * Ends the request once it is answered or its client has left. Attempts still waiting for a connection are
         * abandoned unsent.
         */
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

        /**
         * Releases its route's limits and notifies admission control; for a streamed answer when the stream has ended.
         */
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
                // From an admission control that has failed: the balancer has the request and may have sent it.
                return;
            }
            recordCompletion(this, RequestRecorder.Completion.REFUSED, retryAfterUs);
            // A retry time reserved by admission control takes precedence over the route's general one.
            reply.rejected(retryAfterUs > 0 ? retryAfterUs : limits.retryAfterUs(0));
            complete();
        }

        /** Marks the reply if an attempt may have run. Called before any answer that the node itself makes up. */
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

    /** One attempt of a request at one server. */
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
        /** When streaming of its answer to the client began, or 0. */
        private long streamingSinceUs;

        SentAttempt(PendingRequest pending, int number, String serverId, long sentUs, long timeoutAtUs) {
            this.pending = pending;
            this.number = number;
            this.serverId = serverId;
            this.sentUs = sentUs;
            this.timeoutAtUs = timeoutAtUs;
        }

        @Override
        public ClientRequest request() {
            // The request may have waited for a connection; the event-loop delay up to now is not the server's.
            loopDelayUs = Math.min(loopDelay.currentUs(), clock.nowUs() - sentUs);
            return pending.request;
        }

        @Override
        public long responseTimeoutUs() {
            return timeoutAtUs - clock.nowUs();
        }

        @Override
        public boolean onResponseStarted(ServerResponse response) {
            if (pending.isCompleted) {
                return false;
            }
            streamingSinceUs = clock.nowUs();
            // No timeout while streaming: whoever passes the answer on watches that it makes progress.
            timeoutTimer.cancel();
            pending.isStreaming = true;
            recordCompletion(pending, RequestRecorder.Completion.SERVED, 0);
            pending.complete();
            pending.reply.served(response);
            callBalancer(pending, () -> balancer.onFirstByte(clock.nowUs(), pending.id, number));
            return true;
        }

        @Override
        public void onEnded(Result result, ServerResponse response) {
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
                pending.reply.served(response);
                recordCompletion(pending, RequestRecorder.Completion.SERVED, 0);
                pending.complete();
            } else if (result == Result.ERROR) {
                pending.lastServerError = response;
            }
            pending.removeIfDone();
            // The time to stream a body depends on its length and its reader, not on the server's latency.
            long latencyUs = (streamingSinceUs > 0 ? streamingSinceUs : clock.nowUs()) - sentUs;
            if (admission != null && result == Result.OK) {
                notifyAdmission(() -> admission.recordLatency(pending.request.classIndex(), latencyUs));
            }
            loopDelayUs = Math.min(loopDelayUs + loopDelay.currentUs(), latencyUs);
            callBalancer(
                    pending,
                    () -> balancer.onOutcome(
                            clock.nowUs(),
                            new Outcome(
                                    pending.id, number, result, latencyUs, pending.isCompleted, null, loopDelayUs)));
            if (attemptObserver != null) {
                attemptObserver.onAttemptEnded(serverId, result, response, loopDelayUs > latencyUs / 2, clock.nowUs());
            }
            if (subset != null) {
                List<ServerList.Target> changes = subset.onAttemptEnded(serverId, result, clock.nowUs());
                if (!changes.isEmpty()) {
                    publishChunk(new ServerListQueue.ListChunk(ListKind.CHANGES, new ServerList(0, false, changes)));
                }
            }
        }
    }

    /**
     * Creates a dispatcher without requests or servers.
     *
     * @param clock the node's time and timers
     * @param loopDelay tells how far the event loop is behind
     * @param transport sends attempts and probes to servers
     * @param zones the names of the settings' zones, in their order
     * @param subscribeToList subscribes to changes of the server list
     * @param requestFullList asks discovery for the full server list
     * @param suspectRetentionUs how long servers are kept that a suspect list leaves out, in microseconds
     * @param balancerFactory creates the decision module, given the actions that it may take
     * @throws IllegalArgumentException if the decision module rejects its settings
     */
    public Dispatcher(
            Clock clock,
            EventLoopDelay loopDelay,
            ServerTransport transport,
            List<String> zones,
            Runnable subscribeToList,
            Runnable requestFullList,
            long suspectRetentionUs,
            Function<Balancer.Actions, Balancer> balancerFactory) {
        this.clock = clock;
        this.loopDelay = loopDelay;
        this.transport = transport;
        this.subscribeToList = subscribeToList;
        this.requestFullList = requestFullList;
        this.suspectRetentionUs = suspectRetentionUs;
        zones.forEach(zone -> zoneIndices.put(zone, zoneIndices.size()));
        balancer = balancerFactory.apply(this);
    }

    /** Cancels all timers; pending requests stay unanswered. Used at the end of a rehearsal. */
    public void close() {
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        if (admissionTimer != null) {
            admissionTimer.cancel();
        }
        pendingById.values().forEach(request -> request.deadlineTimer.cancel());
    }

    /** Applies this policy to requests that arrive from now on; pending requests keep theirs. */
    public void setRoutes(RoutePolicy policy) {
        routes = policy;
    }

    /** Restricts this node to a subset of the fleet; to be called before the first list. */
    public void setSubset(Subset newSubset) {
        subset = newSubset;
    }

    /** Sets the observer of ended attempts, beside the balancer; null for none. */
    public void setAttemptObserver(AttemptObserver observer) {
        attemptObserver = observer;
    }

    /** Sets the recorder of requests from now on; null for none. */
    public void setRecorder(RequestRecorder newRecorder) {
        recorder = newRecorder;
    }

    /**
     * Puts admission control before the balancer for requests from now on; null for none. The previous one admits all
     * requests that wait in it.
     */
    public void admission(AdmissionControl newAdmission) {
        AdmissionControl previous = admission;
        admission = newAdmission;
        if (previous != null) {
            previous.admitAll();
        }
        if (admissionTimer != null) {
            admissionTimer.cancel();
            admissionWakeUpUs = Long.MAX_VALUE;
        }
    }

    /** The admission control in use, or null. */
    public AdmissionControl admission() {
        return admission;
    }

    /** Number of requests that are unanswered or have an attempt in flight. */
    public int pendingRequests() {
        return pendingById.size();
    }

    /**
     * Calls the balancer, or queues the call while another is running. The balancer is not re-entrant: what its own
     * actions cause at once (a refused connection, a cancelled send) is reported only after the call that caused it.
     *
     * @param request the request that the call concerns, or null
     */
    private void callBalancer(PendingRequest request, Runnable call) {
        queuedCalls.add(new BalancerCall(request, call));
        if (isCallingBalancer) {
            return;
        }
        isCallingBalancer = true;
        try {
            for (BalancerCall next = queuedCalls.poll(); next != null; next = queuedCalls.poll()) {
                runCall(next);
            }
        } finally {
            isCallingBalancer = false;
        }
        if (admission != null) {
            advanceAdmission();
        }
    }

    /** Lets admission control do what is due and schedules its next wake-up. Nested calls do nothing. */
    private void advanceAdmission() {
        if (isAdvancingAdmission || isCallingBalancer) {
            return;
        }
        isAdvancingAdmission = true;
        try {
            admission.advance(clock.nowUs());
        } catch (RuntimeException | Error failure) {
            removeFailedAdmission(failure);
        } finally {
            isAdvancingAdmission = false;
        }
        long wakeUpUs = admission == null ? Long.MAX_VALUE : admission.nextWakeUpUs();
        if (wakeUpUs != admissionWakeUpUs) {
            if (admissionTimer != null) {
                admissionTimer.cancel();
            }
            admissionWakeUpUs = wakeUpUs;
            admissionTimer = wakeUpUs == Long.MAX_VALUE
                    ? null
                    : clock.schedule(wakeUpUs, () -> {
                        admissionWakeUpUs = Long.MAX_VALUE;
                        if (admission != null) {
                            advanceAdmission();
                        }
                    });
        }
    }

    /** Notifies admission control; if that throws, admission control is removed and the request goes on without it. */
    private void notifyAdmission(Runnable notification) {
        if (admission == null) {
            return;
        }
        try {
            notification.run();
        } catch (RuntimeException | Error failure) {
            removeFailedAdmission(failure);
        }
    }

    /**
     * Removes a failed admission control, so that the node keeps serving, and offers to the balancer what waited there.
     */
    private void removeFailedAdmission(Throwable cause) {
        LOG.log(
                Level.ERROR,
                "admission control has failed and is switched off; waiting requests are admitted; report this error",
                cause);
        admission = null;
        for (PendingRequest waiting : List.copyOf(pendingById.values())) {
            if (!waiting.isCompleted && !waiting.isOffered) {
                offerToBalancer(waiting);
            }
        }
    }

    /** Runs a queued call. If it throws, only its request fails; the node goes on. */
    private void runCall(BalancerCall queued) {
        try {
            queued.call.run();
        } catch (RuntimeException | Error failure) {
            // Errors are caught too: out of memory for one request, but the next one may be small.
            LOG.log(
                    Level.ERROR,
                    "a call of the decision module failed; its request is answered with an internal error",
                    failure);
            if (queued.request != null) {
                fail(queued.request, Failure.INTERNAL_ERROR);
            }
        }
    }

    // ---------------------------------------------------------------- clients

    /**
     * Accepts a request. From here on it gets exactly one answer, which may come before this returns.
     *
     * @param request the request; rejected at once if its id is in use, its path is ambiguous, its body too large or
     *     its route's limit reached
     * @param reply where its answer goes
     * @param waitedUs how long ago its last byte was read, in microseconds
     */
    public void accept(ClientRequest request, ClientReply reply, long waitedUs) {
        if (pendingById.containsKey(request.id())) {
            recordRejection(request, RequestRecorder.RejectionReason.DUPLICATE_ID);
            reply.failed(Failure.DUPLICATE_ID);
            return;
        }
        RouteLimits limits = routes.limitsOf(request);
        if (limits == null) {
            recordRejection(request, RequestRecorder.RejectionReason.AMBIGUOUS_PATH);
            reply.failed(Failure.AMBIGUOUS_PATH);
            return;
        }
        if (request.bodyLength() > limits.maxBodyBytes()) {
            recordRejection(request, RequestRecorder.RejectionReason.BODY_TOO_LARGE);
            reply.failed(Failure.BODY_TOO_LARGE);
            return;
        }
        if (!limits.tryAcquire()) {
            recordRejection(request, RequestRecorder.RejectionReason.ROUTE_LIMIT);
            reply.rejected(limits.retryAfterUs(0));
            return;
        }
        // The client's time also ran while a delayed event loop left the request unread.
        long acceptedUs = clock.nowUs();
        long arrivedUs = acceptedUs - Math.max(waitedUs, loopDelay.currentUs());
        long remainingUs = Math.min(request.remainingUs(), limits.requestTimeoutUs());
        PendingRequest pending = new PendingRequest(
                request,
                reply,
                request.bodyRemainder() == null ? limits : new SingleAttemptLimits(limits),
                arrivedUs + remainingUs - Math.min(MAX_RESPONSE_MARGIN_US, remainingUs / RESPONSE_MARGIN_DIVISOR),
                acceptedUs,
                arrivedUs);
        pendingById.put(request.id(), pending);
        if (log.isEnabled()) {
            log.write(
                    "taken",
                    RequestLog.id(pending.id),
                    "class",
                    request.classIndex(),
                    "left",
                    pending.deadlineUs - acceptedUs,
                    "us, lay",
                    acceptedUs - arrivedUs,
                    "us");
        }
        if (recorder != null) {
            recorder.accepted(acceptedUs, request, arrivedUs + remainingUs - acceptedUs, acceptedUs - arrivedUs);
        }
        pending.deadlineTimer = clock.schedule(arrivedUs + remainingUs, () -> expire(pending));
        reply.onDisconnect(() -> onClientDisconnected(pending));
        if (admission == null) {
            offerToBalancer(pending);
            return;
        }
        try {
            pending.admissionProgress = admission.arrive(
                    pending.acceptedUs,
                    request,
                    reply.connectionId(),
                    pending.acceptedUs - arrivedUs,
                    pending.deadlineUs,
                    pending);
        } catch (RuntimeException | Error failure) {
            removeFailedAdmission(failure);
            return;
        }
        advanceAdmission();
    }

    private void recordRejection(ClientRequest request, RequestRecorder.RejectionReason reason) {
        if (recorder != null) {
            recorder.rejected(clock.nowUs(), request, reason);
        }
    }

    /** Tells the recorder that the request's client now has this answer, or has left. */
    private void recordCompletion(PendingRequest request, RequestRecorder.Completion completion, long retryAfterUs) {
        if (recorder != null) {
            recorder.completed(clock.nowUs(), request.id, completion, retryAfterUs);
        }
    }

    /** Hands the request to the balancer, once. */
    private void offerToBalancer(PendingRequest pending) {
        if (pending.isOffered) {
            return;
        }
        pending.isOffered = true;
        if (recorder != null) {
            recorder.admitted(clock.nowUs(), pending.id);
        }
        callBalancer(pending, () -> {
            ClientRequest request = pending.request;
            long nowUs = clock.nowUs();
            long queuedUs = pending.admissionProgress == null ? 0 : nowUs - pending.acceptedUs;
            balancer.onRequest(
                    nowUs,
                    new Request(
                            request.id(),
                            request.classIndex(),
                            request.tenant(),
                            Math.max(0, pending.deadlineUs - nowUs),
                            request.workUs(),
                            request.retry(),
                            nowUs - pending.arrivedUs - queuedUs,
                            queuedUs,
                            pending.limits));
        });
    }

    private void onClientDisconnected(PendingRequest request) {
        if (log.isEnabled()) {
            log.write("left by its client", RequestLog.id(request.id), request.attemptsInFlight, "out");
        }
        if (!request.isCompleted) {
            recordCompletion(request, RequestRecorder.Completion.LEFT, 0);
        }
        request.complete();
        callBalancer(request, () -> balancer.onClientDisconnected(clock.nowUs(), request.id));
    }

    /** Fails a request whose client's time is up and that the balancer has not ended. */
    private void expire(PendingRequest request) {
        if (!request.isCompleted) {
            LOG.log(Level.WARNING, "a request reached its client's deadline without an answer and is failed");
            if (log.isEnabled()) {
                log.write("ran out of time", RequestLog.id(request.id));
            }
            fail(request, Failure.DEADLINE_EXCEEDED);
            callBalancer(request, () -> balancer.onClientDisconnected(clock.nowUs(), request.id));
        }
    }

    private void fail(PendingRequest request, Failure reason) {
        if (!request.isCompleted) {
            if (reason != Failure.UNSERVED || !passOnServerError(request)) {
                request.markReplyIfMayHaveRun();
                request.reply.failed(reason);
            }
            recordCompletion(request, RequestRecorder.Completion.FAILED, 0);
            request.complete();
        }
    }

    /** Passes on the last error response of a server, if any. Returns whether the protocol did so. */
    private static boolean passOnServerError(PendingRequest request) {
        return request.lastServerError != null && request.reply.passOnError(request.lastServerError);
    }

    // ---------------------------------------------------------------- actions of the balancer

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        PendingRequest request = pendingById.get(requestId);
        if (request == null) {
            LOG.log(Level.ERROR, "the decision module sent an attempt of an unknown request; the attempt is ignored");
            return;
        }
        long nowUs = clock.nowUs();
        long timeoutAtUs = untilUs <= 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs);
        timeoutAtUs = Math.min(timeoutAtUs - nowUs, request.limits.attemptTimeoutUs()) + nowUs;
        if (request.admissionProgress != null && request.attempts.isEmpty()) {
            notifyAdmission(request.admissionProgress::onFirstAttemptSent);
        }
        SentAttempt attempt = new SentAttempt(request, request.attempts.size(), serverId, nowUs, timeoutAtUs);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        if (recorder != null) {
            recorder.attemptSent(nowUs, requestId, serverId, timeoutAtUs);
        }
        if (log.isEnabled()) {
            log.write(
                    "send",
                    RequestLog.id(requestId),
                    "attempt",
                    attempt.number,
                    serverId,
                    "for",
                    timeoutAtUs - nowUs,
                    "us");
        }
        if (!request.isCompleted
                && loopDelay.currentUs() >= DISCONNECT_CHECK_MIN_DELAY_US
                && request.reply.hasDisconnected()) {
            onClientDisconnected(request);
        }
        if (request.isCompleted || nowUs >= timeoutAtUs) {
            attempt.onEnded(Result.MOOT, null);
            return;
        }
        attempt.timeoutTimer = clock.schedule(timeoutAtUs, () -> attempt.transportAttempt.abandon(Result.TIMEOUT));
        attempt.transportAttempt = transport.send(serverId, attempt);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        PendingRequest request = pendingById.get(requestId);
        if (request != null && attempt >= 0 && attempt < request.attempts.size()) {
            SentAttempt sentAttempt = request.attempts.get(attempt);
            if (!sentAttempt.isEnded) {
                sentAttempt.transportAttempt.abandon(Result.CANCELLED);
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
            recordCompletion(request, RequestRecorder.Completion.REFUSED, retryAfterUs);
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
        // At most one wake-up is pending, so a new one replaces the previous one.
        if (wakeTimer != null) {
            wakeTimer.cancel();
        }
        wakeTimer = clock.schedule(atUs, () -> callBalancer(null, () -> balancer.onWake(clock.nowUs())));
    }

    @Override
    public void probe(String serverId) {
        long sentUs = clock.nowUs();
        ServerTransport.Attempt[] probe = new ServerTransport.Attempt[1];
        Clock.Timer timeoutTimer = clock.schedule(sentUs + PROBE_TIMEOUT_US, () -> probe[0].abandon(Result.TIMEOUT));
        probe[0] = transport.probe(serverId, (result, response) -> {
            timeoutTimer.cancel();
            long latencyUs = clock.nowUs() - sentUs;
            callBalancer(null, () -> balancer.onProbe(clock.nowUs(), serverId, result, latencyUs, null));
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
    public void reportReason(long requestId, Balancer.UnservedReason reason) {
        if (recorder != null) {
            recorder.reasonGiven(requestId, reason);
        }
    }

    // ---------------------------------------------------------------- state of the balancer

    /** Explains, a line each, why this server is sent nothing or less than it might be. */
    public List<String> explainServer(String serverId) {
        return balancer.explainServer(clock.nowUs(), serverId);
    }

    /** What the balancer has learned of these servers and of the request classes. */
    public ServerStatistics statistics(List<String> serverIds) {
        return balancer.statistics(serverIds);
    }

    /** Restores earlier statistics for whatever the balancer has learned nothing about yet. */
    public void restore(ServerStatistics prior) {
        callBalancer(null, () -> balancer.onPrior(clock.nowUs(), prior));
    }

    /** The servers of the last list, draining ones included. */
    public List<ServerList.Target> knownServers() {
        return listQueue.knownServers();
    }

    // ---------------------------------------------------------------- the list of servers

    /** Applies a server list, at once or after the running call of the balancer; a large one in chunks. */
    public void onList(ServerList list) {
        listQueue.add(list);
        applyLists();
    }

    /** Applies the list that the node had before its start, which may be old. To be called at the start. */
    public void onCachedList(ServerList list) {
        applyChunk(listQueue.restoreCached(list));
    }

    private void applyLists() {
        while (listQueue.hasNext() && (!hasScheduledChunk || listQueue.isBacklogged())) {
            applyChunk(listQueue.next());
            // The rest of a large list waits for the next turn of the loop, and later lists wait behind it.
            hasScheduledChunk |= listQueue.isPartiallyApplied();
            if (hasScheduledChunk && !listQueue.isBacklogged()) {
                clock.schedule(clock.nowUs(), this::resumeLists);
                break;
            }
        }
        if (listQueue.pollNewSuspects()) {
            LOG.log(
                    Level.WARNING,
                    "a full server list leaves out {0} known servers, more than it keeps: they stay until another full"
                            + " list leaves them out too or the configured time has passed; check discovery",
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

    /** Applies all pending lists in this turn of the loop. */
    public void applyAllLists() {
        while (listQueue.hasNext()) {
            applyChunk(listQueue.next());
        }
    }

    /** To be called when the watch on the server list has failed. */
    public void onListFailed() {
        callBalancer(null, () -> balancer.onListFailed(clock.nowUs()));
    }

    private void applyChunk(ServerListQueue.ListChunk chunk) {
        publishChunk(subset == null ? chunk : subset.filter(chunk));
    }

    /**
     * The index of a zone. A zone that the settings don't name gets an index of its own (-2 and below): requests that
     * may have run in it must stay in it. Beyond {@link #MAX_ZONES} it is -1.
     */
    private int zoneIndex(String name) {
        Integer index = zoneIndices.get(name);
        if (index == null) {
            index = zoneIndices.size() < MAX_ZONES ? -2 - zoneIndices.size() : -1;
            if (index != -1) {
                zoneIndices.put(name, index);
            }
        }
        return index;
    }

    private void publishChunk(ServerListQueue.ListChunk chunk) {
        ServerList list = chunk.list();
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
            balancer.onServers(clock.nowUs(), chunk.kind(), entries);
        });
    }
}
