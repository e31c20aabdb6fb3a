package vetchpost.daemon;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Prints the replies to {@code ctl explain} for people, within 80 columns except for long ids and paths. Called by
 * {@link CtlCommand}; stateless.
 */
final class ExplainText {
    private ExplainText() {}

    /** Whether a reply is an explanation that this class can print. */
    static boolean isExplanation(JsonObject reply) {
        return reply.has("flight") || reply.has("flights") || reply.has("reasons") || reply.has("counts");
    }

    /** Prints an explanation. */
    static void print(PrintWriter out, JsonObject reply) {
        if (reply.has("flight")) {
            printRequest(out, reply.getAsJsonObject("flight"));
        } else if (reply.has("flights")) {
            printLines(out, reply, "flights", "no request was rejected, failed, retried or slow");
        } else if (reply.has("reasons")) {
            printLines(
                    out,
                    reply,
                    "reasons",
                    "nothing keeps it from being chosen: it gets requests like any other server");
        } else {
            printLines(out, reply, "counts", "no request was rejected or has failed");
        }
    }

    private static void printLines(PrintWriter out, JsonObject reply, String key, String emptyText) {
        if (reply.getAsJsonArray(key).isEmpty()) {
            out.println(emptyText);
        }
        for (JsonElement element : reply.getAsJsonArray(key)) {
            if (element.isJsonPrimitive()) {
                out.println(element.getAsString());
            } else if (key.equals("counts")) {
                JsonObject line = element.getAsJsonObject();
                out.printf(
                        Locale.ROOT,
                        "%7d  %-8s %-16s %s%n",
                        line.get("count").getAsLong(),
                        textOf(line, "told"),
                        textOf(line, "class"),
                        textOf(line, "cause"));
            } else {
                JsonObject recorded = element.getAsJsonObject();
                out.printf(
                        Locale.ROOT,
                        "%s  %-8s %8s  %d attempts  %s%n",
                        textOf(recorded, "txn"),
                        textOf(recorded, "told"),
                        formatMs(recorded, "took-ms"),
                        recorded.getAsJsonArray("attempts").size(),
                        textOf(recorded, "request"));
            }
        }
    }

    private static void printRequest(PrintWriter out, JsonObject recorded) {
        out.println(
                textOf(recorded, "request") + " (" + textOf(recorded, "class") + "), id " + textOf(recorded, "txn"));
        out.println("  accepted with " + formatMs(recorded, "left-ms") + " left, after " + formatMs(recorded, "lay-ms")
                + " of event-loop delay; queued for " + formatMs(recorded, "queued-ms"));
        for (JsonElement attemptElement : recorded.getAsJsonArray("attempts")) {
            JsonObject attempt = attemptElement.getAsJsonObject();
            List<String> candidates = new ArrayList<>();
            if (attempt.has("drawn")) {
                for (JsonElement drawnElement : attempt.getAsJsonArray("drawn")) {
                    JsonObject candidate = drawnElement.getAsJsonObject();
                    candidates.add(String.format(
                            Locale.ROOT,
                            "%s (weight %.2f, %d in flight of %.1f, relative latency %.2f)",
                            textOf(candidate, "server"),
                            candidate.get("weight").getAsDouble(),
                            candidate.get("in-flight").getAsInt(),
                            candidate.get("limit").getAsDouble(),
                            candidate.get("pace").getAsDouble()));
                }
            }
            out.println("  after " + formatMs(attempt, "after-ms") + " to " + textOf(attempt, "server") + ": "
                    + textOf(attempt, "outcome").replace('_', ' ')
                    + (attempt.has("took-ms") ? " after " + formatMs(attempt, "took-ms") : ""));
            for (String candidate : candidates) {
                out.println("      drawn: " + candidate);
            }
        }
        out.println("  " + textOf(recorded, "told")
                + (recorded.has("took-ms") ? " after " + formatMs(recorded, "took-ms") : "")
                + (recorded.has("why") ? ": " + textOf(recorded, "why") : "")
                + (recorded.has("come-back-ms") ? "; retry after " + formatMs(recorded, "come-back-ms") : ""));
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
