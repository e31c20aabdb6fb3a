package vetchpost.state;

/**
 * What is known of one class of requests.
 *
 * @param name as in the settings
 * @param answers how many it rests on
 * @param latencyUs the usual latency, in microseconds
 * @param leastLatencyUs the least mean latency; 0 if not known
 */
public record ClassState(String name, int sampleCount, double latencyUs, double minLatencyUs) {}
