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
    private static final long RANGE = 1L << 32;

    private final JsonObject script;
    private final Caller caller;
    private final PriorityQueue<PendingEnding> pendingEndings =
            new PriorityQueue<>(Comparator.comparingLong(PendingEnding::at).thenComparingLong(PendingEnding::number));
    private final Map<String, Integer> inService = new HashMap<>();
    private final Set<String> abandoned = new HashSet<>();
    private final Map<Long, Integer> sends = new HashMap<>();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private long random;
    private long endingsCreated;
    private int resent;
    private int digest = 0x811c9dc5;

    private record PendingEnding(
            long at, long number, long call, int attempt, String node, Ending.Kind how, long sentMs, boolean serves) {}

    private LoadScenario(JsonObject script) {
        this.script = script;
        random = script.get("seed").getAsLong();
        caller = new Caller(DecisionScenario.settings(script.get("settings")), this::draw);
    }

    /** What a storm has come to, in the suite's words. */
    static String play(JsonObject script) {
        return new LoadScenario(script).play();
    }

    private double draw() {
        random = (random * 1_664_525 + 1_013_904_223) % RANGE;
        return random / (double) RANGE;
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
                due(t, pendingEndings.poll());
            }
            for (int i = 0; i < number("perMs") && begun < number("calls"); i++) {
                begun++;
                perform(
                        t,
                        caller.begin(t, begun, Repeat.values()[(int) (begun % 3)], number("within"), number("window")));
            }
        }
        int most = sends.values().stream().mapToInt(n -> n).max().orElse(0);
        return outcomes + " sent again " + resent + ", most in " + BUCKET_MS + " ms " + most + ", open " + caller.open()
                + ", digest " + Integer.toHexString(digest);
    }

    int resent() {
        return resent;
    }

    private void due(long t, PendingEnding due) {
        if (due.serves()) {
            inService.merge(due.node(), -1, Integer::sum);
        }
        if (abandoned.contains(due.call() + "." + due.attempt())) {
            return;
        }
        boolean died = due.serves() && diedBetween(due.sentMs(), t);
        Ending.Kind how = died ? Ending.Kind.MAY_HAVE_RUN : due.how();
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
                outcomes.merge(DecisionScenario.name(end.outcome().kind()), 1, Integer::sum);
            }
        }
    }

    private void send(long t, Action.Send send) {
        sends.merge(t / BUCKET_MS, 1, Integer::sum);
        resent += send.resent() ? 1 : 0;
        if (isDown(t)) {
            add(t + 1, send, Ending.Kind.NEVER_RAN, t, false);
        } else if (inService.getOrDefault(send.node(), 0) >= number("capacity")) {
            add(t + 1, send, Ending.Kind.REFUSED, t, false);
        } else {
            inService.merge(send.node(), 1, Integer::sum);
            long takes = number("serviceMs") + (long) (draw() * number("serviceMs"));
            add(t + takes, send, Ending.Kind.SERVED, t, true);
        }
    }

    private void add(long at, Action.Send send, Ending.Kind how, long sentMs, boolean serves) {
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
