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
    public static String text(Entry entry) {
        JsonObject json = new JsonObject();
        json.addProperty("event", entry.event().name().toLowerCase(Locale.ROOT));
        json.addProperty("number", entry.number());
        json.addProperty("at", entry.unixMs());
        json.addProperty("by", entry.operator());
        json.addProperty("note", entry.note());
        if (entry.change() != null) {
            json.add("change", change(entry.change()));
        }
        return json.toString();
    }

    /** A change with all of its fields. */
    static JsonObject change(OverrideRequest change) {
        JsonObject json = new JsonObject();
        json.addProperty("kind", change.kind().word());
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
    public static Entry read(String text) {
        try {
            JsonObject json = JsonParser.parseString(text).getAsJsonObject();
            OverrideRequest change = null;
            if (json.has("change")) {
                JsonObject of = json.getAsJsonObject("change");
                change = new OverrideRequest(
                        OverrideKind.valueOf(word(of, "kind").toUpperCase(Locale.ROOT)),
                        word(of, "subject"),
                        of.get("per-mille").getAsInt(),
                        of.get("for-ms").getAsLong(),
                        word(of, "owner"),
                        word(of, "reason"),
                        of.get("priority").getAsInt(),
                        word(of, "key"),
                        of.get("anyway").getAsBoolean());
            }
            return new Entry(
                    Event.valueOf(word(json, "event").toUpperCase(Locale.ROOT)),
                    json.get("number").getAsLong(),
                    json.get("at").getAsLong(),
                    change,
                    word(json, "by"),
                    word(json, "note"));
        } catch (JsonParseException | IllegalStateException | NullPointerException | UnsupportedOperationException e) {
            throw new IllegalArgumentException("no entry: " + e.getMessage(), e);
        }
    }

    private static String word(JsonObject json, String key) {
        return json.get(key).getAsString();
    }
}
