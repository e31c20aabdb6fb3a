package vetchpost.admission;

import java.util.EnumMap;
import java.util.Map;

/** What a door has done so far. */
public final class AdmissionCounts {
    /** Why a request is turned away. */
    public enum RejectionReason {
        /** It could not be in time. */
        TOO_LATE,
        /** As many wait as may. */
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

    void count(RejectionReason why) {
        rejected.merge(why, 1L, Long::sum);
    }

    /** Requests that have come. */
    public long arrived() {
        return arrived;
    }

    /** Those that went on to the module. */
    public long admitted() {
        return admitted;
    }

    /** Those turned away for this reason; what came before its time is not among them. */
    public long rejected(RejectionReason why) {
        return rejected.getOrDefault(why, 0L);
    }

    /** Those that came before the time that they were told. */
    public long returnedEarly() {
        return returnedEarly;
    }

    /** Those that came when they were told. */
    public long returnedOnTime() {
        return returnedOnTime;
    }

    /** Those of them that found the place that they were promised. */
    public long reservationsKept() {
        return reservationsKept;
    }

    /** And those that did not. */
    public long reservationsMissed() {
        return reservationsMissed;
    }

    /** Times to come back that were promised. */
    public long reservationsMade() {
        return reservationsMade;
    }

    /** Those turned away without: no place soon enough, or none of the table's. */
    public long rejectedWithoutReservation() {
        return rejectedWithoutReservation;
    }

    /** Those whose clients left while they waited. */
    public long disconnected() {
        return disconnected;
    }

    /** How long those have waited in all that were turned away after a while, in microseconds. */
    public long queuedBeforeRejectionUs() {
        return queuedBeforeRejectionUs;
    }
}
