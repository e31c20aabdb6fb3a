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
 * The operator's file, parsed as TOML 1.0.0 into tables whose values have their positions. Loaders and
 * {@link FileIndex} create it; the validators read its sections. Immutable.
 *
 * @param sections the tables; empty if there is any violation
 * @param violations syntax errors
 */
public record RouteFile(List<Section> sections, List<Violation> violations) {
    /** Maximum size of a file; 220,000 routes and 420,000 tenants take some 50 MiB. */
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
    /** Tables whose keys are the names of nested tables. */
    private static final Map<String, Kind> NAMED_TABLES =
            Map.of("class", Kind.CLASS, "classes", Kind.REQUEST_CLASS, "tenants", Kind.TENANT);

    private static final Map<String, Kind> ARRAY_TABLES = Map.of("route", Kind.ROUTE, "source", Kind.SOURCE);

    /**
     * Reads and parses a file.
     *
     * @throws IOException if it cannot be read or is larger than 256 MiB
     */
    public static RouteFile read(Path path) throws IOException {
        if (Files.size(path) > MAX_FILE_BYTES) {
            throw new IOException(path + " is larger than " + (MAX_FILE_BYTES >> 20) + " MiB");
        }
        return parse(path.toString(), Files.readString(path));
    }

    /**
     * Parses a text.
     *
     * @param file name to use in positions
     */
    public static RouteFile parse(String file, String text) {
        return parse(file, text, 1);
    }

    /** A reader that splits a file into blocks, one for each table. */
    static BlockReader blockReader(BlockReader.BlockHandler handler) {
        return new BlockReader(TABLES, NAMED_TABLES, ARRAY_TABLES, handler);
    }

    /**
     * Parses the lines of one table.
     *
     * @param line number of the first line in the file, from 1
     * @throws BlockReader.UnsplittableFileException if the lines are not exactly one table of that kind
     */
    static RouteFile parseBlock(String file, Kind kind, String text, int line)
            throws BlockReader.UnsplittableFileException {
        RouteFile parsed = parse(file, text, line);
        if (parsed.violations().isEmpty()
                && (parsed.sections().size() != 1 || parsed.sections().get(0).kind() != kind)) {
            throw new BlockReader.UnsplittableFileException("line " + line + " begins more than one table");
        }
        return parsed;
    }

    private static RouteFile parse(String file, String text, int firstLine) {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            return new RouteFile(
                    List.of(),
                    toml.errors().stream()
                            .map(e -> new Violation(
                                    toPosition(file, firstLine, e.position()), "", Rule.SYNTAX, e.getMessage(), ""))
                            .toList());
        }
        List<Section> sections = new ArrayList<>();
        for (String key : toml.keySet()) {
            List<String> path = List.of(key);
            Position at = toPosition(file, firstLine, toml.inputPositionOf(path));
            Object value = toml.get(path);
            Kind kind = TABLES.get(key);
            if (kind != null && value instanceof TomlTable table) {
                sections.add(toSection(file, firstLine, kind, kind == Kind.DEFAULTS ? "" : key, at, table));
            } else if (NAMED_TABLES.containsKey(key) && value instanceof TomlTable table) {
                addNamedTables(file, firstLine, key, table, sections);
            } else if (ARRAY_TABLES.containsKey(key) && value instanceof TomlArray array && areTables(array)) {
                for (int i = 0; i < array.size(); i++) {
                    sections.add(toSection(
                            file,
                            firstLine,
                            ARRAY_TABLES.get(key),
                            "",
                            toPosition(file, firstLine, array.inputPositionOf(i)),
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

    private static void addNamedTables(
            String file, int firstLine, String key, TomlTable table, List<Section> sections) {
        for (String name : table.keySet()) {
            Position at = toPosition(file, firstLine, table.inputPositionOf(List.of(name)));
            if (table.get(List.of(name)) instanceof TomlTable namedTable) {
                sections.add(toSection(file, firstLine, NAMED_TABLES.get(key), name, at, namedTable));
            } else {
                sections.add(new Section(Kind.UNKNOWN, key + "." + name, at, Map.of()));
            }
        }
    }

    private static Section toSection(String file, int firstLine, Kind kind, String name, Position at, TomlTable table) {
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
                            toPosition(file, firstLine, table.inputPositionOf(path))));
        }
        return new Section(kind, name, at, entries);
    }

    /** The position in the file, of which the parsed text begins at line {@code firstLine}. */
    private static Position toPosition(String file, int firstLine, TomlPosition at) {
        return at == null
                ? new Position(file, firstLine, 1)
                : new Position(file, at.line() + firstLine - 1, at.column());
    }
}
