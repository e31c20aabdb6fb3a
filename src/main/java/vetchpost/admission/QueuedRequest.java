package vetchpost.admission;

import vetchpost.core.AdmissionControl.Applicant;
import vetchpost.core.AdmissionControl.RequestProgress;

/** A request from its arrival to its end. */
final class QueuedRequest implements RequestProgress {
    /** Where it stands. */
    enum Stage {
        /** Just come, and turned away with the next turn. */
        TURNED_AWAY,
        /** In a line. */
        WAITING,
        /** Let in; the module has not sent it yet. */
        UNSENT,
        /** Sent, or over. */
        DONE
    }

    private final FairAdmission door;
    final Applicant entrant;
    final int tenant;
    final int cls;
    /** Of its client and class. */
    final long fingerprint;

    final long arrivedUs;
    /** Let in later than this it would be late. */
    final long latestUs;
    /** The client comes back no later than this. */
    final long patienceUs;

    final double cost;
    /** Whether it counts as within its tenant's share. */
    boolean inShare;
    /** Whether it has used up a part of that, which it gives back if it is turned away. */
    boolean tookShare;

    Stage stage = Stage.TURNED_AWAY;
    long adviceUs;
    /** It goes when this much has gone out of its class of its tenant, as it looked when it came. */
    double dueAt;
    /** Its line, or null if it goes before all lines. */
    RequestQueue line;

    long number;
    QueuedRequest before;
    QueuedRequest behind;
    /** When it was let in, and how many had been sent by then. */
    long admittedUs;

    long sentBefore;

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
        this.door = door;
        this.entrant = entrant;
        this.tenant = tenant;
        this.cls = cls;
        this.fingerprint = fingerprint;
        this.arrivedUs = arrivedUs;
        this.latestUs = latestUs;
        this.patienceUs = patienceUs;
        this.cost = cost;
    }

    @Override
    public void sent() {
        door.sent(this);
    }

    @Override
    public void ended() {
        door.ended(this);
    }
}
