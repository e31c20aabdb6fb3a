package vetchpost.admission;

import vetchpost.core.AdmissionControl.Applicant;
import vetchpost.core.AdmissionControl.RequestProgress;

/**
 * A request and its scheduling state, from its arrival to its end. Created by {@link FairAdmission}, which also changes
 * its fields; the {@link vetchpost.core.Dispatcher} reports its progress through it. Event loop only.
 */
final class QueuedRequest implements RequestProgress {
    /** The stages of a request. */
    enum Stage {
        /** Just arrived, or being rejected with the next {@link FairAdmission#advance}. */
        REJECTED,
        /** In a queue, or among the retries on time. */
        WAITING,
        /** Admitted; the decision module has not sent it yet. */
        UNSENT,
        /** Sent, or ended. */
        DONE
    }

    private final FairAdmission admission;
    final Applicant applicant;
    final int tenant;
    final int classIndex;
    /** Identifies its client and class. */
    final long clientKey;

    final long arrivedUs;
    /** Admitted later than this it would be answered late. */
    final long latestStartUs;
    /** The client retries no later than this. */
    final long retryDeadlineUs;

    final double cost;
    /** Whether it counts as within its tenant's share. */
    boolean isWithinShare;
    /** Whether it has used up one request of that share, which is refunded if it is rejected. */
    boolean hasConsumedQuota;

    Stage stage = Stage.REJECTED;
    long retryAfterUs;
    /** The drained cost of its tenant's class at which it was due, as estimated on arrival. */
    double dueAtDrainedCost;
    /** Its queue, or null if it is a retry on time and goes before all queues. */
    RequestQueue queue;

    long sequence;
    QueuedRequest previous;
    QueuedRequest next;
    /** When it was admitted, and how many requests had been sent by then. */
    long admittedUs;

    long sentCountAtAdmission;

    QueuedRequest(
            FairAdmission admission,
            Applicant applicant,
            int tenant,
            int classIndex,
            long clientKey,
            long arrivedUs,
            long latestStartUs,
            long retryDeadlineUs,
            double cost) {
        this.admission = admission;
        this.applicant = applicant;
        this.tenant = tenant;
        this.classIndex = classIndex;
        this.clientKey = clientKey;
        this.arrivedUs = arrivedUs;
        this.latestStartUs = latestStartUs;
        this.retryDeadlineUs = retryDeadlineUs;
        this.cost = cost;
    }

    @Override
    public void onFirstAttemptSent() {
        admission.onFirstAttemptSent(this);
    }

    @Override
    public void onCompleted() {
        admission.onCompleted(this);
    }
}
