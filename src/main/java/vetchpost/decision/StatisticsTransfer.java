package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.ServerStatistics.PerClass;
import vetchpost.decision.ServerStatistics.PerServer;

/**
 * Converts a node's view of servers and classes to {@link ServerStatistics} and back into initial values. Stateless;
 * called by {@link ServiceQBalancer} on its thread.
 */
final class StatisticsTransfer {
    private static final int HISTORY_LENGTH = 16;
    /** With more errors, E = (1 + e)^1.5 would keep a recovered server from being drawn at all. */
    private static final int MAX_RESTORED_ERRORS = 8;
    /** A restored latency counts for at most this many answers. */
    private static final int MAX_RESTORED_ANSWERS = 8;
    /** Answers at which a restored limit has a confidence of one half. */
    private static final double HALF_CONFIDENCE_ANSWERS = 4;

    /** Bounds of a restored limit as a multiple of the initial one. */
    private static final double MIN_RELATIVE_LIMIT = 0.25;

    private static final double MAX_RELATIVE_LIMIT = 8;
    /** The largest relative latency that a module records itself. */
    private static final double MAX_RELATIVE_LATENCY = 5;

    private static final double MAX_LATENCY_US = 3.6e9;

    private StatisticsTransfer() {}

    /**
     * Returns the statistics of those of these servers that are ready.
     *
     * @param initialLimit the limit with which a server starts at this node
     */
    static List<PerServer> of(List<String> ids, Map<String, Server> byId, double initialLimit) {
        List<PerServer> statistics = new ArrayList<>();
        for (String id : ids) {
            Server server = byId.get(id);
            if (server == null || server.state != ServerState.READY) {
                continue;
            }
            List<Integer> classFailureStreaks = new ArrayList<>(server.classFailureStreaks.length);
            for (int count : server.classFailureStreaks) {
                classFailureStreaks.add(count);
            }
            statistics.add(new PerServer(
                    server.id,
                    server.startedAt,
                    server.attemptCount,
                    server.lastAttemptEndedAt,
                    server.lastServedAt,
                    server.errors,
                    Integer.bitCount(server.failureHistory & (1 << HISTORY_LENGTH) - 1),
                    server.failureFraction,
                    server.relativeLatency,
                    server.limit / initialLimit,
                    server.ejected,
                    classFailureStreaks));
        }
        return statistics;
    }

    /** Returns the statistics of all classes. */
    static List<PerClass> of(int[] answerCounts, double[] latencyUs, double[] minLatencyUs) {
        List<PerClass> statistics = new ArrayList<>();
        for (int classIndex = 0; classIndex < answerCounts.length; classIndex++) {
            statistics.add(new PerClass(
                    classIndex,
                    answerCounts[classIndex],
                    latencyUs[classIndex],
                    minLatencyUs[classIndex] < Double.MAX_VALUE ? minLatencyUs[classIndex] : 0));
        }
        return statistics;
    }

    /** Sets the usual latency of classes without answers. */
    static void restore(List<PerClass> prior, int[] answerCounts, double[] latencyUs) {
        for (PerClass statistics : prior) {
            int classIndex = statistics.index();
            if (classIndex >= 0
                    && classIndex < answerCounts.length
                    && answerCounts[classIndex] == 0
                    && statistics.answerCount() > 0
                    && statistics.latencyUs() > 0
                    && statistics.latencyUs() < MAX_LATENCY_US) {
                answerCounts[classIndex] = Math.min(MAX_RESTORED_ANSWERS, statistics.answerCount());
                latencyUs[classIndex] = statistics.latencyUs();
            }
        }
    }

    /**
     * Sets the initial values of a server without answers. They are at most one failure short of ejecting it or
     * excluding it from a class: only its own answers do that, and the first success clears its errors.
     *
     * @param minFailuresToEject failures that eject a server
     * @param minStreakToExcludeClass consecutive failures that exclude a server from a class
     */
    static void restore(Server server, PerServer prior, int minFailuresToEject, int minStreakToExcludeClass, long now) {
        server.errors = Math.max(0, Math.min(MAX_RESTORED_ERRORS, prior.consecutiveErrors()));
        int failures = Math.max(0, Math.min(minFailuresToEject - 1, prior.recentFailures()));
        server.failureHistory = (1 << failures) - 1;
        server.failureFraction = clamp(prior.failureFraction(), 0, 1);
        server.relativeLatency = clamp(prior.relativeLatency(), 1 / MAX_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
        server.relativeLatencyAt = now;
        // Confidence grows with the answers that the limit rests on; it is bounded, whatever count the sender gives.
        double confidence = prior.attemptCount() / (prior.attemptCount() + HALF_CONFIDENCE_ANSWERS);
        server.limit *= 1
                + clamp(confidence, 0, 1) * (clamp(prior.relativeLimit(), MIN_RELATIVE_LIMIT, MAX_RELATIVE_LIMIT) - 1);
        for (int classIndex = 0;
                classIndex
                        < Math.min(
                                server.classFailureStreaks.length,
                                prior.classFailureStreaks().size());
                classIndex++) {
            server.classFailureStreaks[classIndex] = Math.max(
                    0,
                    Math.min(
                            minStreakToExcludeClass - 1,
                            prior.classFailureStreaks().get(classIndex)));
        }
    }

    /** Bounds a value; NaN becomes {@code min}. */
    private static double clamp(double value, double min, double max) {
        return value > min ? Math.min(max, value) : min;
    }
}
