package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;

/**
 * The interface between a proxy node and its decision module: what the node reports (settings, server lists, requests,
 * outcomes, timers), and what the module asks the node to do ({@link Actions}).
 *
 * <p>Times are microseconds of the caller's clock, which never goes backwards; durations are microseconds too. An
 * instance serves one node, is single-threaded, never blocks and calls its {@link Actions} only from within an event
 * method. The same events and seed give the same actions.
 */
public interface Balancer {

    /**
     * Applies a server list.
     *
     * @param nowUs time of the event
     * @param kind what the entries are; servers missing from a list that is not {@link ListKind#CHANGES} have gone
     * @param entries the entries; of several for one server the last one counts
     */
    void onServers(long nowUs, ListKind kind, List<ServerEntry> entries);

    /** Reports that a list request failed or the subscription broke; the old list stays in use. */
    void onListFailed(long nowUs);

    /**
     * Accepts a client's request, which gets exactly one final answer.
     *
     * @throws IllegalArgumentException if its class or tenant is not in the settings, or a request with its id is
     *     pending
     */
    void onRequest(long nowUs, Request request);

    /** Reports how one attempt ended. Unknown attempts are ignored. */
    void onOutcome(long nowUs, Outcome outcome);

    /** Reports that an attempt of a streamed class has begun to answer; it has no deadline from here on. */
    void onFirstByte(long nowUs, long requestId, int attempt);

    /** Reports that the client has disconnected; the request needs no answer any more. Unknown ids are ignored. */
    void onClientDisconnected(long nowUs, long requestId);

    /** Reports how a probe ended; {@code report} as in {@link Outcome}. */
    void onProbe(long nowUs, String serverId, Result result, long latencyUs, double[] report);

    /** Reports that the time requested with {@link Actions#wakeAt} has come. */
    void onWake(long nowUs);

    /** Returns the statistics of those of these servers that are ready, and of all classes. */
    default ServerStatistics statistics(List<String> serverIds) {
        return ServerStatistics.NONE;
    }

    /**
     * Supplies statistics from before a restart, or from another node. They are used only for servers and classes
     * without observations of this module's own.
     */
    default void onPrior(long nowUs, ServerStatistics prior) {}

    /**
     * Returns why this server is sent nothing, or less than others, one reason for operators per element; empty if it
     * is selected as any other.
     */
    default List<String> explainServer(long nowUs, String serverId) {
        return List.of();
    }

    /** Performs the module's decisions. Calls take effect in order, at the time of the event. */
    interface Actions {
        /** Starts the next attempt of a request (numbered 0, 1, 2 ...), which times out at {@code untilUs}. */
        void send(long requestId, String serverId, long untilUs);

        /** Cancels an attempt; its outcome is still reported. */
        void cancel(long requestId, int attempt);

        /**
         * Final answer: rejected, and a retry is harmless.
         *
         * @param retryAfterUs when the client should retry, in microseconds from now; 0 for no advice
         */
        void reject(long requestId, long retryAfterUs);

        /** Final answer: failed; the request may or may not have taken effect. */
        void fail(long requestId);

        /** Has {@link #onWake} called at this time or soon after. The module keeps at most one wake-up pending. */
        void wakeAt(long atUs);

        /** Probes a server. */
        void probe(String serverId);

        /** Subscribes to changes of the server list. */
        void subscribe();

        /** Writes a line to the operators' log. */
        void log(String line);

        /** Whether candidates and reasons are to be reported; asked before they are built. */
        default boolean wantsExplanations() {
            return false;
        }

        /** Reports which servers were drawn for an attempt, before one is sent to; the second may be null. */
        default void reportCandidates(long requestId, Candidate first, Candidate second) {}

        /** Reports why the rejection or failure that follows is the answer. */
        default void reportReason(long requestId, UnservedReason why) {}
    }

    /**
     * A server as it was drawn.
     *
     * @param serverId the server's id
     * @param weight its draw weight: its list weight, reduced by consecutive errors
     * @param inFlight this node's requests there
     * @param limit how many this node may have there
     * @param relativeLatency its latency as a multiple of the usual
     */
    record Candidate(String serverId, double weight, int inFlight, double limit, double relativeLatency) {}

    /** Why a request got its final answer without being served. */
    enum UnservedReason {
        /** No answer could arrive in time, or have any value, when the request was read. */
        TOO_LATE_ON_ARRIVAL("no answer could be in time when it arrived"),
        /** The node sheds a fraction of the low-value requests, since those of higher value find no capacity. */
        SHED("the fleet is overloaded, and requests of lower value are shed"),
        /** The node's event loop is delayed. */
        EVENT_LOOP_DELAY("the node's event loop was delayed, and its answer would have been late"),
        /** No server had capacity for it in time. */
        NO_CAPACITY("no server had capacity for it in time"),
        /** Its time ran out after an attempt. */
        DEADLINE_EXCEEDED("no time was left for another attempt"),
        /** It used all attempts that the settings allow. */
        ATTEMPTS_EXHAUSTED("it has used all its attempts"),
        /** It may have run, and must not run twice. */
        MAY_HAVE_RUN("it may have run, and must not run twice"),
        /** Its deduplication window has passed. */
        DEDUPLICATION_WINDOW_EXPIRED(
                "its deduplication window has passed, and servers no longer drop duplicates of its key"),
        /** Its route's attempts or retry budget are used up. */
        ROUTE_LIMIT("its route's attempts, or its retry budget, are used up");

        private final String text;

        UnservedReason(String text) {
            this.text = text;
        }

        /** Returns the reason in words, for operators. */
        public String text() {
            return text;
        }
    }

    /** What a server list event contains. */
    enum ListKind {
        /** Only the entries that changed. */
        CHANGES,
        /** All entries. */
        FULL,
        /** All entries as the node last stored them, possibly out of date; given once, at the start. */
        CACHED
    }

    /** The lifecycle state of a server in its list. */
    enum ServerState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * One entry of a server list.
     *
     * @param id the name that attempts use; stays the same over restarts
     * @param zone index into {@link Settings#zones}
     * @param cell number of the group of servers that share the keys they have seen
     * @param state whether it takes requests
     * @param weight relative capacity, comparable only with other servers'
     * @param startedAtUs when it last started; 0 means long ago
     */
    record ServerEntry(String id, int zone, int cell, ServerState state, double weight, long startedAtUs) {}

    /**
     * A client's request.
     *
     * @param id unique among the pending requests
     * @param classIndex index into {@link Settings#classes}
     * @param tenant index into {@link Settings#tenants}, or -1
     * @param remainingUs time until the client gives up on this try
     * @param workUs rough expected work on a standard core; 0 if not known
     * @param retry true if the client is known to be retrying
     * @param loopDelayUs how long it may have waited before the node could read it
     * @param admissionDelayUs how long it has waited in the node's admission queue since
     * @param retryLimits what its route allows beside its class and the settings
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

        /** A request without a route's limits, which did not wait for admission. */
        public Request(
                long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry, long loopDelayUs) {
            this(id, classIndex, tenant, remainingUs, workUs, retry, loopDelayUs, 0, RetryLimits.NONE);
        }

        /** A request that was read without delay. */
        public Request(long id, int classIndex, int tenant, long remainingUs, long workUs, boolean retry) {
            this(id, classIndex, tenant, remainingUs, workUs, retry, 0);
        }
    }

    /** Limits that an operator has set on the retries and hedges of a request's route. */
    interface RetryLimits {
        /** No limits. */
        RetryLimits NONE = new RetryLimits() {};

        /** Returns how many attempts may have run, the first included. */
        default int maxAttempts() {
            return Integer.MAX_VALUE;
        }

        /** Whether the budget allows one more attempt after the first. */
        default boolean mayRetry() {
            return true;
        }

        /** Records that one more attempt after the first is sent. */
        default void recordRetry() {}

        /** Returns how long after the first attempt a hedge is sent, in microseconds; 0 for never. */
        default long hedgeDelayUs() {
            return 0;
        }

        /** Records the latency of an attempt that was served, in microseconds. */
        default void recordLatency(long latencyUs) {}

        /** Returns the delay before the next attempt after this many, in microseconds. */
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
        /** The server rejected the request without processing it. */
        FULL(true),
        /** No answer in time; it may have run or still be running. */
        TIMEOUT(false),
        /** No connection in time. */
        CONNECT_FAILED(true),
        /** The connection broke; it may have run. */
        RESET(false),
        /** Cancelled; it may have run. */
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
     * @param requestId the request's id
     * @param attempt the attempt's number, from 0
     * @param result how it ended
     * @param latencyUs time since it was sent
     * @param requestEnded true if the request has ended, by this outcome or before; otherwise it still needs an answer
     * @param report the server's load report in the order of {@link Settings#reportFields}, or null
     * @param loopDelayUs how much of the latency the node's delayed event loop may have added; that much says nothing
     *     about the server
     */
    record Outcome(
            long requestId,
            int attempt,
            Result result,
            long latencyUs,
            boolean requestEnded,
            double[] report,
            long loopDelayUs) {

        /** An outcome that was read without delay. */
        public Outcome(
                long requestId, int attempt, Result result, long latencyUs, boolean requestEnded, double[] report) {
            this(requestId, attempt, result, latencyUs, requestEnded, report, 0);
        }

        /** Returns the part of the latency that is surely the server's, in microseconds. */
        public long serverLatencyUs() {
            return latencyUs - loopDelayUs;
        }

        /** Whether the latency is mostly the node's own, so that it says nothing. */
        public boolean isMostlyLoopDelay() {
            return serverLatencyUs() < loopDelayUs;
        }

        /**
         * Whether it says anything about its server: a delayed node times out on answers that have arrived. A node that
         * stays delayed detects a silent server only by other failures.
         */
        public boolean isInformative() {
            return result != Result.CANCELLED
                    && result != Result.MOOT
                    && (result != Result.TIMEOUT || !isMostlyLoopDelay());
        }
    }

    /** Whether a request may run more than once. */
    enum Idempotency {
        /** Any number of times. */
        SAFE,
        /** Within a group of servers that drop duplicates for a while. */
        KEYED,
        /** Never. */
        UNSAFE
    }

    /** The servers among which duplicates of a keyed request are dropped. */
    enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** A field of a server's load report. */
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
     * @param name its name
     * @param latencyTargetUs answers within this time have the full value
     * @param latencyTargetWorkFactor the latency target grows by this many times the request's own work, up to the
     *     deadline
     * @param deadlineUs how long a client waits over all its tries
     * @param value value of a request, at least 0
     * @param lateValueFraction fraction of the value that an answer after the latency target has, at least 0
     * @param idempotency whether it may run more than once
     * @param deduplicationScope keyed classes: which servers drop duplicates
     * @param deduplicationWindowUs keyed classes: for how long, from the first attempt that may have run
     * @param isStreaming whether answers are streamed
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
     * @param name its name
     * @param quotaPerS requests per second of its share, over all nodes; 0 for no limit
     */
    record Tenant(String name, double quotaPerS) {}

    /** The settings of one node. Fields that are not set keep these defaults. */
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
        /** Value of a request over its tenant's share, as a fraction of its class's value. */
        public double overShareValueFraction = 1;
        /** Whether value counts per unit of work instead of per request. */
        public boolean valuePerWorkUnit;
        /** Maximum attempts of a request. */
        public int maxAttempts = 3;
        /** Whether a request may have two attempts in flight at once. */
        public boolean allowsHedging;
        /** Whether attempts may be cancelled. */
        public boolean allowsCancellation;
        /** Whether servers may be probed. */
        public boolean allowsProbes;
        /** Whether clients mark their retries, so that an unmarked request is a first try. */
        public boolean clientsMarkRetries;
        /** Maximum retry-after given to a client; 0 if none may be given. */
        public long maxRetryAfterUs;
        /** Events arrive at most this often. */
        public long tickUs = 1_000;
        /** Timeout for opening a connection. */
        public long connectTimeoutUs = 250_000;
        /** Whether the server list must be requested. */
        public boolean mustRequestList;
        /** Maximum interval between list requests while there is no subscription, where the list must be requested. */
        public long maxListIntervalUs = 10_000_000;
        /** Sends to a server must end this long after it is reported as draining or gone. */
        public long drainGraceUs = 1_000_000;
        /** Minimum fraction of its capacity that a server has when it starts. */
        public double coldStartFraction = 0.2;
        /** Maximum time until a started server is warm. */
        public long coldUs = 20_000_000;
        /** A cold server is overloaded when all nodes together send it more than this many times its capacity. */
        public double coldOverloadMultiple = 3;
        /** The time window over which that load is counted. */
        public long coldOverloadWindowUs = 2_000_000;
        /** Price of an attempt that crosses zones; 0 if crossing is free. */
        public double crossZonePrice;
        /** Price of one probe per request, in a unit in which the value of all requests is 1. */
        public double probePrice;
        /** Fields of the load reports, in order; empty if there are none. */
        public List<ReportField> reportFields = new ArrayList<>();

        /** Throws IllegalArgumentException, naming the configuration key, if a setting is missing or out of range. */
        void validate() {
            require(!classes.isEmpty(), "classes is empty");
            require(nodes >= 1, "nodes must be at least 1");
            require(node >= 0 && node < nodes, "node must be from 0 to nodes - 1");
            require(maxAttempts >= 1, "maxAttempts must be at least 1");
            require(myZone >= 0 && myZone < Math.max(1, zones.size()), "myZone must be an index into zones");
            requireTime(tickUs, "tickUs");
            requireTime(coldUs, "coldUs");
            requireTime(coldOverloadWindowUs, "fallUs");
            requireTime(drainGraceUs, "drainGraceUs");
            requireTime(connectTimeoutUs, "connectTimeoutUs");
            requireTime(maxListIntervalUs, "askWithinUs");
            requireTime(maxRetryAfterUs, "maxRetryAfterUs");
            require(overShareValueFraction >= 0, "overShareWorth must not be negative");
            require(crossZonePrice >= 0, "crossZonePrice must not be negative");
            require(probePrice >= 0, "probePrice must not be negative");
            require(coldStartFraction > 0 && coldStartFraction <= 1, "coldFrom must be above 0 and at most 1");
            require(coldOverloadMultiple > 0, "overloadFactor must be above 0");
            for (RequestClass c : classes) {
                require(
                        c.latencyTargetUs() >= 0
                                && c.deadlineUs() > 0
                                && c.deduplicationWindowUs() >= 0
                                && c.latencyTargetWorkFactor() >= 0,
                        "class " + c.name() + " has a latency target, deadline or deduplication window out of range");
                require(c.value() >= 0 && c.lateValueFraction() >= 0, "class " + c.name() + " has a negative value");
                require(
                        c.idempotency() != Idempotency.KEYED || c.deduplicationScope() != null,
                        "class " + c.name() + " is keyed and has no deduplication scope");
            }
        }

        private static void requireTime(long us, String field) {
            require(us >= 0, field + " must not be negative");
        }

        private static void require(boolean condition, String message) {
            if (!condition) {
                throw new IllegalArgumentException(message);
            }
        }
    }
}
