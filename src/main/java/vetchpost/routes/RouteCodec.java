package vetchpost.routes;

import java.util.LinkedHashMap;
import java.util.Map;
import vetchpost.routes.RouteValidator.Key;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Section.Kind;
import vetchpost.store.FieldCodec;

/**
 * Encodes the keys and values of a route as bytes, in the order of {@link RouteValidator.Key} and with their types,
 * so that a route has the same bytes whatever the order of its lines. Route tables, configurations and file indexes
 * use it. Stateless.
 */
public final class RouteCodec {
    private RouteCodec() {}

    /**
     * The name of a route: the one that it is given, else its path, else empty.
     *
     * @return null if the value is not a text
     */
    public static String nameOf(Section route) {
        Entry name = route.entries().get(Key.NAME.text());
        Entry path = route.entries().get(Key.PATH.text());
        Object value = name != null ? name.value() : path != null ? path.value() : "";
        return value instanceof String text ? text : null;
    }

    /**
     * Encodes a route, or the limits of a class.
     *
     * @throws IllegalArgumentException if a key is unknown or a value cannot be encoded
     */
    public static byte[] encode(Section route) {
        for (String key : route.entries().keySet()) {
            if (Key.of(key) == null) {
                throw new IllegalArgumentException("unknown key '" + key + "'");
            }
        }
        FieldCodec.Encoder encoder = new FieldCodec.Encoder();
        for (Key key : Key.values()) {
            Entry entry = route.entries().get(key.text());
            if (entry != null) {
                encoder.add(key.ordinal(), entry.value());
            }
        }
        return encoder.bytes();
    }

    /**
     * The name of the tenant of an encoded route, or null if it has none.
     *
     * @throws IllegalArgumentException if the bytes are not a route
     */
    public static String tenantOf(byte[] route) {
        String[] found = new String[1];
        FieldCodec.read(route, (number, value) -> {
            if (number == Key.TENANT.ordinal() && value instanceof String name) {
                found[0] = name;
            }
        });
        return found[0];
    }

    /**
     * Decodes a route, or the limits of a class.
     *
     * @param position given to the section and its entries, for messages
     * @throws IllegalArgumentException if the bytes are not a route
     */
    public static Section decode(byte[] bytes, Position position) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        Key[] keys = Key.values();
        FieldCodec.read(bytes, (number, value) -> {
            if (number >= keys.length) {
                throw new IllegalArgumentException("key number " + number + " is not below " + keys.length);
            }
            entries.put(keys[number].text(), new Entry(value, position));
        });
        return new Section(Kind.ROUTE, "", position, entries);
    }
}
