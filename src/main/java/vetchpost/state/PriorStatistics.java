package vetchpost.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchpost.decision.ServerStatistics;
import vetchpost.decision.ServerStatistics.PerClass;
import vetchpost.decision.ServerStatistics.PerServer;

/**
 * Derives from a snapshot the statistics that a balancer starts with, weakened by their age and by the number of
 * samples behind them. Called by {@code Recovery} on the node's event loop; stateless.
 */
public final class PriorStatistics {
    /** An ejected server counts as having failed at least this often, whatever its last answers were. */
    private static final int MIN_FAILURES_IF_EJECTED = 4;
    /** Below this confidence, a server's statistics are ignored. */
    private static final double MIN_TRUSTED_CONFIDENCE = 0.9;
    /** Weaker statistics would not affect server selection and are omitted. */
    private static final double MIN_EFFECT = 0.02;

    private PriorStatistics() {}

    /**
     * Returns the prior statistics.
     *
     * @param classes names of this node's classes, in the order of its settings
     * @param nowMs Unix time in milliseconds
     * @param trustHealth whether errors, failures and ejections are used at all
     * @param confidenceById confidence from 0 to 1 that a server is unchanged, by id; 1 if absent. A server with
     *     low confidence starts without health statistics and with this fraction of the concurrency limit
     */
    public static ServerStatistics of(
            Snapshot snapshot,
            List<String> classes,
            long nowMs,
            boolean trustHealth,
            Map<String, Double> confidenceById) {
        Map<String, Integer> indexByName = new HashMap<>();
        classes.forEach(name -> indexByName.put(name, indexByName.size()));
        int[] classIndexes = new int[snapshot.classes().size()];
        List<PerClass> classStatistics = new ArrayList<>();
        double latencyWeight =
                Confidence.afterAge(nowMs - snapshot.origin().takenMs(), Confidence.CLASS_LATENCY_HALF_LIFE_MS);
        for (int c = 0; c < classIndexes.length; c++) {
            ClassState state = snapshot.classes().get(c);
            classIndexes[c] = indexByName.getOrDefault(state.name(), -1);
            // The latencies seen by a throttled or stalled node include its own delay.
            if (classIndexes[c] >= 0 && trustHealth) {
                classStatistics.add(new PerClass(
                        classIndexes[c],
                        (int) Math.round(latencyWeight * state.sampleCount()),
                        state.latencyUs(),
                        state.minLatencyUs()));
            }
        }
        List<PerServer> servers = new ArrayList<>();
        for (ServerRecord server : snapshot.servers()) {
            double confidence = confidenceById.getOrDefault(server.target().id(), 1.0);
            PerServer prior = confidence < MIN_TRUSTED_CONFIDENCE
                    ? unconfirmed(server, confidence, classes.size())
                    : server.statistics() == null || !trustHealth
                            ? null
                            : prior(server, nowMs, classIndexes, classes.size());
            if (prior != null) {
                servers.add(prior);
            }
        }
        return new ServerStatistics(servers, classStatistics, 0, 0, false);
    }

    /**
     * Returns the prior of one server that has reported its id and of which nothing newer is known.
     *
     * @param classes number of this node's classes
     * @param confidence confidence from 0 to 1 that the server is unchanged
     */
    public static ServerStatistics ofUnconfirmed(ServerRecord server, int classes, double confidence) {
        return new ServerStatistics(List.of(unconfirmed(server, confidence, classes)), List.of(), 0, 0, false);
    }

    /** Ignores the server's health, since another one may have its address by now, and reduces its limit. */
    private static PerServer unconfirmed(ServerRecord server, double confidence, int classes) {
        return new PerServer(
                server.target().id(),
                1_000 * server.target().bootMs(),
                Integer.MAX_VALUE / 2,
                0,
                0,
                0,
                0,
                0,
                1,
                confidence,
                false,
                Collections.nCopies(classes, 0));
    }

    private static PerServer prior(ServerRecord server, long nowMs, int[] classIndexes, int classes) {
        PerServer statistics = server.statistics();
        // Age is measured from the last answer: a later snapshot does not make old observations newer.
        long lastAnswerMs = Math.min(server.statisticsMs(), statistics.lastAnswerAtUs() / 1_000);
        long ageMs = nowMs - lastAnswerMs;
        double sampleWeight = Confidence.ofSampleCount(statistics.attemptCount());
        double healthWeight = sampleWeight * Confidence.afterAge(ageMs, Confidence.HEALTH_HALF_LIFE_MS);
        double relativeLatencyWeight =
                sampleWeight * Confidence.afterAge(ageMs, Confidence.RELATIVE_LATENCY_HALF_LIFE_MS);
        int sampleCount = (int)
                (statistics.attemptCount() * Confidence.afterAge(ageMs, Confidence.RELATIVE_LATENCY_HALF_LIFE_MS));
        if (sampleCount == 0 || Math.max(healthWeight, relativeLatencyWeight) < MIN_EFFECT) {
            return null;
        }
        int failures = statistics.ejected()
                ? Math.max(MIN_FAILURES_IF_EJECTED, statistics.recentFailures())
                : statistics.recentFailures();
        int errors = statistics.ejected()
                ? Math.max(MIN_FAILURES_IF_EJECTED, statistics.consecutiveErrors())
                : statistics.consecutiveErrors();
        int[] failureStreaks = new int[classes];
        for (int c = 0;
                c
                        < Math.min(
                                classIndexes.length,
                                statistics.classFailureStreaks().size());
                c++) {
            if (classIndexes[c] >= 0) {
                failureStreaks[classIndexes[c]] = (int) Math.round(
                        healthWeight * statistics.classFailureStreaks().get(c));
            }
        }
        List<Integer> failureStreakList = new ArrayList<>(classes);
        for (int count : failureStreaks) {
            failureStreakList.add(count);
        }
        return new PerServer(
                statistics.id(),
                1_000 * server.target().bootMs(),
                sampleCount,
                statistics.lastAnswerAtUs(),
                statistics.lastServedAtUs(),
                (int) Math.round(healthWeight * errors),
                (int) Math.round(healthWeight * failures),
                healthWeight * statistics.failureFraction(),
                1 + relativeLatencyWeight * (statistics.relativeLatency() - 1),
                statistics.relativeLimit(),
                false,
                failureStreakList);
    }
}
