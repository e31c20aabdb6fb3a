package vetchpost.daemon;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Explanations for people, within 80 columns but for long ids and paths. */
final class ExplainText {
    private ExplainText() {}

    /** Whether a reply is an explanation. */
    static boolean isExplanation(JsonObject reply) {
        return reply.has("flight") || reply.has("flights") || reply.has("reasons") || reply.has("counts");
    }

    static void print(PrintWriter out, JsonObject reply) {
        if (reply.has("flight")) {
            printRequest(out, reply.getAsJsonObject("flight"));
        } else if (reply.has("flights")) {
            printLines(out, reply, "flights", "nothing was refused, failed, repeated or slow");
        } else if (reply.has("reasons")) {
            printLines(out, reply, "reasons", "nothing stands against it: it is drawn as any other");
        } else {
            printLines(out, reply, "counts", "nothing was refused and nothing has failed");
        }
    }

    private static void printLines(PrintWriter out, JsonObject reply, String key, String none) {
        if (reply.getAsJsonArray(key).isEmpty()) {
            out.println(none);
        }
        for (JsonElement each : reply.getAsJsonArray(key)) {
            if (each.isJsonPrimitive()) {
                out.println(each.getAsString());
            } else if (key.equals("counts")) {
                JsonObject line = each.getAsJsonObject();
                out.printf(
                        Locale.ROOT,
                        "%7d  %-8s %-16s %s%n",
                        line.get("count").getAsLong(),
                        textOf(line, "told"),
                        textOf(line, "class"),
                        textOf(line, "cause"));
            } else {
                JsonObject flight = each.getAsJsonObject();
                out.printf(
                        Locale.ROOT,
                        "%s  %-8s %8s  %d attempts  %s%n",
                        textOf(flight, "txn"),
                        textOf(flight, "told"),
                        formatMs(flight, "took-ms"),
                        flight.getAsJsonArray("attempts").size(),
                        textOf(flight, "request"));
            }
        }
    }

    private static void printRequest(PrintWriter out, JsonObject flight) {
        out.println(textOf(flight, "request") + " (" + textOf(flight, "class") + "), id " + textOf(flight, "txn"));
        out.println("  taken with " + formatMs(flight, "left-ms") + " left, after " + formatMs(flight, "lay-ms")
                + " unread; at the door for " + formatMs(flight, "queued-ms"));
        for (JsonElement each : flight.getAsJsonArray("attempts")) {
            JsonObject attempt = each.getAsJsonObject();
            List<String> drawn = new ArrayList<>();
            if (attempt.has("drawn")) {
                for (JsonElement one : attempt.getAsJsonArray("drawn")) {
                    JsonObject c = one.getAsJsonObject();
                    drawn.add(String.format(
                            Locale.ROOT,
                            "%s (weight %.2f, %d in flight of %.1f, pace %.2f)",
                            textOf(c, "server"),
                            c.get("weight").getAsDouble(),
                            c.get("in-flight").getAsInt(),
                            c.get("limit").getAsDouble(),
                            c.get("pace").getAsDouble()));
                }
            }
            out.println("  after " + formatMs(attempt, "after-ms") + " to " + textOf(attempt, "server") + ": "
                    + textOf(attempt, "outcome").replace('_', ' ')
                    + (attempt.has("took-ms") ? " after " + formatMs(attempt, "took-ms") : ""));
            for (String candidate : drawn) {
                out.println("      drawn: " + candidate);
            }
        }
        out.println("  " + textOf(flight, "told")
                + (flight.has("took-ms") ? " after " + formatMs(flight, "took-ms") : "")
                + (flight.has("why") ? ": " + textOf(flight, "why") : "")
                + (flight.has("come-back-ms") ? "; to come back after " + formatMs(flight, "come-back-ms") : ""));
    }

    private static String textOf(JsonObject json, String key) {
        return json.get(key).getAsString();
    }

    private static String formatMs(JsonObject json, String key) {
        return json.has(key)
                ? String.format(Locale.ROOT, "%.1f ms", json.get(key).getAsDouble())
                : "";
    }
}
