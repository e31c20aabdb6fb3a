package vetchpost.control;

/**
 * The table {@code [control]}.
 *
 * @param socket path of the Unix socket
 * @param audit path of the trail
 */
public record ControlSettings(String socket, String audit, double leastLeft, double mostShed) { }
