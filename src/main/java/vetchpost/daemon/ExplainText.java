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
    static boolean isOne(JsonObject reply) {
        return reply.has("flight") || reply.has("flights") || reply.has("reasons") || reply.has("counts");
    }

    static void print(PrintWriter out, JsonObject reply) {
        if (reply.has("flight")) {
            flight(out, reply.getAsJsonObject("flight"));
        } else if (reply.has("flights")) {
            lines(out, reply, "flights", "nothing was refused, failed, repeated or slow");
        } else if (reply.has("reasons")) {
            lines(out, reply, "reasons", "nothing stands against it: it is drawn as any other");
        } else {
            lines(out, reply, "counts", "nothing was refused and nothing has failed");
        }
    }

    private static void lines(PrintWriter out, JsonObject reply, String key, String none) {
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
                        text(line, "told"),
                        text(line, "class"),
                        text(line, "cause"));
            } else {
                JsonObject flight = each.getAsJsonObject();
                out.printf(
                        Locale.ROOT,
                        "%s  %-8s %8s  %d attempts  %s%n",
                        text(flight, "txn"),
                        text(flight, "told"),
                        ms(flight, "took-ms"),
                        flight.getAsJsonArray("attempts").size(),
                        text(flight, "request"));
            }
        }
    }

    private static void flight(PrintWriter out, JsonObject flight) {
        out.println(text(flight, "request") + " (" + text(flight, "class") + "), id " + text(flight, "txn"));
        out.println("  taken with " + ms(flight, "left-ms") + " left, after " + ms(flight, "lay-ms")
                + " unread; at the door for " + ms(flight, "queued-ms"));
        for (JsonElement each : flight.getAsJsonArray("attempts")) {
            JsonObject attempt = each.getAsJsonObject();
            List<String> drawn = new ArrayList<>();
            if (attempt.has("drawn")) {
                for (JsonElement one : attempt.getAsJsonArray("drawn")) {
                    JsonObject c = one.getAsJsonObject();
                    drawn.add(String.format(
                            Locale.ROOT,
                            "%s (weight %.2f, %d in flight of %.1f, pace %.2f)",
                            text(c, "server"),
                            c.get("weight").getAsDouble(),
                            c.get("in-flight").getAsInt(),
                            c.get("limit").getAsDouble(),
                            c.get("pace").getAsDouble()));
                }
            }
            out.println("  after " + ms(attempt, "after-ms") + " to " + text(attempt, "server") + ": "
                    + text(attempt, "outcome").replace('_', ' ')
                    + (attempt.has("took-ms") ? " after " + ms(attempt, "took-ms") : ""));
            for (String candidate : drawn) {
                out.println("      drawn: " + candidate);
            }
        }
        out.println("  " + text(flight, "told") + (flight.has("took-ms") ? " after " + ms(flight, "took-ms") : "")
                + (flight.has("why") ? ": " + text(flight, "why") : "")
                + (flight.has("come-back-ms") ? "; to come back after " + ms(flight, "come-back-ms") : ""));
    }

    private static String text(JsonObject json, String key) {
        return json.get(key).getAsString();
    }

    private static String ms(JsonObject json, String key) {
        return json.has(key)
                ? String.format(Locale.ROOT, "%.1f ms", json.get(key).getAsDouble())
                : "";
    }
}
