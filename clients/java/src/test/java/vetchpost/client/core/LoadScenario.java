package vetchpost.client.core;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;

/**
 * Plays the suite's load scenarios: thousands of calls against simulated nodes, with the same results in every
 * language.
 */
final class LoadScenario {
    private static final int BUCKET_MS = 100;
    private static final long RANDOM_RANGE = 1L << 32;

    private final JsonObject scenario;
    private final Caller caller;
    private final PriorityQueue<PendingEnding> pendingEndings =
            new PriorityQueue<>(Comparator.comparingLong(PendingEnding::at).thenComparingLong(PendingEnding::sequence));
    private final Map<String, Integer> inService = new HashMap<>();
    private final Set<String> abandoned = new HashSet<>();
    private final Map<Long, Integer> sendsByBucket = new HashMap<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private long randomState;
    private long endingsCreated;
    private int resent;
    private int digest = 0x811c9dc5;

    private record PendingEnding(
            long at,
            long sequence,
            long call,
            int attempt,
            String node,
            Ending.Kind kind,
            long sentMs,
            boolean wasAccepted) {}

    private LoadScenario(JsonObject scenario) {
        this.scenario = scenario;
        randomState = scenario.get("seed").getAsLong();
        caller = new Caller(DecisionScenario.settings(scenario.get("settings")), this::nextRandom);
    }

    /** Plays a scenario and returns its summary in the format of the suite. */
    static String play(JsonObject scenario) {
        return new LoadScenario(scenario).play();
    }

    private double nextRandom() {
        randomState = (randomState * 1_664_525 + 1_013_904_223) % RANDOM_RANGE;
        return randomState / (double) RANDOM_RANGE;
    }

    private long number(String key) {
        return scenario.get(key).getAsLong();
    }

    private String play() {
        for (int i = 0; i < number("nodes"); i++) {
            perform(0, caller.addNode(0, "n" + i, false));
        }
        long callsStarted = 0;
        for (long t = 0; t <= number("until"); t++) {
            while (caller.nextWakeMs() <= t) {
                perform(t, caller.wake(t));
            }
            while (!pendingEndings.isEmpty() && pendingEndings.peek().at() <= t) {
                handleEnding(t, pendingEndings.poll());
            }
            for (int i = 0; i < number("perMs") && callsStarted < number("calls"); i++) {
                callsStarted++;
                perform(
                        t,
                        caller.begin(
                                t,
                                callsStarted,
                                Repeat.values()[(int) (callsStarted % 3)],
                                number("within"),
                                number("window")));
            }
        }
        int maxPerBucket =
                sendsByBucket.values().stream().mapToInt(n -> n).max().orElse(0);
        return outcomes + " sent again " + resent + ", most in " + BUCKET_MS + " ms " + maxPerBucket + ", open "
                + caller.open() + ", digest " + Integer.toHexString(digest);
    }

    int resent() {
        return resent;
    }

    private void handleEnding(long t, PendingEnding ending) {
        if (ending.wasAccepted()) {
            inService.merge(ending.node(), -1, Integer::sum);
        }
        if (abandoned.contains(ending.call() + "." + ending.attempt())) {
            return;
        }
        boolean died = ending.wasAccepted() && diedBetween(ending.sentMs(), t);
        Ending.Kind kind = died ? Ending.Kind.MAY_HAVE_RUN : ending.kind();
        boolean answered = kind == Ending.Kind.SERVED || kind == Ending.Kind.REFUSED;
        perform(
                t,
                caller.ended(
                        t,
                        ending.call(),
                        ending.attempt(),
                        new Ending(kind, answered, kind == Ending.Kind.REFUSED ? number("refuseMs") : -1, "scripted")));
    }

    private void perform(long t, List<Action> actions) {
        for (Action action : actions) {
            String line = t + " " + DecisionScenario.describe(action) + "\n";
            for (byte b : line.getBytes(StandardCharsets.UTF_8)) {
                digest = (digest ^ b) * 0x01000193;
            }
            if (action instanceof Action.Send send) {
                send(t, send);
            } else if (action instanceof Action.Abandon abandon) {
                abandoned.add(abandon.call() + "." + abandon.attempt());
            } else if (action instanceof Action.End end) {
                outcomes.merge(DecisionScenario.kindName(end.outcome().kind()), 1, Integer::sum);
            }
        }
    }

    private void send(long t, Action.Send send) {
        sendsByBucket.merge(t / BUCKET_MS, 1, Integer::sum);
        resent += send.resent() ? 1 : 0;
        if (isDown(t)) {
            schedule(t + 1, send, Ending.Kind.NEVER_RAN, t, false);
        } else if (inService.getOrDefault(send.node(), 0) >= number("capacity")) {
            schedule(t + 1, send, Ending.Kind.REFUSED, t, false);
        } else {
            inService.merge(send.node(), 1, Integer::sum);
            long takes = number("serviceMs") + (long) (nextRandom() * number("serviceMs"));
            schedule(t + takes, send, Ending.Kind.SERVED, t, true);
        }
    }

    private void schedule(long at, Action.Send send, Ending.Kind how, long sentMs, boolean serves) {
        pendingEndings.add(
                new PendingEnding(at, endingsCreated++, send.call(), send.attempt(), send.node(), how, sentMs, serves));
    }

    private boolean isDown(long t) {
        for (JsonElement each : scenario.getAsJsonArray("down")) {
            JsonArray ends = each.getAsJsonArray();
            if (t >= ends.get(0).getAsLong() && t < ends.get(1).getAsLong()) {
                return true;
            }
        }
        return false;
    }

    private boolean diedBetween(long after, long until) {
        for (JsonElement each : scenario.getAsJsonArray("down")) {
            long from = each.getAsJsonArray().get(0).getAsLong();
            if (from > after && from <= until) {
                return true;
            }
        }
        return false;
    }
}
