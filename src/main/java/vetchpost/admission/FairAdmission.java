package vetchpost.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.NavigableSet;
import java.util.SplittableRandom;
import java.util.TreeSet;
import vetchpost.admission.Contention.Contender;
import vetchpost.core.AdmissionControl;
import vetchpost.core.ClientRequest;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;

/**
 * Weighted fair queues before the decision module: tenants share the fleet's capacity by their weights, within a tenant
 * its classes by their value, and within a class its clients evenly. Capacity is neither configured nor probed:
 * requests are admitted while the decision module has almost no unsent ones, so that its own limits are the only ones,
 * and the rate at which the queues drain shows what the fleet can do. A request that can't be answered in time at that
 * rate is rejected on arrival, with a retry-after for which capacity is reserved where there is some.
 *
 * <p>The {@link vetchpost.core.Dispatcher} calls it, on the node's event loop only. It does no I/O and has no clock of
 * its own; times are microseconds. docs/admission.md has the design's alternatives and bounds.
 */
public final class FairAdmission implements AdmissionControl {
    /** How often waiting requests are checked for lateness; short against any latency target. */
    private static final long SWEEP_INTERVAL_US = 10_000;
    /**
     * An admitted request that stays unsent while this many others are sent, or for {@link #BLOCKED_AFTER_US}, is
     * blocked by a limit of its own class.
     */
    private static final int BLOCKED_AFTER_SENDS = 8;

    private static final long BLOCKED_AFTER_US = 50_000;
    /**
     * At most this fraction of the remaining time is set aside for the answer; the decision module gives up later than
     * that.
     */
    private static final double MAX_RESPONSE_TIME_FRACTION = 0.8;
    /** An answer is expected within this many times its class's usual latency, as in the decision module. */
    private static final double RESPONSE_TIME_FACTOR = 2;
    /**
     * Time constant of the drain rate: older work counts less than a third, so halved capacity shows after about this
     * time.
     */
    private static final double DRAIN_RATE_TIME_CONSTANT_US = 300_000;
    /** The drain rate is measured only after requests have waited for this long without a break. */
    private static final long MIN_BUSY_US = 50_000;
    /** Time constant of the rate of all admitted work, whether or not requests wait. */
    private static final double THROUGHPUT_TIME_CONSTANT_US = 1_000_000;
    /** Reservations are made by the drain rate over about this time, or by the quicker one where that is lower. */
    private static final double STEADY_RATE_TIME_CONSTANT_US = 3_000_000;
    /** A tenant that used less than its share may catch up on this much of it at once. */
    private static final double MAX_CREDIT_US = 200_000;
    /**
     * A tenant that uses less than this fraction of its share goes before other tenants' requests that retry on time.
     */
    private static final double LIGHT_TENANT_FRACTION = 0.75;
    /** While more requests keep arriving, this many times the current backlog may go before a request. */
    private static final double MAX_OVERTAKING_FACTOR = 1.5;
    /** A rate measured over a shorter time counts as unknown. */
    private static final double MIN_MEASURED_US = 50_000;
    /**
     * Fractions of the admitted work are taken over at least this cost, about 400 requests; over more where many are
     * admitted.
     */
    private static final double MIN_SHARE_WINDOW_COST = 400 * 20_000;
    /** Fraction of a tenant class's drain rate that may be reserved; the rest absorbs fluctuations. */
    private static final double MAX_RESERVED_FRACTION = 0.85;
    /** No retry-after is shorter: a round trip and one sweep of the queues. */
    private static final long MIN_RETRY_AFTER_US = 20_000;
    /**
     * Retry times are spread by up to this fraction of a request's drain time, so that clients rejected together don't
     * retry together.
     */
    private static final double RETRY_AFTER_JITTER = 0.1;
    /** Least weight of a class, and of requests over a tenant's share, so that none starves. */
    private static final double MIN_FLOW_WEIGHT = 0.001;
    /**
     * Exponent of a class's value in its weight: at 1 the most valuable classes leave too much capacity to others, and
     * with a very large one all others starve.
     */
    private static final double VALUE_EXPONENT = 2;
    /** A tenant without requests for this long is forgotten. */
    private static final long TENANT_IDLE_TIMEOUT_US = 10_000_000;

    private final Settings nodeSettings;
    private final ClientIdentity clientIdentity;
    private final SplittableRandom random;
    private final ExpectedWork expectedWork;
    private final ReservationTable reservations;
    private final SchedulingNode root = new SchedulingNode(null, 0, 1);
    /**
     * Requests that were retried on time, ordered by their latest start. They go before all queued requests, and their
     * cost is charged to their flows.
     */
    private final NavigableSet<QueuedRequest> returnedRequests =
            new TreeSet<>(Comparator.<QueuedRequest>comparingLong(queued -> queued.latestStartUs)
                    .thenComparingLong(queued -> queued.sequence));

    private final TenantState[] tenantStates;
    private final boolean[] blockedClasses;
    private final Deque<QueuedRequest> unsentRequests = new ArrayDeque<>();
    private final Deque<QueuedRequest> pendingRejections = new ArrayDeque<>();
    private final List<Flow> skippedShares = new ArrayList<>();
    private final List<Flow> skippedClasses = new ArrayList<>();
    private final AdmissionCounts counts = new AdmissionCounts();
    private final Contention tenantContention = new Contention();
    /** Classes of tenants of which some request was rejected lately, and their fraction of the admitted work. */
    private final Contention constrainedContention = new Contention();

    private final DrainRate constrainedFraction = new DrainRate();
    private final ReservedWork totalReserved = new ReservedWork();
    private AdmissionSettings settings;
    private boolean admitsAll;
    private long currentUs;
    private long lastSequence;
    private long sentCount;
    private double drainedCost;
    /** Work admitted while requests have waited for a while (quick and steady mean), and all admitted work. */
    private final DrainRate drainRate = new DrainRate();

    private final DrainRate steadyDrainRate = new DrainRate();
    private final DrainRate throughput = new DrainRate();
    private long busySinceUs;
    private long nextSweepUs = Long.MAX_VALUE;
    private long nextTenantExpiryUs;

    /**
     * Creates admission control without waiting requests.
     *
     * @param settings the operator's settings
     * @param nodeSettings the node's settings: classes, tenants and the longest retry-after allowed
     * @param seed of the jitter and of the assignment of clients to queues
     */
    public FairAdmission(AdmissionSettings settings, Settings nodeSettings, long seed) {
        this.settings = settings;
        this.nodeSettings = nodeSettings;
        random = new SplittableRandom(seed);
        clientIdentity = new ClientIdentity(seed);
        expectedWork = new ExpectedWork(nodeSettings.classes.size());
        reservations = new ReservationTable(settings.reservationTableSize());
        tenantStates = new TenantState[nodeSettings.tenants.size() + 1];
        blockedClasses = new boolean[nodeSettings.classes.size()];
    }

    // ---------------------------------------------------------------- arrivals

    @Override
    public RequestProgress arrive(
            long nowUs, ClientRequest request, long connection, long waitedUs, long deadlineUs, Applicant applicant) {
        currentUs = nowUs;
        int tenant = request.tenant() + 1;
        int classIndex = request.classIndex();
        TenantState tenantState = tenantState(tenant);
        long client = clientIdentity.of(request, connection);
        QueuedRequest queued =
                createRequest(request, ClientIdentity.withClass(client, classIndex), waitedUs, deadlineUs, applicant);
        int heavyHitterIndex = tenantState.heavyHitters.recordRequest(client, currentUs);
        int reservation = reservations.find(queued.clientKey, currentUs);
        counts.arrived++;
        boolean isOnTime =
                reservation >= 0 && currentUs >= reservations.dueUs(reservation) - ReservationTable.MAX_EARLY_US;
        if (reservation >= 0 && !isOnTime) {
            counts.returnedEarly++;
            if (request.retry()
                    && hasWaiting(tenant)
                    && (heavyHitterIndex >= 0 || reservations.hasMaxReservations(queued.clientKey))) {
                // The client was given a retry time, marks this as a retry, and others wait: this check is all that it
                // costs.
                return scheduleRejection(queued, reservations.dueUs(reservation) - currentUs);
            }
        }
        if (isOnTime) {
            counts.returnedOnTime++;
            queued.isWithinShare = reservations.isWithinShare(reservation);
            queued.hasConsumedQuota = queued.isWithinShare && tenantState.tryConsumeQuota(currentUs);
            reservations.remove(reservation);
        } else {
            queued.hasConsumedQuota = nodeSettings.overShareValueFraction < 1 && tenantState.tryConsumeQuota(currentUs);
            queued.isWithinShare = nodeSettings.overShareValueFraction >= 1 || queued.hasConsumedQuota;
        }
        SchedulingNode classNode = childNode(childNode(root, shareKey(queued)), classIndex);
        tenantContention.recordRequest(tenantState.shareContenders[queued.isWithinShare ? 0 : 1], currentUs);
        tenantState.recordRequest(classIndex, queued.isWithinShare, currentUs);
        RequestQueue queue = isOnTime ? null : queueFor(classNode, client, heavyHitterIndex);
        updateRates();
        // A retry on time is queued as it is; the next sweep checks whether its reservation can be kept.
        queued.dueAtDrainedCost =
                isOnTime ? 0 : tenantState.drainedCost(classIndex, queued.isWithinShare) + costAhead(classNode, queue);
        double waitUs = isOnTime ? 0 : expectedWaitUs(queued, classNode);
        if (currentUs + waitUs > queued.latestStartUs
                || root.waitingCount >= settings.maxWaiting() && !evictFromLongestQueue(queued, queue)) {
            counts.count(
                    currentUs + waitUs > queued.latestStartUs
                            ? AdmissionCounts.RejectionReason.TOO_LATE
                            : AdmissionCounts.RejectionReason.QUEUE_FULL);
            counts.reservationsMissed += isOnTime ? 1 : 0;
            long retryAfterUs = reserve(queued);
            prune(isOnTime ? classNode : queue);
            return scheduleRejection(queued, retryAfterUs);
        }
        counts.reservationsKept += isOnTime ? 1 : 0;
        // Looked up again, since the eviction may have removed flows of this client that had nothing waiting.
        enqueue(
                queued,
                isOnTime
                        ? null
                        : queueFor(childNode(childNode(root, shareKey(queued)), classIndex), client, heavyHitterIndex));
        return queued;
    }

    private QueuedRequest createRequest(
            ClientRequest request, long clientKey, long waitedUs, long deadlineUs, Applicant applicant) {
        RequestClass requestClass = nodeSettings.classes.get(request.classIndex());
        // Without the retry mark, a retry can't be told from a first attempt with less time.
        long elapsedUs = nodeSettings.clientsMarkRetries && request.retry()
                ? Math.max(0, requestClass.deadlineUs() - request.remainingUs())
                : 0;
        long latencyTargetUs = Math.min(
                requestClass.deadlineUs(),
                requestClass.latencyTargetUs() + (long) (requestClass.latencyTargetWorkFactor() * request.workUs()));
        long answerDueUs = requestClass.lateValueFraction() > 0
                ? deadlineUs
                : Math.min(deadlineUs, currentUs - waitedUs + latencyTargetUs - elapsedUs);
        long remainingUs = answerDueUs - currentUs;
        long latestStartUs = answerDueUs
                - (long) Math.min(
                        MAX_RESPONSE_TIME_FRACTION * remainingUs,
                        RESPONSE_TIME_FACTOR * expectedWork.usualLatencyUs(request.classIndex()));
        long retryDeadlineUs = currentUs
                - waitedUs
                - elapsedUs
                + (settings.clientRetryWindowUs() > 0 ? settings.clientRetryWindowUs() : requestClass.deadlineUs());
        return new QueuedRequest(
                this,
                applicant,
                request.tenant() + 1,
                request.classIndex(),
                clientKey,
                currentUs,
                latestStartUs,
                retryDeadlineUs,
                expectedWork.costUs(request.classIndex()));
    }

    /** The tenant's state, created if needed. From time to time this also forgets idle tenants. */
    private TenantState tenantState(int tenant) {
        TenantState state = tenantStates[tenant];
        if (state == null) {
            double quotaPerS =
                    tenant == 0 ? 0 : nodeSettings.tenants.get(tenant - 1).quotaPerS() / nodeSettings.nodes;
            double[] classWeights = new double[blockedClasses.length];
            for (int classIndex = 0; classIndex < classWeights.length; classIndex++) {
                classWeights[classIndex] = classWeight(classIndex);
            }
            state = new TenantState(
                    new double[] {shareWeight(2 * tenant), shareWeight(2 * tenant + 1)},
                    classWeights,
                    quotaPerS,
                    currentUs);
            tenantStates[tenant] = state;
        }
        state.lastSeenUs = currentUs;
        if (currentUs >= nextTenantExpiryUs) {
            nextTenantExpiryUs = currentUs + TENANT_IDLE_TIMEOUT_US;
            for (int idleTenant = 0; idleTenant < tenantStates.length; idleTenant++) {
                if (tenantStates[idleTenant] != null
                        && currentUs - tenantStates[idleTenant].lastSeenUs > TENANT_IDLE_TIMEOUT_US
                        && !hasWaiting(idleTenant)) {
                    tenantStates[idleTenant] = null;
                    root.forgetIfIdle(2 * idleTenant);
                    root.forgetIfIdle(2 * idleTenant + 1);
                }
            }
        }
        return state;
    }

    /** Whether the tenant has waiting requests. */
    private boolean hasWaiting(int tenant) {
        Flow withinShare = root.children.get(2 * tenant);
        Flow overShare = root.children.get(2 * tenant + 1);
        return withinShare != null && withinShare.waitingCount > 0 || overShare != null && overShare.waitingCount > 0;
    }

    /**
     * The key of a request's flow below the root. Each tenant has one flow for requests within its share and one for
     * others.
     */
    private static int shareKey(QueuedRequest queued) {
        return 2 * queued.tenant + (queued.isWithinShare ? 0 : 1);
    }

    private SchedulingNode childNode(SchedulingNode parent, int key) {
        Flow child = parent.children.get(key);
        if (child == null) {
            SchedulingNode created =
                    new SchedulingNode(parent, key, parent == root ? shareWeight(key) : classWeight(key));
            parent.children.put(key, created);
            return created;
        }
        return (SchedulingNode) child;
    }

    private double shareWeight(int shareKey) {
        double weight = settings.tenantWeights().get(shareKey / 2);
        return shareKey % 2 == 0 ? weight : weight * Math.max(MIN_FLOW_WEIGHT, nodeSettings.overShareValueFraction);
    }

    /**
     * The weight of a class: its value for the work it takes, as the decision module computes it, relative to the most
     * valuable class, to the power of {@link #VALUE_EXPONENT}.
     */
    private double classWeight(int classIndex) {
        double maxValue = 0;
        for (int other = 0; other < blockedClasses.length; other++) {
            maxValue = Math.max(maxValue, classValue(other));
        }
        return Math.max(
                MIN_FLOW_WEIGHT, StrictMath.pow(classValue(classIndex) / Math.max(1e-12, maxValue), VALUE_EXPONENT));
    }

    private double classValue(int classIndex) {
        return nodeSettings.classes.get(classIndex).value()
                / (nodeSettings.valuePerWorkUnit ? 1 : expectedWork.costUs(classIndex));
    }

    /**
     * The queue of a client: its own if it is a heavy hitter, else a shared one selected by its identity.
     *
     * @param heavyHitterIndex the client's index among its tenant's heavy hitters, or -1
     */
    private RequestQueue queueFor(SchedulingNode classNode, long client, int heavyHitterIndex) {
        return queueFor(
                classNode,
                heavyHitterIndex >= 0
                        ? settings.queuesPerClass() + heavyHitterIndex
                        : (int) Long.remainderUnsigned(client, settings.queuesPerClass()));
    }

    private static RequestQueue queueFor(SchedulingNode classNode, int key) {
        return (RequestQueue) classNode.children.computeIfAbsent(key, newKey -> new RequestQueue(classNode, newKey));
    }

    /** Removes the flows that were created for a request that was then rejected. */
    private void prune(Flow unused) {
        for (Flow flow = unused;
                flow.parent != null
                        && !flow.isReady
                        && flow.waitingCount == 0
                        && flow.finishTag == 0
                        && !(flow instanceof SchedulingNode node && !node.children.isEmpty());
                flow = flow.parent) {
            flow.parent.children.remove(flow.key, flow);
        }
    }

    // ---------------------------------------------------------------- rates and waiting times

    /** Advances the rates to now. To be called before any request enters or leaves a queue. */
    private void updateRates() {
        throughput.advanceTo(currentUs, THROUGHPUT_TIME_CONSTANT_US, true);
        if (isBusy()) {
            drainRate.skipTo(busySinceUs + MIN_BUSY_US);
            drainRate.advanceTo(currentUs, DRAIN_RATE_TIME_CONSTANT_US, true);
            steadyDrainRate.skipTo(busySinceUs + MIN_BUSY_US);
            steadyDrainRate.advanceTo(currentUs, STEADY_RATE_TIME_CONSTANT_US, true);
        } else {
            drainRate.skipTo(currentUs);
            steadyDrainRate.skipTo(currentUs);
        }
    }

    /**
     * Whether requests have waited for a while without a break. What waits only for a moment is admitted as soon as one
     * answer comes, which would look like an arbitrarily high rate.
     */
    private boolean isBusy() {
        return root.waitingCount > 0 && currentUs > busySinceUs + MIN_BUSY_US;
    }

    /** The drain rate in cost per microsecond, which is the work of that many servers; 0 while it is not known. */
    private double drainPerUs() {
        double busyRate = drainRate.rate(MIN_MEASURED_US);
        return busyRate == 0 ? 0 : Math.max(busyRate, throughput.rate(THROUGHPUT_TIME_CONSTANT_US / 2));
    }

    /**
     * Total weight of the tenants that have sent requests lately; at least that of this request's, which may have
     * waited for longer than that.
     */
    private double contendingWeight(QueuedRequest queued) {
        return Math.max(tenantContention.totalWeight(), shareWeight(shareKey(queued)));
    }

    /** The fraction of the capacity that a tenant surely gets. */
    private double tenantFraction(QueuedRequest queued) {
        return tenantContention.fraction(
                tenantStates[queued.tenant].shareContenders[queued.isWithinShare ? 0 : 1], currentUs);
    }

    /**
     * The fraction of the capacity that a class of a tenant gets: what it surely gets or, if that is more, its weighted
     * share of what the classes get together of which requests were rejected lately (max-min fairness: the others have
     * all they want).
     */
    private double classFraction(QueuedRequest queued) {
        TenantState state = tenantStates[queued.tenant];
        return Math.max(
                tenantFraction(queued) * state.classFraction(queued.classIndex, queued.isWithinShare, currentUs),
                constrainedFraction.rate(MIN_SHARE_WINDOW_COST / 2)
                        * constrainedContention.fraction(
                                state.leafContender(queued.classIndex, queued.isWithinShare), currentUs));
    }

    /**
     * The rate at which retries may be reserved. The quick mean has random peaks in it and the steady one lags behind a
     * drop, so the lower one counts.
     */
    private double reservablePerUs() {
        return MAX_RESERVED_FRACTION * Math.min(drainRate.rate(MIN_MEASURED_US), steadyDrainRate.rate(MIN_MEASURED_US));
    }

    /**
     * The cost of this tenant's class that is admitted before a request at the end of this queue: until the turn of its
     * class and of its queue. While queues are short-lived it is at most what waits in the class.
     */
    private double costAhead(SchedulingNode classNode, RequestQueue queue) {
        double aheadInClass = (classNode.lag(queue) + queue.backlogCost) / queue.fraction();
        return Math.max(0, classNode.parent.lag(classNode))
                + (isBusy() ? aheadInClass : Math.min(classNode.backlogCost, aheadInClass));
    }

    /**
     * How long a request still waits, by what its class of its tenant has drained since it arrived and drains now, and
     * by how far its tenant is before or behind its turn. Requests that arrived later count only where they lessen its
     * fraction. Whatever the order, everything that waits has been admitted after a time if not much more arrives,
     * which is the upper bound.
     */
    private double expectedWaitUs(QueuedRequest queued, SchedulingNode classNode) {
        double totalPerUs = drainPerUs();
        if (totalPerUs == 0) {
            return 0; // Not known yet; the sweep checks waiting requests later.
        }
        double remainingCost = Math.max(
                0,
                queued.dueAtDrainedCost
                        - tenantStates[queued.tenant].drainedCost(queued.classIndex, queued.isWithinShare));
        double fraction = classFraction(queued);
        double waitUs = Math.max(
                0,
                remainingCost / (totalPerUs * fraction)
                        + root.lag(classNode.parent) / (totalPerUs * Math.max(fraction, tenantFraction(queued))));
        return Math.min(waitUs, (isBusy() ? MAX_OVERTAKING_FACTOR : 1) * root.backlogCost / totalPerUs);
    }

    // ---------------------------------------------------------------- queues

    private void enqueue(QueuedRequest queued, RequestQueue queue) {
        queued.stage = QueuedRequest.Stage.WAITING;
        queued.queue = queue;
        queued.sequence = ++lastSequence;
        busySinceUs = root.waitingCount == 0 ? currentUs : busySinceUs;
        if (queue == null) {
            returnedRequests.add(queued);
        } else {
            queue.append(queued);
        }
        updateBacklog(queued, 1);
        root.credit = MAX_CREDIT_US * drainPerUs() / contendingWeight(queued);
        for (Flow flow = queue; flow != null && flow.parent != null; flow = flow.parent) {
            flow.parent.activate(flow, ++lastSequence);
        }
        nextSweepUs = Math.min(nextSweepUs, currentUs + SWEEP_INTERVAL_US);
    }

    /**
     * Adds a request to the backlog of its flow and all flows above ({@code sign} 1), or takes it off ({@code sign}
     * -1).
     */
    private void updateBacklog(QueuedRequest queued, int sign) {
        for (Flow flow = queued.queue == null ? root : queued.queue; flow != null; flow = flow.parent) {
            flow.waitingCount += sign;
            flow.backlogCost = flow.waitingCount == 0 ? 0 : flow.backlogCost + sign * queued.cost;
        }
    }

    private void unlink(QueuedRequest queued) {
        updateRates();
        if (queued.queue == null) {
            returnedRequests.remove(queued);
        } else {
            queued.queue.unlink(queued);
        }
        updateBacklog(queued, -1);
    }

    /** Removes a waiting request that was not admitted. */
    private void removeUnserved(QueuedRequest queued) {
        unlink(queued);
        for (Flow flow = queued.queue; flow != null && flow.parent != null; flow = flow.parent) {
            flow.parent.deactivateIfEmpty(flow);
        }
        if (root.waitingCount == 0) {
            nextSweepUs = Long.MAX_VALUE;
        }
    }

    /**
     * The next request to admit, or null. Retries on time go first, except before a tenant that is below its fair
     * share.
     */
    private QueuedRequest nextRequest() {
        QueuedRequest returned = nextReturned(-1);
        QueuedRequest found = null;
        while (found == null) {
            SchedulingNode shareNode = (SchedulingNode) root.next(key -> true, skippedShares);
            if (shareNode == null || returned != null && !root.isBelowFairShare(shareNode)) {
                found = returned;
                break;
            }
            if (returned != null) {
                found = nextReturned(shareNode.key);
                if (found != null) {
                    break;
                }
            }
            SchedulingNode classNode =
                    (SchedulingNode) shareNode.next(classIndex -> !blockedClasses[classIndex], skippedClasses);
            shareNode.restore(skippedClasses);
            if (classNode == null) {
                // All that this tenant has waiting is of blocked classes.
                root.next(key -> key != shareNode.key, skippedShares);
            } else {
                found = ((RequestQueue) classNode.next(key -> true, skippedClasses)).head;
            }
        }
        root.restore(skippedShares);
        return found;
    }

    /**
     * The first retry on time whose class is not blocked, of this share or, if {@code shareKey} is -1, of any; or null.
     */
    private QueuedRequest nextReturned(int shareKey) {
        for (QueuedRequest queued : returnedRequests) {
            if (!blockedClasses[queued.classIndex] && (shareKey < 0 || shareKey(queued) == shareKey)) {
                return queued;
            }
        }
        return null;
    }

    /** Takes a request out of its queue as admitted and charges its cost to its flows and rates. */
    private void serve(QueuedRequest queued) {
        boolean wasBusy = isBusy();
        unlink(queued);
        if (queued.queue == null) {
            SchedulingNode shareNode = childNode(root, shareKey(queued));
            shareNode.charge(childNode(shareNode, queued.classIndex), queued.cost);
            root.charge(shareNode, queued.cost);
        } else {
            for (Flow flow = queued.queue; flow.parent != null; flow = flow.parent) {
                flow.parent.serve(flow, queued.cost, ++lastSequence);
            }
        }
        root.advanceVirtualTime(LIGHT_TENANT_FRACTION * queued.cost / contendingWeight(queued));
        throughput.add(queued.cost);
        if (wasBusy) {
            drainRate.add(queued.cost);
            steadyDrainRate.add(queued.cost);
        }
        tenantStates[queued.tenant].recordDrained(queued.classIndex, queued.isWithinShare, queued.cost);
        drainedCost += queued.cost;
        constrainedFraction.advanceTo(
                drainedCost, Math.max(MIN_SHARE_WINDOW_COST, DRAIN_RATE_TIME_CONSTANT_US * drainPerUs()), true);
        if (constrainedContention.isContending(
                tenantStates[queued.tenant].leafContender(queued.classIndex, queued.isWithinShare), currentUs)) {
            constrainedFraction.add(queued.cost);
        }
    }

    /**
     * Rejects the last request of the flow with the largest backlog for its weight.
     *
     * @return false if that is the newcomer's own queue, and nothing was rejected
     */
    private boolean evictFromLongestQueue(QueuedRequest newcomer, RequestQueue ownQueue) {
        SchedulingNode shareNode = (SchedulingNode) root.longestBacklog();
        SchedulingNode classNode = shareNode == null ? null : (SchedulingNode) shareNode.longestBacklog();
        RequestQueue longest = classNode == null ? null : (RequestQueue) classNode.longestBacklog();
        if (longest == null || longest == ownQueue || longest.tail == null) {
            return false;
        }
        QueuedRequest last = longest.tail;
        removeUnserved(last);
        counts.count(AdmissionCounts.RejectionReason.QUEUE_FULL);
        scheduleRejection(last, reserve(last));
        return newcomer != last;
    }

    // ---------------------------------------------------------------- rejections

    /** Rejects a request with the next {@link #advance}: no request is answered from within another's arrival. */
    private QueuedRequest scheduleRejection(QueuedRequest queued, long retryAfterUs) {
        queued.stage = QueuedRequest.Stage.REJECTED;
        queued.retryAfterUs = retryAfterUs;
        pendingRejections.add(queued);
        return queued;
    }

    /**
     * Reserves capacity for the retry of a rejected request, where there is some soon enough. Reservations of a
     * tenant's class follow one after the other, up to a fraction of what it drains.
     *
     * @return the retry-after in microseconds, or 0 if there is no reservation
     */
    private long reserve(QueuedRequest queued) {
        constrainedContention.recordRequest(
                tenantStates[queued.tenant].leafContender(queued.classIndex, queued.isWithinShare), currentUs);
        if (queued.hasConsumedQuota) {
            queued.hasConsumedQuota = false;
            tenantStates[queued.tenant].refundQuota();
        }
        double totalPerUs = reservablePerUs();
        double perUs = totalPerUs * classFraction(queued);
        long maxRetryAfterUs = Math.min(settings.maxRetryAfterUs(), nodeSettings.maxRetryAfterUs);
        if (maxRetryAfterUs == 0 || perUs == 0) {
            return 0;
        }
        TenantState state = tenantState(queued.tenant);
        double totalReservedUs = totalReserved.remainingUs(totalPerUs, currentUs);
        double earliestUs = MIN_RETRY_AFTER_US
                + Math.max(totalReservedUs, state.reservedByClass[queued.classIndex].remainingUs(perUs, currentUs));
        long retryAfterUs = (long) (earliestUs
                + queued.cost / perUs * RETRY_AFTER_JITTER * random.nextDouble()
                + MIN_RETRY_AFTER_US * random.nextDouble());
        if (retryAfterUs > maxRetryAfterUs
                || currentUs + retryAfterUs + expectedWork.usualLatencyUs(queued.classIndex) > queued.retryDeadlineUs
                || !reservations.add(queued.clientKey, currentUs + retryAfterUs, queued.isWithinShare, currentUs)) {
            // A client with the maximum of reservations is given the time of its first one.
            int firstReservation = reservations.find(queued.clientKey, currentUs);
            counts.rejectedWithoutReservation += firstReservation < 0 ? 1 : 0;
            return firstReservation < 0
                    ? 0
                    : Math.max(MIN_RETRY_AFTER_US, reservations.dueUs(firstReservation) - currentUs);
        }
        state.reservedByClass[queued.classIndex].add(queued.cost);
        totalReserved.add(queued.cost);
        counts.reservationsMade++;
        return retryAfterUs;
    }

    private void deliverRejections() {
        for (QueuedRequest queued = pendingRejections.poll(); queued != null; queued = pendingRejections.poll()) {
            if (queued.stage == QueuedRequest.Stage.REJECTED) {
                queued.stage = QueuedRequest.Stage.DONE;
                queued.applicant.rejected(queued.retryAfterUs);
            }
        }
    }

    // ---------------------------------------------------------------- admission

    @Override
    public void advance(long nowUs) {
        currentUs = nowUs;
        deliverRejections();
        if (root.waitingCount > 0 && currentUs >= nextSweepUs) {
            sweep();
        }
        while (root.waitingCount > 0 && (admitsAll || hasCapacity())) {
            QueuedRequest queued = nextRequest();
            if (queued == null) {
                break;
            }
            if (currentUs > queued.latestStartUs && !admitsAll) {
                rejectLate(queued);
                deliverRejections();
                continue;
            }
            serve(queued);
            queued.stage = QueuedRequest.Stage.UNSENT;
            queued.admittedUs = currentUs;
            queued.sentCountAtAdmission = sentCount;
            unsentRequests.add(queued);
            counts.admitted++;
            queued.applicant.admitted();
        }
        deliverRejections();
        nextSweepUs = root.waitingCount == 0 ? Long.MAX_VALUE : Math.max(nextSweepUs, currentUs + 1);
    }

    /**
     * Whether the decision module has so few unsent requests that another may be admitted. Requests that it has passed
     * over block their class and don't count: requests of other classes may be sent where these can't.
     */
    private boolean hasCapacity() {
        Arrays.fill(blockedClasses, false);
        int unblockedCount = 0;
        for (QueuedRequest queued : unsentRequests) {
            if (sentCount - queued.sentCountAtAdmission >= BLOCKED_AFTER_SENDS
                    || currentUs - queued.admittedUs >= BLOCKED_AFTER_US) {
                blockedClasses[queued.classIndex] = true;
            } else {
                unblockedCount++;
            }
        }
        return unblockedCount < settings.maxUnsent();
    }

    /** Rejects waiting requests that can't be in time any more, since the drain rate has changed after they arrived. */
    private void sweep() {
        nextSweepUs = currentUs + SWEEP_INTERVAL_US;
        updateRates();
        List<QueuedRequest> late = new ArrayList<>();
        double returnedCost = 0;
        for (QueuedRequest queued : returnedRequests) {
            if (drainPerUs() > 0 && currentUs + returnedCost / drainPerUs() > queued.latestStartUs) {
                late.add(queued);
            } else {
                returnedCost += queued.cost;
            }
        }
        for (Flow shareNode : root.readyChildren()) {
            for (Flow classFlow : ((SchedulingNode) shareNode).readyChildren()) {
                SchedulingNode classNode = (SchedulingNode) classFlow;
                for (Flow queue : classNode.readyChildren()) {
                    collectLate(classNode, (RequestQueue) queue, late);
                }
            }
        }
        late.forEach(this::rejectLate);
        deliverRejections();
    }

    private void collectLate(SchedulingNode classNode, RequestQueue queue, List<QueuedRequest> late) {
        for (QueuedRequest queued = queue.head; queued != null; queued = queued.next) {
            if (currentUs + expectedWaitUs(queued, classNode) > queued.latestStartUs) {
                late.add(queued);
            }
        }
    }

    private void rejectLate(QueuedRequest queued) {
        counts.reservationsMissed += queued.queue == null ? 1 : 0;
        counts.reservationsKept -= queued.queue == null ? 1 : 0;
        removeUnserved(queued);
        counts.count(AdmissionCounts.RejectionReason.TOO_LATE);
        counts.queuedBeforeRejectionUs += currentUs - queued.arrivedUs;
        scheduleRejection(queued, reserve(queued));
    }

    @Override
    public long nextWakeUpUs() {
        return nextSweepUs;
    }

    @Override
    public void admitAll() {
        admitsAll = true;
        Arrays.fill(blockedClasses, false);
        advance(currentUs);
    }

    /**
     * Applies new settings. Waiting requests stay where they are, new weights count from the next admission on, and the
     * reservation table keeps its size.
     *
     * @throws IllegalArgumentException if the settings have another number of tenant weights than the first ones
     */
    public void reconfigure(AdmissionSettings newSettings) {
        if (newSettings.tenantWeights().size() != tenantStates.length) {
            throw new IllegalArgumentException(
                    "the tenants differ from those at this node's start; restart the node to change its tenants");
        }
        settings = newSettings;
        root.children.values().forEach(share -> root.setWeight(share, shareWeight(share.key)));
        for (int tenant = 0; tenant < tenantStates.length; tenant++) {
            for (int side = 0; tenantStates[tenant] != null && side < 2; side++) {
                double previousWeight = tenantStates[tenant].shareContenders[side].weight();
                tenantContention.setWeight(tenantStates[tenant].shareContenders[side], shareWeight(2 * tenant + side));
                for (int classIndex = 0; classIndex < blockedClasses.length; classIndex++) {
                    Contender leaf = tenantStates[tenant].leafContender(classIndex, side == 0);
                    constrainedContention.setWeight(
                            leaf, leaf.weight() * shareWeight(2 * tenant + side) / previousWeight);
                }
            }
        }
    }

    // ---------------------------------------------------------------- progress of requests

    void onFirstAttemptSent(QueuedRequest queued) {
        if (queued.stage == QueuedRequest.Stage.UNSENT) {
            queued.stage = QueuedRequest.Stage.DONE;
            unsentRequests.remove(queued);
            sentCount++;
        }
    }

    void onCompleted(QueuedRequest queued) {
        if (queued.stage == QueuedRequest.Stage.WAITING) {
            counts.disconnected++;
            removeUnserved(queued);
        } else if (queued.stage == QueuedRequest.Stage.UNSENT) {
            unsentRequests.remove(queued);
        }
        queued.stage = QueuedRequest.Stage.DONE;
    }

    @Override
    public void recordLatency(int classIndex, long latencyUs) {
        expectedWork.recordLatency(classIndex, latencyUs);
    }

    /** Counts since the start. */
    public AdmissionCounts counts() {
        return counts;
    }

    /** Number of waiting requests. */
    public int waitingRequests() {
        return root.waitingCount;
    }

    /** Numbers of flows, reservations and known tenants, in this order; these are all that grows in memory. */
    public int[] tableSizes() {
        int knownTenants = 0;
        for (TenantState state : tenantStates) {
            knownTenants += state == null ? 0 : 1;
        }
        return new int[] {root.flowCount(), reservations.size(), knownTenants};
    }
}
