package vetchpost.admission;

import vetchpost.core.AdmissionControl.Applicant;
import vetchpost.core.AdmissionControl.RequestProgress;

/** A request from its arrival to its end. */
final class QueuedRequest implements RequestProgress {
    /** Where it stands. */
    enum Stage {
        /** Just come, and turned away with the next turn. */
        REJECTED,
        /** In a line. */
        WAITING,
        /** Let in; the module has not sent it yet. */
        UNSENT,
        /** Sent, or over. */
        DONE
    }

    private final FairAdmission admission;
    final Applicant applicant;
    final int tenant;
    final int classIndex;
    /** Of its client and class. */
    final long clientKey;

    final long arrivedUs;
    /** Let in later than this it would be late. */
    final long latestStartUs;
    /** The client comes back no later than this. */
    final long retryDeadlineUs;

    final double cost;
    /** Whether it counts as within its tenant's share. */
    boolean isWithinShare;
    /** Whether it has used up a part of that, which it gives back if it is turned away. */
    boolean hasConsumedQuota;

    Stage stage = Stage.REJECTED;
    long retryAfterUs;
    /** It goes when this much has gone out of its class of its tenant, as it looked when it came. */
    double dueAtDrainedCost;
    /** Its line, or null if it goes before all lines. */
    RequestQueue queue;

    long sequence;
    QueuedRequest previous;
    QueuedRequest next;
    /** When it was let in, and how many had been sent by then. */
    long admittedUs;

    long sentCountAtAdmission;

    QueuedRequest(
            FairAdmission door,
            Applicant entrant,
            int tenant,
            int cls,
            long fingerprint,
            long arrivedUs,
            long latestUs,
            long patienceUs,
            double cost) {
        this.admission = door;
        this.applicant = entrant;
        this.tenant = tenant;
        this.classIndex = cls;
        this.clientKey = fingerprint;
        this.arrivedUs = arrivedUs;
        this.latestStartUs = latestUs;
        this.retryDeadlineUs = patienceUs;
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
