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
 * Every decision of the load balancer. Its interface, meaning all types, events and actions, stands in
 * {@code Balancer.java}.
 *
 * <p>The ordinary path is ServiceQ's: a failed attempt adds one to its server's error count, a success
 * clears it; a first try draws two servers by weights that fall with the count and goes to the one with
 * fewer of this node's own requests in flight; a failure that may be repeated passes to the next server
 * in list order; when nothing can be tried the request waits, first come first served, inside the
 * client's time. Departures are marked "Exception" below and explained in docs/design.md.
 */
public final class ServiceQBalancer implements Balancer {

    /** How many times a drawn server that may not be sent to is drawn again before all are looked through. */
    private static final int MAX_REDRAWS = 3;
    /** Power of a server's size in its weight: a large one as busy as a small one still answers sooner. */
    private static final double WEIGHT_EXPONENT = 1.5;
    /** Share of a new answer in a server's pace. */
    private static final double LATENCY_GAIN = 0.3;
    /** A pace is forgotten in so many times the time in which a node asks each server once. */
    private static final double LATENCY_DECAY_ROUNDS = 12;
    /** Times left that differ by less than this share of the deadline are the same: the client's way. */
    private static final double COMMON_REMAINING_TOLERANCE = 0.02;
    /** From this share of a class on a time left is the one of first tries: in a jam most are not. */
    private static final double MIN_COMMON_REMAINING_FRACTION = 0.2;
    /** A failure counts in the pace as an answer that took so many times the usual. */
    private static final double FAILURE_RELATIVE_LATENCY = 5;
    /** Paces that differ by less are alike: a server is tried again once its trouble is nearly forgotten. */
    private static final double MIN_LATENCY_DIFFERENCE = 0.05;
    /** Part of attempts answered in time under which a node throttles: less than in overload alone. */
    private static final double MIN_ON_TIME_FRACTION = 0.3;
    /** A throttled node sends what is answered in time so many times over: enough to come back in seconds. */
    private static final double THROTTLED_SENDS_PER_TIMELY_ANSWER = 2;
    /** Part of what it is asked for that a throttled node sends in any case. */
    private static final double THROTTLED_SENDS_PER_REQUEST = 0.03;
    /** An answer inside so many times its class's least mean latency owes its length to the work. */
    private static final double MAX_UNLOADED_LATENCY_RATIO = 1.5;
    /** Share of a new answer in the part answered in time. */
    private static final double ON_TIME_GAIN = 1.0 / 16;
    /** Most attempts that a throttled node saves up. */
    private static final double MAX_SEND_TOKENS = 3;
    /** Shortest sweep over waiting requests: long against its cost, short against any aim. */
    private static final long MIN_SWEEP_US = 5_000;
    /** Share of a new value in a running mean: about the last 32. */
    private static final double MEAN_GAIN = 1.0 / 32;
    /** Requests in flight that all nodes together start with for each server: few enough for one core. */
    private static final double INITIAL_LIMIT_PER_SERVER = 4;
    /** Answers slower than this share of the aim say that a server is crowded: the rest is for chance. */
    private static final double OVERLOAD_TARGET_FRACTION = 0.35;
    /** Growth of a server's limit over all nodes for an answer in good time ... */
    private static final double LIMIT_INCREASE = 0.15;
    /** ... and its cut for a slow one: at a limit of four, one slow answer in four holds the balance. */
    private static final double LIMIT_DECREASE_FRACTION = 0.1;
    /** Answers that take this many times the least mean of their class say so too, however far the aim is. */
    private static final double OVERLOAD_LATENCY_RATIO = 3;
    /** The sum of the limits is a mean: so many of its roots pass on top, for chance is no crowd. */
    private static final double BURST_ROOT_FACTOR = 2.5;
    /** Growth of that least mean with each answer, so that it follows a change of work. */
    private static final double MIN_LATENCY_GROWTH = 1.0001;
    /** Power of the number of nodes at a server with which both grow: at 0 many learn too slowly, at a half
     * they jam. */
    private static final double LIMIT_CHANGE_NODE_EXPONENT = 0.25;
    /** Cut of a limit for a request turned away or not answered in time, which is more than slow. */
    private static final double LIMIT_TIMEOUT_DECREASE_FRACTION = 0.3;
    /** A waiting request with fewer usual latencies left is too late: in overload all wait that long, */
    private static final double MIN_REMAINING_LATENCIES = 2;
    /** but at most with this share of the aim left: while all servers are slow, some may still wait. */
    private static final double MAX_LATE_TARGET_FRACTION = 0.8;
    /** Failures among a server's last {@link #HISTORY_LENGTH} answers from which on it is ejected. */
    private static final int MIN_FAILURES_TO_EJECT = 4;

    private static final int HISTORY_LENGTH = 16;
    /** Successes in a row that bring an ejected server back: one may be luck, three hardly if most fail. */
    private static final int SUCCESSFUL_TRIALS_TO_RESTORE = 3;
    /** Failures in a row of one class from which on a server gets no more of that class for a while. */
    private static final int MIN_STREAK_TO_EXCLUDE_CLASS = 2;
    /** First time without requests for an ejected server, and the longest; failed trials double it. */
    private static final long INITIAL_EJECTION_US = 250_000;

    private static final long MAX_EJECTION_US = 4_000_000;
    /** Own requests in flight from which on a local server is compared with those of other zones. */
    private static final int MIN_IN_FLIGHT_TO_CROSS_ZONES = 2;
    /** Least time between two lines in the operators' log. */
    private static final long MIN_LOG_INTERVAL_US = 1_000_000;
    /** A tenant may use up this much of its share at once before it counts as beyond it. */
    private static final double TENANT_BURST_S = 1;
    /** First wait before a failed list call is made again; doubled each time. */
    private static final long INITIAL_LIST_BACKOFF_US = 250_000;
    /** Sizes by the list are taken for no more than this, and for no less than one part in so many. */
    private static final double MAX_WEIGHT = 1e6;
    /** So many of a large fleet are looked through at once where draws find nothing. */
    private static final int MAX_SERVERS_SCANNED = 256;

    private static final Comparator<PendingRequest> BY_PRIORITY = Comparator.comparingDouble(call -> -call.value);
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
    /** The servers that are ready, and indexes of them. */
    private final Fleet fleet;

    private final IndexedSet<Server> ready;
    private final IndexedSet<Server> ejected;
    /** By class: servers in use that get no more of it, by the ends of that. */
    private final List<TreeSet<Server>> classExclusions = new ArrayList<>();

    private final Map<Long, PendingRequest> pendingById = new HashMap<>();
    private final ArrayList<PendingRequest> queue = new ArrayList<>();
    /** What a second copy may be due of. */
    private final PriorityQueue<PendingRequest> hedgeCandidates =
            new PriorityQueue<>(Comparator.comparingLong(c -> c.hedgeAt));

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
    /** When requests were last wanted of all that were full, and of all servers. */
    private long limitedDemandAt;

    private long totalLimitDemandAt;
    private double onTimeFraction = 1;
    private double sendTokens;
    private double meanValue;
    private int valueCount;
    private long nextListRequestAt = Long.MAX_VALUE;
    private long listBackoffUs = INITIAL_LIST_BACKOFF_US;

    /**
     * A node that has just started and knows nothing.
     *
     * @throws IllegalArgumentException if the settings are out of range
     */
    public ServiceQBalancer(Settings settings, long seed, Actions actions) {
        settings.validate();
        settings = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        sweepUs = Math.max(MIN_SWEEP_US, 2 * settings.tickUs);
        aperture = new Aperture(settings.node, settings.nodes, INITIAL_LIMIT_PER_SERVER);
        latencyUs = new double[settings.classes.size()];
        minLatencyUs = new double[settings.classes.size()];
        answerCounts = new int[settings.classes.size()];
        commonRemainingUs = new long[settings.classes.size()];
        requestCounts = new int[settings.classes.size()];
        commonRemainingFraction = new double[settings.classes.size()];
        tenantTokens = new double[settings.tenants.size()];
        tenantTokensAt = new long[settings.tenants.size()];
        fleet = settings.crossZonePrice == 0 ? new Fleet() : new Fleet(settings.myZone);
        ready = fleet.ready;
        ejected = fleet.ejected;
        for (int c = 0; c < settings.classes.size(); c++) {
            classExclusions.add(new TreeSet<>(new Server.DueTimeOrder(c)));
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

    /** Takes in a server as the list has it; costs next to nothing where nothing has changed. */
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
            // A new process: what was counted against the old one says nothing of it.
            reset(server);
            Arrays.fill(server.classFailureStreaks, 0);
            Arrays.fill(server.classExcludedUntil, 0);
            server.attemptCount = 0;
            server.startedAt = entry.startedAtUs();
            // All nodes learn of a start at about the same time: they must not all send at once (icd7515).
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
     * Exception, aperture: where nodes are many, each keeps to a part of the servers, so that what it learns
     * of one is news: before all of them it would be back at each only when all has changed.
     */
    private void updateAperture() {
        if (aperture.hasChangedSinceLastCheck()) {
            // Both by the same factor: for all nodes at a server the balance between step and cut stays.
            double pace = StrictMath.pow(aperture.meanNodesPerServer(), LIMIT_CHANGE_NODE_EXPONENT);
            limitIncrease = LIMIT_INCREASE / pace;
            limitDecreaseFraction = 1 - StrictMath.pow(1 - LIMIT_DECREASE_FRACTION, pace);
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
        // Servers come and go for as long as a node runs: what is gone and holds nothing is forgotten.
        if (server.inFlight == 0) {
            byId.remove(server.id);
        }
    }

    /** Takes a server out of everything that is chosen from. */
    private void deselect(Server server) {
        if (!ready.contains(server)) {
            return;
        }
        updateTotals(server, -1);
        fleet.remove(server);
        totalLimit = ready.size() == 0 ? 0 : totalLimit; // What rounding has left would else stay for good.
        updateIndexes(server);
    }

    /** Counts a server in use in or out: what hangs at one ejected or gone must not hold back the others. */
    private void updateTotals(Server server, int sign) {
        if (isInUse(server)) {
            totalLimit += sign * server.limit;
            totalInFlight += sign * server.inFlight;
            for (int c = 0; c < answerCounts.length; c++) {
                if (sign < 0) {
                    classExclusions.get(c).remove(server);
                } else if (server.classExcludedUntil[c] > now) {
                    classExclusions.get(c).add(server);
                }
            }
        }
    }

    /** Has the indexes follow what has changed of a server: its errors, size, room, state or exclusions. */
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

    /** The same where only what is in flight or the limit has changed, which mostly changes nothing. */
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
        for (ServerStatistics.PerServer known : prior.servers()) {
            Server server = byId.get(known.id());
            if (server != null && server.attemptCount == 0 && known.startedAtUs() == server.startedAt) {
                totalLimit -= isInUse(server) ? server.limit : 0;
                StatisticsTransfer.restore(server, known, MIN_FAILURES_TO_EJECT, MIN_STREAK_TO_EXCLUDE_CLASS, now);
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
        // Jittered backoff: nodes that failed together must not ask together again.
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
            throw new IllegalArgumentException("unknown class or tenant, or an id that is held: " + request);
        }
        long elapsedUs = elapsedBeforeThisTry(request);
        PendingRequest call = new PendingRequest(request, settings, now, elapsedUs);
        pendingById.put(request.id(), call);
        // By first tries: in a jam clients' retries multiply what is asked.
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + (elapsedUs == 0 ? THROTTLED_SENDS_PER_REQUEST : 0));
        call.value = assignPriority(call);
        if (aperture.recordRequest(now, minLatencyUs[request.classIndex()])) {
            updateAperture();
        }
        // On a node that is behind the answer will lie unread too: what can't be in time takes none of the
        // processor from the rest. After a single pause that is too much.
        UnservedReason early = isWithoutValue(call)
                ? UnservedReason.TOO_LATE_ON_ARRIVAL
                : loadShedder.shouldShed(call, random)
                        ? UnservedReason.SHED
                        : call.requestClass.lateValueFraction() == 0
                                        && request.loopDelayUs() > sweepUs
                                        && call.latencyTargetAt - now
                                                < request.loopDelayUs() / 2 + latencyUs[request.classIndex()]
                                ? UnservedReason.EVENT_LOOP_DELAY
                                : null;
        if (early != null) {
            finishUnserved(call, early);
            return;
        }
        Server server = queue.isEmpty() && now < call.deadlineAt ? chooseServer(call) : null;
        if (server != null) {
            send(call, server);
        } else {
            enqueue(call);
            dispatchQueued();
        }
        scheduleWake();
    }

    /**
     * How long a client has been asking before this try: nothing where clients mark their repeats and this
     * one is not marked. Else its time left tells: first tries of a class, the most by far, all have the
     * same, and later ones what is left of the deadline.
     */
    private long elapsedBeforeThisTry(Request request) {
        if (settings.clientsMarkRetries && !request.retry()) {
            return 0;
        }
        int c = request.classIndex();
        long deadline = settings.classes.get(c).deadlineUs();
        long leftUs = request.remainingUs() + request.loopDelayUs() + request.admissionDelayUs();
        boolean usual = Math.abs(leftUs - commonRemainingUs[c]) <= COMMON_REMAINING_TOLERANCE * deadline;
        commonRemainingFraction[c] += meanGain(++requestCounts[c]) * ((usual ? 1 : 0) - commonRemainingFraction[c]);
        if (!usual && commonRemainingFraction[c] < MIN_COMMON_REMAINING_FRACTION) {
            // No time left is the usual one (yet), so it tells nothing.
            commonRemainingUs[c] = leftUs;
            return 0;
        }
        return usual ? 0 : Math.max(0, deadline - leftUs);
    }

    /** Share of the newest of so many values in a running mean: an even part until there are many. */
    private static double meanGain(int values) {
        return Math.max(MEAN_GAIN, 1.0 / values);
    }

    /** Whether no answer can earn anything any more: then it takes no server's time (i9ce813). */
    private boolean isWithoutValue(PendingRequest call) {
        return call.requestClass.lateValueFraction() == 0 && now >= call.latencyTargetAt;
    }

    @Override
    public void onOutcome(long nowUs, Outcome outcome) {
        now = nowUs;
        PendingRequest call = pendingById.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (call == null || attempt < 0 || attempt >= call.attemptCount || call.results[attempt] != null) {
            return;
        }
        Server server = call.servers[attempt];
        Result result = outcome.result();
        call.results[attempt] = result;
        call.outstandingAttempts--;
        server.inFlight--;
        totalInFlight -= isInUse(server) ? 1 : 0;
        if (server.state == ServerState.GONE && server.inFlight == 0) {
            byId.remove(server.id, server);
        }
        updateCapacity(server);
        server.unreachable = result == Result.CONNECT_FAILED;
        if (result == Result.OK) {
            call.request.retryLimits().recordLatency(outcome.serverLatencyUs());
            recordSuccess(server);
        } else if (outcome.isInformative()) {
            // A time-out of a server that has answered since tells of crowding, as being full does.
            boolean crowded =
                    result == Result.FULL || result == Result.TIMEOUT && server.lastResponseAt >= call.sentAt[attempt];
            recordFailure(server, !crowded);
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
            updateClassStreak(call, attempt);
            double usual = latencyUs[call.request.classIndex()];
            if ((result == Result.OK || result == Result.TIMEOUT) && usual > 0) {
                updateRelativeLatency(server, outcome.serverLatencyUs() / usual);
            }
            boolean inTime = now - outcome.loopDelayUs() <= call.latencyTargetAt;
            if (result == Result.OK || result == Result.TIMEOUT) {
                // An error says nothing of crowding, nor does work that takes longer than its aim.
                double least = minLatencyUs[call.request.classIndex()];
                boolean longAtBest =
                        least < Double.MAX_VALUE && outcome.serverLatencyUs() < MAX_UNLOADED_LATENCY_RATIO * least;
                updateOnTimeFraction(
                        result != Result.OK ? 0 : inTime || longAtBest ? 1 : call.requestClass.lateValueFraction());
            }
            updateLimit(call, attempt, outcome);
            pauseServer(server, outcome.serverLatencyUs(), result == Result.OK ? 0 : usual);
        }
        if (outcome.requestEnded()) {
            finish(call);
        } else if (!call.ended && call.outstandingAttempts == 0) {
            retryElsewhere(call, server);
        }
        forgetIfFinished(call);
        dispatchQueued();
        scheduleWake();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        PendingRequest call = pendingById.get(requestId);
        if (call != null) {
            call.streaming = true;
        }
    }

    @Override
    public void onClientDisconnected(long nowUs, long requestId) {
        now = nowUs;
        PendingRequest call = pendingById.get(requestId);
        if (call != null) {
            finish(call);
        }
    }

    @Override
    public void onProbe(long nowUs, String serverId, Result result, long tookUs, double[] report) {
        now = nowUs; // None is asked for: what a process answers beside its queue says nothing of that.
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

    // ---------------------------------------------------------------- the mechanism

    /** A failure adds one; failures that say something of health, not of crowding, may eject the server. */
    private void recordFailure(Server server, boolean ill) {
        server.errors++;
        updateIndexes(server);
        if (ill) {
            server.failureHistory = server.failureHistory << 1 | 1;
            server.successfulTrials = 0;
            if (server.ejected || recentFailures(server) >= MIN_FAILURES_TO_EJECT) {
                eject(server);
            }
        }
    }

    /** A success clears the count; an ejected server has to succeed several times in a row. */
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
     * Exception, classes: a server may serve all but one class, and its answers to the others must not hide
     * that. What failed {@link #MIN_STREAK_TO_EXCLUDE_CLASS} times in a row is kept from it for a while, twice as long after
     * each single try that fails; in no more than half of the servers, as with ejection.
     */
    private void updateClassStreak(PendingRequest call, int attempt) {
        Server server = call.servers[attempt];
        int c = call.request.classIndex();
        switch (call.results[attempt]) {
            case OK -> server.classLastServedAt[c] = now;
            case ERROR, RESET -> server.classFailureStreaks[c]++;
            case TIMEOUT -> server.classFailureStreaks[c] += server.classLastServedAt[c] < call.sentAt[attempt] ? 1 : 0;
            default -> {}
        }
        server.classFailureStreaks[c] = call.results[attempt] == Result.OK ? 0 : server.classFailureStreaks[c];
        excludeFromClass(server, c);
    }

    private void excludeFromClass(Server server, int c) {
        int more = server.classFailureStreaks[c] - MIN_STREAK_TO_EXCLUDE_CLASS;
        if (more >= 0 && !wouldExcludeMost(server, c)) {
            classExclusions.get(c).remove(server);
            server.classExcludedUntil[c] =
                    now + Math.min(MAX_EJECTION_US, 2 * INITIAL_EJECTION_US << Math.min(more, HISTORY_LENGTH));
            if (isInUse(server)) {
                classExclusions.get(c).add(server);
            }
        }
    }

    /** Whether with this server more than half would get none of a class. */
    private boolean wouldExcludeMost(Server server, int c) {
        TreeSet<Server> others = classExclusions.get(c);
        while (!others.isEmpty() && others.first().classExcludedUntil[c] <= now) {
            others.pollFirst();
        }
        int outs =
                others.size() - (others.contains(server) ? 1 : 0) + ejected.size() - (ejected.contains(server) ? 1 : 0);
        return ready.size() < 2 + 2 * outs;
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
     * Exception, ejection: a server that failed {@link #MIN_FAILURES_TO_EJECT} of its last {@link #HISTORY_LENGTH} answers
     * gets nothing but single trials of repeatable requests, further apart each time one fails. Never
     * more than half of the servers are out: when most fail, the trouble is not theirs, and the weights
     * alone decide.
     */
    private void eject(Server server) {
        if (!server.ejected) {
            if (2 * (ejected.size() + 1) > ready.size()) {
                // More than its part of the fleet may be well.
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
            for (int c = 0; c < answerCounts.length; c++) {
                while (wouldExcludeMost(server, c) && !classExclusions.get(c).isEmpty()) {
                    classExclusions.get(c).pollFirst().classExcludedUntil[c] = 0;
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

    /** A server to begin anew with. */
    private void reset(Server server) {
        clearErrors(server);
        server.failureHistory = 0;
        server.ejected = false;
        server.successfulTrials = 0;
        server.limit = INITIAL_LIMIT_PER_SERVER / aperture.meanNodesPerServer();
        server.pausedUntil = 0;
    }

    /** An ejected server that is due for a trial with this request, if it is repeatable, or null. */
    private Server serverDueForTrial(PendingRequest call) {
        int looks = call.requestClass.idempotency() == Idempotency.UNSAFE || fleet.ejectedByTrialTime.isEmpty()
                ? 0
                : MAX_SERVERS_SCANNED;
        for (Server server : fleet.ejectedByTrialTime) {
            if (looks-- == 0 || server.nextTrialAt > now) {
                return null;
            }
            if (isAllowed(call, server)) {
                return server;
            }
        }
        return null;
    }

    /**
     * An ejected server that served lately and takes connections, for a repeatable request that no other
     * server has room for, or null: in a crowded fleet half of its work is worth more than none.
     */
    private Server ejectedFallback(PendingRequest call) {
        Server best = null;
        int from = ejected.size() <= MAX_SERVERS_SCANNED ? 0 : random.nextInt(ejected.size());
        for (int i = 0;
                i < Math.min(MAX_SERVERS_SCANNED, ejected.size())
                        && call.requestClass.idempotency() != Idempotency.UNSAFE;
                i++) {
            Server server = ejected.get((from + i) % ejected.size());
            if (!isAtLimit(server)
                    && now >= server.pausedUntil
                    && !server.unreachable
                    && !hasJustFailedAt(call, server)
                    && now < server.lastServedAt + MAX_EJECTION_US
                    && isAllowed(call, server)
                    && (best == null || recentFailures(server) < recentFailures(best))) {
                best = server;
            }
        }
        return best;
    }

    private boolean isInUse(Server server) {
        return ready.contains(server) && !server.ejected;
    }

    private void log(String line) {
        if (now >= nextLogAt) {
            nextLogAt = now + MIN_LOG_INTERVAL_US;
            actions.log(line);
        }
    }

    // ---------------------------------------------------------------- draws

    /** Two draws by weight; the one with fewer own requests in flight, ties at random. */
    private Server chooseServer(PendingRequest call) {
        Server due = serverDueForTrial(call);
        Server server = due == null ? drawByZone(call) : due;
        return server == null ? ejectedFallback(call) : server;
    }

    private Server drawByZone(PendingRequest call) {
        Server server = drawTwo(call, fleet.localZone, fleet.localZoneWithCapacity);
        if (fleet.localZone == fleet.allZones) {
            return server;
        }
        // Exception, zones: where crossing costs, both draws are local, and two more from all win only if
        // the local choice is crowded, fails, or has at least two requests more in flight.
        if (server != null && server.inFlight < MIN_IN_FLIGHT_TO_CROSS_ZONES && server.errors == 0) {
            return server;
        }
        Server other = drawTwo(call, fleet.allZones, fleet.allZonesWithCapacity);
        return server == null
                        || other != null
                                && (other.inFlight + MIN_IN_FLIGHT_TO_CROSS_ZONES <= server.inFlight
                                        || other.errors < server.errors)
                ? other
                : server;
    }

    private Server drawTwo(PendingRequest call, DrawIndex<Server> from, DrawIndex<Server> withRoom) {
        Server first = draw(call, from, withRoom, null);
        Server second = first == null ? null : draw(call, from, withRoom, first);
        if (first != null && actions.wantsExplanations()) {
            actions.reportCandidates(
                    call.request.id(),
                    ServerStatusReasons.candidate(first, relativeLatency(first)),
                    second == null ? null : ServerStatusReasons.candidate(second, relativeLatency(second)));
        }
        if (second == null || first.inFlight < second.inFlight) {
            return first;
        }
        if (first.inFlight > second.inFlight) {
            return second;
        }
        // Exception, ties: with little in flight a tie goes to the server that was quicker of late (i9ce813).
        double difference = relativeLatency(first) - relativeLatency(second);
        boolean toss = Math.abs(difference) < MIN_LATENCY_DIFFERENCE;
        return (toss ? random.nextInt(2) == 0 : difference > 0) ? second : first;
    }

    /** How long a server takes for what takes others 1, as far as this node knows; forgotten with time. */
    private double relativeLatency(Server server) {
        double forgetUs = LATENCY_DECAY_ROUNDS * servedRate.meanGapUs() * Math.max(1, ready.size());
        return 1 + (server.relativeLatency - 1) * StrictMath.exp(-(now - server.relativeLatencyAt) / forgetUs);
    }

    private void updateRelativeLatency(Server server, double ratio) {
        double before = relativeLatency(server);
        server.relativeLatency = before + LATENCY_GAIN * (ratio - before);
        server.relativeLatencyAt = now;
    }

    /**
     * One draw by the paper's weights among the servers that may be sent to, but for {@code except}, or null.
     * Exception, sizes: servers are not alike, so a weight counts for each part of a server's size by the
     * list; where all sizes are the same, nothing changes.
     */
    private Server draw(PendingRequest call, DrawIndex<Server> from, DrawIndex<Server> withRoom, Server except) {
        double effect = fleet.allZones.weightScale();
        for (int i = 0; i <= MAX_REDRAWS && from.size() > 0; i++) {
            Server server = from.draw(random, effect);
            if (server != except && maySend(call, server)) {
                return server;
            }
        }
        // Most are full, or may not be sent this: all of those are wanted, and the rest is looked through.
        return !recordDemand() || withRoom.size() == 0
                ? null
                : withRoom.drawAmong(
                        MAX_SERVERS_SCANNED, random, effect, server -> server != except && maySend(call, server));
    }

    /** Notes that whoever is full, or all, are wanted; whether one with room may be sent to. */
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

    /** A failed request goes to the next server in list order, or waits, or has its final answer. */
    private void retryElsewhere(PendingRequest call, Server failed) {
        if (!mayRetry(call)) {
            finishUnserved(call, unservedReason(call));
            return;
        }
        long waitUs = call.request.retryLimits().retryDelayUs(call.attemptCount);
        if (waitUs > 0) {
            call.notBefore = now + waitUs;
            enqueue(call);
            return;
        }
        List<Server> tried = Arrays.asList(call.servers);
        IndexedSet<Server> group = retryGroup(call);
        int start = group.indexOf(failed);
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 1; i <= Math.min(MAX_SERVERS_SCANNED, group.size()); i++) {
                Server next = group.get((start + i) % group.size());
                // Exception: where crossing costs, own-zone servers that have not failed last come first.
                boolean first = next.errors == 0 && (fleet.localZone == fleet.allZones || next.zone == settings.myZone);
                if ((first || pass > 0) && !tried.contains(next) && maySend(call, next)) {
                    send(call, next);
                    return;
                }
            }
        }
        enqueue(call);
    }

    /** The ready servers among which a request that may have run must stay. */
    private IndexedSet<Server> retryGroup(PendingRequest call) {
        int binding = call.requestClass.idempotency() == Idempotency.KEYED ? call.firstAttemptThatMayHaveRun() : -1;
        return binding < 0 || call.requestClass.deduplicationScope() == DeduplicationScope.ALL
                ? ready
                : call.requestClass.deduplicationScope() == DeduplicationScope.ZONE
                        ? fleet.serversInZone(call.servers[binding].zone)
                        : fleet.serversInCell(call.servers[binding].cell);
    }

    // ---------------------------------------------------------------- the deferred queue

    /** Puts a request into the deferred queue, if there is time: first come first served of equal value. */
    private void enqueue(PendingRequest call) {
        if (hasExpired(call)) {
            finishUnserved(call, unservedReason(call));
            return;
        }
        call.queued = true;
        int low = 0;
        for (int high = queue.size(); low < high; ) {
            int middle = (low + high) >>> 1;
            boolean before = BY_PRIORITY.compare(queue.get(middle), call) <= 0;
            low = before ? middle + 1 : low;
            high = before ? high : middle;
        }
        queue.add(low, call);
    }

    /** Whether a request that waits has run out of time, or of what it may try. */
    private boolean hasExpired(PendingRequest call) {
        return call.deadlineAt - now <= sweepUs + settings.tickUs
                || isLate(call) && call.requestClass.lateValueFraction() == 0
                || !mayRetry(call);
    }

    private boolean isLate(PendingRequest call) {
        return call.latencyTargetAt - now
                < Math.min(
                        MAX_LATE_TARGET_FRACTION * (call.latencyTargetAt - call.arrivedAt),
                        MIN_REMAINING_LATENCIES * latencyUs[call.request.classIndex()]);
    }

    /** Whether nobody can be sent anything, which needs no look at each that waits. */
    private boolean hasNoAvailableServer() {
        return ejected.size() == 0 && (fleet.allZonesWithCapacity.size() == 0 || isThrottled() || isAtTotalLimit());
    }

    /** Sends what waits as far as servers allow and ends what has run out of time. */
    private void dispatchQueued() {
        // All that wait are looked at once in a sweep; in between only as long as somebody has room.
        boolean sweep = now >= lastSweepAt + sweepUs;
        if (queue.isEmpty() || !sweep && hasNoAvailableServer()) {
            if (!queue.isEmpty()) {
                recordDemand();
            }
            return;
        }
        lastSweepAt = sweep ? now : lastSweepAt;
        int kept = 0;
        int seen = 0;
        boolean[] full = new boolean[settings.classes.size()];
        boolean unsorted = false;
        while (seen < queue.size()) {
            PendingRequest call = queue.get(seen++);
            if (!call.queued) {
                continue;
            }
            if (hasExpired(call)) {
                call.queued = false;
                finishUnserved(call, unservedReason(call));
                continue;
            }
            boolean late = isLate(call);
            if (late && !call.lateDiscountApplied) {
                call.lateDiscountApplied = true;
                call.value *= call.requestClass.lateValueFraction();
                unsorted = true;
                queue.set(kept++, call);
                continue;
            }
            int c = call.request.classIndex();
            Server server = full[c] || now < call.notBefore ? null : chooseServer(call);
            if (server != null) {
                call.queued = false;
                send(call, server);
                if (!sweep && hasNoAvailableServer()) {
                    break;
                }
            } else {
                // What has not been sent may go wherever its class may: if it finds no server, nor does
                // the next one.
                full[c] |= call.attemptCount == 0;
                queue.set(kept++, call);
            }
        }
        queue.subList(kept, seen).clear();
        if (unsorted) {
            queue.sort(BY_PRIORITY);
        }
    }

    /**
     * What a request earns for the work it takes, by which the queue is ordered: its class's worth, less
     * if its tenant is beyond this node's part of its share, over the usual latency of its class as the
     * measure of work.
     */
    private double assignPriority(PendingRequest call) {
        double worth = call.requestClass.value();
        int tenant = call.request.tenant();
        double quota = tenant < 0 ? 0 : settings.tenants.get(tenant).quotaPerS() / settings.nodes;
        if (quota > 0) {
            double most = Math.max(1, quota * TENANT_BURST_S);
            double since = tenantTokensAt[tenant] == 0 ? TENANT_BURST_S : (now - tenantTokensAt[tenant]) / 1e6;
            tenantTokensAt[tenant] = now;
            tenantTokens[tenant] = Math.min(most, tenantTokens[tenant] + quota * since);
            if (tenantTokens[tenant] >= 1) {
                tenantTokens[tenant]--;
            } else {
                worth *= settings.overShareValueFraction;
            }
        }
        call.priority = worth;
        call.aboveMeanValue = worth > meanValue;
        meanValue += meanGain(++valueCount) * (worth - meanValue);
        return settings.valuePerWorkUnit ? worth : worth / Math.max(1, latencyUs[call.request.classIndex()]);
    }

    // ---------------------------------------------------------------- concurrency limits

    /**
     * Exception, concurrency limits: each server's limit grows when it was met while a request was out
     * that was answered well inside the aim, and falls when answers are slow or requests are turned away.
     * Acts only when a draw would exceed a server's limit, or the node the sum of all limits. With many nodes
     * a server's part is under one: then it rests after each answer, for as long as makes it that part.
     */
    private void updateLimit(PendingRequest call, int attempt, Outcome outcome) {
        Server server = call.servers[attempt];
        double before = server.limit;
        if (outcome.result() == Result.OK) {
            int c = call.request.classIndex();
            // By the stall alone: of the answers of a node that is behind only the slow ones are surely slow.
            latencyUs[c] += outcome.loopDelayUs() > sweepUs
                    ? 0
                    : meanGain(++answerCounts[c]) * (outcome.serverLatencyUs() - latencyUs[c]);
            // The first answers' mean is chance; until then the aim alone tells.
            minLatencyUs[c] = answerCounts[c] * MEAN_GAIN < 0.5
                    ? Double.MAX_VALUE
                    : Math.min(minLatencyUs[c] * MIN_LATENCY_GROWTH, latencyUs[c]);
            double crowded =
                    Math.min(OVERLOAD_TARGET_FRACTION * call.latencyTargetUs, OVERLOAD_LATENCY_RATIO * minLatencyUs[c]);
            servedRate.recordAnswer(now, fleet.totalWeight);
            if (outcome.serverLatencyUs() <= crowded) {
                // A cold server gets little and is quick with it: were its limit to pass the others', all
                // nodes together would choke it as soon as slow start lets go (i3a094a).
                server.limit += lastDemandAtLimit(server) >= call.sentAt[attempt]
                                && (!isCold(server) || server.limit * ready.size() < totalLimit)
                        ? limitIncrease
                        : 0;
            } else {
                decreaseLimit(call, attempt, limitDecreaseFraction);
            }
        } else if (outcome.result() == Result.TIMEOUT) {
            decreaseLimit(call, attempt, LIMIT_TIMEOUT_DECREASE_FRACTION);
        }
        if (isInUse(server)) {
            totalLimit += server.limit - before;
        }
        updateCapacity(server);
    }

    /**
     * A limit under one is the part of the time in which this node may have a request there; what fails at
     * once took less, but the next one would find no better.
     */
    private void pauseServer(Server server, double heldUs, double leastUs) {
        server.pausedUntil = server.limit > 1 ? 0 : now + (long) (Math.max(heldUs, leastUs) / server.limit - heldUs);
    }

    /** When a server was last wanted while it was full, or all were. */
    private long lastDemandAtLimit(Server server) {
        long asFull = server.atLimitSince >= 0 && limitedDemandAt >= server.atLimitSince ? limitedDemandAt : 0;
        return Math.max(server.limitedDemandAt, Math.max(asFull, totalLimitDemandAt));
    }

    /** One cut for all that was sent before the last one. */
    private void decreaseLimit(PendingRequest call, int attempt, double cut) {
        Server server = call.servers[attempt];
        if (call.sentAt[attempt] >= server.limitDecreasedAt) {
            server.limit = Math.max(1 / aperture.meanNodesPerServer(), server.limit * (1 - cut));
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

    /** The sum guards against a stall, when all that nodes may have at servers is out at once. */
    private boolean isAtTotalLimit() {
        // A burst's room shrinks with health, none at half: a fleet in overload tips over by it (i6d5d9b).
        double burst = BURST_ROOT_FACTOR * Math.max(0, 2 * onTimeFraction - 1) * Math.sqrt(totalLimit);
        return totalInFlight > 0 && totalInFlight + 1 > totalLimit + burst;
    }

    /**
     * Exception, throttling: once under {@link #MIN_ON_TIME_FRACTION} of attempts are answered in time, a node
     * sends {@link #THROTTLED_SENDS_PER_TIMELY_ANSWER} times what is, and a little to see whether that still holds: a fleet that has
     * turned slow under its load recovers only if nearly nothing comes (i6d5d9b, ia25714).
     */
    private boolean isThrottled() {
        return onTimeFraction < MIN_ON_TIME_FRACTION && sendTokens < 1;
    }

    private void updateOnTimeFraction(double earned) {
        onTimeFraction += ON_TIME_GAIN * (earned - onTimeFraction);
        sendTokens = Math.min(MAX_SEND_TOKENS, sendTokens + (earned == 1 ? THROTTLED_SENDS_PER_TIMELY_ANSWER : 0));
    }

    private boolean isAtLimit(Server server) {
        return server.inFlight + 1 > Math.max(1, server.limit);
    }

    // ---------------------------------------------------------------- sending

    private void send(PendingRequest call, Server server) {
        if (call.attemptCount > 0) {
            call.request.retryLimits().recordRetry();
        }
        loadShedder.recordSent(call);
        int attempt = call.attemptCount++;
        sendTokens = Math.max(0, sendTokens - 1);
        call.servers[attempt] = server;
        call.sentAt[attempt] = now;
        call.outstandingAttempts++;
        server.inFlight++;
        totalInFlight += isInUse(server) ? 1 : 0;
        updateCapacity(server);
        servedRate.start(now);
        if (isCold(server)) {
            server.coldLastSentAt = now;
            server.coldIntervalFraction = 1;
        }
        long end = attemptDeadline(call);
        if (server.classFailureStreaks[call.request.classIndex()] > 0) {
            excludeFromClass(server, call.request.classIndex());
            end = Math.min(end, suspectAttemptDeadline(call));
        }
        actions.send(call.request.id(), server.id, end);
        long copyAfterUs = attempt == 0
                        && settings.allowsHedging
                        && call.requestClass.idempotency() != Idempotency.UNSAFE
                        && !call.requestClass.isStreaming()
                ? call.request.retryLimits().hedgeDelayUs()
                : 0;
        if (copyAfterUs > 0) {
            call.hedgeAt = now + copyAfterUs;
            hedgeCandidates.add(call);
        }
    }

    /** Exception, second copies: where a route asks for them, what is slow is sent to another server too. */
    private void sendHedges() {
        while (!hedgeCandidates.isEmpty() && (hedgeCandidates.peek().ended || hedgeCandidates.peek().hedgeAt <= now)) {
            PendingRequest call = hedgeCandidates.poll();
            if (!call.ended && call.attemptCount == 1 && call.outstandingAttempts == 1 && mayRetry(call)) {
                Server other = draw(call, fleet.allZones, fleet.allZonesWithCapacity, call.servers[0]);
                if (other != null) {
                    send(call, other);
                }
            }
        }
    }

    /** Exception, time-out at the aim: where a later answer earns nothing, it only keeps its server busy. */
    private long attemptDeadline(PendingRequest call) {
        return call.requestClass.lateValueFraction() > 0
                        || clientRetriesFailures(call.requestClass)
                        || call.requestClass.isStreaming()
                ? call.deadlineAt
                : call.latencyTargetAt;
    }

    /** Where a class has just failed, time is left for another server to repeat what can be repeated. */
    private long suspectAttemptDeadline(PendingRequest call) {
        long half = (call.latencyTargetAt - now) / 2;
        return call.requestClass.idempotency() == Idempotency.UNSAFE || half <= 0
                ? Long.MAX_VALUE
                : now + Math.max(half, (long) (MIN_REMAINING_LATENCIES * latencyUs[call.request.classIndex()]));
    }

    /** Whether clients come back after a failure too, and not only when told that it does no harm. */
    private static boolean clientRetriesFailures(RequestClass cls) {
        return cls.idempotency() == Idempotency.SAFE
                || cls.idempotency() == Idempotency.KEYED && cls.deduplicationScope() == DeduplicationScope.ALL;
    }

    // ---------------------------------------------------------------- the four rules

    /** Rule 1: the one final answer, a refusal wherever that is known to be harmless. */
    private void finishUnserved(PendingRequest call, UnservedReason why) {
        if (actions.wantsExplanations()) {
            actions.reportReason(call.request.id(), why);
        }
        boolean harmless = switch (call.requestClass.idempotency()) {
            case SAFE -> true;
            case KEYED ->
                call.firstAttemptThatMayHaveRun() < 0
                        || call.requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case UNSAFE -> call.firstAttemptThatMayHaveRun() < 0;
        };
        loadShedder.recordUnserved(call);
        // A refusal calls back a client who would let a failure be; past the aim that is work for nothing.
        if (harmless && (clientRetriesFailures(call.requestClass) || !isWithoutValue(call))) {
            actions.reject(call.request.id(), settings.maxRetryAfterUs);
        } else {
            actions.fail(call.request.id());
        }
        finish(call);
    }

    private UnservedReason unservedReason(PendingRequest call) {
        int binding = call.firstAttemptThatMayHaveRun();
        return call.attemptCount == 0
                ? UnservedReason.NO_CAPACITY
                : call.attemptCount >= settings.maxAttempts
                        ? UnservedReason.ATTEMPTS_EXHAUSTED
                        : mayRetry(call) || now >= call.deadlineAt || isWithoutValue(call)
                                ? UnservedReason.DEADLINE_EXCEEDED
                                : binding >= 0 && call.requestClass.idempotency() == Idempotency.UNSAFE
                                        ? UnservedReason.MAY_HAVE_RUN
                                        : binding >= 0
                                                        && call.requestClass.idempotency() == Idempotency.KEYED
                                                        && now
                                                                > call.sentAt[binding]
                                                                        + call.requestClass.deduplicationWindowUs()
                                                ? UnservedReason.DEDUPLICATION_WINDOW_EXPIRED
                                                : UnservedReason.ROUTE_LIMIT;
    }

    private void finish(PendingRequest call) {
        call.ended = true;
        call.queued = false;
        for (int i = 0; i < call.attemptCount && call.outstandingAttempts > 0 && settings.allowsCancellation; i++) {
            if (call.results[i] == null) {
                actions.cancel(call.request.id(), i);
            }
        }
        forgetIfFinished(call);
    }

    private void forgetIfFinished(PendingRequest call) {
        if (call.ended && call.outstandingAttempts == 0) {
            pendingById.remove(call.request.id());
        }
    }

    /** Rule 2: whether any further attempt could be lawful, wherever it goes. */
    private boolean mayRetry(PendingRequest call) {
        if (call.attemptCount >= settings.maxAttempts
                || now >= call.deadlineAt
                || call.streaming
                || isWithoutValue(call)
                || call.attemptCount > 0 && !isWithinRetryLimits(call)) {
            return false;
        }
        int binding = call.firstAttemptThatMayHaveRun();
        return binding < 0
                || switch (call.requestClass.idempotency()) {
                    case SAFE -> true;
                    case KEYED -> now <= call.sentAt[binding] + call.requestClass.deduplicationWindowUs();
                    case UNSAFE -> false;
                };
    }

    /** Whether the request's route allows a further attempt, and its budget one more repeat. */
    private static boolean isWithinRetryLimits(PendingRequest call) {
        int mayHaveRun = 0;
        for (int i = 0; i < call.attemptCount; i++) {
            mayHaveRun += call.results[i] == null || !call.results[i].neverRan ? 1 : 0;
        }
        return mayHaveRun < call.request.retryLimits().maxAttempts()
                && call.request.retryLimits().mayRetry();
    }

    /** Rules 2 to 4 for one server: the keyed group, the list's word, and a cold server's budget. */
    private boolean maySend(PendingRequest call, Server server) {
        return !server.ejected
                && now >= server.classExcludedUntil[call.request.classIndex()]
                && !hasJustFailedAt(call, server)
                && !isOutOfCapacity(server)
                && isAllowed(call, server);
    }

    /** Whether the request failed there so quickly that it would only use up its attempts at once. */
    private boolean hasJustFailedAt(PendingRequest call, Server server) {
        for (int i = 0; i < call.attemptCount; i++) {
            if (call.servers[i] == server && now < call.sentAt[i] + latencyUs[call.request.classIndex()]) {
                return true;
            }
        }
        return false;
    }

    private boolean isAllowed(PendingRequest call, Server server) {
        if (server.state != ServerState.READY
                || isCold(server) && now < server.coldLastSentAt + coldIntervalUs(server)) {
            return false;
        }
        int binding = call.requestClass.idempotency() == Idempotency.KEYED ? call.firstAttemptThatMayHaveRun() : -1;
        return binding < 0
                || switch (call.requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> server.zone == call.servers[binding].zone;
                    case CELL -> server.cell == call.servers[binding].cell;
                };
    }

    private boolean isCold(Server server) {
        return server.startedAt > 0 && now < server.startedAt + settings.coldUs;
    }

    /**
     * Exception, slow start (rule 4): the unit is a cold server's part, by the list's sizes, of what this
     * node got answered at best lately (of what arrives clients' retries make too much; what is answered now
     * falls with the load, and in a jam by as much as the cold servers are wanted), times the share of its
     * capacity that it has at least. All nodes together may send so many units as the rule's multiple; each
     * spends half of that, evenly spaced, the first after a random part of the space.
     */
    private long coldIntervalUs(Server server) {
        double age = Math.max(0, now - server.startedAt) / (double) settings.coldUs;
        double share = settings.coldStartFraction + (1 - settings.coldStartFraction) * Math.min(1, age);
        double unitUs = servedRate.gapPerUnitUs(now, Math.max(server.weight, fleet.totalWeight));
        return (long) (server.coldIntervalFraction
                * unitUs
                / server.weight
                / share
                / Math.max(1, settings.coldOverloadMultiple / 2));
    }
}
