package vetchpost.routes;

import java.util.LinkedHashMap;
import java.util.Map;
import vetchpost.routes.RouteValidator.Key;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Section.Kind;
import vetchpost.store.FieldCodec;

/**
 * A route's keys and values as bytes, without its name: in the order of the keys, each with its type, so that
 * the same route has the same bytes whatever order it was written in.
 */
public final class RouteCodec {
    private RouteCodec() {}

    /**
     * The name of a route: what it says, else its path, else empty.
     *
     * @return null if what it says is no text
     */
    public static String nameOf(Section route) {
        Entry name = route.entries().get(Key.NAME.text());
        Entry path = route.entries().get(Key.PATH.text());
        Object said = name != null ? name.value() : path != null ? path.value() : "";
        return said instanceof String text ? text : null;
    }

    /**
     * Bytes of a route.
     *
     * @throws IllegalArgumentException if it holds what no proved route does
     */
    public static byte[] encode(Section route) {
        for (String key : route.entries().keySet()) {
            if (Key.of(key) == null) {
                throw new IllegalArgumentException("unknown key '" + key + "'");
            }
        }
        FieldCodec.Encoder packer = new FieldCodec.Encoder();
        for (Key key : Key.values()) {
            Entry entry = route.entries().get(key.text());
            if (entry != null) {
                packer.add(key.ordinal(), entry.value());
            }
        }
        return packer.bytes();
    }

    /** The tenant that a route's bytes name, or null. */
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
     * A route from its bytes.
     *
     * @param at where messages say that it stands
     * @throws IllegalArgumentException if these are no route's
     */
    public static Section decode(byte[] bytes, Position at) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        Key[] keys = Key.values();
        FieldCodec.read(bytes, (number, value) -> {
            if (number >= keys.length) {
                throw new IllegalArgumentException("key " + number + " of " + keys.length);
            }
            entries.put(keys[number].text(), new Entry(value, at));
        });
        return new Section(Kind.ROUTE, "", at, entries);
    }
}
