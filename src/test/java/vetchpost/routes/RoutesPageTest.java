package vetchpost.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.routes.file.RouteFile;

/** The page for operators says what the code does, and the file that is shipped holds. */
class RoutesPageTest {
    private final String page = read("docs/routes.md");

    private static String read(String path) {
        try {
            return Files.readString(Path.of(path));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    void everyKeyIsDocumented() {
        for (RouteValidator.Key key : RouteValidator.Key.values()) {
            assertTrue(page.lines().anyMatch(l -> l.startsWith("| `" + key.text() + "` | ")), key.text());
        }
    }

    @Test
    void everyRuleIsDocumented() {
        for (Violation.Rule rule : Violation.Rule.values()) {
            assertTrue(page.lines().anyMatch(l -> l.startsWith("| ") && l.contains("`" + rule + "`")), rule.name());
        }
    }

    @Test
    void everyDocumentedKeyExists() {
        List<String> named = page.lines()
                .filter(l -> l.matches("\\| `[a-z-]+` \\| .*"))
                .map(l -> l.split("`")[1])
                .toList();
        named.forEach(key -> assertTrue(RouteValidator.Key.of(key) != null, key));
        assertEquals(RouteValidator.Key.values().length, named.size());
    }

    @Test
    void shippedFileIsValid() {
        RouteFile file = RouteFile.parse("deploy/vetchpost.toml", read("deploy/vetchpost.toml"));
        assertEquals(List.of(), file.violations());
        assertEquals(
                List.of(),
                RouteValidator.validate(file.sections(), RouteValidatorTest.settings())
                        .violations());
    }
}
