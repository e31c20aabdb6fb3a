package vetchpost.routes.file;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import vetchpost.routes.Position;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * The operator's file as tables with the places of their values, or what keeps it from being TOML (1.0.0).
 *
 * @param sections empty if there is any violation
 */
public record RouteFile(List<Section> sections, List<Violation> violations) {
    /** 10,000 routes take about 2 MiB. */
    private static final long MOST_BYTES = 32L << 20;
    private static final Map<String, Kind> TABLES = Map.of("defaults", Kind.DEFAULTS, "fleet", Kind.FLEET,
            "state", Kind.STATE, "handover", Kind.HANDOVER, "admission", Kind.ADMISSION, "node", Kind.NODE,
            "pool", Kind.POOL, "checks", Kind.CHECKS, "control", Kind.CONTROL);
    /** Tables of tables, each with a name. */
    private static final Map<String, Kind> NAMED = Map.of("class", Kind.CLASS, "classes", Kind.REQUESTS,
            "tenants", Kind.TENANT);
    private static final Map<String, Kind> LISTED = Map.of("route", Kind.ROUTE, "source", Kind.SOURCE);

    /**
     * Reads a file.
     *
     * @throws IOException if it can't be read, or is larger than any such file
     */
    public static RouteFile read(Path path) throws IOException {
        if (Files.size(path) > MOST_BYTES) {
            throw new IOException(path + " is over " + (MOST_BYTES >> 20) + " MiB");
        }
        return parse(path.toString(), Files.readString(path));
    }

    /** Reads a text that stands in a file of this name. */
    public static RouteFile parse(String file, String text) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            return new RouteFile(List.of(), toml.errors().stream().map(e -> new Violation(
                    position(file, e.position()), "", Rule.SYNTAX, e.getMessage(), "")).toList());
        }
        List<Section> sections = new ArrayList<>();
        for (String key : toml.keySet()) {
            List<String> path = List.of(key);
            Position at = position(file, toml.inputPositionOf(path));
            Object value = toml.get(path);
            Kind kind = TABLES.get(key);
            if (kind != null && value instanceof TomlTable table) {
                sections.add(section(file, kind, kind == Kind.DEFAULTS ? "" : key, at, table));
            } else if (NAMED.containsKey(key) && value instanceof TomlTable table) {
                named(file, key, table, sections);
            } else if (LISTED.containsKey(key) && value instanceof TomlArray array && areTables(array)) {
                for (int i = 0; i < array.size(); i++) {
                    sections.add(section(file, LISTED.get(key), "", position(file, array.inputPositionOf(i)),
                            array.getTable(i)));
                }
            } else {
                sections.add(new Section(Kind.UNKNOWN, key, at, Map.of()));
            }
        }
        return new RouteFile(sections, List.of());
    }

    private static boolean areTables(TomlArray array) {
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable)) {
                return false;
            }
        }
        return true;
    }

    private static void named(String file, String key, TomlTable table, List<Section> sections) {
        for (String name : table.keySet()) {
            Position at = position(file, table.inputPositionOf(List.of(name)));
            if (table.get(List.of(name)) instanceof TomlTable one) {
                sections.add(section(file, NAMED.get(key), name, at, one));
            } else {
                sections.add(new Section(Kind.UNKNOWN, key + "." + name, at, Map.of()));
            }
        }
    }

    private static Section section(String file, Kind kind, String name, Position at, TomlTable table) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        for (String key : table.keySet()) {
            List<String> path = List.of(key);
            Object value = table.get(path);
            entries.put(key, new Entry(value instanceof TomlArray array ? array.toList()
                    : value instanceof TomlTable inner ? inner.toMap() : value,
                    position(file, table.inputPositionOf(path))));
        }
        return new Section(kind, name, at, entries);
    }

    private static Position position(String file, TomlPosition at) {
        return at == null ? new Position(file, 1, 1) : new Position(file, at.line(), at.column());
    }
}
