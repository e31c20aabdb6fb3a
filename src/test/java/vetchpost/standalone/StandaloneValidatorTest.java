package vetchpost.standalone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;
import vetchpost.routes.file.RouteFile;

/** One file that makes a node: what it comes to, and what it is refused for. */
class StandaloneValidatorTest {
    private static final String NODE = "[node]\nlisten = \"127.0.0.1:8080\"\n";
    private static final String POOL = "[pool]\nservers = [\"127.0.0.1:9001\"]\n";

    private static StandaloneValidator.Validation validate(String text) {
        RouteFile file = RouteFile.parse("node.toml", text);
        assertEquals(List.of(), file.violations());
        return StandaloneValidator.validate(file.sections());
    }

    private static Standalone validSettings(String text) {
        StandaloneValidator.Validation proof = validate(text);
        assertEquals(List.of(), proof.violations());
        return proof.standalone();
    }

    @Test
    void acceptsMinimalFile() {
        Standalone node = validSettings(NODE + POOL);
        Classifier classes = node.classifier();
        assertEquals(
                "read",
                node.settings()
                        .classes
                        .get(classes.classOf("GET", "/a?b", n -> null))
                        .name());
        assertEquals(
                "read",
                node.settings()
                        .classes
                        .get(classes.classOf("HEAD", "/", n -> null))
                        .name());
        for (String method : List.of("POST", "PUT", "DELETE", "PATCH", "BREW")) {
            int index = classes.classOf(method, "/", n -> null);
            assertEquals(Idempotency.UNSAFE, node.settings().classes.get(index).idempotency(), method);
        }
        node.settings().classes.forEach(c -> assertTrue(c.lateValueFraction() > 0, "a late page is worth something"));
    }

    @Test
    void firstMatchingClassApplies() {
        Standalone node = validSettings(NODE + POOL + """
                [classes.orders]
                methods = ["POST"]
                paths = ["/orders", "/orders/*"]
                repeat = "keyed"
                window = "10s"
                [classes.pages]
                methods = ["GET", "HEAD"]
                [classes.rest]
                [tenants.school-a]
                share = 100
                hosts = ["A.example", "b.example:80"]
                """);
        Classifier classes = node.classifier();
        assertEquals(0, classes.classOf("POST", "/orders?x", Map.of("Idempotency-Key", "k")::get));
        assertEquals(0, classes.classOf("POST", "/orders/1", Map.of("Idempotency-Key", "k")::get));
        assertEquals(2, classes.classOf("POST", "/orders/1", n -> null), "without its key it is never repeated");
        assertEquals(2, classes.classOf("POST", "/ordersx", Map.of("Idempotency-Key", "k")::get));
        assertEquals(1, classes.classOf("GET", "/orders", n -> null));
        assertEquals(0, classes.tenantOf("a.EXAMPLE:8080", n -> null));
        assertEquals(0, classes.tenantOf("b.example", n -> null));
        assertEquals(-1, classes.tenantOf("c.example", n -> null));
    }

    /** Each file with the rule that it breaks, where that stands, and a word of what would pass. */
    @Test
    void rejectsInvalidFilesWithPositionAndHint() {
        List<Object[]> files = List.of(
                new Object[] {POOL, Rule.INCOMPLETE, 1, "[node]"},
                new Object[] {"[node]\n" + POOL, Rule.INCOMPLETE, 1, "listen"},
                new Object[] {NODE, Rule.INCOMPLETE, 1, "servers"},
                new Object[] {NODE + "[pool]\nservers = []\n", Rule.INCOMPLETE, 4, "servers"},
                new Object[] {NODE + "lisen = 1\n" + POOL, Rule.UNKNOWN_KEY, 3, "'listen'"},
                new Object[] {"[node]\nlisten = \"localhost:80\"\n" + POOL, Rule.BAD_PATTERN, 2, "127.0.0.1:8080"},
                new Object[] {NODE + "sockets = 5\n" + POOL, Rule.OUT_OF_RANGE, 3, "128"},
                new Object[] {NODE + "idle = 30\n" + POOL, Rule.WRONG_UNIT, 3, "30ms"},
                new Object[] {NODE + "hold = \"1TB\"\n" + POOL, Rule.WRONG_UNIT, 3, "KiB"},
                new Object[] {NODE + "number = 2\nnodes = 2\n" + POOL, Rule.OUT_OF_RANGE, 3, "number = 1"},
                new Object[] {NODE + "forwarded = \"bot\"\n" + POOL, Rule.OUT_OF_RANGE, 3, "both"},
                new Object[] {NODE + "name = \"a b\"\n" + POOL, Rule.OUT_OF_RANGE, 3, "node-1"},
                new Object[] {
                    NODE + POOL + "[classes.a]\nrepeat = \"safe\"\nmethods = [\"GET\", \"POST\"]\n" + "[classes.b]\n",
                    Rule.UNSAFE_AGAIN,
                    6,
                    "unsafe"
                },
                new Object[] {NODE + POOL + "[classes.a]\nrepeat = \"safe\"\n", Rule.UNSAFE_AGAIN, 6, "methods"},
                new Object[] {
                    NODE + POOL + "[classes.a]\nrepeat = \"keyed\"\n[classes.b]\n", Rule.KEYED_LATE, 5, "window"
                },
                new Object[] {
                    NODE + POOL + "[classes.a]\nmethods = [\"get\"]\n[classes.b]\n", Rule.BAD_PATTERN, 6, "GET"
                },
                new Object[] {
                    NODE + POOL + "[classes.a]\npaths = [\"a\"]\n[classes.b]\n", Rule.BAD_PATTERN, 6, "/photos"
                },
                new Object[] {NODE + POOL + "[classes.a]\nmethods = [\"GET\"]\n", Rule.INCOMPLETE, 2, "[classes.rest]"},
                new Object[] {
                    NODE + POOL + "[classes.a]\n[classes.b]\nmethods = [\"PUT\"]\n", Rule.UNREACHABLE, 6, "[classes.a]"
                },
                new Object[] {NODE + POOL + "[classes.a]\naim = \"9s\"\ndeadline = \"5s\"\n", Rule.PAST_WHOLE, 6, "5s"},
                new Object[] {
                    NODE + POOL + "[tenants.a]\nhosts = [\"x\"]\n[tenants.b]\nhosts = [\"X:80\"]\n",
                    Rule.SAME_MATCH,
                    8,
                    "once"
                },
                new Object[] {NODE + "[pool]\nservers = [\"a:1\"]\n", Rule.BAD_PATTERN, 4, "127.0.0.1:9001"},
                new Object[] {
                    NODE + "[pool]\nservers = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n", Rule.SAME_MATCH, 4, "once"
                },
                new Object[] {
                    NODE + "[pool]\nservers = [{ adress = \"127.0.0.1:1\" }]\n", Rule.BAD_PATTERN, 4, "address"
                },
                new Object[] {NODE + "[[source]]\nfile = \"a\"\ndns = \"b\"\nport = 1\n", Rule.INCOMPLETE, 5, "file"},
                new Object[] {NODE + "[[source]]\ndns = \"b\"\n", Rule.INCOMPLETE, 3, "port"},
                new Object[] {NODE + "[[source]]\nsrv = \"b\"\nport = 1\n", Rule.UNREACHABLE, 5, "no port"},
                new Object[] {NODE + "[[source]]\ndns = \"b c\"\nport = 1\n", Rule.BAD_PATTERN, 4, "web.example"},
                new Object[] {NODE + "[[source]]\nfile = \"a\"\nmay = [\"ad\"]\n", Rule.OUT_OF_RANGE, 5, "add"},
                new Object[] {
                    NODE + "[[source]]\nfile = \"a\"\n[[source]]\nfile = \"a\"\n", Rule.SAME_NAME, 5, "another"
                },
                new Object[] {
                    NODE + "[[source]]\ndns = \"b\"\nport = 1\nevery = \"60s\"\nkeep = \"60s\"\n",
                    Rule.OUT_OF_RANGE,
                    7,
                    "120s"
                },
                new Object[] {NODE + POOL + "[checks]\nevery = \"1s\"\nwithin = \"2s\"\n", Rule.SCHEDULE, 7, "1s"},
                new Object[] {NODE + POOL + "[checks]\nstatus = \"ok\"\n", Rule.OUT_OF_RANGE, 6, "200-399"},
                new Object[] {NODE + POOL + "[checks]\npath = \"x\"\n", Rule.BAD_PATTERN, 6, "/healthy"});
        for (Object[] each : files) {
            List<Violation> violations = validate((String) each[0]).violations();
            Violation first = violations.stream()
                    .filter(v -> v.rule() == each[1])
                    .findFirst()
                    .orElse(null);
            assertNotNull(first, each[0] + " -> " + violations);
            assertEquals(each[2], first.position().line(), first.toString());
            assertTrue(first.toString().contains((String) each[3]), first.toString());
            assertNull(validate((String) each[0]).standalone());
        }
    }

    @Test
    void unchangedSettingsNeedNoNewCore() {
        Standalone before = validSettings(NODE + POOL);
        assertEquals(
                new ReloadPlan(false, false),
                ReloadPlan.between(before, validSettings(NODE + "idle = \"9s\"\n" + POOL)));
        assertEquals(
                new ReloadPlan(false, true),
                ReloadPlan.between(before, validSettings(NODE.replace("8080", "8081") + POOL)));
        for (String other : List.of(
                POOL + "attempts = 2\n",
                POOL + "cold = \"1s\"\n",
                POOL + "[classes.all]\n",
                POOL + "[tenants.a]\nshare = 5\n")) {
            assertEquals(new ReloadPlan(true, false), ReloadPlan.between(before, validSettings(NODE + other)), other);
        }
    }

    /** The page names every key that the prover knows, and none besides. */
    @Test
    void everyKeyIsDocumented() throws IOException {
        String page = Files.readString(Path.of("docs/standalone.md")) + Files.readString(Path.of("docs/servers.md"));
        for (List<String> keys : StandaloneValidator.keys()) {
            for (String key : keys) {
                assertTrue(page.lines().anyMatch(l -> l.startsWith("| `" + key + "`")), key);
            }
        }
    }
}
