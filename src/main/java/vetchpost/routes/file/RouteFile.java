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
    static final long MAX_FILE_BYTES = 256L << 20;

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
    private static final Map<String, Kind> NAMED_TABLES =
            Map.of("class", Kind.CLASS, "classes", Kind.REQUEST_CLASS, "tenants", Kind.TENANT);

    private static final Map<String, Kind> ARRAY_TABLES = Map.of("route", Kind.ROUTE, "source", Kind.SOURCE);

    /**
     * Reads a file.
     *
     * @throws IOException if it can't be read, or is larger than any such file
     */
    public static RouteFile read(Path path) throws IOException {
        if (Files.size(path) > MAX_FILE_BYTES) {
            throw new IOException(path + " is over " + (MAX_FILE_BYTES >> 20) + " MiB");
        }
        return parse(path.toString(), Files.readString(path));
    }

    /** Reads a text that stands in a file of this name. */
    public static RouteFile parse(String file, String text) {
        return parse(file, text, 1);
    }

    /** Cuts a file at its headers. */
    static BlockReader blockReader(BlockReader.BlockHandler sink) {
        return new BlockReader(TABLES, NAMED_TABLES, ARRAY_TABLES, sink);
    }

    /** Reads the lines of one table, the first of which is that line of the file. */
    static RouteFile parseBlock(String file, Kind kind, String text, int line)
            throws BlockReader.UnsplittableFileException {
        RouteFile one = parse(file, text, line);
        if (one.violations().isEmpty()
                && (one.sections().size() != 1 || one.sections().get(0).kind() != kind)) {
            throw new BlockReader.UnsplittableFileException("line " + line + " begins more than one table");
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
                                    toPosition(file, first, e.position()), "", Rule.SYNTAX, e.getMessage(), ""))
                            .toList());
        }
        List<Section> sections = new ArrayList<>();
        for (String key : toml.keySet()) {
            List<String> path = List.of(key);
            Position at = toPosition(file, first, toml.inputPositionOf(path));
            Object value = toml.get(path);
            Kind kind = TABLES.get(key);
            if (kind != null && value instanceof TomlTable table) {
                sections.add(toSection(file, first, kind, kind == Kind.DEFAULTS ? "" : key, at, table));
            } else if (NAMED_TABLES.containsKey(key) && value instanceof TomlTable table) {
                addNamedTables(file, first, key, table, sections);
            } else if (ARRAY_TABLES.containsKey(key) && value instanceof TomlArray array && areTables(array)) {
                for (int i = 0; i < array.size(); i++) {
                    sections.add(toSection(
                            file,
                            first,
                            ARRAY_TABLES.get(key),
                            "",
                            toPosition(file, first, array.inputPositionOf(i)),
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

    private static void addNamedTables(String file, int first, String key, TomlTable table, List<Section> sections) {
        for (String name : table.keySet()) {
            Position at = toPosition(file, first, table.inputPositionOf(List.of(name)));
            if (table.get(List.of(name)) instanceof TomlTable one) {
                sections.add(toSection(file, first, NAMED_TABLES.get(key), name, at, one));
            } else {
                sections.add(new Section(Kind.UNKNOWN, key + "." + name, at, Map.of()));
            }
        }
    }

    private static Section toSection(String file, int first, Kind kind, String name, Position at, TomlTable table) {
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
                            toPosition(file, first, table.inputPositionOf(path))));
        }
        return new Section(kind, name, at, entries);
    }

    /** A place, where the text's first line is that of the file. */
    private static Position toPosition(String file, int first, TomlPosition at) {
        return at == null ? new Position(file, first, 1) : new Position(file, at.line() + first - 1, at.column());
    }
}
