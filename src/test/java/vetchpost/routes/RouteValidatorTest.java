package vetchpost.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;
import vetchpost.routes.Violation.Rule;
import vetchpost.routes.file.RouteFile;

/** Files are taken or refused with the place, the rule and what would pass. */
class RouteValidatorTest {
    private static final long MS = 1_000;

    static Settings settings() {
        Settings set = new Settings();
        set.maxAttempts = 4;
        set.maxRetryAfterUs = 1_000 * MS;
        set.allowsHedging = true;
        set.classes.add(cls("view-page", 500, Idempotency.SAFE));
        set.classes.add(cls("add-photo", 3_000, Idempotency.KEYED));
        set.classes.add(cls("place-order", 1_000, Idempotency.UNSAFE));
        set.tenants.add(new Tenant("school-a", 10));
        set.tenants.add(new Tenant("school-b", 10));
        return set;
    }

    private static RequestClass cls(String name, long giveUpMs, Idempotency repeat) {
        return new RequestClass(
                name,
                giveUpMs * MS / 2,
                0,
                giveUpMs * MS,
                1,
                0,
                repeat,
                repeat == Idempotency.KEYED ? DeduplicationScope.CELL : DeduplicationScope.ALL,
                1_200 * MS,
                false);
    }

    static RouteValidation validate(String text) {
        RouteFile file = RouteFile.parse("f.toml", text);
        assertEquals(List.of(), file.violations());
        return RouteValidator.validate(file.sections(), settings());
    }

    private static Violation validateSingleViolation(String text) {
        RouteValidation proof = validate(text);
        assertEquals(1, proof.violations().size(), proof.violations().toString());
        assertNull(proof.table());
        return proof.violations().get(0);
    }

    @Test
    void emptyFileIsValid() {
        RouteValidation proof = validate("");
        assertTrue(proof.isValid());
        assertEquals(
                4,
                proof.table()
                        .find("view-page", "GET", "/view-page/1", -1)
                        .limits()
                        .maxAttempts());
        assertEquals(
                1,
                proof.table()
                        .find("place-order", "POST", "/place-order/1", -1)
                        .limits()
                        .maxAttempts());
    }

    @Test
    void routeOverridesClassAndClassOverridesDefaults() {
        RouteValidation proof = validate("""
                [defaults]
                retry-budget = 0.3
                concurrency = 9
                [class.view-page]
                concurrency = 8
                attempts = 2
                [[route]]
                path = "/view-page/large/*"
                attempts = 3
                """);
        assertEquals(List.of(), proof.violations());
        Limits large =
                proof.table().find("view-page", "GET", "/view-page/large/1", -1).limits();
        assertEquals(3, large.maxAttempts());
        assertEquals(8, large.maxConcurrency());
        assertEquals(0.3, large.retryBudgetFraction());
        assertEquals(
                2,
                proof.table()
                        .find("view-page", "GET", "/view-page/small", -1)
                        .limits()
                        .maxAttempts());
        assertEquals(
                9,
                proof.table()
                        .find("add-photo", "POST", "/add-photo", -1)
                        .limits()
                        .maxConcurrency());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "[class.place-order]~attempts = 2 | UNSAFE_AGAIN | attempts = 1",
                "[defaults]~attempts = 2 | UNSAFE_AGAIN | attempts = 1",
                "[class.add-photo]~attempts = 3~attempt-timeout = \"600ms\" | KEYED_LATE"
                        + " | attempt-timeout = \"587500us\"",
                "[class.add-photo]~attempts = 2~attempt-timeout = \"1s\"~backoff = \"180ms\"~jitter = 0.2"
                        + " | KEYED_LATE"
                        + " | attempt-timeout = \"959ms\"",
                "[class.view-page]~total-timeout = \"501ms\" | PAST_CLIENT | total-timeout = \"500ms\"",
                "[class.view-page]~attempts = 1~attempt-timeout = \"600ms\" | PAST_WHOLE"
                        + " | attempt-timeout = \"500ms\"",
                "[class.view-page]~attempts = 4~attempt-timeout = \"200ms\" | SCHEDULE | attempts = 2",
                "[class.place-order]~copy-after = \"100ms\" | UNSAFE_AGAIN | no copy-after",
                "[class.add-photo]~copy-after = \"1190ms\"~jitter = 0.1 | KEYED_LATE | copy-after = \"1068181us\"",
                "[class.add-photo]~copy-after = \"1190ms\" | KEYED_LATE | copy-after = \"1175ms\"",
                "[class.view-page]~copy-after = \"500ms\" | SCHEDULE | a shorter copy-after",
                "[class.view-page]~attempts = 1~copy-percentile = 95 | SCHEDULE | attempts = 2",
                "[class.view-page]~copy-after = \"9ms\"~copy-percentile = 95 | SCHEDULE | one of them",
                "[class.view-page]~copy-percentile = 30 | OUT_OF_RANGE | from 50 to 99",
                "[class.view-page]~concurrency = 0 | STARVES | concurrency = 1 or more, or none said",
                "[class.add-photo]~max-body = \"0B\" | STARVES | max-body = \"1B\" or more",
                "[class.view-page]~attempt-timeout = 300 | WRONG_UNIT | \"300ms\"",
                "[class.view-page]~attempt-timeout = \"300 min\" | WRONG_UNIT"
                        + " | a number and us, ms or s, as \"250ms\",",
                "[class.view-page]~max-body = \"3MB\" | WRONG_UNIT | a number and B or KiB, as \"16KiB\",",
                "[class.view-page]~max-body = \"65KiB\" | OUT_OF_RANGE | \"64KiB\"",
                "[class.view-page]~attempts = 0 | OUT_OF_RANGE | from 1 to 100",
                "[class.view-page]~retry-budget = 1.5 | OUT_OF_RANGE | from 0 to 1",
                "[class.view-page]~retry-after = \"2s\" | OUT_OF_RANGE | retry-after = \"1000ms\"",
                "[class.view-page]~attemps = 3 | UNKNOWN_KEY | 'attempts'",
                "[class.vew-page]~attempts = 3 | UNKNOWN_CLASS | 'view-page'",
                "[default]~attempts = 1 | UNKNOWN_TABLE | 'defaults'",
                "[[route]]~path = \"/view-page/a\"~tenant = \"school-c\" | UNKNOWN_TENANT | 'school-a'",
                "[[route]]~path = \"/view-page/a\"~method = \"POST\" | UNREACHABLE | \"GET\"",
                "[[route]]~path = \"/view-page/a\"~class = \"add-photo\" | UNREACHABLE | \"/add-photo/...\"",
                "[[route]]~attempts = 1 | UNREACHABLE | class or path",
                "[[route]]~path = \"/view-page/../a\" | BAD_PATTERN | \"/class/{name}/text\"",
                "[[route]]~path = \"/view-page/%61\" | BAD_PATTERN | \"/class/{name}/text\"",
                "[[route]]~path = \"/view-page/{a}\"~[[route]]~path = \"/view-page/{b}\" | SAME_MATCH"
                        + " | another path, tenant or method",
                "[[route]]~path = \"/view-page/a\"~name = \"x\"~[[route]]~path = \"/view-page/b\"~name ="
                        + " \"x\" | SAME_NAME"
                        + " | another name"
            })
    void fileThatBreaksARuleIsRejected(String lines, Rule rule, String fits) {
        Violation violation = validateSingleViolation(lines.replace("~", "\n"));
        assertEquals(rule, violation.rule(), violation.toString());
        assertEquals(fits, violation.accepted(), violation.toString());
        assertTrue(violation.position().line() >= 1);
    }

    /** What a message says would pass does pass. */
    @Test
    void suggestedValuesAreAccepted() {
        assertTrue(validate("[class.add-photo]\nattempts = 3\nattempt-timeout = \"587500us\"")
                .isValid());
        assertTrue(validate("[class.add-photo]\nattempts = 2\nattempt-timeout = \"959ms\"\nbackoff = \"180ms\"\n"
                        + "jitter = 0.2")
                .isValid());
        assertTrue(validate("[class.view-page]\nattempts = 2\nattempt-timeout = \"200ms\"")
                .isValid());
        assertTrue(validate("[class.add-photo]\ncopy-after = \"1068181us\"\njitter = 0.1")
                .isValid());
    }

    @Test
    void everyViolationIsReportedWithItsPosition() {
        RouteValidation proof = validate("""
                [class.place-order]
                attempts = 3
                speed = 1

                [[route]]
                name = "photos"
                path = "/add-photo/*"
                total-timeout = "9s"
                """);
        assertEquals(
                List.of("f.toml:2:1", "f.toml:3:1", "f.toml:8:1"),
                proof.violations().stream().map(v -> v.position().toString()).toList());
        assertEquals(
                "f.toml:8:1: route photos: total-timeout is 9000ms, and clients wait 3000ms"
                        + " [PAST_CLIENT: no "
                        + "request is lost: an answer comes while its client waits]; total-timeout ="
                        + " \"3000ms\" would pass",
                proof.violations().get(2).toString());
    }

    @Test
    void syntaxErrorIsReportedWithItsLine() {
        RouteFile file = RouteFile.parse("f.toml", "[defaults]\nattempts = = 3\n");
        assertEquals(Rule.SYNTAX, file.violations().get(0).rule());
        assertEquals(2, file.violations().get(0).position().line());
    }

    private static String found(RouteValidation proof, String cls, String target, int tenant) {
        Route route = proof.table().find(cls, cls.equals("view-page") ? "GET" : "POST", target, tenant);
        return route == null ? null : route.name();
    }

    @Test
    void mostSpecificRouteMatches() {
        RouteValidation proof = validate("""
                [[route]]
                name = "all-of-a"
                class = "view-page"
                tenant = "school-a"
                [[route]]
                name = "prefix"
                path = "/view-page/proofs/*"
                [[route]]
                name = "any"
                path = "/view-page/proofs/{id}/large"
                [[route]]
                name = "plain"
                path = "/view-page/proofs/7/large"
                [[route]]
                name = "plain-of-b"
                path = "/view-page/proofs/7/large"
                tenant = "school-b"
                [[route]]
                name = "other"
                path = "/view-page/{kind}/7/small"
                """);
        assertEquals(List.of(), proof.violations());
        assertEquals("plain", found(proof, "view-page", "/view-page/proofs/7/large?x=1", -1));
        assertEquals("plain-of-b", found(proof, "view-page", "/view-page/proofs/7/large", 1));
        assertEquals("any", found(proof, "view-page", "/view-page/proofs/8/large", 0));
        assertEquals("prefix", found(proof, "view-page", "/view-page/proofs/8/medium/1", 0));
        // Two match; the plain text further left is the more specific.
        assertEquals("prefix", found(proof, "view-page", "/view-page/proofs/7/small", -1));
        assertEquals("other", found(proof, "view-page", "/view-page/covers/7/small", -1));
        assertEquals("all-of-a", found(proof, "view-page", "/view-page/x", 0));
        assertEquals("view-page", found(proof, "view-page", "/view-page/x", 1));
        assertEquals("place-order", found(proof, "place-order", "/place-order", -1));
    }

    @Test
    void ambiguousPathsCannotEvadeARoute() {
        RouteValidation proof =
                validate("[[route]]\nname = \"large\"\npath =" + " \"/add-photo/large/{id}\"\nconcurrency = 1\n");
        assertEquals("large", found(proof, "add-photo", "/add-photo/large/1", -1));
        assertEquals("large", found(proof, "add-photo", "/add-photo/%6Carge/1", -1));
        assertEquals("large", found(proof, "add-photo", "/add-photo//large///1", -1));
        assertEquals("large", found(proof, "add-photo", "/add-photo/large/1/?a", -1));
        for (String twoWays : List.of(
                "/add-photo/x/../large/1",
                "/add-photo/./large/1",
                "/add-photo/%2e%2e/x",
                "/add-photo/large%2F1",
                "/add-photo/large%5c1",
                "/add-photo/large\\1",
                "/add-photo/large/%zz",
                "/add-photo/large/%2",
                "/add-photo/%2561",
                "/add-photo/a%00",
                "/view-page/large/1")) {
            assertNull(found(proof, "add-photo", twoWays, -1), twoWays);
        }
    }

    @Test
    void tenThousandRoutesAreValidatedWithinTenSeconds() {
        StringBuilder text = new StringBuilder("[class.view-page]\nattempts = 2\n");
        for (int i = 0; i < 10_000; i++) {
            text.append("[[route]]\nname = \"r")
                    .append(i)
                    .append("\"\npath = \"/view-page/s")
                    .append(i / 100)
                    .append("/{page}/p")
                    .append(i % 100)
                    .append("\"\nattempt-timeout = \"200ms\"\n");
        }
        validate("[[route]]\npath = \"/view-page/warm\"\n");
        long began = System.nanoTime();
        RouteFile file = RouteFile.parse("f.toml", text.toString());
        long read = System.nanoTime();
        RouteValidation proof = RouteValidator.validate(file.sections(), settings());
        long ms = (System.nanoTime() - began) / 1_000_000;
        System.out.println(
                "10,000 routes read in " + (read - began) / 1_000_000 + " ms and proved, " + ms + " ms in all");
        assertTrue(proof.isValid());
        assertNotNull(proof.table());
        assertEquals("r4321", found(proof, "view-page", "/view-page/s43/x/p21", -1));
        // Generous: a busy machine is no failure of the file's.
        assertTrue(ms < 10_000, ms + " ms");
    }

    @Test
    void fleetSubsetIsRead() {
        assertNull(validate("").fleetSubset());
        assertEquals(
                new RouteValidation.FleetSubset(0, 40),
                validate("[fleet]\nnode = 0\nsubset = 40\n").fleetSubset());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            node = 1;subset = 40  | OUT_OF_RANGE | 2 | from 0 to 0
            node = 0;subset = 0   | OUT_OF_RANGE | 3 | from 1 to 1000000
            node = 0;subset = "9" | WRONG_UNIT   | 3 | subset = 1
            subset = 9            | OUT_OF_RANGE | 1 | node = 0
            node = 0;subset = 9;subsets = 2 | UNKNOWN_KEY | 4 | subset
            """)
    void invalidFleetSubsetIsRejected(String lines, Rule rule, int line, String fits) {
        Violation violation = validateSingleViolation("[fleet]\n" + lines.replace(';', '\n') + "\n");
        assertEquals(rule, violation.rule());
        assertEquals(line, violation.position().line());
        assertEquals(fits, violation.accepted().replace("'", ""));
    }
}
