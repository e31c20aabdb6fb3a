package vetchpost.client.core;

import com.google.gson.Gson;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleSupplier;

/** Plays the conformance suite's decision scenarios against {@link Caller}, on the scenario's own clock. */
final class DecisionScenario {
    private static final int FIRST_SERVED_CALL = 1_000;

    private DecisionScenario() {}

    /** Returns a scenario's settings: the defaults, overridden by the given ones. */
    static Settings settings(JsonElement overrides) {
        Gson gson = new Gson();
        JsonObject all = gson.toJsonTree(Settings.DEFAULT).getAsJsonObject();
        if (overrides != null) {
            overrides.getAsJsonObject().entrySet().forEach(e -> {
                if (!all.has(e.getKey())) {
                    throw new AssertionError("there is no setting " + e.getKey());
                }
                all.add(e.getKey(), e.getValue());
            });
        }
        return gson.fromJson(all, Settings.class);
    }

    /** Describes an action in the format of the conformance suite. */
    static String describe(Action action) {
        if (action instanceof Action.Send send) {
            return "send " + send.call() + "." + send.attempt() + " " + send.node() + " " + send.remainingMs()
                    + (send.resent() ? " resent" : "");
        }
        if (action instanceof Action.Abandon abandon) {
            return "abandon " + abandon.call() + "." + abandon.attempt();
        }
        Outcome outcome = ((Action.End) action).outcome();
        String kind = kindName(outcome.kind());
        if (outcome.kind() == Outcome.Kind.SERVED) {
            return "end " + action.call() + " " + kind + " by " + outcome.attempt();
        }
        return "end " + action.call() + " " + kind + (outcome.mayHaveRun() ? ", may have run" : "")
                + (outcome.comeBackMs() < 0 ? "" : ", come back in " + outcome.comeBackMs());
    }

    static String kindName(Enum<?> kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static DoubleSupplier draws(JsonObject scenario) {
        JsonArray values = scenario.getAsJsonArray("draws");
        int[] next = {0};
        return () -> values == null ? 0 : values.get(next[0]++ % values.size()).getAsDouble();
    }

    /** Plays a scenario; throws an AssertionError at the first step whose actions differ from the expected ones. */
    static void play(JsonObject scenario) {
        Caller caller = new Caller(settings(scenario.get("settings")), draws(scenario));
        for (JsonElement each : scenario.getAsJsonArray("steps")) {
            JsonObject step = each.getAsJsonObject();
            long at = step.get("at").getAsLong();
            boolean due = step.has("wake") && !step.has("early");
            long wakeMs = caller.nextWakeMs();
            if (due ? wakeMs != at : wakeMs < at) {
                throw new AssertionError("wants to be woken at " + wakeMs + ", before step " + step);
            }
            List<String> done = perform(caller, step, at).stream()
                    .map(DecisionScenario::describe)
                    .toList();
            List<String> expected = new ArrayList<>();
            if (step.has("then")) {
                step.getAsJsonArray("then").forEach(action -> expected.add(action.getAsString()));
            }
            if (!step.has("serve") && !done.equals(expected)) {
                throw new AssertionError("does " + done + " at step " + step);
            }
        }
    }

    private static List<Action> perform(Caller caller, JsonObject step, long at) {
        if (step.has("add")) {
            return caller.addNode(at, step.get("add").getAsString(), step.has("local"));
        }
        if (step.has("remove")) {
            return caller.removeNode(at, step.get("remove").getAsString());
        }
        if (step.has("begin")) {
            return caller.begin(
                    at,
                    step.get("begin").getAsLong(),
                    Repeat.valueOf(step.get("repeat").getAsString().toUpperCase(Locale.ROOT)),
                    step.get("within").getAsLong(),
                    step.has("window") ? step.get("window").getAsLong() : 0);
        }
        if (step.has("ended")) {
            String[] which = step.get("ended").getAsString().split("\\.");
            Ending.Kind kind = Ending.Kind.valueOf(
                    step.get("how").getAsString().toUpperCase(Locale.ROOT).replace('-', '_'));
            boolean answered = step.has("answered") || kind == Ending.Kind.SERVED || kind == Ending.Kind.REFUSED;
            long retryAfterMs = step.has("retryAfter") ? step.get("retryAfter").getAsLong() : -1;
            return caller.ended(
                    at,
                    Long.parseLong(which[0]),
                    Integer.parseInt(which[1]),
                    new Ending(kind, answered, retryAfterMs, "scripted"));
        }
        if (step.has("cancel")) {
            return caller.cancel(at, step.get("cancel").getAsLong());
        }
        if (step.has("serve")) {
            int calls = step.get("serve").getAsInt();
            for (int i = 0; i < calls; i++) {
                caller.begin(at, FIRST_SERVED_CALL + i, Repeat.UNSAFE, 60_000, 0);
            }
            long end = at + step.get("took").getAsLong();
            for (int i = 0; i < calls && !step.has("leave"); i++) {
                caller.ended(end, FIRST_SERVED_CALL + i, 0, new Ending(Ending.Kind.SERVED, true, -1, "scripted"));
            }
            return List.of();
        }
        return caller.wake(at);
    }
}
