package vetchpost.control;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Locale;
import vetchpost.control.AuditLog.Entry;
import vetchpost.control.AuditLog.Event;

/** A trail's entries as JSON, the text behind each line's hash. */
public final class AuditEntryJson {
    private AuditEntryJson() {}

    /** An entry's text, without a line's end. */
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

    /** A change with all of its fields. */
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

    /** Reads an entry; throws IllegalArgumentException if the text is none. */
    public static Entry parse(String text) {
        try {
            JsonObject json = JsonParser.parseString(text).getAsJsonObject();
            OverrideRequest change = null;
            if (json.has("change")) {
                JsonObject of = json.getAsJsonObject("change");
                change = new OverrideRequest(
                        OverrideKind.valueOf(textField(of, "kind").toUpperCase(Locale.ROOT)),
                        textField(of, "subject"),
                        of.get("per-mille").getAsInt(),
                        of.get("for-ms").getAsLong(),
                        textField(of, "owner"),
                        textField(of, "reason"),
                        of.get("priority").getAsInt(),
                        textField(of, "key"),
                        of.get("anyway").getAsBoolean());
            }
            return new Entry(
                    Event.valueOf(textField(json, "event").toUpperCase(Locale.ROOT)),
                    json.get("number").getAsLong(),
                    json.get("at").getAsLong(),
                    change,
                    textField(json, "by"),
                    textField(json, "note"));
        } catch (JsonParseException | IllegalStateException | NullPointerException | UnsupportedOperationException e) {
            throw new IllegalArgumentException("no entry: " + e.getMessage(), e);
        }
    }

    private static String textField(JsonObject json, String key) {
        return json.get(key).getAsString();
    }
}
