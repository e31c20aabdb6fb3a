package vetchpost.admission;

import java.util.EnumMap;
import java.util.Map;

/** What a door has done so far. */
public final class AdmissionCounts {
    /** Why a request is turned away. */
    public enum Why {
        /** It could not be in time. */
        TOO_LATE,
        /** As many wait as may. */
        FULL
    }

    private final Map<Why, Long> refused = new EnumMap<>(Why.class);
    long arrived;
    long admitted;
    long early;
    long returned;
    long kept;
    long missed;
    long booked;
    long unpromised;
    long left;
    long heldUs;

    void count(Why why) {
        refused.merge(why, 1L, Long::sum);
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
    public long refused(Why why) {
        return refused.getOrDefault(why, 0L);
    }

    /** Those that came before the time that they were told. */
    public long early() {
        return early;
    }

    /** Those that came when they were told. */
    public long returned() {
        return returned;
    }

    /** Those of them that found the place that they were promised. */
    public long kept() {
        return kept;
    }

    /** And those that did not. */
    public long missed() {
        return missed;
    }

    /** Times to come back that were promised. */
    public long booked() {
        return booked;
    }

    /** Those turned away without: no place soon enough, or none of the table's. */
    public long unpromised() {
        return unpromised;
    }

    /** Those whose clients left while they waited. */
    public long left() {
        return left;
    }

    /** How long those have waited in all that were turned away after a while, in microseconds. */
    public long heldUs() {
        return heldUs;
    }
}
