package vetchpost.control;

/**
 * The settings of the table {@code [control]}.
 *
 * @param socket path of the Unix socket
 * @param auditFile path of the audit log
 * @param minRemainingFraction fraction of the fleet's weight, 0 to 1, that overrides must leave in service
 * @param maxShedFraction largest fraction of a class's requests, 0 to 1, that an override may shed
 * @param recordedRequests number of requests whose course is recorded for explanations; 0 for none
 */
public record ControlSettings(
        String socket, String auditFile, double minRemainingFraction, double maxShedFraction, int recordedRequests) {}
