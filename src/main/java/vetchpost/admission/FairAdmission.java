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
    private static final long SWEEP_US = 10_000;
    /** Let in and passed over by so many, or unsent for so long, a request waits for something of its own. */
    private static final int PASSED_OVER = 8;

    private static final long STUCK_US = 50_000;
    /** At most this share of a wait is for the answer itself; the module gives up later than that. */
    private static final double MOST_FOR_ANSWER = 0.8;
    /** An answer is expected within so many times its class's usual latency, as the module does. */
    private static final double FOR_ANSWER = 2;
    /** What the door drained so long ago counts a third: halved capacity is known after about this time. */
    private static final double MEMORY_US = 300_000;
    /** A queue counts once something has waited in it for so long without a break. */
    private static final long SETTLED_US = 50_000;
    /** What goes out at all is a mean over about this time. */
    private static final double THROUGH_US = 1_000_000;
    /** Promises are made by what is drained over about this time, or by less as soon as it is less. */
    private static final double STEADY_US = 3_000_000;
    /** A tenant that took less than its part may catch up on so much of it at once. */
    private static final double CREDIT_US = 200_000;
    /** A tenant that takes less than this of its part goes before others' that have come back when told. */
    private static final double QUIET = 0.75;
    /** So much of what waits may go before one while more keeps coming. */
    private static final double OVERTAKEN = 1.5;
    /** Of a shorter time nothing can be said. */
    private static final double LEAST_MEASURED_US = 50_000;
    /** Parts of what goes out are of about the last 400 requests, or more where many go. */
    private static final double LEAST_SHARE_MEMORY = 400 * 20_000;
    /** Part of what a class of a tenant drains that is promised: the rest is for chance. */
    private static final double PROMISED = 0.85;
    /** Nobody is called back sooner: a way there and back, and a look through the queues. */
    private static final long SOONEST_US = 20_000;
    /** Advice is spread over this part more, so that those turned away together don't come together. */
    private static final double JITTER = 0.1;
    /** What lies beyond a tenant's share weighs this part at least, so that it is not stopped for good. */
    private static final double MIN_WEIGHT = 0.001;
    /**
     * Power of a class's value in its weight: at 1 the most valuable leave too much, without end all starve.
     */
    private static final double VALUE_POWER = 2;
    /** A tenant that has been quiet for so long is forgotten. */
    private static final long FORGET_US = 10_000_000;

    private final Settings platform;
    private final ClientIdentity identity;
    private final SplittableRandom random;
    private final ExpectedWork work;
    private final ReservationTable bookings;
    private final SchedulingNode root = new SchedulingNode(null, 0, 1);
    /**
     * Those that came back when they were told, by when they must go: they go before all others, and what
     * they take counts as their flows'.
     */
    private final NavigableSet<QueuedRequest> returned = new TreeSet<>(
            Comparator.<QueuedRequest>comparingLong(w -> w.latestUs).thenComparingLong(w -> w.number));

    private final TenantState[] tenants;
    private final boolean[] closed;
    private final Deque<QueuedRequest> unsent = new ArrayDeque<>();
    private final Deque<QueuedRequest> turnedAway = new ArrayDeque<>();
    private final List<Flow> skippedShares = new ArrayList<>();
    private final List<Flow> skippedClasses = new ArrayList<>();
    private final AdmissionCounts counts = new AdmissionCounts();
    private final Contention contention = new Contention();
    /** Those classes of tenants of which some was turned away lately, and their part of what goes out. */
    private final Contention shorts = new Contention();

    private final DrainRate ofShort = new DrainRate();
    private final ReservedWork allBooked = new ReservedWork();
    private AdmissionSettings set;
    private boolean opened;
    private long now;
    private long turn;
    private long sends;
    private double drained;
    /** What goes out while something has waited for a while, and what goes out at all. */
    private final DrainRate rate = new DrainRate();

    private final DrainRate steadyRate = new DrainRate();
    private final DrainRate through = new DrainRate();
    private long busyUs;
    private long sweepUs = Long.MAX_VALUE;
    private long forgetUs;

    /**
     * A door before an idle module.
     *
     * @param platform the node's settings: classes, tenants, what advice is allowed
     * @param seed of jitter and of which clients share a line
     */
    public FairAdmission(AdmissionSettings settings, Settings platform, long seed) {
        set = settings;
        this.platform = platform;
        random = new SplittableRandom(seed);
        identity = new ClientIdentity(seed);
        work = new ExpectedWork(platform.classes.size());
        bookings = new ReservationTable(settings.reservationTableSize());
        tenants = new TenantState[platform.tenants.size() + 1];
        closed = new boolean[platform.classes.size()];
    }

    // ---------------------------------------------------------------- arrivals

    @Override
    public RequestProgress arrive(
            long nowUs, ClientRequest request, long connection, long waitedUs, long deadlineUs, Applicant entrant) {
        now = nowUs;
        int tenant = request.tenant() + 1;
        int c = request.classIndex();
        TenantState book = tenantBook(tenant);
        long client = identity.of(request, connection);
        QueuedRequest waiter = waiter(request, ClientIdentity.withClass(client, c), waitedUs, deadlineUs, entrant);
        int place = book.heavy.asked(client, now);
        int booking = bookings.find(waiter.fingerprint, now);
        counts.arrived++;
        boolean isBack = booking >= 0 && now >= bookings.dueUs(booking) - ReservationTable.EARLY_US;
        if (booking >= 0 && !isBack) {
            counts.returnedEarly++;
            if (request.retry() && waits(tenant) && (place >= 0 || bookings.isFull(waiter.fingerprint))) {
                // It was told, says itself that it repeats, and others wait: this look is all that it costs.
                return turnAway(waiter, bookings.dueUs(booking) - now);
            }
        }
        if (isBack) {
            counts.returnedOnTime++;
            waiter.inShare = bookings.isInShare(booking);
            waiter.tookShare = waiter.inShare && book.takeShare(now);
            bookings.drop(booking);
        } else {
            waiter.tookShare = platform.overShareValueFraction < 1 && book.takeShare(now);
            waiter.inShare = platform.overShareValueFraction >= 1 || waiter.tookShare;
        }
        SchedulingNode cls = branch(branch(root, share(waiter)), c);
        contention.asks(book.shares[waiter.inShare ? 0 : 1], now);
        book.asks(c, waiter.inShare, now);
        RequestQueue line = isBack ? null : line(cls, client, place);
        measure();
        // Who was told goes in as it comes: the next look through the queues sees whether it can be kept.
        waiter.dueAt = isBack ? 0 : book.drained(c, waiter.inShare) + ahead(cls, line);
        double waitUs = isBack ? 0 : waitUs(waiter, cls);
        if (now + waitUs > waiter.latestUs || root.waiting >= set.maxWaiting() && !pushOut(waiter, line)) {
            counts.count(
                    now + waitUs > waiter.latestUs
                            ? AdmissionCounts.RejectionReason.TOO_LATE
                            : AdmissionCounts.RejectionReason.QUEUE_FULL);
            counts.reservationsMissed += isBack ? 1 : 0;
            long advice = book(waiter);
            prune(isBack ? cls : line);
            return turnAway(waiter, advice);
        }
        counts.reservationsKept += isBack ? 1 : 0;
        // Looked up again: making room may have ended the flows of its own that had nothing waiting.
        append(waiter, isBack ? null : line(branch(branch(root, share(waiter)), c), client, place));
        return waiter;
    }

    private QueuedRequest waiter(
            ClientRequest request, long fingerprint, long waitedUs, long deadlineUs, Applicant entrant) {
        RequestClass cls = platform.classes.get(request.classIndex());
        // Without the mark nothing tells a repeat from a first try with less time.
        long elapsedUs = platform.clientsMarkRetries && request.retry()
                ? Math.max(0, cls.deadlineUs() - request.remainingUs())
                : 0;
        long aimUs = Math.min(
                cls.deadlineUs(), cls.latencyTargetUs() + (long) (cls.latencyTargetWorkFactor() * request.workUs()));
        long inTimeUs =
                cls.lateValueFraction() > 0 ? deadlineUs : Math.min(deadlineUs, now - waitedUs + aimUs - elapsedUs);
        long leftUs = inTimeUs - now;
        long latestUs =
                inTimeUs - (long) Math.min(MOST_FOR_ANSWER * leftUs, FOR_ANSWER * work.usualUs(request.classIndex()));
        long patienceUs = now
                - waitedUs
                - elapsedUs
                + (set.clientRetryWindowUs() > 0 ? set.clientRetryWindowUs() : cls.deadlineUs());
        return new QueuedRequest(
                this,
                entrant,
                request.tenant() + 1,
                request.classIndex(),
                fingerprint,
                now,
                latestUs,
                patienceUs,
                work.costUs(request.classIndex()));
    }

    private TenantState tenantBook(int tenant) {
        TenantState book = tenants[tenant];
        if (book == null) {
            double quota = tenant == 0 ? 0 : platform.tenants.get(tenant - 1).quotaPerS() / platform.nodes;
            double[] worths = new double[closed.length];
            for (int c = 0; c < worths.length; c++) {
                worths[c] = worth(c);
            }
            book = new TenantState(new double[] {weight(2 * tenant), weight(2 * tenant + 1)}, worths, quota, now);
            tenants[tenant] = book;
        }
        book.seenUs = now;
        if (now >= forgetUs) {
            forgetUs = now + FORGET_US;
            for (int t = 0; t < tenants.length; t++) {
                if (tenants[t] != null && now - tenants[t].seenUs > FORGET_US && !waits(t)) {
                    tenants[t] = null;
                    root.forget(2 * t);
                    root.forget(2 * t + 1);
                }
            }
        }
        return book;
    }

    private boolean waits(int tenant) {
        Flow within = root.children.get(2 * tenant);
        Flow beyond = root.children.get(2 * tenant + 1);
        return within != null && within.waiting > 0 || beyond != null && beyond.waiting > 0;
    }

    private static int share(QueuedRequest of) {
        return 2 * of.tenant + (of.inShare ? 0 : 1);
    }

    private SchedulingNode branch(SchedulingNode parent, int key) {
        Flow child = parent.children.get(key);
        if (child == null) {
            SchedulingNode made = new SchedulingNode(parent, key, parent == root ? weight(key) : worth(key));
            parent.children.put(key, made);
            return made;
        }
        return (SchedulingNode) child;
    }

    private double weight(int share) {
        double weight = set.tenantWeights().get(share / 2);
        return share % 2 == 0 ? weight : weight * Math.max(MIN_WEIGHT, platform.overShareValueFraction);
    }

    /** By what a request earns for the work it takes, as the module has it, and squared: most, not all. */
    private double worth(int cls) {
        double most = 0;
        for (int c = 0; c < closed.length; c++) {
            most = Math.max(most, value(c));
        }
        return Math.max(MIN_WEIGHT, StrictMath.pow(value(cls) / Math.max(1e-12, most), VALUE_POWER));
    }

    private double value(int cls) {
        return platform.classes.get(cls).value() / (platform.valuePerWorkUnit ? 1 : work.costUs(cls));
    }

    /** The line of a client: its own if it is heavy, else one that its number names and the crowd shares. */
    private RequestQueue line(SchedulingNode cls, long client, int place) {
        return line(
                cls,
                place >= 0 ? set.queuesPerClass() + place : (int) Long.remainderUnsigned(client, set.queuesPerClass()));
    }

    private static RequestQueue line(SchedulingNode cls, int key) {
        return (RequestQueue) cls.children.computeIfAbsent(key, k -> new RequestQueue(cls, k));
    }

    /** What was made for a request that did not stay is not kept. */
    private void prune(Flow unused) {
        for (Flow flow = unused;
                flow.parent != null
                        && !flow.ready
                        && flow.waiting == 0
                        && flow.finish == 0
                        && !(flow instanceof SchedulingNode branch && !branch.children.isEmpty());
                flow = flow.parent) {
            flow.parent.children.remove(flow.key, flow);
        }
    }

    // ---------------------------------------------------------------- how long it takes

    /** To be called before anything goes in or out. */
    private void measure() {
        through.passed(now, THROUGH_US, true);
        if (isSettled()) {
            rate.skip(busyUs + SETTLED_US);
            rate.passed(now, MEMORY_US, true);
            steadyRate.skip(busyUs + SETTLED_US);
            steadyRate.passed(now, STEADY_US, true);
        } else {
            rate.skip(now);
            steadyRate.skip(now);
        }
    }

    /**
     * Whether something has waited for a while without a break. What waits for a moment only goes out as
     * soon as one answer comes, which would look like any speed.
     */
    private boolean isSettled() {
        return root.waiting > 0 && now > busyUs + SETTLED_US;
    }

    /** What the door drains, as the work of so many servers; 0 while that is not known. */
    private double perUs() {
        double settled = rate.rate(LEAST_MEASURED_US);
        return settled == 0 ? 0 : Math.max(settled, through.rate(THROUGH_US / 2));
    }

    /** Weight of all that have asked lately; of this one alone where it has waited for longer than that. */
    private double contending(QueuedRequest one) {
        return Math.max(contention.weight(), weight(share(one)));
    }

    /** The part of all that a tenant surely gets. */
    private double partOfTenant(QueuedRequest of) {
        return contention.share(tenants[of.tenant].shares[of.inShare ? 0 : 1], now);
    }

    /**
     * The part of all that a class of a tenant gets: what is surely its, or if that is more, by its weight
     * of what those get together of whom some was turned away lately (max-min fairness: the others have all
     * they want).
     */
    private double part(QueuedRequest of) {
        TenantState book = tenants[of.tenant];
        return Math.max(
                partOfTenant(of) * book.share(of.cls, of.inShare, now),
                ofShort.rate(LEAST_SHARE_MEMORY / 2) * shorts.share(book.leaf(of.cls, of.inShare), now));
    }

    /**
     * What clients may be told to come back with: the quicker mean has luck in it, and the slower one is
     * late.
     */
    private double promisedPerUs() {
        return PROMISED * Math.min(rate.rate(LEAST_MEASURED_US), steadyRate.rate(LEAST_MEASURED_US));
    }

    /**
     * How much of its class of its tenant goes out before a request at the end of this line: until its
     * class's turn, and its line's. While queues come and go, no more than waits there.
     */
    private double ahead(SchedulingNode cls, RequestQueue line) {
        double inLine = (cls.lag(line) + line.backlog) / line.share();
        return Math.max(0, cls.parent.lag(cls)) + (isSettled() ? inLine : Math.min(cls.backlog, inLine));
    }

    /**
     * How long a request still waits, by what its class of its tenant has drained since it came and drains
     * now, and by how far its tenant is before or behind its turn. What came after it counts only where it
     * makes its part smaller. Whatever the turns are, all that waits has gone out by a time, if not much
     * more comes.
     */
    private double waitUs(QueuedRequest of, SchedulingNode cls) {
        double all = perUs();
        if (all == 0) {
            return 0; // Not known yet; the sweep has an eye on what waits.
        }
        double left = Math.max(0, of.dueAt - tenants[of.tenant].drained(of.cls, of.inShare));
        double part = part(of);
        double us = Math.max(0, left / (all * part) + root.lag(cls.parent) / (all * Math.max(part, partOfTenant(of))));
        return Math.min(us, (isSettled() ? OVERTAKEN : 1) * root.backlog / all);
    }

    // ---------------------------------------------------------------- in and out of the lines

    private void append(QueuedRequest waiter, RequestQueue line) {
        waiter.stage = QueuedRequest.Stage.WAITING;
        waiter.line = line;
        waiter.number = ++turn;
        busyUs = root.waiting == 0 ? now : busyUs;
        if (line == null) {
            returned.add(waiter);
        } else {
            line.append(waiter);
        }
        count(waiter, 1);
        root.credit = CREDIT_US * perUs() / contending(waiter);
        for (Flow flow = line; flow != null && flow.parent != null; flow = flow.parent) {
            flow.parent.wake(flow, ++turn);
        }
        sweepUs = Math.min(sweepUs, now + SWEEP_US);
    }

    /** Counts it in or out, all the way up. */
    private void count(QueuedRequest waiter, int sign) {
        for (Flow flow = waiter.line == null ? root : waiter.line; flow != null; flow = flow.parent) {
            flow.waiting += sign;
            flow.backlog = flow.waiting == 0 ? 0 : flow.backlog + sign * waiter.cost;
        }
    }

    private void unlink(QueuedRequest waiter) {
        measure();
        if (waiter.line == null) {
            returned.remove(waiter);
        } else {
            waiter.line.unlink(waiter);
        }
        count(waiter, -1);
    }

    /** It leaves without having been served. */
    private void remove(QueuedRequest waiter) {
        unlink(waiter);
        for (Flow flow = waiter.line; flow != null && flow.parent != null; flow = flow.parent) {
            flow.parent.quiet(flow);
        }
        if (root.waiting == 0) {
            sweepUs = Long.MAX_VALUE;
        }
    }

    /** The next to go, or null. */
    private QueuedRequest next() {
        QueuedRequest back = nextBack(-1);
        QueuedRequest found = null;
        while (found == null) {
            SchedulingNode share = (SchedulingNode) root.next(k -> true, skippedShares);
            if (share == null || back != null && !root.isInCredit(share)) {
                found = back;
                break;
            }
            if (back != null) {
                found = nextBack(share.key);
                if (found != null) {
                    break;
                }
            }
            SchedulingNode cls = (SchedulingNode) share.next(c -> !closed[c], skippedClasses);
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
    private QueuedRequest nextBack(int share) {
        for (QueuedRequest waiter : returned) {
            if (!closed[waiter.cls] && (share < 0 || share(waiter) == share)) {
                return waiter;
            }
        }
        return null;
    }

    private void serve(QueuedRequest waiter) {
        boolean settled = isSettled();
        unlink(waiter);
        if (waiter.line == null) {
            SchedulingNode share = branch(root, share(waiter));
            share.charge(branch(share, waiter.cls), waiter.cost);
            root.charge(share, waiter.cost);
        } else {
            for (Flow flow = waiter.line; flow.parent != null; flow = flow.parent) {
                flow.parent.serve(flow, waiter.cost, ++turn);
            }
        }
        root.pass(QUIET * waiter.cost / contending(waiter));
        through.add(waiter.cost);
        if (settled) {
            rate.add(waiter.cost);
            steadyRate.add(waiter.cost);
        }
        tenants[waiter.tenant].drain(waiter.cls, waiter.inShare, waiter.cost);
        drained += waiter.cost;
        ofShort.passed(drained, Math.max(LEAST_SHARE_MEMORY, MEMORY_US * perUs()), true);
        if (shorts.contends(tenants[waiter.tenant].leaf(waiter.cls, waiter.inShare), now)) {
            ofShort.add(waiter.cost);
        }
    }

    /** Makes room where the most waits for its weight; false if that is the newcomer's own line. */
    private boolean pushOut(QueuedRequest newcomer, RequestQueue its) {
        SchedulingNode share = (SchedulingNode) root.longest();
        SchedulingNode cls = share == null ? null : (SchedulingNode) share.longest();
        RequestQueue longest = cls == null ? null : (RequestQueue) cls.longest();
        if (longest == null || longest == its || longest.tail == null) {
            return false;
        }
        QueuedRequest last = longest.tail;
        remove(last);
        counts.count(AdmissionCounts.RejectionReason.QUEUE_FULL);
        turnAway(last, book(last));
        return newcomer != last;
    }

    // ---------------------------------------------------------------- turning away

    /** It is told so with the next turn: nothing is answered from within another's arrival. */
    private QueuedRequest turnAway(QueuedRequest waiter, long adviceUs) {
        waiter.stage = QueuedRequest.Stage.TURNED_AWAY;
        waiter.adviceUs = adviceUs;
        turnedAway.add(waiter);
        return waiter;
    }

    /**
     * A place at a time to come for one that is turned away, where there is one soon enough: so much of what
     * its class of its tenant drains is promised, one after the other.
     *
     * @return in how many microseconds, or 0 for no promise
     */
    private long book(QueuedRequest waiter) {
        shorts.asks(tenants[waiter.tenant].leaf(waiter.cls, waiter.inShare), now);
        if (waiter.tookShare) {
            waiter.tookShare = false;
            tenants[waiter.tenant].giveShareBack();
        }
        double all = promisedPerUs();
        double perUs = all * part(waiter);
        long longestUs = Math.min(set.maxRetryAfterUs(), platform.maxRetryAfterUs);
        if (longestUs == 0 || perUs == 0) {
            return 0;
        }
        TenantState book = tenantBook(waiter.tenant);
        double allUs = allBooked.lastsUs(all, now);
        double leastUs = SOONEST_US + Math.max(allUs, book.booked[waiter.cls].lastsUs(perUs, now));
        long inUs = (long)
                (leastUs + waiter.cost / perUs * JITTER * random.nextDouble() + SOONEST_US * random.nextDouble());
        if (inUs > longestUs
                || now + inUs + work.usualUs(waiter.cls) > waiter.patienceUs
                || !bookings.add(waiter.fingerprint, now + inUs, waiter.inShare, now)) {
            // One that has as many as it may is told of the first.
            int first = bookings.find(waiter.fingerprint, now);
            counts.rejectedWithoutReservation += first < 0 ? 1 : 0;
            return first < 0 ? 0 : Math.max(SOONEST_US, bookings.dueUs(first) - now);
        }
        book.booked[waiter.cls].add(waiter.cost);
        allBooked.add(waiter.cost);
        counts.reservationsMade++;
        return inUs;
    }

    private void tellTurnedAway() {
        for (QueuedRequest waiter = turnedAway.poll(); waiter != null; waiter = turnedAway.poll()) {
            if (waiter.stage == QueuedRequest.Stage.TURNED_AWAY) {
                waiter.stage = QueuedRequest.Stage.DONE;
                waiter.entrant.rejected(waiter.adviceUs);
            }
        }
    }

    // ---------------------------------------------------------------- turns

    @Override
    public void advance(long nowUs) {
        now = nowUs;
        tellTurnedAway();
        if (root.waiting > 0 && now >= sweepUs) {
            sweep();
        }
        while (root.waiting > 0 && (opened || isOpen())) {
            QueuedRequest waiter = next();
            if (waiter == null) {
                break;
            }
            if (now > waiter.latestUs && !opened) {
                turnAwayLate(waiter);
                tellTurnedAway();
                continue;
            }
            serve(waiter);
            waiter.stage = QueuedRequest.Stage.UNSENT;
            waiter.admittedUs = now;
            waiter.sentBefore = sends;
            unsent.add(waiter);
            counts.admitted++;
            waiter.entrant.admitted();
        }
        tellTurnedAway();
        sweepUs = root.waiting == 0 ? Long.MAX_VALUE : Math.max(sweepUs, now + 1);
    }

    /**
     * Whether the module has so little unsent that it can do with more. What it has passed over keeps its
     * class shut, and doesn't count: others may go where that can't.
     */
    private boolean isOpen() {
        Arrays.fill(closed, false);
        int fresh = 0;
        for (QueuedRequest waiter : unsent) {
            if (sends - waiter.sentBefore >= PASSED_OVER || now - waiter.admittedUs >= STUCK_US) {
                closed[waiter.cls] = true;
            } else {
                fresh++;
            }
        }
        return fresh < set.maxUnsent();
    }

    /** Turns away what can't be in time any more, now that more or less goes out than when it came. */
    private void sweep() {
        sweepUs = now + SWEEP_US;
        measure();
        List<QueuedRequest> late = new ArrayList<>();
        double back = 0;
        for (QueuedRequest waiter : returned) {
            if (perUs() > 0 && now + back / perUs() > waiter.latestUs) {
                late.add(waiter);
            } else {
                back += waiter.cost;
            }
        }
        for (Flow share : root.ready()) {
            for (Flow flow : ((SchedulingNode) share).ready()) {
                SchedulingNode cls = (SchedulingNode) flow;
                for (Flow line : cls.ready()) {
                    look(cls, (RequestQueue) line, late);
                }
            }
        }
        late.forEach(this::turnAwayLate);
        tellTurnedAway();
    }

    private void look(SchedulingNode cls, RequestQueue line, List<QueuedRequest> late) {
        for (QueuedRequest waiter = line.head; waiter != null; waiter = waiter.behind) {
            if (now + waitUs(waiter, cls) > waiter.latestUs) {
                late.add(waiter);
            }
        }
    }

    private void turnAwayLate(QueuedRequest waiter) {
        counts.reservationsMissed += waiter.line == null ? 1 : 0;
        counts.reservationsKept -= waiter.line == null ? 1 : 0;
        remove(waiter);
        counts.count(AdmissionCounts.RejectionReason.TOO_LATE);
        counts.queuedBeforeRejectionUs += now - waiter.arrivedUs;
        turnAway(waiter, book(waiter));
    }

    @Override
    public long nextWakeUpUs() {
        return sweepUs;
    }

    @Override
    public void admitAll() {
        opened = true;
        Arrays.fill(closed, false);
        advance(now);
    }

    /**
     * Takes up other figures; what waits stays where it is, and weights count from the next turn on. The
     * table of bookings keeps its size.
     *
     * @throws IllegalArgumentException if they are of other tenants than those that this door began with
     */
    public void reconfigure(AdmissionSettings fresh) {
        if (fresh.tenantWeights().size() != tenants.length) {
            throw new IllegalArgumentException("the tenants are others than at the start");
        }
        set = fresh;
        root.children.values().forEach(share -> root.weigh(share, weight(share.key)));
        for (int t = 0; t < tenants.length; t++) {
            for (int i = 0; tenants[t] != null && i < 2; i++) {
                double before = tenants[t].shares[i].weight();
                contention.weigh(tenants[t].shares[i], weight(2 * t + i));
                for (int c = 0; c < closed.length; c++) {
                    Contender leaf = tenants[t].leaf(c, i == 0);
                    shorts.weigh(leaf, leaf.weight() * weight(2 * t + i) / before);
                }
            }
        }
    }

    // ---------------------------------------------------------------- what the node tells

    void sent(QueuedRequest waiter) {
        if (waiter.stage == QueuedRequest.Stage.UNSENT) {
            waiter.stage = QueuedRequest.Stage.DONE;
            unsent.remove(waiter);
            sends++;
        }
    }

    void ended(QueuedRequest waiter) {
        if (waiter.stage == QueuedRequest.Stage.WAITING) {
            counts.disconnected++;
            remove(waiter);
        } else if (waiter.stage == QueuedRequest.Stage.UNSENT) {
            unsent.remove(waiter);
        }
        waiter.stage = QueuedRequest.Stage.DONE;
    }

    @Override
    public void recordLatency(int classIndex, long latencyUs) {
        work.served(classIndex, latencyUs);
    }

    /** What it has counted so far. */
    public AdmissionCounts counts() {
        return counts;
    }

    /** How many requests wait. */
    public int waitingRequests() {
        return root.waiting;
    }

    /** How many flows it keeps, bookings it has, and tenants it knows: all that its memory goes into. */
    public int[] tableSizes() {
        int known = 0;
        for (TenantState book : tenants) {
            known += book == null ? 0 : 1;
        }
        return new int[] {root.size(), bookings.size(), known};
    }
}
