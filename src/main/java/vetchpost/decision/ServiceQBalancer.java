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
    private static final int REDRAWS = 3;
    /** Power of a server's size in its weight: a large one as busy as a small one still answers sooner. */
    private static final double SIZE_POWER = 1.5;
    /** Share of a new answer in a server's pace. */
    private static final double PACE_GAIN = 0.3;
    /** A pace is forgotten in so many times the time in which a node asks each server once. */
    private static final double PACE_KEPT = 12;
    /** Times left that differ by less than this share of the deadline are the same: the client's way. */
    private static final double USUAL_LEFT_WITHIN = 0.02;
    /** From this share of a class on a time left is the one of first tries: in a jam most are not. */
    private static final double USUAL_LEFT_AT = 0.2;
    /** A failure counts in the pace as an answer that took so many times the usual. */
    private static final double FAULT_PACE = 5;
    /** Paces that differ by less are alike: a server is tried again once its trouble is nearly forgotten. */
    private static final double PACE_ALIKE = 0.05;
    /** Part of attempts answered in time under which a node throttles: less than in overload alone. */
    private static final double THROTTLE_BELOW = 0.3;
    /** A throttled node sends what is answered in time so many times over: enough to come back in seconds. */
    private static final double THROTTLE = 2;
    /** Part of what it is asked for that a throttled node sends in any case. */
    private static final double THROTTLE_FLOOR = 0.03;
    /** An answer inside so many times its class's least mean latency owes its length to the work. */
    private static final double AT_BEST = 1.5;
    /** Share of a new answer in the part answered in time. */
    private static final double HEALTH_GAIN = 1.0 / 16;
    /** Most attempts that a throttled node saves up. */
    private static final double MAX_TOKENS = 3;
    /** Shortest sweep over waiting requests: long against its cost, short against any aim. */
    private static final long MIN_SWEEP_US = 5_000;
    /** Share of a new value in a running mean: about the last 32. */
    private static final double MEAN_GAIN = 1.0 / 32;
    /** Requests in flight that all nodes together start with for each server: few enough for one core. */
    private static final double FIRST_LIMIT = 4;
    /** Answers slower than this share of the aim say that a server is crowded: the rest is for chance. */
    private static final double CROWDED_AT = 0.35;
    /** Growth of a server's limit over all nodes for an answer in good time ... */
    private static final double LIMIT_STEP = 0.15;
    /** ... and its cut for a slow one: at a limit of four, one slow answer in four holds the balance. */
    private static final double LIMIT_CUT = 0.1;
    /** Answers that take this many times the least mean of their class say so too, however far the aim is. */
    private static final double CROWDED_BY = 3;
    /** The sum of the limits is a mean: so many of its roots pass on top, for chance is no crowd. */
    private static final double BURST = 2.5;
    /** Growth of that least mean with each answer, so that it follows a change of work. */
    private static final double MIN_DRIFT = 1.0001;
    /** Power of the number of nodes at a server with which both grow: at 0 many learn too slowly, at a half
     * they jam. */
    private static final double LEARN_BY_NODES = 0.25;
    /** Cut of a limit for a request turned away or not answered in time, which is more than slow. */
    private static final double LIMIT_HARD_CUT = 0.3;
    /** A waiting request with fewer usual latencies left is too late: in overload all wait that long, */
    private static final double TOO_LATE_AT = 2;
    /** but at most with this share of the aim left: while all servers are slow, some may still wait. */
    private static final double MOST_LATE_AT = 0.8;
    /** Failures among a server's last {@link #REMEMBERED} answers from which on it is ejected. */
    private static final int EJECT_AT = 4;

    private static final int REMEMBERED = 16;
    /** Successes in a row that bring an ejected server back: one may be luck, three hardly if most fail. */
    private static final int TRIALS = 3;
    /** Failures in a row of one class from which on a server gets no more of that class for a while. */
    private static final int CLASS_OUT_AT = 2;
    /** First time without requests for an ejected server, and the longest; failed trials double it. */
    private static final long EJECT_US = 250_000;

    private static final long MAX_EJECTION_US = 4_000_000;
    /** Own requests in flight from which on a local server is compared with those of other zones. */
    private static final int SPILL_AT = 2;
    /** Least time between two lines in the operators' log. */
    private static final long LOG_EVERY_US = 1_000_000;
    /** A tenant may use up this much of its share at once before it counts as beyond it. */
    private static final double SHARE_BURST_S = 1;
    /** First wait before a failed list call is made again; doubled each time. */
    private static final long LIST_BACKOFF_US = 250_000;
    /** Sizes by the list are taken for no more than this, and for no less than one part in so many. */
    private static final double MAX_WEIGHT = 1e6;
    /** So many of a large fleet are looked through at once where draws find nothing. */
    private static final int LOOKS = 256;

    private static final Comparator<PendingRequest> BY_VALUE = Comparator.comparingDouble(call -> -call.value);
    private final Settings set;
    private final Actions actions;
    private final SplittableRandom random;
    private final long sweepUs;
    private double limitStep;
    private double limitCut;
    private final Map<String, Server> byId = new HashMap<>();
    private int lists;
    private long numbers;
    private long logFreeAt;
    /** The servers that are ready, and indexes of them. */
    private final Fleet fleet;

    private final IndexedSet<Server> ready;
    private final IndexedSet<Server> ejected;
    /** By class: servers in use that get no more of it, by the ends of that. */
    private final List<TreeSet<Server>> out = new ArrayList<>();

    private final Map<Long, PendingRequest> calls = new HashMap<>();
    private final ArrayList<PendingRequest> waiting = new ArrayList<>();
    /** What a second copy may be due of. */
    private final PriorityQueue<PendingRequest> copies = new PriorityQueue<>(Comparator.comparingLong(c -> c.copyAt));

    private long now;
    private long wakePending = Long.MAX_VALUE;
    private final Aperture aperture;
    private final ServedRate served = new ServedRate();
    private final LoadShedder shedding = new LoadShedder();
    private final double[] latencyUs;
    private final double[] leastLatencyUs;
    private final int[] answers;
    private final double[] shareLeft;
    private final long[] shareSeenAt;
    private final long[] usualLeftUs;
    private final double[] usualLeftShare;
    private final int[] asked;
    private int inFlight;
    private double limits;
    private long sweptAt;
    /** When requests were last wanted of all that were full, and of all servers. */
    private long fullWantedAt;

    private long allWantedAt;
    private double health = 1;
    private double sendTokens;
    private double usualWorth;
    private int valued;
    private long askListAt = Long.MAX_VALUE;
    private long listBackoffUs = LIST_BACKOFF_US;

    /**
     * A node that has just started and knows nothing.
     *
     * @throws IllegalArgumentException if the settings are out of range
     */
    public ServiceQBalancer(Settings settings, long seed, Actions actions) {
        settings.validate();
        set = settings;
        this.actions = actions;
        random = new SplittableRandom(seed);
        sweepUs = Math.max(MIN_SWEEP_US, 2 * settings.tickUs);
        aperture = new Aperture(set.node, set.nodes, FIRST_LIMIT);
        latencyUs = new double[set.classes.size()];
        leastLatencyUs = new double[set.classes.size()];
        answers = new int[set.classes.size()];
        usualLeftUs = new long[set.classes.size()];
        asked = new int[set.classes.size()];
        usualLeftShare = new double[set.classes.size()];
        shareLeft = new double[set.tenants.size()];
        shareSeenAt = new long[set.tenants.size()];
        fleet = set.crossZonePrice == 0 ? new Fleet() : new Fleet(set.myZone);
        ready = fleet.ready;
        ejected = fleet.ejected;
        for (int c = 0; c < set.classes.size(); c++) {
            out.add(new TreeSet<>(new Server.ByTime(c)));
        }
    }

    // ---------------------------------------------------------------- the server list

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        lists++;
        for (ServerEntry entry : entries) {
            take(entry);
        }
        if (kind != ListKind.CHANGES) {
            for (Server server : List.copyOf(byId.values())) {
                if (server.named != lists) {
                    leave(server);
                }
            }
        }
        aim();
        if (set.listOnRequest) {
            if (kind == ListKind.CACHED) {
                askForList();
            } else {
                askListAt = Long.MAX_VALUE;
                listBackoffUs = LIST_BACKOFF_US;
            }
        }
        serveWaiting();
        scheduleWake();
    }

    /** Takes in a server as the list has it; costs next to nothing where nothing has changed. */
    private void take(ServerEntry entry) {
        Server server = byId.get(entry.id());
        if (entry.state() == ServerState.GONE) {
            if (server != null) {
                leave(server);
            }
            return;
        }
        if (server == null) {
            server = new Server(entry.id(), numbers++, 0, set.classes.size());
            byId.put(server.id, server);
        }
        server.named = lists;
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
        unlist(server);
        if (started) {
            // A new process: what was counted against the old one says nothing of it.
            restore(server);
            Arrays.fill(server.misses, 0);
            Arrays.fill(server.outUntil, 0);
            server.answers = 0;
            server.startedAt = entry.startedAtUs();
            // All nodes learn of a start at about the same time: they must not all send at once (icd7515).
            server.coldSentAt = now;
            server.coldPhase = random.nextDouble();
        }
        server.state = entry.state();
        server.zone = entry.zone();
        server.cell = entry.cell();
        server.weight = weight;
        server.size = StrictMath.pow(weight, SIZE_POWER);
        if (server.state == ServerState.READY) {
            aperture.add(server);
        }
    }

    /**
     * Exception, aperture: where nodes are many, each keeps to a part of the servers, so that what it learns
     * of one is news: before all of them it would be back at each only when all has changed.
     */
    private void aim() {
        if (aperture.hasMoved()) {
            // Both by the same factor: for all nodes at a server the balance between step and cut stays.
            double pace = StrictMath.pow(aperture.sharers(), LEARN_BY_NODES);
            limitStep = LIMIT_STEP / pace;
            limitCut = 1 - StrictMath.pow(1 - LIMIT_CUT, pace);
            aperture.leaving(ready).forEach(this::unlist);
            for (Server server : aperture.joining(ready)) {
                server.limit = server.limit > 0 ? server.limit : FIRST_LIMIT / aperture.sharers();
                fleet.add(server);
                count(server, 1);
                settle(server);
            }
        }
    }

    private void leave(Server server) {
        aperture.remove(server);
        unlist(server);
        server.state = ServerState.GONE;
        // Servers come and go for as long as a node runs: what is gone and holds nothing is forgotten.
        if (server.inFlight == 0) {
            byId.remove(server.id);
        }
    }

    /** Takes a server out of everything that is chosen from. */
    private void unlist(Server server) {
        if (!ready.contains(server)) {
            return;
        }
        count(server, -1);
        fleet.remove(server);
        limits = ready.size() == 0 ? 0 : limits; // What rounding has left would else stay for good.
        settle(server);
    }

    /** Counts a server in use in or out: what hangs at one ejected or gone must not hold back the others. */
    private void count(Server server, int sign) {
        if (isCounted(server)) {
            limits += sign * server.limit;
            inFlight += sign * server.inFlight;
            for (int c = 0; c < answers.length; c++) {
                if (sign < 0) {
                    out.get(c).remove(server);
                } else if (server.outUntil[c] > now) {
                    out.get(c).add(server);
                }
            }
        }
    }

    /** Has the indexes follow what has changed of a server: its errors, size, room, state or exclusions. */
    private void settle(Server server) {
        boolean full = isAtLimit(server);
        if (full && server.fullSince < 0) {
            server.fullSince = now;
        } else if (!full && server.fullSince >= 0) {
            server.wantedAt = wantedAt(server);
            server.fullSince = -1;
        }
        fleet.settle(server, full);
    }

    /** The same where only what is in flight or the limit has changed, which mostly changes nothing. */
    private void settleRoom(Server server) {
        if (server.ejected || isAtLimit(server) != (server.fullSince >= 0)) {
            settle(server);
        }
    }

    @Override
    public ServerStatistics statistics(List<String> ids) {
        return new ServerStatistics(
                StatisticsTransfer.of(ids, byId, FIRST_LIMIT / aperture.sharers()),
                StatisticsTransfer.of(answers, latencyUs, leastLatencyUs),
                ready.size(),
                ejected.size(),
                health < THROTTLE_BELOW);
    }

    @Override
    public void onPrior(long nowUs, ServerStatistics prior) {
        now = nowUs;
        for (ServerStatistics.PerServer known : prior.servers()) {
            Server server = byId.get(known.id());
            if (server != null && server.answers == 0 && known.startedAtUs() == server.startedAt) {
                limits -= isCounted(server) ? server.limit : 0;
                StatisticsTransfer.restore(server, known, EJECT_AT, CLASS_OUT_AT, now);
                limits += isCounted(server) ? server.limit : 0;
                settle(server);
            }
        }
        StatisticsTransfer.restore(prior.classes(), answers, latencyUs);
        serveWaiting();
        scheduleWake();
    }

    @Override
    public void onListFailed(long nowUs) {
        now = nowUs;
        if (!set.listOnRequest) {
            return;
        }
        // Jittered backoff: nodes that failed together must not ask together again.
        askListAt = now + listBackoffUs / 2 + random.nextLong(listBackoffUs);
        listBackoffUs = Math.min(2 * listBackoffUs, Math.max(1, set.askWithinUs / 4));
        scheduleWake();
    }

    private void askForList() {
        actions.subscribe();
        askListAt = now + Math.max(1, set.askWithinUs / 2);
    }

    // ---------------------------------------------------------------- requests and outcomes

    @Override
    public void onRequest(long nowUs, Request request) {
        now = nowUs;
        if (request.classIndex() < 0
                || request.classIndex() >= set.classes.size()
                || request.tenant() >= set.tenants.size()
                || calls.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or tenant, or an id that is held: " + request);
        }
        long elapsedUs = elapsedBefore(request);
        PendingRequest call = new PendingRequest(request, set, now, elapsedUs);
        calls.put(request.id(), call);
        // By first tries: in a jam clients' retries multiply what is asked.
        sendTokens = Math.min(MAX_TOKENS, sendTokens + (elapsedUs == 0 ? THROTTLE_FLOOR : 0));
        call.value = value(call);
        if (aperture.arrived(now, leastLatencyUs[request.classIndex()])) {
            aim();
        }
        // On a node that is behind the answer will lie unread too: what can't be in time takes none of the
        // processor from the rest. After a single pause that is too much.
        UnservedReason early = isWorthless(call)
                ? UnservedReason.TOO_LATE_ON_ARRIVAL
                : shedding.refuses(call, random)
                        ? UnservedReason.SHED
                        : call.cls.lateValueFraction() == 0
                                        && request.loopDelayUs() > sweepUs
                                        && call.aimAt - now
                                                < request.loopDelayUs() / 2 + latencyUs[request.classIndex()]
                                ? UnservedReason.EVENT_LOOP_DELAY
                                : null;
        if (early != null) {
            giveUp(call, early);
            return;
        }
        Server server = waiting.isEmpty() && now < call.deadlineAt ? drawForFirstTry(call) : null;
        if (server != null) {
            send(call, server);
        } else {
            defer(call);
            serveWaiting();
        }
        scheduleWake();
    }

    /**
     * How long a client has been asking before this try: nothing where clients mark their repeats and this
     * one is not marked. Else its time left tells: first tries of a class, the most by far, all have the
     * same, and later ones what is left of the deadline.
     */
    private long elapsedBefore(Request request) {
        if (set.clientsMarkRetries && !request.retry()) {
            return 0;
        }
        int c = request.classIndex();
        long deadline = set.classes.get(c).deadlineUs();
        long leftUs = request.remainingUs() + request.loopDelayUs() + request.admissionDelayUs();
        boolean usual = Math.abs(leftUs - usualLeftUs[c]) <= USUAL_LEFT_WITHIN * deadline;
        usualLeftShare[c] += meanGain(++asked[c]) * ((usual ? 1 : 0) - usualLeftShare[c]);
        if (!usual && usualLeftShare[c] < USUAL_LEFT_AT) {
            // No time left is the usual one (yet), so it tells nothing.
            usualLeftUs[c] = leftUs;
            return 0;
        }
        return usual ? 0 : Math.max(0, deadline - leftUs);
    }

    /** Share of the newest of so many values in a running mean: an even part until there are many. */
    private static double meanGain(int values) {
        return Math.max(MEAN_GAIN, 1.0 / values);
    }

    /** Whether no answer can earn anything any more: then it takes no server's time (i9ce813). */
    private boolean isWorthless(PendingRequest call) {
        return call.cls.lateValueFraction() == 0 && now >= call.aimAt;
    }

    @Override
    public void onOutcome(long nowUs, Outcome outcome) {
        now = nowUs;
        PendingRequest call = calls.get(outcome.requestId());
        int attempt = outcome.attempt();
        if (call == null || attempt < 0 || attempt >= call.attempts || call.results[attempt] != null) {
            return;
        }
        Server server = call.servers[attempt];
        Result result = outcome.result();
        call.results[attempt] = result;
        call.outstanding--;
        server.inFlight--;
        inFlight -= isCounted(server) ? 1 : 0;
        if (server.state == ServerState.GONE && server.inFlight == 0) {
            byId.remove(server.id, server);
        }
        settleRoom(server);
        server.unreachable = result == Result.CONNECT_FAILED;
        if (result == Result.OK) {
            call.request.retryLimits().recordLatency(outcome.serverLatencyUs());
            succeeded(server);
        } else if (outcome.isInformative()) {
            // A time-out of a server that has answered since tells of crowding, as being full does.
            boolean crowded =
                    result == Result.FULL || result == Result.TIMEOUT && server.answeredAt >= call.sentAt[attempt];
            failed(server, !crowded);
            if (result != Result.FULL && result != Result.TIMEOUT) {
                server.faults += PACE_GAIN * (1 - server.faults);
                learnPace(server, FAULT_PACE);
            }
        }
        if (result == Result.OK || result == Result.ERROR) {
            server.answeredAt = now;
        }
        if (outcome.isInformative()) {
            server.answers++;
            server.toldAt = now;
            learnClass(call, attempt);
            double usual = latencyUs[call.request.classIndex()];
            if ((result == Result.OK || result == Result.TIMEOUT) && usual > 0) {
                learnPace(server, outcome.serverLatencyUs() / usual);
            }
            boolean inTime = now - outcome.loopDelayUs() <= call.aimAt;
            if (result == Result.OK || result == Result.TIMEOUT) {
                // An error says nothing of crowding, nor does work that takes longer than its aim.
                double least = leastLatencyUs[call.request.classIndex()];
                boolean longAtBest = least < Double.MAX_VALUE && outcome.serverLatencyUs() < AT_BEST * least;
                learnHealth(result != Result.OK ? 0 : inTime || longAtBest ? 1 : call.cls.lateValueFraction());
            }
            adaptLimit(call, attempt, outcome);
            rest(server, outcome.serverLatencyUs(), result == Result.OK ? 0 : usual);
        }
        if (outcome.requestEnded()) {
            end(call);
        } else if (!call.ended && call.outstanding == 0) {
            passOn(call, server);
        }
        forgetIfOver(call);
        serveWaiting();
        scheduleWake();
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        now = nowUs;
        PendingRequest call = calls.get(requestId);
        if (call != null) {
            call.streaming = true;
        }
    }

    @Override
    public void onClientDisconnected(long nowUs, long requestId) {
        now = nowUs;
        PendingRequest call = calls.get(requestId);
        if (call != null) {
            end(call);
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
                set,
                server != null && ready.contains(server),
                isThrottled(),
                isJammed(),
                server != null && isCold(server) ? server.coldSentAt + coldGap(server) : 0);
    }

    @Override
    public void onWake(long nowUs) {
        now = nowUs;
        wakePending = now >= wakePending ? Long.MAX_VALUE : wakePending;
        if (now >= askListAt) {
            askForList();
        }
        sendCopies();
        serveWaiting();
        scheduleWake();
    }

    private void scheduleWake() {
        while (!copies.isEmpty() && copies.peek().ended) {
            copies.poll();
        }
        long at = waiting.isEmpty() ? askListAt : Math.min(askListAt, now + sweepUs);
        at = copies.isEmpty() ? at : Math.min(at, copies.peek().copyAt);
        if (at < wakePending) {
            wakePending = Math.max(at, now + 1);
            actions.wakeAt(wakePending);
        }
    }

    // ---------------------------------------------------------------- the mechanism

    /** A failure adds one; failures that say something of health, not of crowding, may eject the server. */
    private void failed(Server server, boolean ill) {
        server.errors++;
        settle(server);
        if (ill) {
            server.history = server.history << 1 | 1;
            server.trialsWon = 0;
            if (server.ejected || recentFailures(server) >= EJECT_AT) {
                eject(server);
            }
        }
    }

    /** A success clears the count; an ejected server has to succeed several times in a row. */
    private void succeeded(Server server) {
        server.history <<= 1;
        server.servedAt = now;
        server.faults -= PACE_GAIN * server.faults;
        if (!server.ejected) {
            clearErrors(server);
            return;
        }
        setTrial(server, now);
        if (++server.trialsWon >= TRIALS) {
            log("restored server " + server.id);
            restore(server);
            count(server, 1);
            settle(server);
        }
    }

    /**
     * Exception, classes: a server may serve all but one class, and its answers to the others must not hide
     * that. What failed {@link #CLASS_OUT_AT} times in a row is kept from it for a while, twice as long after
     * each single try that fails; in no more than half of the servers, as with ejection.
     */
    private void learnClass(PendingRequest call, int attempt) {
        Server server = call.servers[attempt];
        int c = call.request.classIndex();
        switch (call.results[attempt]) {
            case OK -> server.heardAt[c] = now;
            case ERROR, RESET -> server.misses[c]++;
            case TIMEOUT -> server.misses[c] += server.heardAt[c] < call.sentAt[attempt] ? 1 : 0;
            default -> {}
        }
        server.misses[c] = call.results[attempt] == Result.OK ? 0 : server.misses[c];
        keepOut(server, c);
    }

    private void keepOut(Server server, int c) {
        int more = server.misses[c] - CLASS_OUT_AT;
        if (more >= 0 && !areMostOut(server, c)) {
            out.get(c).remove(server);
            server.outUntil[c] = now + Math.min(MAX_EJECTION_US, 2 * EJECT_US << Math.min(more, REMEMBERED));
            if (isCounted(server)) {
                out.get(c).add(server);
            }
        }
    }

    /** Whether with this server more than half would get none of a class. */
    private boolean areMostOut(Server server, int c) {
        TreeSet<Server> others = out.get(c);
        while (!others.isEmpty() && others.first().outUntil[c] <= now) {
            others.pollFirst();
        }
        int outs =
                others.size() - (others.contains(server) ? 1 : 0) + ejected.size() - (ejected.contains(server) ? 1 : 0);
        return ready.size() < 2 + 2 * outs;
    }

    private static int recentFailures(Server server) {
        return Integer.bitCount(server.history & (1 << REMEMBERED) - 1);
    }

    private void clearErrors(Server server) {
        if (server.errors > 0) {
            server.errors = 0;
            settle(server);
        }
    }

    // ---------------------------------------------------------------- ejection

    /**
     * Exception, ejection: a server that failed {@link #EJECT_AT} of its last {@link #REMEMBERED} answers
     * gets nothing but single trials of repeatable requests, further apart each time one fails. Never
     * more than half of the servers are out: when most fail, the trouble is not theirs, and the weights
     * alone decide.
     */
    private void eject(Server server) {
        if (!server.ejected) {
            if (2 * (ejected.size() + 1) > ready.size()) {
                // More than its part of the fleet may be well.
                aperture.widen(now);
                aim();
            }
            if (2 * (ejected.size() + 1) > ready.size()) {
                return;
            }
            count(server, -1);
            server.ejected = true;
            server.ejectedForUs = EJECT_US / 2;
            log("ejected server " + server.id + " after " + recentFailures(server) + " failures");
            for (int c = 0; c < answers.length; c++) {
                while (areMostOut(server, c) && !out.get(c).isEmpty()) {
                    out.get(c).pollFirst().outUntil[c] = 0;
                }
            }
        }
        server.ejectedForUs = Math.min(MAX_EJECTION_US, 2 * server.ejectedForUs);
        setTrial(server, now + server.ejectedForUs / 2 + random.nextLong(server.ejectedForUs));
    }

    private void setTrial(Server server, long at) {
        fleet.trials.remove(server);
        server.trialAt = at;
        settle(server);
    }

    /** A server to begin anew with. */
    private void restore(Server server) {
        clearErrors(server);
        server.history = 0;
        server.ejected = false;
        server.trialsWon = 0;
        server.limit = FIRST_LIMIT / aperture.sharers();
        server.restUntil = 0;
    }

    /** An ejected server that is due for a trial with this request, if it is repeatable, or null. */
    private Server trial(PendingRequest call) {
        int looks = call.cls.idempotency() == Idempotency.UNSAFE || fleet.trials.isEmpty() ? 0 : LOOKS;
        for (Server server : fleet.trials) {
            if (looks-- == 0 || server.trialAt > now) {
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
    private Server lastResort(PendingRequest call) {
        Server best = null;
        int from = ejected.size() <= LOOKS ? 0 : random.nextInt(ejected.size());
        for (int i = 0; i < Math.min(LOOKS, ejected.size()) && call.cls.idempotency() != Idempotency.UNSAFE; i++) {
            Server server = ejected.get((from + i) % ejected.size());
            if (!isAtLimit(server)
                    && now >= server.restUntil
                    && !server.unreachable
                    && !hasJustTried(call, server)
                    && now < server.servedAt + MAX_EJECTION_US
                    && isAllowed(call, server)
                    && (best == null || recentFailures(server) < recentFailures(best))) {
                best = server;
            }
        }
        return best;
    }

    private boolean isCounted(Server server) {
        return ready.contains(server) && !server.ejected;
    }

    private void log(String line) {
        if (now >= logFreeAt) {
            logFreeAt = now + LOG_EVERY_US;
            actions.log(line);
        }
    }

    // ---------------------------------------------------------------- draws

    /** Two draws by weight; the one with fewer own requests in flight, ties at random. */
    private Server drawForFirstTry(PendingRequest call) {
        Server due = trial(call);
        Server server = due == null ? drawByZone(call) : due;
        return server == null ? lastResort(call) : server;
    }

    private Server drawByZone(PendingRequest call) {
        Server server = drawTwo(call, fleet.nearby, fleet.roomyNearby);
        if (fleet.nearby == fleet.everywhere) {
            return server;
        }
        // Exception, zones: where crossing costs, both draws are local, and two more from all win only if
        // the local choice is crowded, fails, or has at least two requests more in flight.
        if (server != null && server.inFlight < SPILL_AT && server.errors == 0) {
            return server;
        }
        Server other = drawTwo(call, fleet.everywhere, fleet.roomy);
        return server == null
                        || other != null
                                && (other.inFlight + SPILL_AT <= server.inFlight || other.errors < server.errors)
                ? other
                : server;
    }

    private Server drawTwo(PendingRequest call, DrawIndex<Server> from, DrawIndex<Server> withRoom) {
        Server first = draw(call, from, withRoom, null);
        Server second = first == null ? null : draw(call, from, withRoom, first);
        if (first != null && actions.wantsExplanations()) {
            actions.reportCandidates(
                    call.request.id(),
                    ServerStatusReasons.drawn(first, pace(first)),
                    second == null ? null : ServerStatusReasons.drawn(second, pace(second)));
        }
        if (second == null || first.inFlight < second.inFlight) {
            return first;
        }
        if (first.inFlight > second.inFlight) {
            return second;
        }
        // Exception, ties: with little in flight a tie goes to the server that was quicker of late (i9ce813).
        double difference = pace(first) - pace(second);
        boolean toss = Math.abs(difference) < PACE_ALIKE;
        return (toss ? random.nextInt(2) == 0 : difference > 0) ? second : first;
    }

    /** How long a server takes for what takes others 1, as far as this node knows; forgotten with time. */
    private double pace(Server server) {
        double forgetUs = PACE_KEPT * served.gapUs() * Math.max(1, ready.size());
        return 1 + (server.pace - 1) * StrictMath.exp(-(now - server.paceAt) / forgetUs);
    }

    private void learnPace(Server server, double ratio) {
        double before = pace(server);
        server.pace = before + PACE_GAIN * (ratio - before);
        server.paceAt = now;
    }

    /**
     * One draw by the paper's weights among the servers that may be sent to, but for {@code except}, or null.
     * Exception, sizes: servers are not alike, so a weight counts for each part of a server's size by the
     * list; where all sizes are the same, nothing changes.
     */
    private Server draw(PendingRequest call, DrawIndex<Server> from, DrawIndex<Server> withRoom, Server except) {
        double effect = fleet.everywhere.largestEffect();
        for (int i = 0; i <= REDRAWS && from.size() > 0; i++) {
            Server server = from.draw(random, effect);
            if (server != except && maySend(call, server)) {
                return server;
            }
        }
        // Most are full, or may not be sent this: all of those are wanted, and the rest is looked through.
        return !markWanted() || withRoom.size() == 0
                ? null
                : withRoom.drawAmong(LOOKS, random, effect, server -> server != except && maySend(call, server));
    }

    /** Notes that whoever is full, or all, are wanted; whether one with room may be sent to. */
    private boolean markWanted() {
        if (isThrottled()) {
            return false;
        }
        if (isJammed()) {
            allWantedAt = now;
            return false;
        }
        fullWantedAt = now;
        return true;
    }

    /** A failed request goes to the next server in list order, or waits, or has its final answer. */
    private void passOn(PendingRequest call, Server failed) {
        if (!mayTryAgain(call)) {
            giveUp(call, whyNot(call));
            return;
        }
        long waitUs = call.request.retryLimits().retryDelayUs(call.attempts);
        if (waitUs > 0) {
            call.notBefore = now + waitUs;
            defer(call);
            return;
        }
        List<Server> tried = Arrays.asList(call.servers);
        IndexedSet<Server> group = groupOf(call);
        int start = group.indexOf(failed);
        for (int pass = 0; pass < 2; pass++) {
            for (int i = 1; i <= Math.min(LOOKS, group.size()); i++) {
                Server next = group.get((start + i) % group.size());
                // Exception: where crossing costs, own-zone servers that have not failed last come first.
                boolean first = next.errors == 0 && (fleet.nearby == fleet.everywhere || next.zone == set.myZone);
                if ((first || pass > 0) && !tried.contains(next) && maySend(call, next)) {
                    send(call, next);
                    return;
                }
            }
        }
        defer(call);
    }

    /** The ready servers among which a request that may have run must stay. */
    private IndexedSet<Server> groupOf(PendingRequest call) {
        int binding = call.cls.idempotency() == Idempotency.KEYED ? call.binding() : -1;
        return binding < 0 || call.cls.deduplicationScope() == DeduplicationScope.ALL
                ? ready
                : call.cls.deduplicationScope() == DeduplicationScope.ZONE
                        ? fleet.zone(call.servers[binding].zone)
                        : fleet.cell(call.servers[binding].cell);
    }

    // ---------------------------------------------------------------- the deferred queue

    /** Puts a request into the deferred queue, if there is time: first come first served of equal value. */
    private void defer(PendingRequest call) {
        if (isOver(call)) {
            giveUp(call, whyNot(call));
            return;
        }
        call.waiting = true;
        int low = 0;
        for (int high = waiting.size(); low < high; ) {
            int middle = (low + high) >>> 1;
            boolean before = BY_VALUE.compare(waiting.get(middle), call) <= 0;
            low = before ? middle + 1 : low;
            high = before ? high : middle;
        }
        waiting.add(low, call);
    }

    /** Whether a request that waits has run out of time, or of what it may try. */
    private boolean isOver(PendingRequest call) {
        return call.deadlineAt - now <= sweepUs + set.tickUs
                || isLate(call) && call.cls.lateValueFraction() == 0
                || !mayTryAgain(call);
    }

    private boolean isLate(PendingRequest call) {
        return call.aimAt - now
                < Math.min(
                        MOST_LATE_AT * (call.aimAt - call.arrivedAt),
                        TOO_LATE_AT * latencyUs[call.request.classIndex()]);
    }

    /** Whether nobody can be sent anything, which needs no look at each that waits. */
    private boolean isNobodyOpen() {
        return ejected.size() == 0 && (fleet.roomy.size() == 0 || isThrottled() || isJammed());
    }

    /** Sends what waits as far as servers allow and ends what has run out of time. */
    private void serveWaiting() {
        // All that wait are looked at once in a sweep; in between only as long as somebody has room.
        boolean sweep = now >= sweptAt + sweepUs;
        if (waiting.isEmpty() || !sweep && isNobodyOpen()) {
            if (!waiting.isEmpty()) {
                markWanted();
            }
            return;
        }
        sweptAt = sweep ? now : sweptAt;
        int kept = 0;
        int seen = 0;
        boolean[] full = new boolean[set.classes.size()];
        boolean unsorted = false;
        while (seen < waiting.size()) {
            PendingRequest call = waiting.get(seen++);
            if (!call.waiting) {
                continue;
            }
            if (isOver(call)) {
                call.waiting = false;
                giveUp(call, whyNot(call));
                continue;
            }
            boolean late = isLate(call);
            if (late && !call.late) {
                call.late = true;
                call.value *= call.cls.lateValueFraction();
                unsorted = true;
                waiting.set(kept++, call);
                continue;
            }
            int c = call.request.classIndex();
            Server server = full[c] || now < call.notBefore ? null : drawForFirstTry(call);
            if (server != null) {
                call.waiting = false;
                send(call, server);
                if (!sweep && isNobodyOpen()) {
                    break;
                }
            } else {
                // What has not been sent may go wherever its class may: if it finds no server, nor does
                // the next one.
                full[c] |= call.attempts == 0;
                waiting.set(kept++, call);
            }
        }
        waiting.subList(kept, seen).clear();
        if (unsorted) {
            waiting.sort(BY_VALUE);
        }
    }

    /**
     * What a request earns for the work it takes, by which the queue is ordered: its class's worth, less
     * if its tenant is beyond this node's part of its share, over the usual latency of its class as the
     * measure of work.
     */
    private double value(PendingRequest call) {
        double worth = call.cls.value();
        int tenant = call.request.tenant();
        double quota = tenant < 0 ? 0 : set.tenants.get(tenant).quotaPerS() / set.nodes;
        if (quota > 0) {
            double most = Math.max(1, quota * SHARE_BURST_S);
            double since = shareSeenAt[tenant] == 0 ? SHARE_BURST_S : (now - shareSeenAt[tenant]) / 1e6;
            shareSeenAt[tenant] = now;
            shareLeft[tenant] = Math.min(most, shareLeft[tenant] + quota * since);
            if (shareLeft[tenant] >= 1) {
                shareLeft[tenant]--;
            } else {
                worth *= set.overShareWorth;
            }
        }
        call.worth = worth;
        call.upper = worth > usualWorth;
        usualWorth += meanGain(++valued) * (worth - usualWorth);
        return set.valuePerWorkUnit ? worth : worth / Math.max(1, latencyUs[call.request.classIndex()]);
    }

    // ---------------------------------------------------------------- concurrency limits

    /**
     * Exception, concurrency limits: each server's limit grows when it was met while a request was out
     * that was answered well inside the aim, and falls when answers are slow or requests are turned away.
     * Acts only when a draw would exceed a server's limit, or the node the sum of all limits. With many nodes
     * a server's part is under one: then it rests after each answer, for as long as makes it that part.
     */
    private void adaptLimit(PendingRequest call, int attempt, Outcome outcome) {
        Server server = call.servers[attempt];
        double before = server.limit;
        if (outcome.result() == Result.OK) {
            int c = call.request.classIndex();
            // By the stall alone: of the answers of a node that is behind only the slow ones are surely slow.
            latencyUs[c] += outcome.loopDelayUs() > sweepUs
                    ? 0
                    : meanGain(++answers[c]) * (outcome.serverLatencyUs() - latencyUs[c]);
            // The first answers' mean is chance; until then the aim alone tells.
            leastLatencyUs[c] = answers[c] * MEAN_GAIN < 0.5
                    ? Double.MAX_VALUE
                    : Math.min(leastLatencyUs[c] * MIN_DRIFT, latencyUs[c]);
            double crowded = Math.min(CROWDED_AT * call.aimUs, CROWDED_BY * leastLatencyUs[c]);
            served.answered(now, fleet.totalWeight);
            if (outcome.serverLatencyUs() <= crowded) {
                // A cold server gets little and is quick with it: were its limit to pass the others', all
                // nodes together would choke it as soon as slow start lets go (i3a094a).
                server.limit += wantedAt(server) >= call.sentAt[attempt]
                                && (!isCold(server) || server.limit * ready.size() < limits)
                        ? limitStep
                        : 0;
            } else {
                cutLimit(call, attempt, limitCut);
            }
        } else if (outcome.result() == Result.TIMEOUT) {
            cutLimit(call, attempt, LIMIT_HARD_CUT);
        }
        if (isCounted(server)) {
            limits += server.limit - before;
        }
        settleRoom(server);
    }

    /**
     * A limit under one is the part of the time in which this node may have a request there; what fails at
     * once took less, but the next one would find no better.
     */
    private void rest(Server server, double heldUs, double leastUs) {
        server.restUntil = server.limit > 1 ? 0 : now + (long) (Math.max(heldUs, leastUs) / server.limit - heldUs);
    }

    /** When a server was last wanted while it was full, or all were. */
    private long wantedAt(Server server) {
        long asFull = server.fullSince >= 0 && fullWantedAt >= server.fullSince ? fullWantedAt : 0;
        return Math.max(server.wantedAt, Math.max(asFull, allWantedAt));
    }

    /** One cut for all that was sent before the last one. */
    private void cutLimit(PendingRequest call, int attempt, double cut) {
        Server server = call.servers[attempt];
        if (call.sentAt[attempt] >= server.limitCutAt) {
            server.limit = Math.max(1 / aperture.sharers(), server.limit * (1 - cut));
            server.limitCutAt = now;
        }
    }

    private boolean isCrowded(Server server) {
        if (isThrottled()) {
            return true;
        }
        if (isAtLimit(server) || now < server.restUntil && inFlight > 0 || isJammed()) {
            server.wantedAt = now;
            return true;
        }
        return false;
    }

    /** The sum guards against a stall, when all that nodes may have at servers is out at once. */
    private boolean isJammed() {
        // A burst's room shrinks with health, none at half: a fleet in overload tips over by it (i6d5d9b).
        double burst = BURST * Math.max(0, 2 * health - 1) * Math.sqrt(limits);
        return inFlight > 0 && inFlight + 1 > limits + burst;
    }

    /**
     * Exception, throttling: once under {@link #THROTTLE_BELOW} of attempts are answered in time, a node
     * sends {@link #THROTTLE} times what is, and a little to see whether that still holds: a fleet that has
     * turned slow under its load recovers only if nearly nothing comes (i6d5d9b, ia25714).
     */
    private boolean isThrottled() {
        return health < THROTTLE_BELOW && sendTokens < 1;
    }

    private void learnHealth(double earned) {
        health += HEALTH_GAIN * (earned - health);
        sendTokens = Math.min(MAX_TOKENS, sendTokens + (earned == 1 ? THROTTLE : 0));
    }

    private boolean isAtLimit(Server server) {
        return server.inFlight + 1 > Math.max(1, server.limit);
    }

    // ---------------------------------------------------------------- sending

    private void send(PendingRequest call, Server server) {
        if (call.attempts > 0) {
            call.request.retryLimits().recordRetry();
        }
        shedding.sent(call);
        int attempt = call.attempts++;
        sendTokens = Math.max(0, sendTokens - 1);
        call.servers[attempt] = server;
        call.sentAt[attempt] = now;
        call.outstanding++;
        server.inFlight++;
        inFlight += isCounted(server) ? 1 : 0;
        settleRoom(server);
        served.begin(now);
        if (isCold(server)) {
            server.coldSentAt = now;
            server.coldPhase = 1;
        }
        long end = attemptEnd(call);
        if (server.misses[call.request.classIndex()] > 0) {
            keepOut(server, call.request.classIndex());
            end = Math.min(end, doubtfulEnd(call));
        }
        actions.send(call.request.id(), server.id, end);
        long copyAfterUs = attempt == 0
                        && set.allowsHedging
                        && call.cls.idempotency() != Idempotency.UNSAFE
                        && !call.cls.isStreaming()
                ? call.request.retryLimits().hedgeDelayUs()
                : 0;
        if (copyAfterUs > 0) {
            call.copyAt = now + copyAfterUs;
            copies.add(call);
        }
    }

    /** Exception, second copies: where a route asks for them, what is slow is sent to another server too. */
    private void sendCopies() {
        while (!copies.isEmpty() && (copies.peek().ended || copies.peek().copyAt <= now)) {
            PendingRequest call = copies.poll();
            if (!call.ended && call.attempts == 1 && call.outstanding == 1 && mayTryAgain(call)) {
                Server other = draw(call, fleet.everywhere, fleet.roomy, call.servers[0]);
                if (other != null) {
                    send(call, other);
                }
            }
        }
    }

    /** Exception, time-out at the aim: where a later answer earns nothing, it only keeps its server busy. */
    private long attemptEnd(PendingRequest call) {
        return call.cls.lateValueFraction() > 0 || clientRepeats(call.cls) || call.cls.isStreaming()
                ? call.deadlineAt
                : call.aimAt;
    }

    /** Where a class has just failed, time is left for another server to repeat what can be repeated. */
    private long doubtfulEnd(PendingRequest call) {
        long half = (call.aimAt - now) / 2;
        return call.cls.idempotency() == Idempotency.UNSAFE || half <= 0
                ? Long.MAX_VALUE
                : now + Math.max(half, (long) (TOO_LATE_AT * latencyUs[call.request.classIndex()]));
    }

    /** Whether clients come back after a failure too, and not only when told that it does no harm. */
    private static boolean clientRepeats(RequestClass cls) {
        return cls.idempotency() == Idempotency.SAFE
                || cls.idempotency() == Idempotency.KEYED && cls.deduplicationScope() == DeduplicationScope.ALL;
    }

    // ---------------------------------------------------------------- the four rules

    /** Rule 1: the one final answer, a refusal wherever that is known to be harmless. */
    private void giveUp(PendingRequest call, UnservedReason why) {
        if (actions.wantsExplanations()) {
            actions.reportReason(call.request.id(), why);
        }
        boolean harmless = switch (call.cls.idempotency()) {
            case SAFE -> true;
            case KEYED -> call.binding() < 0 || call.cls.deduplicationScope() == DeduplicationScope.ALL;
            case UNSAFE -> call.binding() < 0;
        };
        shedding.givenUp(call);
        // A refusal calls back a client who would let a failure be; past the aim that is work for nothing.
        if (harmless && (clientRepeats(call.cls) || !isWorthless(call))) {
            actions.reject(call.request.id(), set.maxRetryAfterUs);
        } else {
            actions.fail(call.request.id());
        }
        end(call);
    }

    private UnservedReason whyNot(PendingRequest call) {
        int binding = call.binding();
        return call.attempts == 0
                ? UnservedReason.NO_CAPACITY
                : call.attempts >= set.maxAttempts
                        ? UnservedReason.ATTEMPTS_EXHAUSTED
                        : mayTryAgain(call) || now >= call.deadlineAt || isWorthless(call)
                                ? UnservedReason.DEADLINE_EXCEEDED
                                : binding >= 0 && call.cls.idempotency() == Idempotency.UNSAFE
                                        ? UnservedReason.MAY_HAVE_RUN
                                        : binding >= 0
                                                        && call.cls.idempotency() == Idempotency.KEYED
                                                        && now > call.sentAt[binding] + call.cls.deduplicationWindowUs()
                                                ? UnservedReason.DEDUPLICATION_WINDOW_EXPIRED
                                                : UnservedReason.ROUTE_LIMIT;
    }

    private void end(PendingRequest call) {
        call.ended = true;
        call.waiting = false;
        for (int i = 0; i < call.attempts && call.outstanding > 0 && set.allowsCancellation; i++) {
            if (call.results[i] == null) {
                actions.cancel(call.request.id(), i);
            }
        }
        forgetIfOver(call);
    }

    private void forgetIfOver(PendingRequest call) {
        if (call.ended && call.outstanding == 0) {
            calls.remove(call.request.id());
        }
    }

    /** Rule 2: whether any further attempt could be lawful, wherever it goes. */
    private boolean mayTryAgain(PendingRequest call) {
        if (call.attempts >= set.maxAttempts
                || now >= call.deadlineAt
                || call.streaming
                || isWorthless(call)
                || call.attempts > 0 && !isWithinBounds(call)) {
            return false;
        }
        int binding = call.binding();
        return binding < 0
                || switch (call.cls.idempotency()) {
                    case SAFE -> true;
                    case KEYED -> now <= call.sentAt[binding] + call.cls.deduplicationWindowUs();
                    case UNSAFE -> false;
                };
    }

    /** Whether the request's route allows a further attempt, and its budget one more repeat. */
    private static boolean isWithinBounds(PendingRequest call) {
        int mayHaveRun = 0;
        for (int i = 0; i < call.attempts; i++) {
            mayHaveRun += call.results[i] == null || !call.results[i].neverRan ? 1 : 0;
        }
        return mayHaveRun < call.request.retryLimits().maxAttempts()
                && call.request.retryLimits().mayRetry();
    }

    /** Rules 2 to 4 for one server: the keyed group, the list's word, and a cold server's budget. */
    private boolean maySend(PendingRequest call, Server server) {
        return !server.ejected
                && now >= server.outUntil[call.request.classIndex()]
                && !hasJustTried(call, server)
                && !isCrowded(server)
                && isAllowed(call, server);
    }

    /** Whether the request failed there so quickly that it would only use up its attempts at once. */
    private boolean hasJustTried(PendingRequest call, Server server) {
        for (int i = 0; i < call.attempts; i++) {
            if (call.servers[i] == server && now < call.sentAt[i] + latencyUs[call.request.classIndex()]) {
                return true;
            }
        }
        return false;
    }

    private boolean isAllowed(PendingRequest call, Server server) {
        if (server.state != ServerState.READY || isCold(server) && now < server.coldSentAt + coldGap(server)) {
            return false;
        }
        int binding = call.cls.idempotency() == Idempotency.KEYED ? call.binding() : -1;
        return binding < 0
                || switch (call.cls.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> server.zone == call.servers[binding].zone;
                    case CELL -> server.cell == call.servers[binding].cell;
                };
    }

    private boolean isCold(Server server) {
        return server.startedAt > 0 && now < server.startedAt + set.coldUs;
    }

    /**
     * Exception, slow start (rule 4): the unit is a cold server's part, by the list's sizes, of what this
     * node got answered at best lately (of what arrives clients' retries make too much; what is answered now
     * falls with the load, and in a jam by as much as the cold servers are wanted), times the share of its
     * capacity that it has at least. All nodes together may send so many units as the rule's multiple; each
     * spends half of that, evenly spaced, the first after a random part of the space.
     */
    private long coldGap(Server server) {
        double age = Math.max(0, now - server.startedAt) / (double) set.coldUs;
        double share = set.coldFrom + (1 - set.coldFrom) * Math.min(1, age);
        double unitUs = served.unitGapUs(now, Math.max(server.weight, fleet.totalWeight));
        return (long) (server.coldPhase * unitUs / server.weight / share / Math.max(1, set.fallMultiple / 2));
    }
}
