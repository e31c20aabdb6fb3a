package vetchpost.simulation.wire;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * An HTTP/1.1 message as the simulated peers and the checker read it.
 *
 * @param start its first line
 * @param fields header fields, with names in lower case
 * @param from offset of its first byte in the connection's bytes
 * @param to offset after its last byte
 */
public record Message(String start, Map<String, String> fields, byte[] body, long from, long to) {
    /** The value of the field, or an empty string; {@code name} is in lower case. */
    public String field(String name) {
        return fields.getOrDefault(name, "");
    }

    /** The status code of a response, or 0 for a request. */
    public int status() {
        return start.startsWith("HTTP/1.1 ") && start.length() >= 12 ? Integer.parseInt(start, 9, 12, 10) : 0;
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Encodes a message; {@code fields} are complete lines with their line ends. */
    public static byte[] bytes(String start, String fields, String body) {
        return (start + "\r\n" + fields + "\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> fields(String[] lines) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                fields.put(
                        lower(lines[i].substring(0, colon)),
                        lines[i].substring(colon + 1).trim());
            }
        }
        return fields;
    }

    private static String lower(String text) {
        return text.toLowerCase(Locale.ROOT);
    }
}
