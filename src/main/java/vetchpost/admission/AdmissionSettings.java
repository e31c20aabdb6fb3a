package vetchpost.admission;

import java.util.List;

/**
 * The operator's settings of admission control.
 *
 * @param maxWaiting the most requests that wait at once
 * @param queuesPerClass how many queues the clients of one class of a tenant are spread over
 * @param maxUnsent how many admitted requests the decision module may hold unsent, so that its own limits keep back the
 *     rest
 * @param clientRetryWindowUs how long after its first attempt a client still retries, in microseconds; 0 for its
 *     class's deadline
 * @param maxRetryAfterUs the longest retry-after, in microseconds; 0 for none
 * @param reservationTableSize entries of the reservation table, a power of two
 * @param tenantWeights by tenant, first that of requests without a tenant
 */
public record AdmissionSettings(
        int maxWaiting,
        int queuesPerClass,
        int maxUnsent,
        long clientRetryWindowUs,
        long maxRetryAfterUs,
        int reservationTableSize,
        List<Double> tenantWeights) {
    /** Copies the list, so that the settings are immutable. */
    public AdmissionSettings {
        tenantWeights = List.copyOf(tenantWeights);
    }
}
