package vetchpost.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Locale;
import vetchpost.control.AuditLog.Entry;
import vetchpost.control.AuditLog.Event;

/**
 * Converts audit log entries to and from JSON, the text that each line's hash covers. Called by {@link ControlApi} when
 * it records a change and by the audit file when a node starts. Stateless.
 */
public final class AuditEntryJson {
    private AuditEntryJson() {}

    /** Formats an entry as one line of JSON, without a line break. */
    public static String format(Entry entry) {
        JsonObject json = new JsonObject();
        json.addProperty("event", entry.event().name().toLowerCase(Locale.ROOT));
        json.addProperty("number", entry.number());
        json.addProperty("at", entry.unixMs());
        json.addProperty("by", entry.operator());
        json.addProperty("note", entry.note());
        if (entry.change() != null) {
            json.add("change", changeJson(entry.change()));
        }
        return json.toString();
    }

    /** Formats a requested change with all of its fields. */
    static JsonObject changeJson(OverrideRequest change) {
        JsonObject json = new JsonObject();
        json.addProperty("kind", change.kind().commandName());
        json.addProperty("subject", change.subject());
        json.addProperty("per-mille", change.perMille());
        json.addProperty("for-ms", change.durationMs());
        json.addProperty("owner", change.owner());
        json.addProperty("reason", change.reason());
        json.addProperty("priority", change.priority());
        json.addProperty("key", change.key());
        json.addProperty("anyway", change.force());
        return json;
    }

    /**
     * Parses an entry.
     *
     * @throws IllegalArgumentException if the text is not an audit entry
     */
    public static Entry parse(String text) {
        try {
            JsonObject json = JsonParser.parseString(text).getAsJsonObject();
            OverrideRequest change = null;
            if (json.has("change")) {
                JsonObject changeJson = json.getAsJsonObject("change");
                change = new OverrideRequest(
                        OverrideKind.valueOf(textField(changeJson, "kind").toUpperCase(Locale.ROOT)),
                        textField(changeJson, "subject"),
                        changeJson.get("per-mille").getAsInt(),
                        changeJson.get("for-ms").getAsLong(),
                        textField(changeJson, "owner"),
                        textField(changeJson, "reason"),
                        changeJson.get("priority").getAsInt(),
                        textField(changeJson, "key"),
                        changeJson.get("anyway").getAsBoolean());
            }
            return new Entry(
                    Event.valueOf(textField(json, "event").toUpperCase(Locale.ROOT)),
                    json.get("number").getAsLong(),
                    json.get("at").getAsLong(),
                    change,
                    textField(json, "by"),
                    textField(json, "note"));
        } catch (JsonParseException | IllegalStateException | NullPointerException | UnsupportedOperationException e) {
            throw new IllegalArgumentException("not an audit entry: " + e.getMessage(), e);
        }
    }

    private static String textField(JsonObject json, String key) {
        return json.get(key).getAsString();
    }
}
