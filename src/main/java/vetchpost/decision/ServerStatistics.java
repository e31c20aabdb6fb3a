package vetchpost.decision;

import java.util.List;

/**
 * What a decision module has learned, apart from the list: to be kept over a restart, or given to another
 * node. Times are microseconds of the module's clock; nothing in it is a verdict, and a module that is given
 * it back takes it as a prior that its own answers outweigh.
 *
 * @param servers of those that are ready
 * @param classes by their indexes
 * @param ready how many servers are ready
 * @param ejected how many of them are ejected
 * @param throttled whether the node is sending less than it is asked for, because most attempts fail
 */
public record ServerStatistics(
        List<PerServer> servers, List<PerClass> classes, int readyCount, int ejectedCount, boolean throttled) {
    /** Nothing is known. */
    public static final ServerStatistics NONE = new ServerStatistics(List.of(), List.of(), 0, 0, false);

    /**
     * Of one server.
     *
     * @param id as the list names it
     * @param startedAtUs the start of the process that it was learned of; a later one voids it
     * @param answers how many ended attempts it rests on
     * @param heardAtUs when the last of them ended; 0 for never
     * @param servedAtUs when it last served; 0 for never
     * @param errors failures since the last success, the paper's e
     * @param failures among its last 16 answers, from 0 to 16
     * @param faults share of answers that failed and not by being late or full, from 0 to 1
     * @param pace how long it takes for what takes others 1
     * @param limit requests in flight that it may have from this node, as a multiple of what a server starts
     *     with
     * @param ejected whether it gets single trials only
     * @param misses by class: failures in a row
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
        /** Lists don't change once they are here. */
        public PerServer {
            classFailureStreaks = List.copyOf(classFailureStreaks);
        }
    }

    /**
     * Of one class.
     *
     * @param index into the settings' classes
     * @param answers how many it rests on
     * @param latencyUs the usual latency
     * @param leastLatencyUs the least mean latency of late; 0 if not known
     */
    public record PerClass(int index, int answerCount, double latencyUs, double minLatencyUs) {}

    /** Lists don't change once they are here. */
    public ServerStatistics {
        servers = List.copyOf(servers);
        classes = List.copyOf(classes);
    }
}
