package vetchpost.routes.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import vetchpost.routes.RouteCodec;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.Violation;

/** A file table by table, and again for what has changed, against the same file read as a whole. */
class FileIndexTest {
    @TempDir
    private Path folder;

    /** What a file came to. */
    private static final class ReadResult implements FileIndex.SectionHandler {
        private final List<Section> others = new ArrayList<>();
        private final List<Section> routes = new ArrayList<>();
        private final List<Violation> violations = new ArrayList<>();
        private FileIndex index;

        @Override
        public void acceptOtherSections(List<Section> sections) {
            assertTrue(others.isEmpty() && routes.isEmpty(), "told twice, or after routes");
            others.addAll(sections);
        }

        @Override
        public void acceptRoute(Section section) {
            routes.add(section);
        }
    }

    private Path write(String text) throws IOException {
        return Files.writeString(folder.resolve("f.toml"), text);
    }

    private ReadResult read(String text) throws IOException {
        ReadResult read = new ReadResult();
        read.index = FileIndex.read(write(text), read, read.violations::add);
        return read;
    }

    private static final List<String> LINES = List.of(
            "attempts = 2",
            "path = \"/a/{n}\"",
            "name = \"#[x]\"",
            "# [defaults]",
            "",
            "path = \"\"\"\n[[route]]\n\\\"\"\"\"",
            "name = '''\n[class.a]\n''''",
            "x = [\n[1],\n  ]",
            "y = { a = 1 }",
            "name = \"a\\\"[b]\"",
            "z = '[' # '",
            "  [[route]]",
            "w.v = 3",
            "  # ' \"\"\"",
            "name = \"open",
            "u = ]",
            "name = \"\"");
    private static final List<String> HEADERS = List.of(
            "[[route]]",
            "[[route]] # one",
            "[defaults]",
            "[class.a]",
            "[class.\"b c\"]",
            "[tenants.t]",
            "[tenants.\"t\"]",
            "[admission]",
            "[admission.weights]",
            "[nothing]",
            "[class]",
            "[a.b.c]",
            "[ defaults ]",
            "[route]",
            "[[source]]",
            "[class.a",
            "[[route]] x = 1",
            "\ufeff[node]");

    private static String randomFile(SplittableRandom random) {
        StringBuilder text = new StringBuilder(random.nextInt(30) == 0 ? "attempts = 1\n" : "# a file\n");
        boolean nasty = random.nextBoolean();
        for (int i = random.nextInt(6); i >= 0; i--) {
            text.append(HEADERS.get(random.nextInt(nasty ? HEADERS.size() : 6))).append('\n');
            for (int j = random.nextInt(4); j > 0; j--) {
                text.append(LINES.get(random.nextInt(nasty ? LINES.size() : 12)))
                        .append(random.nextInt(9) == 0 ? "\r\n" : "\n");
            }
        }
        return random.nextInt(5) == 0 ? text.toString().stripTrailing() : text.toString();
    }

    /** Lists within lists have no word of their own on whether they are the same. */
    private static String textOf(List<Section> sections, Kind kind) {
        return sections.stream()
                .filter(s -> s.kind() == kind)
                .toList()
                .toString()
                .replaceAll("MutableToml\\w+@[0-9a-f]+", "a value");
    }

    @Test
    void readingByTablesEqualsParsingTheWholeFile() throws Exception {
        int byTables = 0;
        int refused = 0;
        for (int seed = 0; seed < 4_000; seed++) {
            String text = randomFile(new SplittableRandom(seed));
            RouteFile whole = RouteFile.parse(folder.resolve("f.toml").toString(), text);
            ReadResult read = read(text);
            assertEquals(
                    whole.violations().isEmpty(),
                    read.violations.isEmpty(),
                    () -> text + whole.violations() + read.violations);
            if (!whole.violations().isEmpty()) {
                refused++;
                continue;
            }
            byTables += read.index == null ? 0 : 1;
            for (Kind kind : Kind.values()) {
                List<Section> parts = kind == Kind.ROUTE ? read.routes : read.others;
                assertEquals(textOf(whole.sections(), kind), textOf(parts, kind), text);
            }
        }
        assertTrue(byTables > 400 && refused > 400, byTables + " by tables, " + refused + " refused");
    }

    @Test
    void rereadReturnsOnlyChangedRoutes() throws Exception {
        StringBuilder text = new StringBuilder("[defaults]\nattempts = 2\n");
        for (int i = 0; i < 50; i++) {
            text.append("[[route]]\npath = \"/r").append(i).append("\"\nconcurrency = 5\n");
        }
        FileIndex index = read(text.toString()).index;
        FileIndex.Difference none = index.reread(write(text.toString()));
        assertEquals(List.of(), none.changedRoutes());
        assertEquals(List.of(), none.removedRoutes());
        String changed = text.toString()
                        .replace("\"/r7\"\nconcurrency = 5", "\"/r7\"\nconcurrency = 6 # more")
                        .replace("[[route]]\npath = \"/r9\"\nconcurrency = 5\n", "")
                + "[[route]]\npath = \"/r50\"\n";
        FileIndex.Difference some = index.reread(write(changed));
        assertEquals(
                List.of("/r7", "/r50"),
                some.changedRoutes().stream().map(RouteCodec::nameOf).toList());
        assertEquals(List.of("/r7", "/r9"), new ArrayList<>(new TreeSet<>(some.removedRoutes())));
        assertEquals(24, some.changedRoutes().get(0).position().line(), "where it stands now");
        FileIndex.Difference back = some.index().reread(write(text.toString()));
        assertEquals(
                List.of("/r7", "/r9"),
                back.changedRoutes().stream().map(RouteCodec::nameOf).sorted().toList());
        assertEquals(
                List.of("/r50", "/r7"), back.removedRoutes().stream().sorted().toList());
        assertNull(
                index.reread(write(text.toString().replace("attempts = 2", "attempts = 3"))),
                "more than a route has changed");
        assertNull(index.reread(write(text + "[[route]]\npath = \"/r7\"\nconcurrency = 5\n")), "one is there twice");
        assertNull(index.reread(write(text + "[[route]\n")), "it is no TOML");
        assertEquals(
                1,
                index.reread(write(text + "[[route]]\npath = \n")).violations().size());
    }

    @Test
    void multilineValuesDoNotForceParsingTheWholeFile() throws Exception {
        for (String text : List.of("\"\"\"\n[[route]]\n\\\"\"\"\"", "\'\'\'\n[defaults]\n\'\'\'", "[\n1,\n[2]\n]")) {
            ReadResult read = read("[[route]]\npath = \"/a\"\nname = " + text + "\n[[route]]\npath = \"/b\"\n");
            assertEquals(2, read.routes.size(), text);
            assertEquals(text.startsWith("[") ? null : text, read.index == null ? null : text);
        }
    }

    @Test
    void fileThatChangesWhileItIsReadIsRejected() throws Exception {
        Path file = write("[[route]]\npath = \"/a\"\n");
        try {
            FileIndex.read(
                    file,
                    new FileIndex.SectionHandler() {
                        @Override
                        public void acceptOtherSections(List<Section> sections) {
                            try {
                                Files.writeString(file, "[[route]]\npath = \"/b\"\n");
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        }

                        @Override
                        public void acceptRoute(Section section) {
                            assertNotNull(section);
                        }
                    },
                    v -> {});
        } catch (IOException e) {
            assertTrue(e.getMessage().endsWith("has changed while it was read"), e.getMessage());
            return;
        }
        throw new AssertionError("it was believed");
    }
}
