package vetchpost.admission;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counters of what an admission control has done so far, kept by {@link FairAdmission} and read for reports, both on
 * the node's event loop.
 */
public final class AdmissionCounts {
    /** Why a request was rejected. */
    public enum RejectionReason {
        /** It could not be answered in time. */
        TOO_LATE,
        /** The maximum number of requests waits. */
        QUEUE_FULL
    }

    private final Map<RejectionReason, Long> rejected = new EnumMap<>(RejectionReason.class);
    long arrived;
    long admitted;
    long returnedEarly;
    long returnedOnTime;
    long reservationsKept;
    long reservationsMissed;
    long reservationsMade;
    long rejectedWithoutReservation;
    long disconnected;
    long queuedBeforeRejectionUs;

    void count(RejectionReason reason) {
        rejected.merge(reason, 1L, Long::sum);
    }

    /** Requests that have arrived. */
    public long arrived() {
        return arrived;
    }

    /** Requests that were admitted to the decision module. */
    public long admitted() {
        return admitted;
    }

    /** Requests rejected for this reason; those rejected because they were retried too early are not among them. */
    public long rejected(RejectionReason reason) {
        return rejected.getOrDefault(reason, 0L);
    }

    /** Requests that were retried before the time that they were given. */
    public long returnedEarly() {
        return returnedEarly;
    }

    /** Requests that were retried on time. */
    public long returnedOnTime() {
        return returnedOnTime;
    }

    /** Retries on time whose reservation was kept. */
    public long reservationsKept() {
        return reservationsKept;
    }

    /** Retries on time whose reservation could not be kept. */
    public long reservationsMissed() {
        return reservationsMissed;
    }

    /** Reservations made, each told to a client as its retry-after. */
    public long reservationsMade() {
        return reservationsMade;
    }

    /**
     * Requests rejected without a reservation, since there was no capacity soon enough or no free entry in the table.
     */
    public long rejectedWithoutReservation() {
        return rejectedWithoutReservation;
    }

    /** Requests whose clients disconnected while they waited. */
    public long disconnected() {
        return disconnected;
    }

    /** Total waiting time of the requests that were rejected after having waited, in microseconds. */
    public long queuedBeforeRejectionUs() {
        return queuedBeforeRejectionUs;
    }
}
