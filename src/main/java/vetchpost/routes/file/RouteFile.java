package vetchpost.routes.file;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import vetchpost.routes.Position;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;

/**
 * The operator's file as tables with the places of their values, or what keeps it from being TOML (1.0.0).
 *
 * @param sections empty if there is any violation
 */
public record RouteFile(List<Section> sections, List<Violation> violations) {
    /** 220,000 routes and 420,000 tenants take some 50 MiB. */
    static final long MAX_BYTES = 256L << 20;

    private static final Map<String, Kind> TABLES = Map.ofEntries(
            Map.entry("defaults", Kind.DEFAULTS),
            Map.entry("fleet", Kind.FLEET),
            Map.entry("state", Kind.STATE),
            Map.entry("handover", Kind.HANDOVER),
            Map.entry("admission", Kind.ADMISSION),
            Map.entry("node", Kind.NODE),
            Map.entry("pool", Kind.POOL),
            Map.entry("checks", Kind.CHECKS),
            Map.entry("control", Kind.CONTROL),
            Map.entry("changes", Kind.CHANGES));
    /** Tables of tables, each with a name. */
    private static final Map<String, Kind> NAMED =
            Map.of("class", Kind.CLASS, "classes", Kind.REQUESTS, "tenants", Kind.TENANT);

    private static final Map<String, Kind> LISTED = Map.of("route", Kind.ROUTE, "source", Kind.SOURCE);

    /**
     * Reads a file.
     *
     * @throws IOException if it can't be read, or is larger than any such file
     */
    public static RouteFile read(Path path) throws IOException {
        if (Files.size(path) > MAX_BYTES) {
            throw new IOException(path + " is over " + (MAX_BYTES >> 20) + " MiB");
        }
        return parse(path.toString(), Files.readString(path));
    }

    /** Reads a text that stands in a file of this name. */
    public static RouteFile parse(String file, String text) {
        return parse(file, text, 1);
    }

    /** Cuts a file at its headers. */
    static BlockReader blocks(BlockReader.Sink sink) {
        return new BlockReader(TABLES, NAMED, LISTED, sink);
    }

    /** Reads the lines of one table, the first of which is that line of the file. */
    static RouteFile block(String file, Kind kind, String text, int line) throws BlockReader.Whole {
        RouteFile one = parse(file, text, line);
        if (one.violations().isEmpty()
                && (one.sections().size() != 1 || one.sections().get(0).kind() != kind)) {
            throw new BlockReader.Whole("line " + line + " begins more than one table");
        }
        return one;
    }

    private static RouteFile parse(String file, String text, int first) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            return new RouteFile(
                    List.of(),
                    toml.errors().stream()
                            .map(e -> new Violation(
                                    position(file, first, e.position()), "", Rule.SYNTAX, e.getMessage(), ""))
                            .toList());
        }
        List<Section> sections = new ArrayList<>();
        for (String key : toml.keySet()) {
            List<String> path = List.of(key);
            Position at = position(file, first, toml.inputPositionOf(path));
            Object value = toml.get(path);
            Kind kind = TABLES.get(key);
            if (kind != null && value instanceof TomlTable table) {
                sections.add(section(file, first, kind, kind == Kind.DEFAULTS ? "" : key, at, table));
            } else if (NAMED.containsKey(key) && value instanceof TomlTable table) {
                named(file, first, key, table, sections);
            } else if (LISTED.containsKey(key) && value instanceof TomlArray array && areTables(array)) {
                for (int i = 0; i < array.size(); i++) {
                    sections.add(section(
                            file,
                            first,
                            LISTED.get(key),
                            "",
                            position(file, first, array.inputPositionOf(i)),
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

    private static void named(String file, int first, String key, TomlTable table, List<Section> sections) {
        for (String name : table.keySet()) {
            Position at = position(file, first, table.inputPositionOf(List.of(name)));
            if (table.get(List.of(name)) instanceof TomlTable one) {
                sections.add(section(file, first, NAMED.get(key), name, at, one));
            } else {
                sections.add(new Section(Kind.UNKNOWN, key + "." + name, at, Map.of()));
            }
        }
    }

    private static Section section(String file, int first, Kind kind, String name, Position at, TomlTable table) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        for (String key : table.keySet()) {
            List<String> path = List.of(key);
            Object value = table.get(path);
            entries.put(
                    key,
                    new Entry(
                            value instanceof TomlArray array
                                    ? array.toList()
                                    : value instanceof TomlTable inner ? inner.toMap() : value,
                            position(file, first, table.inputPositionOf(path))));
        }
        return new Section(kind, name, at, entries);
    }

    /** A place, where the text's first line is that of the file. */
    private static Position position(String file, int first, TomlPosition at) {
        return at == null ? new Position(file, first, 1) : new Position(file, at.line() + first - 1, at.column());
    }
}
