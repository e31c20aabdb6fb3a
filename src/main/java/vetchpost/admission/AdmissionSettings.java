package vetchpost.admission;

import java.util.List;

/**
 * What an operator says of the door. Times in microseconds.
 *
 * @param waiting most requests that wait at once
 * @param lines how many lines the clients of one class of a tenant are spread over
 * @param unsent how many of those let in the module may hold unsent, so that its limits are what holds the
 *     rest
 * @param patienceUs so long after its first try a client still comes back; 0 for its class's deadline
 * @param longestUs the longest advice on when to come back; 0 for none
 * @param bookings places in the table of bookings, a power of two
 * @param weights by tenant, first that of requests of no tenant
 */
public record AdmissionSettings(
        int maxWaiting,
        int queuesPerClass,
        int maxUnsent,
        long clientRetryWindowUs,
        long maxRetryAfterUs,
        int reservationTableSize,
        List<Double> tenantWeights) {
    /** Lists don't change once they are here. */
    public AdmissionSettings {
        tenantWeights = List.copyOf(tenantWeights);
    }
}
