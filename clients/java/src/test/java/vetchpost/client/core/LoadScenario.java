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

/** Plays the suite's storms: thousands of calls against modelled nodes, the same in every language. */
final class LoadScenario {
    private static final int BUCKET_MS = 100;
    private static final long RANDOM_RANGE = 1L << 32;

    private final JsonObject script;
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
            long at, long sequence, long call, int attempt, String node, Ending.Kind kind, long sentMs, boolean wasAccepted) {}

    private LoadScenario(JsonObject script) {
        this.script = script;
        randomState = script.get("seed").getAsLong();
        caller = new Caller(DecisionScenario.settings(script.get("settings")), this::nextRandom);
    }

    /** What a storm has come to, in the suite's words. */
    static String play(JsonObject script) {
        return new LoadScenario(script).play();
    }

    private double nextRandom() {
        randomState = (randomState * 1_664_525 + 1_013_904_223) % RANDOM_RANGE;
        return randomState / (double) RANDOM_RANGE;
    }

    private long number(String key) {
        return script.get(key).getAsLong();
    }

    private String play() {
        for (int i = 0; i < number("nodes"); i++) {
            perform(0, caller.addNode(0, "n" + i, false));
        }
        long begun = 0;
        for (long t = 0; t <= number("until"); t++) {
            while (caller.nextWakeMs() <= t) {
                perform(t, caller.wake(t));
            }
            while (!pendingEndings.isEmpty() && pendingEndings.peek().at() <= t) {
                handleEnding(t, pendingEndings.poll());
            }
            for (int i = 0; i < number("perMs") && begun < number("calls"); i++) {
                begun++;
                perform(
                        t,
                        caller.begin(t, begun, Repeat.values()[(int) (begun % 3)], number("within"), number("window")));
            }
        }
        int most = sendsByBucket.values().stream().mapToInt(n -> n).max().orElse(0);
        return outcomes + " sent again " + resent + ", most in " + BUCKET_MS + " ms " + most + ", open " + caller.open()
                + ", digest " + Integer.toHexString(digest);
    }

    int resent() {
        return resent;
    }

    private void handleEnding(long t, PendingEnding due) {
        if (due.wasAccepted()) {
            inService.merge(due.node(), -1, Integer::sum);
        }
        if (abandoned.contains(due.call() + "." + due.attempt())) {
            return;
        }
        boolean died = due.wasAccepted() && diedBetween(due.sentMs(), t);
        Ending.Kind how = died ? Ending.Kind.MAY_HAVE_RUN : due.kind();
        boolean answered = how == Ending.Kind.SERVED || how == Ending.Kind.REFUSED;
        perform(
                t,
                caller.ended(
                        t,
                        due.call(),
                        due.attempt(),
                        new Ending(how, answered, how == Ending.Kind.REFUSED ? number("refuseMs") : -1, "as told")));
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
        for (JsonElement each : script.getAsJsonArray("down")) {
            JsonArray ends = each.getAsJsonArray();
            if (t >= ends.get(0).getAsLong() && t < ends.get(1).getAsLong()) {
                return true;
            }
        }
        return false;
    }

    private boolean diedBetween(long after, long until) {
        for (JsonElement each : script.getAsJsonArray("down")) {
            long from = each.getAsJsonArray().get(0).getAsLong();
            if (from > after && from <= until) {
                return true;
            }
        }
        return false;
    }
}
