package vetchpost.control;

/**
 * The table {@code [control]}.
 *
 * @param socket path of the Unix socket
 * @param audit path of the trail
 * @param keep requests of which is kept what became of them; 0 for none
 */
public record ControlSettings(
        String socket, String auditFile, double minRemainingFraction, double maxShedFraction, int recordedRequests) {}
