package vetchpost.decision;

import java.util.List;

/**
 * What a decision module has learned about servers and classes: written by it to be kept over a restart or handed to
 * another node, and read by a module as a prior that its own answers outweigh. Times are microseconds of the module's
 * clock. It contains no decisions. Immutable.
 *
 * @param servers statistics of the servers that are ready
 * @param classes statistics of the classes, by their indexes
 * @param readyCount how many servers are ready
 * @param ejectedCount how many of them are ejected
 * @param throttled whether the node sends less than it is asked for, because most attempts fail
 */
public record ServerStatistics(
        List<PerServer> servers, List<PerClass> classes, int readyCount, int ejectedCount, boolean throttled) {
    /** No statistics. */
    public static final ServerStatistics NONE = new ServerStatistics(List.of(), List.of(), 0, 0, false);

    /**
     * Statistics of one server.
     *
     * @param id its name in the list
     * @param startedAtUs start of the process that was observed; a later start voids the statistics
     * @param attemptCount how many ended attempts they rest on
     * @param lastAnswerAtUs when the last of them ended; 0 for never
     * @param lastServedAtUs when it last served a request; 0 for never
     * @param consecutiveErrors failures since the last success, the paper's e
     * @param recentFailures failures among its last 16 answers, from 0 to 16
     * @param failureFraction fraction of answers that failed other than by timeout or rejection, from 0 to 1
     * @param relativeLatency its latency as a multiple of the usual
     * @param relativeLimit its concurrency limit at this node, as a multiple of the initial limit
     * @param ejected whether it gets single trials only
     * @param classFailureStreaks by class: consecutive failures
     */
    public record PerServer(
            String id,
            long startedAtUs,
            int attemptCount,
            long lastAnswerAtUs,
            long lastServedAtUs,
            int consecutiveErrors,
            int recentFailures,
            double failureFraction,
            double relativeLatency,
            double relativeLimit,
            boolean ejected,
            List<Integer> classFailureStreaks) {
        /** Copies the list. */
        public PerServer {
            classFailureStreaks = List.copyOf(classFailureStreaks);
        }
    }

    /**
     * Statistics of one class.
     *
     * @param index into the settings' classes
     * @param answerCount how many answers they rest on
     * @param latencyUs the usual latency
     * @param minLatencyUs the minimum mean latency of late; 0 if not known
     */
    public record PerClass(int index, int answerCount, double latencyUs, double minLatencyUs) {}

    /** Copies the lists. */
    public ServerStatistics {
        servers = List.copyOf(servers);
        classes = List.copyOf(classes);
    }
}
