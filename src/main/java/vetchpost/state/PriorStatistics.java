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
 * Makes of a snapshot what a module may begin with: each piece of knowledge as strong as its age and the
 * answers that it rests on allow.
 */
public final class PriorStatistics {
    /** A box that is ejected has failed as often as this in effect, whatever its last answers were. */
    private static final int MIN_FAILURES_IF_EJECTED = 4;
    /** A box that is believed less is one of which nothing is known but its name. */
    private static final double MIN_TRUSTED_CONFIDENCE = 0.9;
    /** Effects smaller than this change no draw; they are left out. */
    private static final double MIN_EFFECT = 0.02;

    private PriorStatistics() {}

    /**
     * The prior.
     *
     * @param classes the names of the taker's classes, in its settings' order
     * @param trustHealth whether errors, faults and ejections are believed at all
     * @param trustBoxes how far a box is believed to be as it was, by id; 1 where there is no entry. Where
     *     that is little, nothing of its health counts, and it begins with so much of a limit
     */
    public static ServerStatistics of(
            Snapshot snapshot, List<String> classes, long nowMs, boolean trustHealth, Map<String, Double> trustBoxes) {
        Map<String, Integer> index = new HashMap<>();
        classes.forEach(name -> index.put(name, index.size()));
        int[] places = new int[snapshot.classes().size()];
        List<PerClass> usual = new ArrayList<>();
        double age = Confidence.afterAge(nowMs - snapshot.origin().takenMs(), Confidence.CLASS_LATENCY_HALF_LIFE_MS);
        for (int c = 0; c < places.length; c++) {
            ClassState state = snapshot.classes().get(c);
            places[c] = index.getOrDefault(state.name(), -1);
            // A throttled or stalled node's latencies are its own.
            if (places[c] >= 0 && trustHealth) {
                usual.add(new PerClass(
                        places[c],
                        (int) Math.round(age * state.sampleCount()),
                        state.latencyUs(),
                        state.minLatencyUs()));
            }
        }
        List<PerServer> servers = new ArrayList<>();
        for (ServerRecord box : snapshot.servers()) {
            double trust = trustBoxes.getOrDefault(box.target().id(), 1.0);
            PerServer prior = trust < MIN_TRUSTED_CONFIDENCE
                    ? unconfirmed(box, trust, classes.size())
                    : box.statistics() == null || !trustHealth ? null : prior(box, nowMs, places, classes.size());
            if (prior != null) {
                servers.add(prior);
            }
        }
        return new ServerStatistics(servers, usual, 0, 0, false);
    }

    /** Of one box that has said who it is, and of which nothing newer is known; {@code trust} as above. */
    public static ServerStatistics ofUnconfirmed(ServerRecord box, int classes, double trust) {
        return new ServerStatistics(List.of(unconfirmed(box, trust, classes)), List.of(), 0, 0, false);
    }

    /** Nothing of its health counts: somebody else may be there by now. It begins with little. */
    private static PerServer unconfirmed(ServerRecord box, double trust, int classes) {
        return new PerServer(
                box.target().id(),
                1_000 * box.target().bootMs(),
                Integer.MAX_VALUE / 2,
                0,
                0,
                0,
                0,
                0,
                1,
                trust,
                false,
                Collections.nCopies(classes, 0));
    }

    private static PerServer prior(ServerRecord box, long nowMs, int[] places, int classes) {
        PerServer known = box.statistics();
        // What a box did counts from its last answer: a snapshot that repeats old news is no newer for it.
        long heardMs = Math.min(box.statisticsMs(), known.lastAnswerAtUs() / 1_000);
        long ageMs = nowMs - heardMs;
        double evidence = Confidence.ofSampleCount(known.attemptCount());
        double health = evidence * Confidence.afterAge(ageMs, Confidence.HEALTH_HALF_LIFE_MS);
        double pace = evidence * Confidence.afterAge(ageMs, Confidence.RELATIVE_LATENCY_HALF_LIFE_MS);
        int answers =
                (int) (known.attemptCount() * Confidence.afterAge(ageMs, Confidence.RELATIVE_LATENCY_HALF_LIFE_MS));
        if (answers == 0 || Math.max(health, pace) < MIN_EFFECT) {
            return null;
        }
        int failures =
                known.ejected() ? Math.max(MIN_FAILURES_IF_EJECTED, known.recentFailures()) : known.recentFailures();
        int errors = known.ejected()
                ? Math.max(MIN_FAILURES_IF_EJECTED, known.consecutiveErrors())
                : known.consecutiveErrors();
        int[] misses = new int[classes];
        for (int c = 0; c < Math.min(places.length, known.classFailureStreaks().size()); c++) {
            if (places[c] >= 0) {
                misses[places[c]] =
                        (int) Math.round(health * known.classFailureStreaks().get(c));
            }
        }
        List<Integer> missed = new ArrayList<>(classes);
        for (int count : misses) {
            missed.add(count);
        }
        return new PerServer(
                known.id(),
                1_000 * box.target().bootMs(),
                answers,
                known.lastAnswerAtUs(),
                known.lastServedAtUs(),
                (int) Math.round(health * errors),
                (int) Math.round(health * failures),
                health * known.failureFraction(),
                1 + pace * (known.relativeLatency() - 1),
                known.relativeLimit(),
                false,
                missed);
    }
}
