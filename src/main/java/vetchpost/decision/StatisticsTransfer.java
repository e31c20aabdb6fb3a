package vetchpost.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.ServerStatistics.PerClass;
import vetchpost.decision.ServerStatistics.PerServer;

/**
 * Turns what a node knows of servers into {@link ServerStatistics}, and such knowledge into a server's beginning.
 */
final class StatisticsTransfer {
    private static final int HISTORY_LENGTH = 16;
    /** With more, E = (1 + e)^1.5 would keep a server that has recovered from being drawn at all. */
    private static final int MAX_RESTORED_ERRORS = 8;
    /** A usual latency that others have found counts for no more answers than this. */
    private static final int MAX_RESTORED_ANSWERS = 8;
    /** Answers with which a limit is believed by half, and the bounds to what is believed. */
    private static final double HALF_CONFIDENCE_ANSWERS = 4;

    private static final double MIN_RELATIVE_LIMIT = 0.25;
    private static final double MAX_RELATIVE_LIMIT = 8;
    /** The slowest pace that a module takes down itself. */
    private static final double MAX_RELATIVE_LATENCY = 5;

    private static final double MAX_LATENCY_US = 3.6e9;

    private StatisticsTransfer() {}

    /** Of those of these servers that are ready; limits as multiples of the one that a server starts with. */
    static List<PerServer> of(List<String> ids, Map<String, Server> byId, double firstLimit) {
        List<PerServer> known = new ArrayList<>();
        for (String id : ids) {
            Server server = byId.get(id);
            if (server == null || server.state != ServerState.READY) {
                continue;
            }
            List<Integer> misses = new ArrayList<>(server.classFailureStreaks.length);
            for (int count : server.classFailureStreaks) {
                misses.add(count);
            }
            known.add(new PerServer(
                    server.id,
                    server.startedAt,
                    server.attemptCount,
                    server.lastAttemptEndedAt,
                    server.lastServedAt,
                    server.errors,
                    Integer.bitCount(server.failureHistory & (1 << HISTORY_LENGTH) - 1),
                    server.failureFraction,
                    server.relativeLatency,
                    server.limit / firstLimit,
                    server.ejected,
                    misses));
        }
        return known;
    }

    /** Of all classes. */
    static List<PerClass> of(int[] answers, double[] latencyUs, double[] leastUs) {
        List<PerClass> known = new ArrayList<>();
        for (int c = 0; c < answers.length; c++) {
            known.add(new PerClass(c, answers[c], latencyUs[c], leastUs[c] < Double.MAX_VALUE ? leastUs[c] : 0));
        }
        return known;
    }

    /** Has classes of which nothing is known begin with what was usual. */
    static void restore(List<PerClass> prior, int[] answers, double[] latencyUs) {
        for (PerClass known : prior) {
            int c = known.index();
            if (c >= 0
                    && c < answers.length
                    && answers[c] == 0
                    && known.answerCount() > 0
                    && known.latencyUs() > 0
                    && known.latencyUs() < MAX_LATENCY_US) {
                answers[c] = Math.min(MAX_RESTORED_ANSWERS, known.answerCount());
                latencyUs[c] = known.latencyUs();
            }
        }
    }

    /**
     * Has a server of which nothing is known begin with a prior. It is one failure short of what would eject
     * it or keep a class from it at the worst: only answers of its own bring a verdict, and the first success
     * clears its errors.
     *
     * @param ejectAt failures that eject
     * @param classOutAt failures in a row that keep a class from it
     */
    static void restore(Server server, PerServer prior, int ejectAt, int classOutAt, long now) {
        server.errors = Math.max(0, Math.min(MAX_RESTORED_ERRORS, prior.consecutiveErrors()));
        int failures = Math.max(0, Math.min(ejectAt - 1, prior.recentFailures()));
        server.failureHistory = (1 << failures) - 1;
        server.failureFraction = clamp(prior.failureFraction(), 0, 1);
        server.relativeLatency = clamp(prior.relativeLatency(), 1 / MAX_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY);
        server.relativeLatencyAt = now;
        // As sure as the answers that it rests on are many; more of them than a giver can have had tell
        // nothing.
        double weight = prior.attemptCount() / (prior.attemptCount() + HALF_CONFIDENCE_ANSWERS);
        server.limit *=
                1 + clamp(weight, 0, 1) * (clamp(prior.relativeLimit(), MIN_RELATIVE_LIMIT, MAX_RELATIVE_LIMIT) - 1);
        for (int c = 0;
                c
                        < Math.min(
                                server.classFailureStreaks.length,
                                prior.classFailureStreaks().size());
                c++) {
            server.classFailureStreaks[c] = Math.max(
                    0, Math.min(classOutAt - 1, prior.classFailureStreaks().get(c)));
        }
    }

    /** Not a number counts as the least. */
    private static double clamp(double value, double least, double most) {
        return value > least ? Math.min(most, value) : least;
    }
}
