package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * The whole interface of the decision module: what a proxy node tells it (settings, server lists, requests,
 * outcomes, timers) and what it asks the node to do ({@link Actions}).
 *
 * <p>Times are microseconds of the caller's clock, which never goes backwards; lengths of time are
 * microseconds too. An instance serves one node, is single-threaded, never blocks and calls its
 * {@link Actions} only from within an event method. The same events and seed give the same actions.
 */
public interface Balancer {

    /** The server list as it stands; servers missing from a {@link ListKind#FULL} list have gone. */
    void onServers(long nowUs, ListKind kind, List<ServerEntry> entries);

    /** A list call failed or the subscription broke; the old list stands. */
    void onListFailed(long nowUs);

    /**
     * A client's request; it is owed exactly one final answer.
     *
     * @throws IllegalArgumentException if its class or tenant is not in the settings, or its id is still
     * held
     */
    void onRequest(long nowUs, Request request);

    /** How one attempt ended. Attempts that are not known are passed over. */
    void onOutcome(long nowUs, Outcome outcome);

    /** An attempt of a streamed class has begun to answer; it has no deadline from here on. */
    void onFirstByte(long nowUs, long requestId, int attempt);

    /** The client has left; nothing more is owed. Ids that are not held are passed over. */
    void onClientDisconnected(long nowUs, long requestId);

    /** How a probe ended; {@code report} as in {@link Outcome}. */
    void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report);

    /** The time asked for with {@link Actions#wakeAt} has come. */
    void onWake(long nowUs);

    /** What it has learned of these servers, as far as they are ready, and of the classes. */
    default ServerStatistics statistics(List<String> serverIds) {
        return ServerStatistics.NONE;
    }

    /**
     * What was known of servers and classes before the start, or to another node, as far as it is still
     * believed. It counts only where nothing has been found out since, and outweighs nothing.
     */
    default void onPrior(long nowUs, ServerStatistics prior) {}

    /**
     * Why this server is sent nothing, or less than it might be: a line a reason, for people; none if it is
     * drawn as any other.
     */
    default List<String> explainServer(long nowUs, String serverId) {
        return List.of();
    }

    /** What the module asks of its node. Calls take effect in order, at the time of the event. */
    interface Actions {
        /** Start the next attempt of a request (numbered 0, 1, 2 ...), to be given up at {@code untilUs}. */
        void send(long requestId, String serverId, long untilUs);

        /** Stop waiting for an attempt; it still gets its outcome. */
        void cancel(long requestId, int attempt);

        /** Final answer: turned away, trying again is harmless; 0 gives no advice on when. */
        void reject(long requestId, long retryAfterUs);

        /** Final answer: failed, with no promise about its effect. */
        void fail(long requestId);

        /** Call {@link #onWake} at this time or soon after. The module keeps one wake-up pending at most. */
        void wakeAt(long atUs);

        /** Check a server. */
        void probe(String serverId);

        /** Ask for changes of the server list from now on. */
        void subscribe();

        /** A line for the operators. */
        void log(String line);

        /** Whether anybody wants to be told of draws and reasons; asked before they are put together. */
        default boolean wantsExplanations() {
            return false;
        }

        /** Which servers were drawn for an attempt, before one is sent to; the second may be null. */
        default void reportCandidates(long requestId, Candidate first, Candidate second) {}

        /** Why the refusal or failure that comes next is the answer. */
        default void reportReason(long requestId, UnservedReason why) {}
    }

    /**
     * A server as it was drawn.
     *
     * @param weight by which it is drawn: its size, less for errors in a row
     * @param inFlight this node's requests there
     * @param limit how many this node may have there
     * @param pace how long it takes for what takes others 1
     */
    record Candidate(String serverId, double weight, int inFlight, double limit, double relativeLatency) {}

    /** Why a request has its final answer without having been served. */
    enum UnservedReason {
        /** No answer could come in time, or earn anything, by the time it was read. */
        TOO_LATE_ON_ARRIVAL("no answer could be in time when it came"),
        /** The node refuses a part of what is worth little, since what is worth more finds no room. */
        SHED("the fleet is full, and what is worth less is refused as it comes"),
        /** The node itself is behind. */
        EVENT_LOOP_DELAY("the node was behind, and its answer would have been late"),
        /** No server had room for it in time. */
        NO_CAPACITY("no server had room for it in time"),
        /** Its time was up after an attempt. */
        DEADLINE_EXCEEDED("no time was left for another attempt"),
        /** It has had as many attempts as may be. */
        ATTEMPTS_EXHAUSTED("it has had all its attempts"),
        /** It may have run, and must not run twice. */
        MAY_HAVE_RUN("it may have run, and must not run twice"),
        /** Servers no longer know its key. */
        DEDUPLICATION_WINDOW_EXPIRED("servers no longer drop repeats of its key"),
        /** Its route's attempts or retry budget are used up. */
        ROUTE_LIMIT("its route's attempts, or its retry budget, are used up");

        private final String text;

        UnservedReason(String text) {
            this.text = text;
        }

        /** In words. */
        public String text() {
            return text;
        }
    }

    /** What a server list event holds. */
    enum ListKind {
        /** Only the entries that changed. */
        CHANGES,
        /** All entries. */
        FULL,
        /** All entries as the node last had them, maybe old; given once, at the start. */
        CACHED
    }

    /** The life of a server as its list tells it. */
    enum ServerState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * One line of a server list.
     *
     * @param id what attempts name; stays the same over restarts
     * @param zone index into {@link Settings#zones}
     * @param cell number of the group of servers that shares which keys it has seen
     * @param state whether it takes requests
     * @param weight the list's figure for its size, compared with other servers' only
     * @param startedAtUs when it last started; 0 means long ago
     */
    record ServerEntry(String id, int zone, int cell, ServerState state, double weight, long startedAtUs) {}

    /**
     * A client's request.
     *
     * @param id unique among the requests held
     * @param classIndex index into {@link Settings#classes}
     * @param tenant index into {@link Settings#tenants}, or -1
     * @param leftUs time until the client gives up on this try
     * @param workUs rough expected work on a standard core; 0 if not known
     * @param retry true if the client is known to repeat itself
     * @param waitedUs how long it may have waited before the node could read it
     * @param queuedUs how long it has waited at the node's door since
     * @param bounds what its route allows beside what its class and the settings do
     */
    record Request(
            long id,
            int classIndex,
            int tenant,
            long remainingUs,
            long workUs,
            boolean retry,
            long loopDelayUs,
            long admissionDelayUs,
            RetryLimits retryLimits) {

        /** Of no route. */
        public Request(long id, int classIndex, int tenant, long leftUs, long workUs, boolean retry, long waitedUs) {
            this(id, classIndex, tenant, leftUs, workUs, retry, waitedUs, 0, RetryLimits.NONE);
        }

        /** Read as soon as it came. */
        public Request(long id, int classIndex, int tenant, long leftUs, long workUs, boolean retry) {
            this(id, classIndex, tenant, leftUs, workUs, retry, 0);
        }
    }

    /** The bounds that an operator has set to the repeats of a request. */
    interface RetryLimits {
        /** None. */
        RetryLimits NONE = new RetryLimits() {};

        /** How many attempts may have run, the first included. */
        default int maxAttempts() {
            return Integer.MAX_VALUE;
        }

        /** Whether one more attempt after the first is within the budget. */
        default boolean mayRetry() {
            return true;
        }

        /** One more attempt after the first is sent. */
        default void recordRetry() {}

        /** So long after the first attempt a second copy is sent, in microseconds; 0 for none. */
        default long hedgeDelayUs() {
            return 0;
        }

        /** An attempt was served in so many microseconds. */
        default void recordLatency(long latencyUs) {}

        /** How long to wait after so many attempts before the next, in microseconds. */
        default long retryDelayUs(int attempts) {
            return 0;
        }
    }

    /** How an attempt or a probe ended. */
    enum Result {
        /** Served. */
        OK(false),
        /** The server answered with an error; the request may have run. */
        ERROR(false),
        /** Turned away by the server without a look. */
        FULL(true),
        /** No answer in time; it may have run or still be running. */
        TIMEOUT(false),
        /** No connection in time. */
        CONNECT_FAILED(true),
        /** The connection broke; it may have run. */
        RESET(false),
        /** Called off; it may have run. */
        CANCELLED(false),
        /** Never sent. */
        MOOT(true);

        /** Whether the request is known never to have run. */
        public final boolean neverRan;

        Result(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * The end of one attempt.
     *
     * @param requestId the request
     * @param attempt its number
     * @param result how it ended
     * @param latencyUs time since it was sent
     * @param requestEnded true if the request is over, by this outcome or before; else an answer is
     *     still owed
     * @param report the server's load report in the order of {@link Settings#reportFields}, or null
     * @param stallUs how much of the latency the node may have added itself, because it was behind with its
     *     sockets: that much says nothing of the server
     */
    record Outcome(
            long requestId,
            int attempt,
            Result result,
            long latencyUs,
            boolean requestEnded,
            double[] report,
            long loopDelayUs) {

        /** By a node that keeps up. */
        public Outcome(
                long requestId, int attempt, Result result, long latencyUs, boolean requestEnded, double[] report) {
            this(requestId, attempt, result, latencyUs, requestEnded, report, 0);
        }

        /** What of the latency is surely the server's. */
        public long serverLatencyUs() {
            return latencyUs - loopDelayUs;
        }

        /** Whether the latency is mostly the node's own, so that nothing can be told by it. */
        public boolean isMostlyLoopDelay() {
            return serverLatencyUs() < loopDelayUs;
        }

        /** Whether it says anything of its server: a node that is behind runs out of time on answers that
         * have come. One that stays behind finds a silent server only by what fails otherwise. */
        public boolean isInformative() {
            return result != Result.CANCELLED
                    && result != Result.MOOT
                    && (result != Result.TIMEOUT || !isMostlyLoopDelay());
        }
    }

    /** Whether a request may run again. */
    enum Idempotency {
        /** As often as wanted. */
        SAFE,
        /** Within a group of servers that drops repeats, for a while. */
        KEYED,
        /** Never. */
        UNSAFE
    }

    /** The servers among which the repeats of a keyed request are dropped. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** What a server may tell of its load. */
    enum ReportField {
        IN_FLIGHT,
        QUEUED,
        UTILISATION,
        LATENCY_MS,
        SERVED_PER_S,
        ERRORS_PER_S,
        OTHER
    }

    /**
     * A class of requests.
     *
     * @param aimUs answers within this time earn the full worth
     * @param aimStretch the aim grows by this many times the request's own work, up to the deadline
     * @param deadlineUs how long a client waits over all its tries
     * @param worth worth of a request
     * @param lateWorth share of it for an answer after the aim
     * @param repeat whether it may run again
     * @param group keyed classes: who drops repeats
     * @param windowUs keyed classes: for how long, from the first attempt that may have run
     * @param stream whether answers are streamed
     */
    record RequestClass(
            String name,
            long latencyTargetUs,
            double latencyTargetWorkFactor,
            long deadlineUs,
            double value,
            double lateValueFraction,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowUs,
            boolean isStreaming) {}

    /**
     * A tenant.
     *
     * @param quotaPerS requests a second, over all nodes, inside its share; 0 means without limit
     */
    record Tenant(String name, double quotaPerS) {}

    /** The settings of one node. Fields left alone keep the defaults given here. */
    final class Settings {
        /** Number of nodes, this one included. */
        public int nodes = 1;
        /** This node's number among them, from 0. */
        public int node;
        /** This node's zone, an index into {@link #zones}. */
        public int myZone;
        /** Zones by name. */
        public List<String> zones = new ArrayList<>();
        /** Request classes; at least one. */
        public List<RequestClass> classes = new ArrayList<>();
        /** Tenants; may be empty. */
        public List<Tenant> tenants = new ArrayList<>();
        /** Worth of a request beyond its tenant's share, as a part of its class's worth. */
        public double overShareValueFraction = 1;
        /** Whether worth counts for each unit of work and not for each request. */
        public boolean valuePerWorkUnit;
        /** Most attempts for a request. */
        public int maxAttempts = 3;
        /** Whether a request may have two attempts out at once. */
        public boolean allowsHedging;
        /** Whether attempts may be cancelled. */
        public boolean allowsCancellation;
        /** Whether servers may be probed. */
        public boolean allowsProbes;
        /** Whether clients mark their repeats, so that what is not marked is a first try. */
        public boolean clientsMarkRetries;
        /** Longest advice to a client on when to come back; 0 means none may be given. */
        public long maxRetryAfterUs;
        /** Events come at most this often. */
        public long tickUs = 1_000;
        /** Time allowed to open a connection. */
        public long connectTimeoutUs = 250_000;
        /** Whether the server list must be asked for. */
        public boolean mustRequestList;
        /** Where it must be asked for: without a subscription, ask at least this often. */
        public long maxListIntervalUs = 10_000_000;
        /** Sends to a server must end this long after word that it drains or has gone. */
        public long drainGraceUs = 1_000_000;
        /** A server starts with this share of its capacity or more. */
        public double coldStartFraction = 0.2;
        /** And is warm after this long at most. */
        public long coldUs = 20_000_000;
        /**
         * A cold server falls over when all nodes together send it more than this many times what it
         * can do.
         */
        public double coldOverloadMultiple = 3;
        /** For this long. */
        public long coldOverloadWindowUs = 2_000_000;
        /** Price of an attempt that crosses zones; 0 if crossing is free. */
        public double crossZonePrice;
        /** Price of one probe for each request, in the unit in which all worth asked for is 1. */
        public double probePrice;
        /** What load reports hold, in order; empty if there are none. */
        public List<ReportField> reportFields = new ArrayList<>();

        /** Throws IllegalArgumentException, naming the field, if a setting is missing or out of range. */
        void validate() {
            require(!classes.isEmpty(), "classes is empty");
            require(nodes >= 1, "nodes is under 1");
            require(node >= 0 && node < nodes, "node is not among nodes");
            require(maxAttempts >= 1, "maxAttempts is under 1");
            require(myZone >= 0 && myZone < Math.max(1, zones.size()), "myZone is not among zones");
            requireTime(tickUs, "tickUs");
            requireTime(coldUs, "coldUs");
            requireTime(coldOverloadWindowUs, "fallUs");
            requireTime(drainGraceUs, "drainGraceUs");
            requireTime(connectTimeoutUs, "connectTimeoutUs");
            requireTime(maxListIntervalUs, "askWithinUs");
            requireTime(maxRetryAfterUs, "maxRetryAfterUs");
            require(overShareValueFraction >= 0, "overShareWorth is negative");
            require(crossZonePrice >= 0, "crossZonePrice is negative");
            require(probePrice >= 0, "probePrice is negative");
            require(coldStartFraction > 0 && coldStartFraction <= 1, "coldFrom is not in (0, 1]");
            require(coldOverloadMultiple > 0, "fallMultiple is not above 0");
            for (RequestClass c : classes) {
                require(
                        c.latencyTargetUs() >= 0
                                && c.deadlineUs() > 0
                                && c.deduplicationWindowUs() >= 0
                                && c.latencyTargetWorkFactor() >= 0,
                        "class " + c.name() + " has a length of time out of range");
                require(c.value() >= 0 && c.lateValueFraction() >= 0, "class " + c.name() + " has a negative worth");
                require(
                        c.idempotency() != Idempotency.KEYED || c.deduplicationScope() != null,
                        "class " + c.name() + " has no group");
            }
        }

        private static void requireTime(long us, String field) {
            require(us >= 0, field + " is negative");
        }

        private static void require(boolean holds, String otherwise) {
            if (!holds) {
                throw new IllegalArgumentException(otherwise);
            }
        }
    }
}
