package vetchpost.state;

/**
 * Statistics of one class of requests.
 *
 * @param name name of the class in the settings
 * @param sampleCount number of answers that the statistics are based on
 * @param latencyUs typical latency in microseconds
 * @param minLatencyUs lowest mean latency in microseconds; 0 if unknown
 */
public record ClassState(String name, int sampleCount, double latencyUs, double minLatencyUs) {}
