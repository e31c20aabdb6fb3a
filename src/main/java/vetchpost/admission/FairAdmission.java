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
 * Fair queues before the decision module: tenants share what the fleet can do by their weights, within a
 * tenant its classes by their worth, within a class its clients evenly. Nothing here measures the fleet's
 * capacity: the door lets in as long as the module has next to nothing unsent, so that the module's own
 * limits are the only ones, and what goes out of the queues is how fast the fleet drains them. What can't
 * be in time by that is turned away when it comes, with a time to come back at which there is a place for it.
 *
 * <p>It does no I/O and has no clock of its own. docs/admission.md has the options weighed and the bounds.
 */
public final class FairAdmission implements AdmissionControl {
    /** What waits is looked through so often: far under any aim. */
    private static final long SWEEP_INTERVAL_US = 10_000;
    /** Let in and passed over by so many, or unsent for so long, a request waits for something of its own. */
    private static final int BLOCKED_AFTER_SENDS = 8;

    private static final long BLOCKED_AFTER_US = 50_000;
    /** At most this share of a wait is for the answer itself; the module gives up later than that. */
    private static final double MAX_RESPONSE_TIME_FRACTION = 0.8;
    /** An answer is expected within so many times its class's usual latency, as the module does. */
    private static final double RESPONSE_TIME_FACTOR = 2;
    /** What the door drained so long ago counts a third: halved capacity is known after about this time. */
    private static final double DRAIN_RATE_TIME_CONSTANT_US = 300_000;
    /** A queue counts once something has waited in it for so long without a break. */
    private static final long MIN_BUSY_US = 50_000;
    /** What goes out at all is a mean over about this time. */
    private static final double THROUGHPUT_TIME_CONSTANT_US = 1_000_000;
    /** Promises are made by what is drained over about this time, or by less as soon as it is less. */
    private static final double STEADY_RATE_TIME_CONSTANT_US = 3_000_000;
    /** A tenant that took less than its part may catch up on so much of it at once. */
    private static final double MAX_CREDIT_US = 200_000;
    /** A tenant that takes less than this of its part goes before others' that have come back when told. */
    private static final double LIGHT_TENANT_FRACTION = 0.75;
    /** So much of what waits may go before one while more keeps coming. */
    private static final double MAX_OVERTAKING_FACTOR = 1.5;
    /** Of a shorter time nothing can be said. */
    private static final double MIN_MEASURED_US = 50_000;
    /** Parts of what goes out are of about the last 400 requests, or more where many go. */
    private static final double MIN_SHARE_WINDOW_COST = 400 * 20_000;
    /** Part of what a class of a tenant drains that is promised: the rest is for chance. */
    private static final double MAX_RESERVED_FRACTION = 0.85;
    /** Nobody is called back sooner: a way there and back, and a look through the queues. */
    private static final long MIN_RETRY_AFTER_US = 20_000;
    /** Advice is spread over this part more, so that those turned away together don't come together. */
    private static final double RETRY_AFTER_JITTER = 0.1;
    /** What lies beyond a tenant's share weighs this part at least, so that it is not stopped for good. */
    private static final double MIN_FLOW_WEIGHT = 0.001;
    /**
     * Power of a class's value in its weight: at 1 the most valuable leave too much, without end all starve.
     */
    private static final double VALUE_EXPONENT = 2;
    /** A tenant that has been quiet for so long is forgotten. */
    private static final long TENANT_IDLE_TIMEOUT_US = 10_000_000;

    private final Settings nodeSettings;
    private final ClientIdentity clientIdentity;
    private final SplittableRandom random;
    private final ExpectedWork expectedWork;
    private final ReservationTable reservations;
    private final SchedulingNode root = new SchedulingNode(null, 0, 1);
    /**
     * Those that came back when they were told, by when they must go: they go before all others, and what
     * they take counts as their flows'.
     */
    private final NavigableSet<QueuedRequest> returnedRequests = new TreeSet<>(
            Comparator.<QueuedRequest>comparingLong(w -> w.latestStartUs).thenComparingLong(w -> w.sequence));

    private final TenantState[] tenantStates;
    private final boolean[] blockedClasses;
    private final Deque<QueuedRequest> unsentRequests = new ArrayDeque<>();
    private final Deque<QueuedRequest> pendingRejections = new ArrayDeque<>();
    private final List<Flow> skippedShares = new ArrayList<>();
    private final List<Flow> skippedClasses = new ArrayList<>();
    private final AdmissionCounts counts = new AdmissionCounts();
    private final Contention tenantContention = new Contention();
    /** Those classes of tenants of which some was turned away lately, and their part of what goes out. */
    private final Contention constrainedContention = new Contention();

    private final DrainRate constrainedFraction = new DrainRate();
    private final ReservedWork totalReserved = new ReservedWork();
    private AdmissionSettings settings;
    private boolean admitsAll;
    private long currentUs;
    private long lastSequence;
    private long sentCount;
    private double drainedCost;
    /** What goes out while something has waited for a while, and what goes out at all. */
    private final DrainRate drainRate = new DrainRate();

    private final DrainRate steadyDrainRate = new DrainRate();
    private final DrainRate throughput = new DrainRate();
    private long busySinceUs;
    private long nextSweepUs = Long.MAX_VALUE;
    private long nextTenantExpiryUs;

    /**
     * A door before an idle module.
     *
     * @param platform the node's settings: classes, tenants, what advice is allowed
     * @param seed of jitter and of which clients share a line
     */
    public FairAdmission(AdmissionSettings settings, Settings platform, long seed) {
        settings = settings;
        this.nodeSettings = platform;
        random = new SplittableRandom(seed);
        clientIdentity = new ClientIdentity(seed);
        expectedWork = new ExpectedWork(platform.classes.size());
        reservations = new ReservationTable(settings.reservationTableSize());
        tenantStates = new TenantState[platform.tenants.size() + 1];
        blockedClasses = new boolean[platform.classes.size()];
    }

    // ---------------------------------------------------------------- arrivals

    @Override
    public RequestProgress arrive(
            long nowUs, ClientRequest request, long connection, long waitedUs, long deadlineUs, Applicant entrant) {
        currentUs = nowUs;
        int tenant = request.tenant() + 1;
        int c = request.classIndex();
        TenantState book = tenantState(tenant);
        long client = clientIdentity.of(request, connection);
        QueuedRequest waiter =
                createRequest(request, ClientIdentity.withClass(client, c), waitedUs, deadlineUs, entrant);
        int place = book.heavyHitters.recordRequest(client, currentUs);
        int booking = reservations.find(waiter.clientKey, currentUs);
        counts.arrived++;
        boolean isBack = booking >= 0 && currentUs >= reservations.dueUs(booking) - ReservationTable.MAX_EARLY_US;
        if (booking >= 0 && !isBack) {
            counts.returnedEarly++;
            if (request.retry()
                    && hasWaiting(tenant)
                    && (place >= 0 || reservations.hasMaxReservations(waiter.clientKey))) {
                // It was told, says itself that it repeats, and others wait: this look is all that it costs.
                return scheduleRejection(waiter, reservations.dueUs(booking) - currentUs);
            }
        }
        if (isBack) {
            counts.returnedOnTime++;
            waiter.isWithinShare = reservations.isWithinShare(booking);
            waiter.hasConsumedQuota = waiter.isWithinShare && book.tryConsumeQuota(currentUs);
            reservations.remove(booking);
        } else {
            waiter.hasConsumedQuota = nodeSettings.overShareValueFraction < 1 && book.tryConsumeQuota(currentUs);
            waiter.isWithinShare = nodeSettings.overShareValueFraction >= 1 || waiter.hasConsumedQuota;
        }
        SchedulingNode cls = childNode(childNode(root, shareKey(waiter)), c);
        tenantContention.recordRequest(book.shareContenders[waiter.isWithinShare ? 0 : 1], currentUs);
        book.recordRequest(c, waiter.isWithinShare, currentUs);
        RequestQueue line = isBack ? null : queueFor(cls, client, place);
        updateRates();
        // Who was told goes in as it comes: the next look through the queues sees whether it can be kept.
        waiter.dueAtDrainedCost = isBack ? 0 : book.drainedCost(c, waiter.isWithinShare) + costAhead(cls, line);
        double waitUs = isBack ? 0 : expectedWaitUs(waiter, cls);
        if (currentUs + waitUs > waiter.latestStartUs
                || root.waitingCount >= settings.maxWaiting() && !evictFromLongestQueue(waiter, line)) {
            counts.count(
                    currentUs + waitUs > waiter.latestStartUs
                            ? AdmissionCounts.RejectionReason.TOO_LATE
                            : AdmissionCounts.RejectionReason.QUEUE_FULL);
            counts.reservationsMissed += isBack ? 1 : 0;
            long advice = reserve(waiter);
            prune(isBack ? cls : line);
            return scheduleRejection(waiter, advice);
        }
        counts.reservationsKept += isBack ? 1 : 0;
        // Looked up again: making room may have ended the flows of its own that had nothing waiting.
        enqueue(waiter, isBack ? null : queueFor(childNode(childNode(root, shareKey(waiter)), c), client, place));
        return waiter;
    }

    private QueuedRequest createRequest(
            ClientRequest request, long fingerprint, long waitedUs, long deadlineUs, Applicant entrant) {
        RequestClass cls = nodeSettings.classes.get(request.classIndex());
        // Without the mark nothing tells a repeat from a first try with less time.
        long elapsedUs = nodeSettings.clientsMarkRetries && request.retry()
                ? Math.max(0, cls.deadlineUs() - request.remainingUs())
                : 0;
        long aimUs = Math.min(
                cls.deadlineUs(), cls.latencyTargetUs() + (long) (cls.latencyTargetWorkFactor() * request.workUs()));
        long inTimeUs = cls.lateValueFraction() > 0
                ? deadlineUs
                : Math.min(deadlineUs, currentUs - waitedUs + aimUs - elapsedUs);
        long leftUs = inTimeUs - currentUs;
        long latestUs = inTimeUs
                - (long) Math.min(
                        MAX_RESPONSE_TIME_FRACTION * leftUs,
                        RESPONSE_TIME_FACTOR * expectedWork.usualLatencyUs(request.classIndex()));
        long patienceUs = currentUs
                - waitedUs
                - elapsedUs
                + (settings.clientRetryWindowUs() > 0 ? settings.clientRetryWindowUs() : cls.deadlineUs());
        return new QueuedRequest(
                this,
                entrant,
                request.tenant() + 1,
                request.classIndex(),
                fingerprint,
                currentUs,
                latestUs,
                patienceUs,
                expectedWork.costUs(request.classIndex()));
    }

    private TenantState tenantState(int tenant) {
        TenantState book = tenantStates[tenant];
        if (book == null) {
            double quota =
                    tenant == 0 ? 0 : nodeSettings.tenants.get(tenant - 1).quotaPerS() / nodeSettings.nodes;
            double[] worths = new double[blockedClasses.length];
            for (int c = 0; c < worths.length; c++) {
                worths[c] = classWeight(c);
            }
            book = new TenantState(
                    new double[] {shareWeight(2 * tenant), shareWeight(2 * tenant + 1)}, worths, quota, currentUs);
            tenantStates[tenant] = book;
        }
        book.lastSeenUs = currentUs;
        if (currentUs >= nextTenantExpiryUs) {
            nextTenantExpiryUs = currentUs + TENANT_IDLE_TIMEOUT_US;
            for (int t = 0; t < tenantStates.length; t++) {
                if (tenantStates[t] != null
                        && currentUs - tenantStates[t].lastSeenUs > TENANT_IDLE_TIMEOUT_US
                        && !hasWaiting(t)) {
                    tenantStates[t] = null;
                    root.forgetIfIdle(2 * t);
                    root.forgetIfIdle(2 * t + 1);
                }
            }
        }
        return book;
    }

    private boolean hasWaiting(int tenant) {
        Flow within = root.children.get(2 * tenant);
        Flow beyond = root.children.get(2 * tenant + 1);
        return within != null && within.waitingCount > 0 || beyond != null && beyond.waitingCount > 0;
    }

    private static int shareKey(QueuedRequest of) {
        return 2 * of.tenant + (of.isWithinShare ? 0 : 1);
    }

    private SchedulingNode childNode(SchedulingNode parent, int key) {
        Flow child = parent.children.get(key);
        if (child == null) {
            SchedulingNode made = new SchedulingNode(parent, key, parent == root ? shareWeight(key) : classWeight(key));
            parent.children.put(key, made);
            return made;
        }
        return (SchedulingNode) child;
    }

    private double shareWeight(int share) {
        double weight = settings.tenantWeights().get(share / 2);
        return share % 2 == 0 ? weight : weight * Math.max(MIN_FLOW_WEIGHT, nodeSettings.overShareValueFraction);
    }

    /** By what a request earns for the work it takes, as the module has it, and squared: most, not all. */
    private double classWeight(int cls) {
        double most = 0;
        for (int c = 0; c < blockedClasses.length; c++) {
            most = Math.max(most, classValue(c));
        }
        return Math.max(MIN_FLOW_WEIGHT, StrictMath.pow(classValue(cls) / Math.max(1e-12, most), VALUE_EXPONENT));
    }

    private double classValue(int cls) {
        return nodeSettings.classes.get(cls).value() / (nodeSettings.valuePerWorkUnit ? 1 : expectedWork.costUs(cls));
    }

    /** The line of a client: its own if it is heavy, else one that its number names and the crowd shares. */
    private RequestQueue queueFor(SchedulingNode cls, long client, int place) {
        return queueFor(
                cls,
                place >= 0
                        ? settings.queuesPerClass() + place
                        : (int) Long.remainderUnsigned(client, settings.queuesPerClass()));
    }

    private static RequestQueue queueFor(SchedulingNode cls, int key) {
        return (RequestQueue) cls.children.computeIfAbsent(key, k -> new RequestQueue(cls, k));
    }

    /** What was made for a request that did not stay is not kept. */
    private void prune(Flow unused) {
        for (Flow flow = unused;
                flow.parent != null
                        && !flow.isReady
                        && flow.waitingCount == 0
                        && flow.finishTag == 0
                        && !(flow instanceof SchedulingNode branch && !branch.children.isEmpty());
                flow = flow.parent) {
            flow.parent.children.remove(flow.key, flow);
        }
    }

    // ---------------------------------------------------------------- how long it takes

    /** To be called before anything goes in or out. */
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
     * Whether something has waited for a while without a break. What waits for a moment only goes out as
     * soon as one answer comes, which would look like any speed.
     */
    private boolean isBusy() {
        return root.waitingCount > 0 && currentUs > busySinceUs + MIN_BUSY_US;
    }

    /** What the door drains, as the work of so many servers; 0 while that is not known. */
    private double drainPerUs() {
        double settled = drainRate.rate(MIN_MEASURED_US);
        return settled == 0 ? 0 : Math.max(settled, throughput.rate(THROUGHPUT_TIME_CONSTANT_US / 2));
    }

    /** Weight of all that have asked lately; of this one alone where it has waited for longer than that. */
    private double contendingWeight(QueuedRequest one) {
        return Math.max(tenantContention.totalWeight(), shareWeight(shareKey(one)));
    }

    /** The part of all that a tenant surely gets. */
    private double tenantFraction(QueuedRequest of) {
        return tenantContention.fraction(tenantStates[of.tenant].shareContenders[of.isWithinShare ? 0 : 1], currentUs);
    }

    /**
     * The part of all that a class of a tenant gets: what is surely its, or if that is more, by its weight
     * of what those get together of whom some was turned away lately (max-min fairness: the others have all
     * they want).
     */
    private double classFraction(QueuedRequest of) {
        TenantState book = tenantStates[of.tenant];
        return Math.max(
                tenantFraction(of) * book.classFraction(of.classIndex, of.isWithinShare, currentUs),
                constrainedFraction.rate(MIN_SHARE_WINDOW_COST / 2)
                        * constrainedContention.fraction(
                                book.leafContender(of.classIndex, of.isWithinShare), currentUs));
    }

    /**
     * What clients may be told to come back with: the quicker mean has luck in it, and the slower one is
     * late.
     */
    private double reservablePerUs() {
        return MAX_RESERVED_FRACTION * Math.min(drainRate.rate(MIN_MEASURED_US), steadyDrainRate.rate(MIN_MEASURED_US));
    }

    /**
     * How much of its class of its tenant goes out before a request at the end of this line: until its
     * class's turn, and its line's. While queues come and go, no more than waits there.
     */
    private double costAhead(SchedulingNode cls, RequestQueue line) {
        double inLine = (cls.lag(line) + line.backlogCost) / line.fraction();
        return Math.max(0, cls.parent.lag(cls)) + (isBusy() ? inLine : Math.min(cls.backlogCost, inLine));
    }

    /**
     * How long a request still waits, by what its class of its tenant has drained since it came and drains
     * now, and by how far its tenant is before or behind its turn. What came after it counts only where it
     * makes its part smaller. Whatever the turns are, all that waits has gone out by a time, if not much
     * more comes.
     */
    private double expectedWaitUs(QueuedRequest of, SchedulingNode cls) {
        double all = drainPerUs();
        if (all == 0) {
            return 0; // Not known yet; the sweep has an eye on what waits.
        }
        double left =
                Math.max(0, of.dueAtDrainedCost - tenantStates[of.tenant].drainedCost(of.classIndex, of.isWithinShare));
        double part = classFraction(of);
        double us =
                Math.max(0, left / (all * part) + root.lag(cls.parent) / (all * Math.max(part, tenantFraction(of))));
        return Math.min(us, (isBusy() ? MAX_OVERTAKING_FACTOR : 1) * root.backlogCost / all);
    }

    // ---------------------------------------------------------------- in and out of the lines

    private void enqueue(QueuedRequest waiter, RequestQueue line) {
        waiter.stage = QueuedRequest.Stage.WAITING;
        waiter.queue = line;
        waiter.sequence = ++lastSequence;
        busySinceUs = root.waitingCount == 0 ? currentUs : busySinceUs;
        if (line == null) {
            returnedRequests.add(waiter);
        } else {
            line.append(waiter);
        }
        updateBacklog(waiter, 1);
        root.credit = MAX_CREDIT_US * drainPerUs() / contendingWeight(waiter);
        for (Flow flow = line; flow != null && flow.parent != null; flow = flow.parent) {
            flow.parent.activate(flow, ++lastSequence);
        }
        nextSweepUs = Math.min(nextSweepUs, currentUs + SWEEP_INTERVAL_US);
    }

    /** Counts it in or out, all the way up. */
    private void updateBacklog(QueuedRequest waiter, int sign) {
        for (Flow flow = waiter.queue == null ? root : waiter.queue; flow != null; flow = flow.parent) {
            flow.waitingCount += sign;
            flow.backlogCost = flow.waitingCount == 0 ? 0 : flow.backlogCost + sign * waiter.cost;
        }
    }

    private void unlink(QueuedRequest waiter) {
        updateRates();
        if (waiter.queue == null) {
            returnedRequests.remove(waiter);
        } else {
            waiter.queue.unlink(waiter);
        }
        updateBacklog(waiter, -1);
    }

    /** It leaves without having been served. */
    private void removeUnserved(QueuedRequest waiter) {
        unlink(waiter);
        for (Flow flow = waiter.queue; flow != null && flow.parent != null; flow = flow.parent) {
            flow.parent.deactivateIfEmpty(flow);
        }
        if (root.waitingCount == 0) {
            nextSweepUs = Long.MAX_VALUE;
        }
    }

    /** The next to go, or null. */
    private QueuedRequest nextRequest() {
        QueuedRequest back = nextReturned(-1);
        QueuedRequest found = null;
        while (found == null) {
            SchedulingNode share = (SchedulingNode) root.next(k -> true, skippedShares);
            if (share == null || back != null && !root.isBelowFairShare(share)) {
                found = back;
                break;
            }
            if (back != null) {
                found = nextReturned(share.key);
                if (found != null) {
                    break;
                }
            }
            SchedulingNode cls = (SchedulingNode) share.next(c -> !blockedClasses[c], skippedClasses);
            share.restore(skippedClasses);
            if (cls == null) {
                // All that this tenant has waiting is of classes that can't go just now.
                root.next(k -> k != share.key, skippedShares);
            } else {
                found = ((RequestQueue) cls.next(k -> true, skippedClasses)).head;
            }
        }
        root.restore(skippedShares);
        return found;
    }

    /**
     * The first of those that have come back whose class can go, of this share or of any if it is -1; or
     * null.
     */
    private QueuedRequest nextReturned(int share) {
        for (QueuedRequest waiter : returnedRequests) {
            if (!blockedClasses[waiter.classIndex] && (share < 0 || shareKey(waiter) == share)) {
                return waiter;
            }
        }
        return null;
    }

    private void serve(QueuedRequest waiter) {
        boolean settled = isBusy();
        unlink(waiter);
        if (waiter.queue == null) {
            SchedulingNode share = childNode(root, shareKey(waiter));
            share.charge(childNode(share, waiter.classIndex), waiter.cost);
            root.charge(share, waiter.cost);
        } else {
            for (Flow flow = waiter.queue; flow.parent != null; flow = flow.parent) {
                flow.parent.serve(flow, waiter.cost, ++lastSequence);
            }
        }
        root.advanceVirtualTime(LIGHT_TENANT_FRACTION * waiter.cost / contendingWeight(waiter));
        throughput.add(waiter.cost);
        if (settled) {
            drainRate.add(waiter.cost);
            steadyDrainRate.add(waiter.cost);
        }
        tenantStates[waiter.tenant].recordDrained(waiter.classIndex, waiter.isWithinShare, waiter.cost);
        drainedCost += waiter.cost;
        constrainedFraction.advanceTo(
                drainedCost, Math.max(MIN_SHARE_WINDOW_COST, DRAIN_RATE_TIME_CONSTANT_US * drainPerUs()), true);
        if (constrainedContention.isContending(
                tenantStates[waiter.tenant].leafContender(waiter.classIndex, waiter.isWithinShare), currentUs)) {
            constrainedFraction.add(waiter.cost);
        }
    }

    /** Makes room where the most waits for its weight; false if that is the newcomer's own line. */
    private boolean evictFromLongestQueue(QueuedRequest newcomer, RequestQueue its) {
        SchedulingNode share = (SchedulingNode) root.longestBacklog();
        SchedulingNode cls = share == null ? null : (SchedulingNode) share.longestBacklog();
        RequestQueue longest = cls == null ? null : (RequestQueue) cls.longestBacklog();
        if (longest == null || longest == its || longest.tail == null) {
            return false;
        }
        QueuedRequest last = longest.tail;
        removeUnserved(last);
        counts.count(AdmissionCounts.RejectionReason.QUEUE_FULL);
        scheduleRejection(last, reserve(last));
        return newcomer != last;
    }

    // ---------------------------------------------------------------- turning away

    /** It is told so with the next turn: nothing is answered from within another's arrival. */
    private QueuedRequest scheduleRejection(QueuedRequest waiter, long adviceUs) {
        waiter.stage = QueuedRequest.Stage.REJECTED;
        waiter.retryAfterUs = adviceUs;
        pendingRejections.add(waiter);
        return waiter;
    }

    /**
     * A place at a time to come for one that is turned away, where there is one soon enough: so much of what
     * its class of its tenant drains is promised, one after the other.
     *
     * @return in how many microseconds, or 0 for no promise
     */
    private long reserve(QueuedRequest waiter) {
        constrainedContention.recordRequest(
                tenantStates[waiter.tenant].leafContender(waiter.classIndex, waiter.isWithinShare), currentUs);
        if (waiter.hasConsumedQuota) {
            waiter.hasConsumedQuota = false;
            tenantStates[waiter.tenant].refundQuota();
        }
        double all = reservablePerUs();
        double perUs = all * classFraction(waiter);
        long longestUs = Math.min(settings.maxRetryAfterUs(), nodeSettings.maxRetryAfterUs);
        if (longestUs == 0 || perUs == 0) {
            return 0;
        }
        TenantState book = tenantState(waiter.tenant);
        double allUs = totalReserved.remainingUs(all, currentUs);
        double leastUs = MIN_RETRY_AFTER_US
                + Math.max(allUs, book.reservedByClass[waiter.classIndex].remainingUs(perUs, currentUs));
        long inUs = (long) (leastUs
                + waiter.cost / perUs * RETRY_AFTER_JITTER * random.nextDouble()
                + MIN_RETRY_AFTER_US * random.nextDouble());
        if (inUs > longestUs
                || currentUs + inUs + expectedWork.usualLatencyUs(waiter.classIndex) > waiter.retryDeadlineUs
                || !reservations.add(waiter.clientKey, currentUs + inUs, waiter.isWithinShare, currentUs)) {
            // One that has as many as it may is told of the first.
            int first = reservations.find(waiter.clientKey, currentUs);
            counts.rejectedWithoutReservation += first < 0 ? 1 : 0;
            return first < 0 ? 0 : Math.max(MIN_RETRY_AFTER_US, reservations.dueUs(first) - currentUs);
        }
        book.reservedByClass[waiter.classIndex].add(waiter.cost);
        totalReserved.add(waiter.cost);
        counts.reservationsMade++;
        return inUs;
    }

    private void deliverRejections() {
        for (QueuedRequest waiter = pendingRejections.poll(); waiter != null; waiter = pendingRejections.poll()) {
            if (waiter.stage == QueuedRequest.Stage.REJECTED) {
                waiter.stage = QueuedRequest.Stage.DONE;
                waiter.applicant.rejected(waiter.retryAfterUs);
            }
        }
    }

    // ---------------------------------------------------------------- turns

    @Override
    public void advance(long nowUs) {
        currentUs = nowUs;
        deliverRejections();
        if (root.waitingCount > 0 && currentUs >= nextSweepUs) {
            sweep();
        }
        while (root.waitingCount > 0 && (admitsAll || hasCapacity())) {
            QueuedRequest waiter = nextRequest();
            if (waiter == null) {
                break;
            }
            if (currentUs > waiter.latestStartUs && !admitsAll) {
                rejectLate(waiter);
                deliverRejections();
                continue;
            }
            serve(waiter);
            waiter.stage = QueuedRequest.Stage.UNSENT;
            waiter.admittedUs = currentUs;
            waiter.sentCountAtAdmission = sentCount;
            unsentRequests.add(waiter);
            counts.admitted++;
            waiter.applicant.admitted();
        }
        deliverRejections();
        nextSweepUs = root.waitingCount == 0 ? Long.MAX_VALUE : Math.max(nextSweepUs, currentUs + 1);
    }

    /**
     * Whether the module has so little unsent that it can do with more. What it has passed over keeps its
     * class shut, and doesn't count: others may go where that can't.
     */
    private boolean hasCapacity() {
        Arrays.fill(blockedClasses, false);
        int fresh = 0;
        for (QueuedRequest waiter : unsentRequests) {
            if (sentCount - waiter.sentCountAtAdmission >= BLOCKED_AFTER_SENDS
                    || currentUs - waiter.admittedUs >= BLOCKED_AFTER_US) {
                blockedClasses[waiter.classIndex] = true;
            } else {
                fresh++;
            }
        }
        return fresh < settings.maxUnsent();
    }

    /** Turns away what can't be in time any more, now that more or less goes out than when it came. */
    private void sweep() {
        nextSweepUs = currentUs + SWEEP_INTERVAL_US;
        updateRates();
        List<QueuedRequest> late = new ArrayList<>();
        double back = 0;
        for (QueuedRequest waiter : returnedRequests) {
            if (drainPerUs() > 0 && currentUs + back / drainPerUs() > waiter.latestStartUs) {
                late.add(waiter);
            } else {
                back += waiter.cost;
            }
        }
        for (Flow share : root.readyChildren()) {
            for (Flow flow : ((SchedulingNode) share).readyChildren()) {
                SchedulingNode cls = (SchedulingNode) flow;
                for (Flow line : cls.readyChildren()) {
                    collectLate(cls, (RequestQueue) line, late);
                }
            }
        }
        late.forEach(this::rejectLate);
        deliverRejections();
    }

    private void collectLate(SchedulingNode cls, RequestQueue line, List<QueuedRequest> late) {
        for (QueuedRequest waiter = line.head; waiter != null; waiter = waiter.next) {
            if (currentUs + expectedWaitUs(waiter, cls) > waiter.latestStartUs) {
                late.add(waiter);
            }
        }
    }

    private void rejectLate(QueuedRequest waiter) {
        counts.reservationsMissed += waiter.queue == null ? 1 : 0;
        counts.reservationsKept -= waiter.queue == null ? 1 : 0;
        removeUnserved(waiter);
        counts.count(AdmissionCounts.RejectionReason.TOO_LATE);
        counts.queuedBeforeRejectionUs += currentUs - waiter.arrivedUs;
        scheduleRejection(waiter, reserve(waiter));
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
     * Takes up other figures; what waits stays where it is, and weights count from the next turn on. The
     * table of bookings keeps its size.
     *
     * @throws IllegalArgumentException if they are of other tenants than those that this door began with
     */
    public void reconfigure(AdmissionSettings fresh) {
        if (fresh.tenantWeights().size() != tenantStates.length) {
            throw new IllegalArgumentException("the tenants are others than at the start");
        }
        settings = fresh;
        root.children.values().forEach(share -> root.setWeight(share, shareWeight(share.key)));
        for (int t = 0; t < tenantStates.length; t++) {
            for (int i = 0; tenantStates[t] != null && i < 2; i++) {
                double before = tenantStates[t].shareContenders[i].weight();
                tenantContention.setWeight(tenantStates[t].shareContenders[i], shareWeight(2 * t + i));
                for (int c = 0; c < blockedClasses.length; c++) {
                    Contender leaf = tenantStates[t].leafContender(c, i == 0);
                    constrainedContention.setWeight(leaf, leaf.weight() * shareWeight(2 * t + i) / before);
                }
            }
        }
    }

    // ---------------------------------------------------------------- what the node tells

    void onFirstAttemptSent(QueuedRequest waiter) {
        if (waiter.stage == QueuedRequest.Stage.UNSENT) {
            waiter.stage = QueuedRequest.Stage.DONE;
            unsentRequests.remove(waiter);
            sentCount++;
        }
    }

    void onCompleted(QueuedRequest waiter) {
        if (waiter.stage == QueuedRequest.Stage.WAITING) {
            counts.disconnected++;
            removeUnserved(waiter);
        } else if (waiter.stage == QueuedRequest.Stage.UNSENT) {
            unsentRequests.remove(waiter);
        }
        waiter.stage = QueuedRequest.Stage.DONE;
    }

    @Override
    public void recordLatency(int classIndex, long latencyUs) {
        expectedWork.recordLatency(classIndex, latencyUs);
    }

    /** What it has counted so far. */
    public AdmissionCounts counts() {
        return counts;
    }

    /** How many requests wait. */
    public int waitingRequests() {
        return root.waitingCount;
    }

    /** How many flows it keeps, bookings it has, and tenants it knows: all that its memory goes into. */
    public int[] tableSizes() {
        int known = 0;
        for (TenantState book : tenantStates) {
            known += book == null ? 0 : 1;
        }
        return new int[] {root.flowCount(), reservations.size(), known};
    }
}
