package vetchpost.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Decides for one proxy node which server gets each attempt of a request, what waits, and what is rejected. The node
 * calls it from one thread through {@link Balancer}, which holds all types, events and actions; it does no I/O and
 * reads no clock.
 *
 * <p>The ordinary path is ServiceQ's. A failed attempt adds one to its server's error count and a success clears it. A
 * first attempt draws two servers by weights that fall with that count and goes to the one with fewer of this node's
 * own requests in flight. A failure that may be retried goes to the next server in list order. When no server can be
 * tried, the request waits in a queue, first come first served, within the client's time. Departures from ServiceQ are
 * marked "Exception" below and explained in docs/design.md.
 */
public final class ServiceQBalancer implements Balancer {

    /** Draws that are repeated because the drawn server may not be sent to, before servers are scanned. */
    private static final int MAX_REDRAWS = 3;
    /**
     * Exponent of a server's list weight in its draw weight: a large server as busy as a small one still answers
     * sooner.
     */
    private static final double WEIGHT_EXPONENT = 1.5;
    /** Weight of a new answer in a server's relative latency and failure fraction. */
    private static final double LATENCY_GAIN = 0.3;
    /** A relative latency decays over this many times the time in which a node sends to each server once. */
    private static final double LATENCY_DECAY_ROUNDS = 12;
    /** Remaining times that differ by less than this fraction of the deadline count as equal: network delay varies. */
    private static final double COMMON_REMAINING_TOLERANCE = 0.02;
    /**
     * Fraction of a class's requests from which on a common remaining time is taken for that of first tries; in
     * overload most requests are retries.
     */
    private static final double MIN_COMMON_REMAINING_FRACTION = 0.2;
    /** A failure counts in the relative latency as an answer that took this many times the usual. */
    private static final double FAILURE_RELATIVE_LATENCY = 5;
    /**
     * Relative latencies that differ by less count as equal, so that a server is tried again once a fault has nearly
     * decayed.
     */
    private static final double MIN_LATENCY_DIFFERENCE = 0.05;
    /** Fraction of attempts answered in time below which a node throttles; plain overload stays above it. */
    private static final double MIN_ON_TIME_FRACTION = 0.3;
    /** Sends that a throttled node adds for each timely answer: enough to recover within seconds. */
    private static final double THROTTLED_SENDS_PER_TIMELY_ANSWER = 2;
    /** Sends that a throttled node adds for each first try of a request, whatever is answered. */
    private static final double THROTTLED_SENDS_PER_REQUEST = 0.03;
    /**
     * An answer within this many times its class's minimum mean latency is slow because of its work, not of overload.
     */
    private static final double MAX_UNLOADED_LATENCY_RATIO = 1.5;
    /** Weight of a new answer in the fraction answered in time. */
    private static final double ON_TIME_GAIN = 1.0 / 16;
    /** Maximum attempts that a throttled node can save up. */
    private static final double MAX_SEND_TOKENS = 3;
    /** Minimum interval between full scans of the queue: long against their cost, short against any latency target. */
    private static final long MIN_SWEEP_US = 5_000;
    /** Weight of a new value in a running mean: about the last 32 values count. */
    private static final double MEAN_GAIN = 1.0 / 32;
    /** Initial concurrency limit of a server over all nodes together: few enough for one core. */
    private static final double INITIAL_LIMIT_PER_SERVER = 4;
    /** Answers slower than this fraction of the latency target mean overload; the rest is left for variance. */
    private static final double OVERLOAD_TARGET_FRACTION = 0.35;
    /** Growth of a server's limit, over all nodes, for an answer in good time. */
    private static final double LIMIT_INCREASE = 0.15;
    /** Decrease of the limit for a slow answer: at a limit of four, one slow answer in four keeps it level. */
    private static final double LIMIT_DECREASE_FRACTION = 0.1;
    /**
     * Answers slower than this many times their class's minimum mean latency mean overload too, however far the target.
     */
    private static final double OVERLOAD_LATENCY_RATIO = 3;
    /**
     * The sum of the limits is a mean: this many times its square root may be in flight on top, since chance is no
     * overload.
     */
    private static final double BURST_ROOT_FACTOR = 2.5;
    /** Growth of the minimum mean latency with each answer, so that it follows a change of work. */
    private static final double MIN_LATENCY_GROWTH = 1.0001;
    /**
     * Exponent of the number of nodes per server in the factor that divides increases and compounds decreases of
     * limits. At 0 many nodes learn too slowly, at 0.5 they overload the servers.
     */
    private static final double LIMIT_CHANGE_NODE_EXPONENT = 0.25;
    /** Decrease of a limit for an attempt that timed out, which is worse than a slow answer. */
    private static final double LIMIT_TIMEOUT_DECREASE_FRACTION = 0.3;
    /** A queued request with fewer usual latencies left than this is late: in overload all requests wait that long. */
    private static final double MIN_REMAINING_LATENCIES = 2;
    /**
     * Bounds the remaining time that counts as late by this fraction of the latency target, so that some requests may
     * still wait while all servers are slow.
     */
    private static final double MAX_LATE_TARGET_FRACTION = 0.8;
    /** Failures among a server's last {@link #HISTORY_LENGTH} answers that eject it. */
    private static final int MIN_FAILURES_TO_EJECT = 4;

    private static final int HISTORY_LENGTH = 16;
    /** Successes in a row that restore an ejected server: one may be luck, three hardly are if most attempts fail. */
    private static final int SUCCESSFUL_TRIALS_TO_RESTORE = 3;
    /** Failures in a row of one class after which a server gets no more of that class for a while. */
    private static final int MIN_STREAK_TO_EXCLUDE_CLASS = 2;
    /** First ejection time; failed trials double it up to {@link #MAX_EJECTION_US}. */
    private static final long INITIAL_EJECTION_US = 250_000;

    private static final long MAX_EJECTION_US = 4_000_000;
    /** Own requests in flight from which on a local server is compared with those of other zones. */
    private static final int MIN_IN_FLIGHT_TO_CROSS_ZONES = 2;
    /** Minimum time between two lines in the operators' log. */
    private static final long MIN_LOG_INTERVAL_US = 1_000_000;
    /** Seconds of its share that a tenant may use at once before its requests count as over its share. */
    private static final double TENANT_BURST_S = 1;
    /** First wait before a failed list request is retried; doubled each time. */
    private static final long INITIAL_LIST_BACKOFF_US = 250_000;
    /** List weights are bounded by this above, and by its reciprocal below. */
    private static final double MAX_WEIGHT = 1e6;
    /** Maximum servers scanned at once in a large fleet where draws find none. */
    private static final int MAX_SERVERS_SCANNED = 256;

    private static final Comparator<PendingRequest> BY_PRIORITY =
            Comparator.comparingDouble(pending -> -pending.priority);
    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long sweepUs;
    private double limitIncrease;
    private double limitDecreaseFraction;
    private final Map<String, Server> byId = new HashMap<>();
    private int listCount;
    private long nextServerNumber;
    private long nextLogAt;
    /** The servers that this node selects from, and their indexes. */
    private final Fleet fleet;

    private final IndexedSet<Server> ready;
    private final IndexedSet<Server> ejected;
    /** By class: servers in use that are excluded from it, by the time at which the exclusion ends. */
    private final List<TreeSet<Server>> classExclusions = new ArrayList<>();

    private final Map<Long, PendingRequest> pendingById = new HashMap<>();
    private final ArrayList<PendingRequest> queue = new ArrayList<>();
    /** Requests that may be hedged, by the time at which the hedge is due. */
    private final PriorityQueue<PendingRequest> hedgeCandidates =
            new PriorityQueue<>(Comparator.comparingLong(pending -> pending.hedgeAt));

    private long now;
    private long pendingWakeAt = Long.MAX_VALUE;
    private final Aperture aperture;
    private final ServedRate servedRate = new ServedRate();
    private final LoadShedder loadShedder = new LoadShedder();
    private final double[] latencyUs;
    private final double[] minLatencyUs;
    private final int[] answerCounts;
    private final double[] tenantTokens;
    private final long[] tenantTokensAt;
    private final long[] commonRemainingUs;
    private final double[] commonRemainingFraction;
    private final int[] requestCounts;
    private int totalInFlight;
    private double totalLimit;
    private long lastSweepAt;
    /** When a request was last held back because servers were at their own limits. */
    private long limitedDemandAt;

    /** When a request was last held back because the node was at the total limit. */
    private long totalLimitDemandAt;

    private double onTimeFraction = 1;
    private double sendTokens;
    private double meanValue;
    private int valueCount;
    private long nextListRequestAt = Long.MAX_VALUE;
    private long listBackoffUs = INITIAL_LIST_BACKOFF_US;

    /**
     * Creates the balancer of a node that has just started, without servers or statistics.
     *
     * @param settings the node's settings
     * @param seed seed of all random choices
     * @param actions receives the decisions, on the thread that delivers the events
     * @throws IllegalArgumentException if the settings are out of range
     */
    public ServiceQBalancer(Settings settings, long seed, Actions actions) {
        settings.validate();
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        sweepUs = Math.max(MIN_SWEEP_US, 2 * settings.tickUs);
        aperture = new Aperture(this.settings.node, this.settings.nodes, INITIAL_LIMIT_PER_SERVER);
        latencyUs = new double[this.settings.classes.size()];
        minLatencyUs = new double[this.settings.classes.size()];
        answerCounts = new int[this.settings.classes.size()];
        commonRemainingUs = new long[this.settings.classes.size()];
        requestCounts = new int[this.settings.classes.size()];
        commonRemainingFraction = new double[this.settings.classes.size()];
        tenantTokens = new double[this.settings.tenants.size()];
        tenantTokensAt = new long[this.settings.tenants.size()];
        fleet = this.settings.crossZonePrice == 0 ? new Fleet() : new Fleet(this.settings.myZone);
        ready = fleet.ready;
        ejected = fleet.ejected;
        for (int classIndex = 0; classIndex < this.settings.classes.size(); classIndex++) {
            classExclusions.add(new TreeSet<>(new Server.DueTimeOrder(classIndex)));
        }
    }

    // ---------------------------------------------------------------- the server list

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        listCount++;
        for (ServerEntry entry : entries) {
            applyEntry(entry);
        }
        if (kind != ListKind.CHANGES) {
            for (Server server : List.copyOf(byId.values())) {
                if (server.lastListNumber != listCount) {
                    removeServer(server);
                }
            }
        }
        updateAperture();
        if (settings.mustRequestList) {
            if (kind == ListKind.CACHED) {
                requestList();
            } else {
                nextListRequestAt = Long.MAX_VALUE;
                listBackoffUs = INITIAL_LIST_BACKOFF_US;
            }
        }
        dispatchQueued();
        scheduleWake();
    }

    /** Applies one entry of the server list; costs almost nothing if the entry is unchanged. */
    private void applyEntry(ServerEntry entry) {
        Server server = byId.get(entry.id());
        if (entry.state() == ServerState.GONE) {
            if (server != null) {
                removeServer(server);
            }
            return;
        }
        if (server == null) {
            server = new Server(entry.id(), nextServerNumber++, 0, settings.classes.size());
            byId.put(server.id, server);
        }
        server.lastListNumber = listCount;
        double weight = entry.weight() > 0 ? Math.min(MAX_WEIGHT, Math.max(1 / MAX_WEIGHT, entry.weight())) : 1;
        boolean started = entry.startedAtUs() > server.startedAt;
        if (!started
                && server.state == entry.state()
                && server.zone == entry.zone()
                && server.cell == entry.cell()
                && server.weight == weight) {
            return;
        }
        aperture.remove(server);
        deselect(server);
        if (started) {
            // A new process: statistics of the old one say nothing about it.
            reset(server);
            Arrays.fill(server.classFailureStreaks, 0);
            Arrays.fill(server.classExcludedUntil, 0);
            server.attemptCount = 0;
            server.startedAt = entry.startedAtUs();
            // All nodes learn of a start at about the same time and must not all send at once (icd7515).
            server.coldLastSentAt = now;
            server.coldIntervalFraction = random.nextDouble();
        }
        server.state = entry.state();
        server.zone = entry.zone();
        server.cell = entry.cell();
        server.weight = weight;
        server.size = StrictMath.pow(weight, WEIGHT_EXPONENT);
        if (server.state == ServerState.READY) {
            aperture.add(server);
        }
    }

    /**
     * Exception, aperture: where there are many nodes, each uses a subset of the servers, so that its observations of a
     * server are recent. Over all servers it would return to each only after conditions have changed.
     */
    private void updateAperture() {
        if (aperture.hasChangedSinceLastCheck()) {
            // Both change by the same factor, which keeps the balance between increase and decrease over all nodes at a
            // server.
            double nodeFactor = StrictMath.pow(aperture.meanNodesPerServer(), LIMIT_CHANGE_NODE_EXPONENT);
            limitIncrease = LIMIT_INCREASE / nodeFactor;
            limitDecreaseFraction = 1 - StrictMath.pow(1 - LIMIT_DECREASE_FRACTION, nodeFactor);
            aperture.serversToRemove(ready).forEach(this::deselect);
            for (Server server : aperture.serversToAdd(ready)) {
                server.limit =
                        server.limit > 0 ? server.limit : INITIAL_LIMIT_PER_SERVER / aperture.meanNodesPerServer();
                fleet.add(server);
                updateTotals(server, 1);
                updateIndexes(server);
            }
        }
    }

    private void removeServer(Server server) {
        aperture.remove(server);
        deselect(server);
        server.state = ServerState.GONE;
        // Servers come and go for as long as a node runs, so a server that has gone and has nothing in flight is
        // dropped.
        if (server.inFlight == 0) {
            byId.remove(server.id);
        }
    }

    /** Removes a server from all that is selected from. */
    private void deselect(Server server) {
        if (!ready.contains(server)) {
            return;
        }
        updateTotals(server, -1);
        fleet.remove(server);
        totalLimit = ready.size() == 0 ? 0 : totalLimit; // Rounding errors would otherwise accumulate.
        updateIndexes(server);
    }

    /**
     * Adds a server in use to the totals or subtracts it. Requests that hang at an ejected or removed server must not
     * use up the capacity of the others.
     *
     * @param sign 1 to add, -1 to subtract
     */
    private void updateTotals(Server server, int sign) {
        if (isInUse(server)) {
            totalLimit += sign * server.limit;
            totalInFlight += sign * server.inFlight;
            for (int classIndex = 0; classIndex < answerCounts.length; classIndex++) {
                if (sign < 0) {
                    classExclusions.get(classIndex).remove(server);
                } else if (server.classExcludedUntil[classIndex] > now) {
                    classExclusions.get(classIndex).add(server);
                }
            }
        }
    }

    /** Updates the indexes after a change of a server's errors, size, capacity, state or ejection. */
    private void updateIndexes(Server server) {
        boolean full = isAtLimit(server);
        if (full && server.atLimitSince < 0) {
            server.atLimitSince = now;
        } else if (!full && server.atLimitSince >= 0) {
            server.limitedDemandAt = lastDemandAtLimit(server);
            server.atLimitSince = -1;
        }
        fleet.updateIndexes(server, full);
    }

    /** Updates the indexes after a change of the requests in flight or the limit, which mostly changes nothing. */
    private void updateCapacity(Server server) {
        if (server.ejected || isAtLimit(server) != (server.atLimitSince >= 0)) {
            updateIndexes(server);
        }
    }

    @Override
    public ServerStatistics statistics(List<String> ids) {
        return new ServerStatistics(
                StatisticsTransfer.of(ids, byId, INITIAL_LIMIT_PER_SERVER / aperture.meanNodesPerServer()),
                StatisticsTransfer.of(answerCounts, latencyUs, minLatencyUs),
                ready.size(),
                ejected.size(),
                onTimeFraction < MIN_ON_TIME_FRACTION);
    }

    @Override
    public void onPrior(long nowUs, ServerStatistics prior) {
        now = nowUs;
        for (ServerStatistics.PerServer statistics : prior.servers()) {
            Server server = byId.get(statistics.id());
            if (server != null && server.attemptCount == 0 && statistics.startedAtUs() == server.startedAt) {
                totalLimit -= isInUse(server) ? server.limit : 0;
                StatisticsTransfer.restore(server, statistics, MIN_FAILURES_TO_EJECT, MIN_STREAK_TO_EXCLUDE_CLASS, now);
                totalLimit += isInUse(server) ? server.limit : 0;
                updateIndexes(server);
            }
        }
        StatisticsTransfer.restore(prior.classes(), answerCounts, latencyUs);
        dispatchQueued();
        scheduleWake();
    }

    @Override
    public void onListFailed(long nowUs) {
        now = nowUs;
        if (!settings.mustRequestList) {
            return;
        }
        // Jittered backoff: nodes whose requests failed together must not retry together.
        nextListRequestAt = now + listBackoffUs / 2 + random.nextLong(listBackoffUs);
        listBackoffUs = Math.min(2 * listBackoffUs, Math.max(1, settings.maxListIntervalUs / 4));
        scheduleWake();
    }

    private void requestList() {
        actions.subscribe();
        nextListRequestAt = now + Math.max(1, settings.maxListIntervalUs / 2);
    }

    // ---------------------------------------------------------------- requests and outcomes

    @Override
    public void onRequest(long nowUs, Request request) {
        now = nowUs;
        if (request.classIndex() < 0
                || request.classIndex() >= settings.classes.size()
                || request.tenant() >= settings.tenants.size()
                || pendingById.containsKey(request.id())) {
            throw new IllegalArgumentException(
                    "request names a class or tenant that is not in the settings, or an id that is pending: "
                            + request);
        }
        long elapsedUs = elapsedBeforeThisTry(request);
        PendingRequest pending = new PendingRequest(request, settings, now, elapsedUs);
        pendingById.put(request.id(), pending);
        // Counted by first tries: in overload clients' retries multiply the requests.
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + (elapsedUs == 0 ? THROTTLED_SENDS_PER_REQUEST : 0));
        pending.priority = assignPriority(pending);
        if (aperture.recordRequest(now, minLatencyUs[request.classIndex()])) {
            updateAperture();
        }
        // On a node whose event loop is delayed the answer will wait unread too, so a request that cannot be in time is
        // rejected and leaves the processor to the others. After a single pause this rejects more than needed.
        UnservedReason rejectionReason = isWithoutValue(pending)
                ? UnservedReason.TOO_LATE_ON_ARRIVAL
                : loadShedder.shouldShed(pending, random)
                        ? UnservedReason.SHED
                        : pending.requestClass.lateValueFraction() == 0
                                        && request.loopDelayUs() > sweepUs
                                        && pending.latencyTargetAt - now
                                                < request.loopDelayUs() / 2 + latencyUs[request.classIndex()]
                                ? UnservedReason.EVENT_LOOP_DELAY
                                : null;
        if (rejectionReason != null) {
            finishUnserved(pending, rejectionReason);
            return;
        }
        Server server = queue.isEmpty() && now < pending.deadlineAt ? chooseServer(pending) : null;
        if (server != null) {
            send(pending, server);
        } else {
            enqueue(pending);
            dispatchQueued();
        }
        scheduleWake();
    }

    /**
     * Returns how long, in microseconds, the client has been trying before this try; 0 if clients mark their retries
     * and this one is not marked. Otherwise the remaining time tells: first tries of a class, by far the most, all have
     * the same one, and later tries have what is left of the deadline.
     */
    private long elapsedBeforeThisTry(Request request) {
        if (settings.clientsMarkRetries && !request.retry()) {
            return 0;
        }
        int classIndex = request.classIndex();
        long deadlineUs = settings.classes.get(classIndex).deadlineUs();
        long remainingUs = request.remainingUs() + request.loopDelayUs() + request.admissionDelayUs();
        boolean common =
                Math.abs(remainingUs - commonRemainingUs[classIndex]) <= COMMON_REMAINING_TOLERANCE * deadlineUs;
        commonRemainingFraction[classIndex] +=
                meanGain(++requestCounts[classIndex]) * ((common ? 1 : 0) - commonRemainingFraction[classIndex]);
        if (!common && commonRemainingFraction[classIndex] < MIN_COMMON_REMAINING_FRACTION) {
            // No remaining time is the common one yet, so it says nothing.
            commonRemainingUs[classIndex] = remainingUs;
            return 0;
        }
        return common ? 0 : Math.max(0, deadlineUs - remainingUs);
    }

    /** Returns the weight of the newest value in a running mean: an equal fraction until there are many values. */
    private static double meanGain(int values) {
        return Math.max(MEAN_GAIN, 1.0 / values);
    }

    /** Whether no answer can have value any more; such a request takes no server's time (i9ce813). */
    private boolean isWithoutValue(PendingRequest pending) {
        return pending.requestClass.lateValueFraction() == 0 && now >= pending.latencyTargetAt;
    }

    @Override
    public void onOutcome(long nowUs, Outcome outcome) {
        now = nowUs;
        PendingRequest pending = pendingById.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (pending == null || attempt < 0 || attempt >= pending.attemptCount || pending.results[attempt] != null) {
            return;
        }
        Server server = pending.servers[attempt];
        Result result = outcome.result();
        pending.results[attempt] = result;
        pending.outstandingAttempts--;
        server.inFlight--;
        totalInFlight -= isInUse(server) ? 1 : 0;
        if (server.state == ServerState.GONE && server.inFlight == 0) {
            byId.remove(server.id, server);
        }
        updateCapacity(server);
        server.unreachable = result == Result.CONNECT_FAILED;
        if (result == Result.OK) {
            pending.request.retryLimits().recordLatency(outcome.serverLatencyUs());
            recordSuccess(server);
        } else if (outcome.isInformative()) {
            // A timeout at a server that has responded since means overload, as FULL does.
            boolean overloaded = result == Result.FULL
                    || result == Result.TIMEOUT && server.lastResponseAt >= pending.sentAt[attempt];
            recordFailure(server, !overloaded);
            if (result != Result.FULL && result != Result.TIMEOUT) {
                server.failureFraction += LATENCY_GAIN * (1 - server.failureFraction);
                updateRelativeLatency(server, FAILURE_RELATIVE_LATENCY);
            }
        }
        if (result == Result.OK || result == Result.ERROR) {
            server.lastResponseAt = now;
        }
        if (outcome.isInformative()) {
            server.attemptCount++;
            server.lastAttemptEndedAt = now;
            updateClassStreak(pending, attempt);
            double usualLatencyUs = latencyUs[pending.request.classIndex()];
            if ((result == Result.OK || result == Result.TIMEOUT) && usualLatencyUs > 0) {
                updateRelativeLatency(server, outcome.serverLatencyUs() / usualLatencyUs);
            }
            boolean inTime = now - outcome.loopDelayUs() <= pending.latencyTargetAt;
            if (result == Result.OK || result == Result.TIMEOUT) {
                // An error says nothing about overload, nor does work that takes longer than its latency target.
                double minMeanLatencyUs = minLatencyUs[pending.request.classIndex()];
                boolean slowWithoutOverload = minMeanLatencyUs < Double.MAX_VALUE
                        && outcome.serverLatencyUs() < MAX_UNLOADED_LATENCY_RATIO * minMeanLatencyUs;
                updateOnTimeFraction(
                        result != Result.OK
                                ? 0
                                : inTime || slowWithoutOverload ? 1 : pending.requestClass.lateValueFraction());
            }
            updateLimit(pending, attempt, outcome);
            pauseServer(server, outcome.serverLatencyUs(), result == Result.OK ? 0 : usualLatencyUs);
        }
        if (outcome.requestEnded()) {
            finish(pending);
        } else if (!pending.ended && pending.outstandingAttempts == 0) {
            retryElsewhere(pending, server);
        }
        forgetIfFinished(pending);
        dispatchQueued();
        scheduleWake();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        PendingRequest pending = pendingById.get(requestId);
        if (pending != null) {
            pending.streaming = true;
        }
    }

    @Override
    public void onClientDisconnected(long nowUs, long requestId) {
        now = nowUs;
        PendingRequest pending = pendingById.get(requestId);
        if (pending != null) {
            finish(pending);
        }
    }

    @Override
    public void onProbe(long nowUs, String serverId, Result result, long tookUs, double[] report) {
        now = nowUs; // No probes are sent: a response that bypasses the server's queue says nothing about that queue.
    }

    @Override
    public List<String> explainServer(long nowUs, String serverId) {
        now = nowUs;
        Server server = byId.get(serverId);
        return ServerStatusReasons.of(
                server,
                now,
                settings,
                server != null && ready.contains(server),
                isThrottled(),
                isAtTotalLimit(),
                server != null && isCold(server) ? server.coldLastSentAt + coldIntervalUs(server) : 0);
    }

    @Override
    public void onWake(long nowUs) {
        now = nowUs;
        pendingWakeAt = now >= pendingWakeAt ? Long.MAX_VALUE : pendingWakeAt;
        if (now >= nextListRequestAt) {
            requestList();
        }
        sendHedges();
        dispatchQueued();
        scheduleWake();
    }

    private void scheduleWake() {
        while (!hedgeCandidates.isEmpty() && hedgeCandidates.peek().ended) {
            hedgeCandidates.poll();
        }
        long at = queue.isEmpty() ? nextListRequestAt : Math.min(nextListRequestAt, now + sweepUs);
        at = hedgeCandidates.isEmpty() ? at : Math.min(at, hedgeCandidates.peek().hedgeAt);
        if (at < pendingWakeAt) {
            pendingWakeAt = Math.max(at, now + 1);
            actions.wakeAt(pendingWakeAt);
        }
    }

    // ---------------------------------------------------------------- error counts and class exclusion

    /**
     * Adds one to the error count.
     *
     * @param unhealthy whether the failure may eject the server; false if it only means overload
     */
    private void recordFailure(Server server, boolean unhealthy) {
        server.errors++;
        updateIndexes(server);
        if (unhealthy) {
            server.failureHistory = server.failureHistory << 1 | 1;
            server.successfulTrials = 0;
            if (server.ejected || recentFailures(server) >= MIN_FAILURES_TO_EJECT) {
                eject(server);
            }
        }
    }

    /** Clears the error count; an ejected server has to succeed several times in a row. */
    private void recordSuccess(Server server) {
        server.failureHistory <<= 1;
        server.lastServedAt = now;
        server.failureFraction -= LATENCY_GAIN * server.failureFraction;
        if (!server.ejected) {
            clearErrors(server);
            return;
        }
        scheduleTrial(server, now);
        if (++server.successfulTrials >= SUCCESSFUL_TRIALS_TO_RESTORE) {
            log("restored server " + server.id);
            reset(server);
            updateTotals(server, 1);
            updateIndexes(server);
        }
    }

    /**
     * Exception, classes: a server may serve all classes but one, and its answers to the others must not hide that.
     * After {@link #MIN_STREAK_TO_EXCLUDE_CLASS} failures in a row a server is excluded from the class for a while,
     * twice as long after each single try that fails. At most half of the servers are excluded, as with ejection.
     */
    private void updateClassStreak(PendingRequest pending, int attempt) {
        Server server = pending.servers[attempt];
        int classIndex = pending.request.classIndex();
        switch (pending.results[attempt]) {
            case OK -> server.classLastServedAt[classIndex] = now;
            case ERROR, RESET -> server.classFailureStreaks[classIndex]++;
            case TIMEOUT ->
                server.classFailureStreaks[classIndex] +=
                        server.classLastServedAt[classIndex] < pending.sentAt[attempt] ? 1 : 0;
            default -> {}
        }
        server.classFailureStreaks[classIndex] =
                pending.results[attempt] == Result.OK ? 0 : server.classFailureStreaks[classIndex];
        excludeFromClass(server, classIndex);
    }

    private void excludeFromClass(Server server, int classIndex) {
        int excessFailures = server.classFailureStreaks[classIndex] - MIN_STREAK_TO_EXCLUDE_CLASS;
        if (excessFailures >= 0 && !wouldExcludeMost(server, classIndex)) {
            classExclusions.get(classIndex).remove(server);
            server.classExcludedUntil[classIndex] = now
                    + Math.min(MAX_EJECTION_US, 2 * INITIAL_EJECTION_US << Math.min(excessFailures, HISTORY_LENGTH));
            if (isInUse(server)) {
                classExclusions.get(classIndex).add(server);
            }
        }
    }

    /** Whether more than half of the servers would be excluded from a class if this one were. */
    private boolean wouldExcludeMost(Server server, int classIndex) {
        TreeSet<Server> others = classExclusions.get(classIndex);
        while (!others.isEmpty() && others.first().classExcludedUntil[classIndex] <= now) {
            others.pollFirst();
        }
        int excludedOthers =
                others.size() - (others.contains(server) ? 1 : 0) + ejected.size() - (ejected.contains(server) ? 1 : 0);
        return ready.size() < 2 + 2 * excludedOthers;
    }

    private static int recentFailures(Server server) {
        return Integer.bitCount(server.failureHistory & (1 << HISTORY_LENGTH) - 1);
    }

    private void clearErrors(Server server) {
        if (server.errors > 0) {
            server.errors = 0;
            updateIndexes(server);
        }
    }

    // ---------------------------------------------------------------- ejection

    /**
     * Exception, ejection: a server that failed {@link #MIN_FAILURES_TO_EJECT} of its last {@link #HISTORY_LENGTH}
     * answers gets only single trials of retryable requests, further apart each time one fails. At most half of the
     * servers are ejected: when most fail, the fault is not theirs, and the weights alone decide.
     */
    private void eject(Server server) {
        if (!server.ejected) {
            if (2 * (ejected.size() + 1) > ready.size()) {
                // Servers outside the subset may be healthy.
                aperture.widenForFailures(now);
                updateAperture();
            }
            if (2 * (ejected.size() + 1) > ready.size()) {
                return;
            }
            updateTotals(server, -1);
            server.ejected = true;
            server.ejectionUs = INITIAL_EJECTION_US / 2;
            log("ejected server " + server.id + " after " + recentFailures(server) + " failures");
            for (int classIndex = 0; classIndex < answerCounts.length; classIndex++) {
                while (wouldExcludeMost(server, classIndex)
                        && !classExclusions.get(classIndex).isEmpty()) {
                    classExclusions.get(classIndex).pollFirst().classExcludedUntil[classIndex] = 0;
                }
            }
        }
        server.ejectionUs = Math.min(MAX_EJECTION_US, 2 * server.ejectionUs);
        scheduleTrial(server, now + server.ejectionUs / 2 + random.nextLong(server.ejectionUs));
    }

    private void scheduleTrial(Server server, long at) {
        fleet.ejectedByTrialTime.remove(server);
        server.nextTrialAt = at;
        updateIndexes(server);
    }

    /** Resets a server's errors, ejection and limit to their initial values. */
    private void reset(Server server) {
        clearErrors(server);
        server.failureHistory = 0;
        server.ejected = false;
        server.successfulTrials = 0;
        server.limit = INITIAL_LIMIT_PER_SERVER / aperture.meanNodesPerServer();
        server.pausedUntil = 0;
    }

    /** Returns an ejected server that is due for a trial with this request if it is retryable, or null. */
    private Server serverDueForTrial(PendingRequest pending) {
        int remainingScans =
                pending.requestClass.idempotency() == Idempotency.UNSAFE || fleet.ejectedByTrialTime.isEmpty()
                        ? 0
                        : MAX_SERVERS_SCANNED;
        for (Server server : fleet.ejectedByTrialTime) {
            if (remainingScans-- == 0 || server.nextTrialAt > now) {
                return null;
            }
            if (isAllowed(pending, server)) {
                return server;
            }
        }
        return null;
    }

    /**
     * Returns an ejected server that served lately and accepts connections, for a retryable request for which no other
     * server has capacity, or null. In an overloaded fleet half of its work is better than none.
     */
    private Server ejectedFallback(PendingRequest pending) {
        Server best = null;
        int from = ejected.size() <= MAX_SERVERS_SCANNED ? 0 : random.nextInt(ejected.size());
        for (int i = 0;
                i < Math.min(MAX_SERVERS_SCANNED, ejected.size())
                        && pending.requestClass.idempotency() != Idempotency.UNSAFE;
                i++) {
            Server server = ejected.get((from + i) % ejected.size());
            if (!isAtLimit(server)
                    && now >= server.pausedUntil
                    && !server.unreachable
                    && !hasJustFailedAt(pending, server)
                    && now < server.lastServedAt + MAX_EJECTION_US
                    && isAllowed(pending, server)
                    && (best == null || recentFailures(server) < recentFailures(best))) {
                best = server;
            }
        }
        return best;
    }

    private boolean isInUse(Server server) {
        return ready.contains(server) && !server.ejected;
    }

    private void log(String message) {
        if (now >= nextLogAt) {
            nextLogAt = now + MIN_LOG_INTERVAL_US;
            actions.log(message);
        }
    }

    // ---------------------------------------------------------------- draws

    /**
     * Returns the server for an attempt or null: one due for a trial, else the better of two draws, else an ejected
     * server.
     */
    private Server chooseServer(PendingRequest pending) {
        Server trialServer = serverDueForTrial(pending);
        Server server = trialServer == null ? drawByZone(pending) : trialServer;
        return server == null ? ejectedFallback(pending) : server;
    }

    private Server drawByZone(PendingRequest pending) {
        Server server = drawTwo(pending, fleet.localZone, fleet.localZoneWithCapacity);
        if (fleet.localZone == fleet.allZones) {
            return server;
        }
        // Exception, zones: where crossing zones costs, both draws are local, and two more from all zones win only if
        // the local choice has no capacity, fails, or has at least two requests more in flight.
        if (server != null && server.inFlight < MIN_IN_FLIGHT_TO_CROSS_ZONES && server.errors == 0) {
            return server;
        }
        Server other = drawTwo(pending, fleet.allZones, fleet.allZonesWithCapacity);
        return server == null
                        || other != null
                                && (other.inFlight + MIN_IN_FLIGHT_TO_CROSS_ZONES <= server.inFlight
                                        || other.errors < server.errors)
                ? other
                : server;
    }

    private Server drawTwo(PendingRequest pending, DrawIndex<Server> from, DrawIndex<Server> withCapacity) {
        Server first = draw(pending, from, withCapacity, null);
        Server second = first == null ? null : draw(pending, from, withCapacity, first);
        if (first != null && actions.wantsExplanations()) {
            actions.reportCandidates(
                    pending.request.id(),
                    ServerStatusReasons.candidate(first, relativeLatency(first)),
                    second == null ? null : ServerStatusReasons.candidate(second, relativeLatency(second)));
        }
        if (second == null || first.inFlight < second.inFlight) {
            return first;
        }
        if (first.inFlight > second.inFlight) {
            return second;
        }
        // Exception, ties: with little in flight a tie goes to the server with the lower latency of late (i9ce813).
        double difference = relativeLatency(first) - relativeLatency(second);
        boolean alike = Math.abs(difference) < MIN_LATENCY_DIFFERENCE;
        return (alike ? random.nextInt(2) == 0 : difference > 0) ? second : first;
    }

    /** Returns a server's latency relative to the usual, which decays to 1 with time since the last observation. */
    private double relativeLatency(Server server) {
        double decayUs = LATENCY_DECAY_ROUNDS * servedRate.meanGapUs() * Math.max(1, ready.size());
        return 1 + (server.relativeLatency - 1) * StrictMath.exp(-(now - server.relativeLatencyAt) / decayUs);
    }

    private void updateRelativeLatency(Server server, double ratio) {
        double previous = relativeLatency(server);
        server.relativeLatency = previous + LATENCY_GAIN * (ratio - previous);
        server.relativeLatencyAt = now;
    }

    /**
     * Draws one server by the paper's weights among those that may be sent to, without {@code except}; null if none is
     * found.
     *
     * <p>Exception, sizes: servers differ, so the weight counts for each unit of a server's size in the list; with
     * equal sizes nothing changes.
     */
    private Server draw(PendingRequest pending, DrawIndex<Server> from, DrawIndex<Server> withCapacity, Server except) {
        double weightScale = fleet.allZones.weightScale();
        for (int i = 0; i <= MAX_REDRAWS && from.size() > 0; i++) {
            Server server = from.draw(random, weightScale);
            if (server != except && maySend(pending, server)) {
                return server;
            }
        }
        // Most servers are at their limits or may not get this request: record the demand and scan the rest.
        return !recordDemand() || withCapacity.size() == 0
                ? null
                : withCapacity.drawAmong(
                        MAX_SERVERS_SCANNED,
                        random,
                        weightScale,
                        server -> server != except && maySend(pending, server));
    }

    /** Records demand beyond the limits. Returns whether a server with capacity may be sent to. */
    private boolean recordDemand() {
        if (isThrottled()) {
            return false;
        }
        if (isAtTotalLimit()) {
            totalLimitDemandAt = now;
            return false;
        }
        limitedDemandAt = now;
        return true;
    }

    /** Retries a failed request at the next server in list order, queues it, or gives it its final answer. */
    private void retryElsewhere(PendingRequest pending, Server failed) {
        if (!mayRetry(pending)) {
            finishUnserved(pending, unservedReason(pending));
            return;
        }
        long retryDelayUs = pending.request.retryLimits().retryDelayUs(pending.attemptCount);
        if (retryDelayUs > 0) {
            pending.notBefore = now + retryDelayUs;
            enqueue(pending);
            return;
        }
        List<Server> tried = Arrays.asList(pending.servers);
        IndexedSet<Server> group = retryGroup(pending);
        int start = group.indexOf(failed);
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 1; i <= Math.min(MAX_SERVERS_SCANNED, group.size()); i++) {
                Server next = group.get((start + i) % group.size());
                // Exception: where crossing zones costs, local servers without errors come first.
                boolean preferred =
                        next.errors == 0 && (fleet.localZone == fleet.allZones || next.zone == settings.myZone);
                if ((preferred || pass > 0) && !tried.contains(next) && maySend(pending, next)) {
                    send(pending, next);
                    return;
                }
            }
        }
        enqueue(pending);
    }

    /** Returns the ready servers among which a request that may have run must stay. */
    private IndexedSet<Server> retryGroup(PendingRequest pending) {
        int firstAttempt =
                pending.requestClass.idempotency() == Idempotency.KEYED ? pending.firstAttemptThatMayHaveRun() : -1;
        return firstAttempt < 0 || pending.requestClass.deduplicationScope() == DeduplicationScope.ALL
                ? ready
                : pending.requestClass.deduplicationScope() == DeduplicationScope.ZONE
                        ? fleet.serversInZone(pending.servers[firstAttempt].zone)
                        : fleet.serversInCell(pending.servers[firstAttempt].cell);
    }

    // ---------------------------------------------------------------- the queue

    /** Queues a request if there is time; requests of equal priority are first come first served. */
    private void enqueue(PendingRequest pending) {
        if (hasExpired(pending)) {
            finishUnserved(pending, unservedReason(pending));
            return;
        }
        pending.queued = true;
        int low = 0;
        for (int high = queue.size(); low < high; ) {
            int mid = (low + high) >>> 1;
            boolean after = BY_PRIORITY.compare(queue.get(mid), pending) <= 0;
            low = after ? mid + 1 : low;
            high = after ? high : mid;
        }
        queue.add(low, pending);
    }

    /** Whether a queued request has run out of time or may not be retried. */
    private boolean hasExpired(PendingRequest pending) {
        return pending.deadlineAt - now <= sweepUs + settings.tickUs
                || isLate(pending) && pending.requestClass.lateValueFraction() == 0
                || !mayRetry(pending);
    }

    private boolean isLate(PendingRequest pending) {
        return pending.latencyTargetAt - now
                < Math.min(
                        MAX_LATE_TARGET_FRACTION * (pending.latencyTargetAt - pending.arrivedAt),
                        MIN_REMAINING_LATENCIES * latencyUs[pending.request.classIndex()]);
    }

    /** Whether no server can be sent anything, which saves a check of each queued request. */
    private boolean hasNoAvailableServer() {
        return ejected.size() == 0 && (fleet.allZonesWithCapacity.size() == 0 || isThrottled() || isAtTotalLimit());
    }

    /** Sends queued requests as far as servers have capacity, and finishes those that have run out of time. */
    private void dispatchQueued() {
        // A sweep checks all queued requests; in between they are checked only while a server has capacity.
        boolean sweep = now >= lastSweepAt + sweepUs;
        if (queue.isEmpty() || !sweep && hasNoAvailableServer()) {
            if (!queue.isEmpty()) {
                recordDemand();
            }
            return;
        }
        lastSweepAt = sweep ? now : lastSweepAt;
        int keptCount = 0;
        int nextIndex = 0;
        boolean[] classBlocked = new boolean[settings.classes.size()];
        boolean needsSort = false;
        while (nextIndex < queue.size()) {
            PendingRequest pending = queue.get(nextIndex++);
            if (!pending.queued) {
                continue;
            }
            if (hasExpired(pending)) {
                pending.queued = false;
                finishUnserved(pending, unservedReason(pending));
                continue;
            }
            boolean late = isLate(pending);
            if (late && !pending.lateDiscountApplied) {
                pending.lateDiscountApplied = true;
                pending.priority *= pending.requestClass.lateValueFraction();
                needsSort = true;
                queue.set(keptCount++, pending);
                continue;
            }
            int classIndex = pending.request.classIndex();
            Server server = classBlocked[classIndex] || now < pending.notBefore ? null : chooseServer(pending);
            if (server != null) {
                pending.queued = false;
                send(pending, server);
                if (!sweep && hasNoAvailableServer()) {
                    break;
                }
            } else {
                // A request that was never sent may go wherever its class may: if it finds no server, nor does the next
                // one.
                classBlocked[classIndex] |= pending.attemptCount == 0;
                queue.set(keptCount++, pending);
            }
        }
        queue.subList(keptCount, nextIndex).clear();
        if (needsSort) {
            queue.sort(BY_PRIORITY);
        }
    }

    /**
     * Sets the request's value and returns its priority in the queue: its class's value, reduced if its tenant is over
     * this node's fraction of its share, divided by the usual latency of the class as the measure of work.
     */
    private double assignPriority(PendingRequest pending) {
        double value = pending.requestClass.value();
        int tenant = pending.request.tenant();
        double quotaPerS = tenant < 0 ? 0 : settings.tenants.get(tenant).quotaPerS() / settings.nodes;
        if (quotaPerS > 0) {
            double maxTokens = Math.max(1, quotaPerS * TENANT_BURST_S);
            double elapsedS = tenantTokensAt[tenant] == 0 ? TENANT_BURST_S : (now - tenantTokensAt[tenant]) / 1e6;
            tenantTokensAt[tenant] = now;
            tenantTokens[tenant] = Math.min(maxTokens, tenantTokens[tenant] + quotaPerS * elapsedS);
            if (tenantTokens[tenant] >= 1) {
                tenantTokens[tenant]--;
            } else {
                value *= settings.overShareValueFraction;
            }
        }
        pending.value = value;
        pending.aboveMeanValue = value > meanValue;
        meanValue += meanGain(++valueCount) * (value - meanValue);
        return settings.valuePerWorkUnit ? value : value / Math.max(1, latencyUs[pending.request.classIndex()]);
    }

    // ---------------------------------------------------------------- concurrency limits

    /**
     * Exception, concurrency limits: a server's limit grows if it was reached while a request was out that was answered
     * well within the latency target, and falls with slow answers and timeouts. It acts only when a draw would exceed
     * the server's limit, or the node the sum of all limits. With many nodes a server's limit at one node is below one;
     * the server is then paused after each answer for as long as makes that the fraction of time in use.
     */
    private void updateLimit(PendingRequest pending, int attempt, Outcome outcome) {
        Server server = pending.servers[attempt];
        double previousLimit = server.limit;
        if (outcome.result() == Result.OK) {
            int classIndex = pending.request.classIndex();
            // Of the answers read late by a delayed event loop, only the slow ones are known to be slow.
            latencyUs[classIndex] += outcome.loopDelayUs() > sweepUs
                    ? 0
                    : meanGain(++answerCounts[classIndex]) * (outcome.serverLatencyUs() - latencyUs[classIndex]);
            // The mean of the first answers is chance; until there are more, only the latency target counts.
            minLatencyUs[classIndex] = answerCounts[classIndex] * MEAN_GAIN < 0.5
                    ? Double.MAX_VALUE
                    : Math.min(minLatencyUs[classIndex] * MIN_LATENCY_GROWTH, latencyUs[classIndex]);
            double overloadLatencyUs = Math.min(
                    OVERLOAD_TARGET_FRACTION * pending.latencyTargetUs,
                    OVERLOAD_LATENCY_RATIO * minLatencyUs[classIndex]);
            servedRate.recordAnswer(now, fleet.totalWeight);
            if (outcome.serverLatencyUs() <= overloadLatencyUs) {
                // A cold server gets little load and answers quickly. If its limit passed the others', all nodes
                // together would overload it as soon as slow start ends (i3a094a).
                server.limit += lastDemandAtLimit(server) >= pending.sentAt[attempt]
                                && (!isCold(server) || server.limit * ready.size() < totalLimit)
                        ? limitIncrease
                        : 0;
            } else {
                decreaseLimit(pending, attempt, limitDecreaseFraction);
            }
        } else if (outcome.result() == Result.TIMEOUT) {
            decreaseLimit(pending, attempt, LIMIT_TIMEOUT_DECREASE_FRACTION);
        }
        if (isInUse(server)) {
            totalLimit += server.limit - previousLimit;
        }
        updateCapacity(server);
    }

    /**
     * Pauses a server whose limit is below one, which is the fraction of time in which this node may have a request
     * there. A failure at once took less time, but the next one would fare no better.
     */
    private void pauseServer(Server server, double usedUs, double minUsedUs) {
        server.pausedUntil = server.limit > 1 ? 0 : now + (long) (Math.max(usedUs, minUsedUs) / server.limit - usedUs);
    }

    /** Returns when a request was last held back by this server's limit or by the total limit. */
    private long lastDemandAtLimit(Server server) {
        long ownLimitDemandAt =
                server.atLimitSince >= 0 && limitedDemandAt >= server.atLimitSince ? limitedDemandAt : 0;
        return Math.max(server.limitedDemandAt, Math.max(ownLimitDemandAt, totalLimitDemandAt));
    }

    /** Decreases the limit once for all attempts sent before the last decrease. */
    private void decreaseLimit(PendingRequest pending, int attempt, double fraction) {
        Server server = pending.servers[attempt];
        if (pending.sentAt[attempt] >= server.limitDecreasedAt) {
            server.limit = Math.max(1 / aperture.meanNodesPerServer(), server.limit * (1 - fraction));
            server.limitDecreasedAt = now;
        }
    }

    private boolean isOutOfCapacity(Server server) {
        if (isThrottled()) {
            return true;
        }
        if (isAtLimit(server) || now < server.pausedUntil && totalInFlight > 0 || isAtTotalLimit()) {
            server.limitedDemandAt = now;
            return true;
        }
        return false;
    }

    /** Whether the node has in flight what all limits together allow. Guards against all capacity being out at once. */
    private boolean isAtTotalLimit() {
        // The burst shrinks with the fraction of answers in time, to none at one half: it would push an overloaded
        // fleet into collapse (i6d5d9b).
        double burst = BURST_ROOT_FACTOR * Math.max(0, 2 * onTimeFraction - 1) * Math.sqrt(totalLimit);
        return totalInFlight > 0 && totalInFlight + 1 > totalLimit + burst;
    }

    /**
     * Exception, throttling: once fewer than {@link #MIN_ON_TIME_FRACTION} of attempts are answered in time, a node
     * sends {@link #THROTTLED_SENDS_PER_TIMELY_ANSWER} attempts per timely answer, and a few more to detect recovery. A
     * fleet that has turned slow under its load recovers only if almost nothing arrives (i6d5d9b, ia25714).
     */
    private boolean isThrottled() {
        return onTimeFraction < MIN_ON_TIME_FRACTION && sendTokens < 1;
    }

    private void updateOnTimeFraction(double timeliness) {
        onTimeFraction += ON_TIME_GAIN * (timeliness - onTimeFraction);
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + (timeliness == 1 ? THROTTLED_SENDS_PER_TIMELY_ANSWER : 0));
    }

    private boolean isAtLimit(Server server) {
        return server.inFlight + 1 > Math.max(1, server.limit);
    }

    // ---------------------------------------------------------------- sending

    private void send(PendingRequest pending, Server server) {
        if (pending.attemptCount > 0) {
            pending.request.retryLimits().recordRetry();
        }
        loadShedder.recordSent(pending);
        int attempt = pending.attemptCount++;
        sendTokens = Math.max(0, sendTokens - 1);
        pending.servers[attempt] = server;
        pending.sentAt[attempt] = now;
        pending.outstandingAttempts++;
        server.inFlight++;
        totalInFlight += isInUse(server) ? 1 : 0;
        updateCapacity(server);
        servedRate.start(now);
        if (isCold(server)) {
            server.coldLastSentAt = now;
            server.coldIntervalFraction = 1;
        }
        long deadline = attemptDeadline(pending);
        if (server.classFailureStreaks[pending.request.classIndex()] > 0) {
            excludeFromClass(server, pending.request.classIndex());
            deadline = Math.min(deadline, suspectAttemptDeadline(pending));
        }
        actions.send(pending.request.id(), server.id, deadline);
        long hedgeDelayUs = attempt == 0
                        && settings.allowsHedging
                        && pending.requestClass.idempotency() != Idempotency.UNSAFE
                        && !pending.requestClass.isStreaming()
                ? pending.request.retryLimits().hedgeDelayUs()
                : 0;
        if (hedgeDelayUs > 0) {
            pending.hedgeAt = now + hedgeDelayUs;
            hedgeCandidates.add(pending);
        }
    }

    /** Exception, hedging: where a route asks for it, a slow request is sent to a second server too. */
    private void sendHedges() {
        while (!hedgeCandidates.isEmpty() && (hedgeCandidates.peek().ended || hedgeCandidates.peek().hedgeAt <= now)) {
            PendingRequest pending = hedgeCandidates.poll();
            if (!pending.ended && pending.attemptCount == 1 && pending.outstandingAttempts == 1 && mayRetry(pending)) {
                Server other = draw(pending, fleet.allZones, fleet.allZonesWithCapacity, pending.servers[0]);
                if (other != null) {
                    send(pending, other);
                }
            }
        }
    }

    /**
     * Exception, timeout at the latency target: where a later answer has no value, it would only keep its server busy.
     */
    private long attemptDeadline(PendingRequest pending) {
        return pending.requestClass.lateValueFraction() > 0
                        || clientRetriesFailures(pending.requestClass)
                        || pending.requestClass.isStreaming()
                ? pending.deadlineAt
                : pending.latencyTargetAt;
    }

    /**
     * Returns an earlier deadline at a server where the class has just failed, so that time is left to retry elsewhere.
     */
    private long suspectAttemptDeadline(PendingRequest pending) {
        long halfUs = (pending.latencyTargetAt - now) / 2;
        return pending.requestClass.idempotency() == Idempotency.UNSAFE || halfUs <= 0
                ? Long.MAX_VALUE
                : now + Math.max(halfUs, (long) (MIN_REMAINING_LATENCIES * latencyUs[pending.request.classIndex()]));
    }

    /** Whether clients retry after any failure, and not only after a rejection that says that a retry is harmless. */
    private static boolean clientRetriesFailures(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.SAFE
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }

    // ---------------------------------------------------------------- the four rules

    /** Rule 1: gives the one final answer, a rejection wherever a retry is known to be harmless. */
    private void finishUnserved(PendingRequest pending, UnservedReason why) {
        if (actions.wantsExplanations()) {
            actions.reportReason(pending.request.id(), why);
        }
        boolean retryIsHarmless = switch (pending.requestClass.idempotency()) {
            case SAFE -> true;
            case KEYED ->
                pending.firstAttemptThatMayHaveRun() < 0
                        || pending.requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case UNSAFE -> pending.firstAttemptThatMayHaveRun() < 0;
        };
        loadShedder.recordUnserved(pending);
        // A rejection invites a retry that a failure would not; past the latency target that is work without value.
        if (retryIsHarmless && (clientRetriesFailures(pending.requestClass) || !isWithoutValue(pending))) {
            actions.reject(pending.request.id(), settings.maxRetryAfterUs);
        } else {
            actions.fail(pending.request.id());
        }
        finish(pending);
    }

    private UnservedReason unservedReason(PendingRequest pending) {
        int firstAttempt = pending.firstAttemptThatMayHaveRun();
        return pending.attemptCount == 0
                ? UnservedReason.NO_CAPACITY
                : pending.attemptCount >= settings.maxAttempts
                        ? UnservedReason.ATTEMPTS_EXHAUSTED
                        : mayRetry(pending) || now >= pending.deadlineAt || isWithoutValue(pending)
                                ? UnservedReason.DEADLINE_EXCEEDED
                                : firstAttempt >= 0 && pending.requestClass.idempotency() == Idempotency.UNSAFE
                                        ? UnservedReason.MAY_HAVE_RUN
                                        : firstAttempt >= 0
                                                        && pending.requestClass.idempotency() == Idempotency.KEYED
                                                        && now
                                                                > pending.sentAt[firstAttempt]
                                                                        + pending.requestClass.deduplicationWindowUs()
                                                ? UnservedReason.DEDUPLICATION_WINDOW_EXPIRED
                                                : UnservedReason.ROUTE_LIMIT;
    }

    private void finish(PendingRequest pending) {
        pending.ended = true;
        pending.queued = false;
        for (int i = 0;
                i < pending.attemptCount && pending.outstandingAttempts > 0 && settings.allowsCancellation;
                i++) {
            if (pending.results[i] == null) {
                actions.cancel(pending.request.id(), i);
            }
        }
        forgetIfFinished(pending);
    }

    private void forgetIfFinished(PendingRequest pending) {
        if (pending.ended && pending.outstandingAttempts == 0) {
            pendingById.remove(pending.request.id());
        }
    }

    /** Rule 2: whether any further attempt would be permitted, at whichever server. */
    private boolean mayRetry(PendingRequest pending) {
        if (pending.attemptCount >= settings.maxAttempts
                || now >= pending.deadlineAt
                || pending.streaming
                || isWithoutValue(pending)
                || pending.attemptCount > 0 && !isWithinRetryLimits(pending)) {
            return false;
        }
        int firstAttempt = pending.firstAttemptThatMayHaveRun();
        return firstAttempt < 0
                || switch (pending.requestClass.idempotency()) {
                    case SAFE -> true;
                    case KEYED -> now <= pending.sentAt[firstAttempt] + pending.requestClass.deduplicationWindowUs();
                    case UNSAFE -> false;
                };
    }

    /** Whether the request's route allows a further attempt, and its budget one more retry. */
    private static boolean isWithinRetryLimits(PendingRequest pending) {
        int mayHaveRun = 0;
        for (int i = 0; i < pending.attemptCount; i++) {
            mayHaveRun += pending.results[i] == null || !pending.results[i].neverRan ? 1 : 0;
        }
        return mayHaveRun < pending.request.retryLimits().maxAttempts()
                && pending.request.retryLimits().mayRetry();
    }

    /** Rules 2 to 4 for one server: the deduplication scope, the listed state, and a cold server's budget. */
    private boolean maySend(PendingRequest pending, Server server) {
        return !server.ejected
                && now >= server.classExcludedUntil[pending.request.classIndex()]
                && !hasJustFailedAt(pending, server)
                && !isOutOfCapacity(server)
                && isAllowed(pending, server);
    }

    /** Whether the request was sent there less than a usual latency ago; a retry would only use up its attempts. */
    private boolean hasJustFailedAt(PendingRequest pending, Server server) {
        for (int i = 0; i < pending.attemptCount; i++) {
            if (pending.servers[i] == server && now < pending.sentAt[i] + latencyUs[pending.request.classIndex()]) {
                return true;
            }
        }
        return false;
    }

    private boolean isAllowed(PendingRequest pending, Server server) {
        if (server.state != ServerState.READY
                || isCold(server) && now < server.coldLastSentAt + coldIntervalUs(server)) {
            return false;
        }
        int firstAttempt =
                pending.requestClass.idempotency() == Idempotency.KEYED ? pending.firstAttemptThatMayHaveRun() : -1;
        return firstAttempt < 0
                || switch (pending.requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> server.zone == pending.servers[firstAttempt].zone;
                    case CELL -> server.cell == pending.servers[firstAttempt].cell;
                };
    }

    private boolean isCold(Server server) {
        return server.startedAt > 0 && now < server.startedAt + settings.coldUs;
    }

    /**
     * Returns the interval between sends to a cold server, in microseconds.
     *
     * <p>Exception, slow start (rule 4): the unit is a cold server's fraction, by list weights, of the peak rate of
     * answers that this node got lately, times the minimum fraction of its capacity that it has by now. Arrivals would
     * count clients' retries, and the current rate falls with the load, in overload by as much as cold servers are
     * needed. All nodes together may send the rule's multiple of units; each spends half of that, evenly spaced, the
     * first after a random fraction of the interval.
     */
    private long coldIntervalUs(Server server) {
        double ageFraction = Math.max(0, now - server.startedAt) / (double) settings.coldUs;
        double capacityFraction =
                settings.coldStartFraction + (1 - settings.coldStartFraction) * Math.min(1, ageFraction);
        double unitUs = servedRate.gapPerUnitUs(now, Math.max(server.weight, fleet.totalWeight));
        return (long) (server.coldIntervalFraction
                * unitUs
                / server.weight
                / capacityFraction
                / Math.max(1, settings.coldOverloadMultiple / 2));
    }
}
