package vetchpost.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;
import vetchpost.routes.RouteValidator;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;
import vetchpost.routes.file.RouteFile;

/** What an operator may say of the door, and how it is told what it may not. */
class AdmissionValidatorTest {
    private static Settings settings() {
        Settings set = AdmissionHarness.settings(0, 200_000);
        set.tenants.add(new Tenant("school-a", 30));
        set.tenants.add(new Tenant("school-b", 10));
        set.maxRetryAfterUs = 2_000_000;
        return set;
    }

    private static AdmissionValidator.ValidationResult validate(String text) {
        RouteFile file = RouteFile.parse("door.toml", text);
        assertEquals(List.of(), file.violations());
        assertEquals(
                List.of(), RouteValidator.validate(file.sections(), settings()).violations(), "the table is known");
        return AdmissionValidator.validate(file.sections(), settings());
    }

    @Test
    void returnsNoSettingsWithoutTheTable() {
        AdmissionValidator.ValidationResult proof = validate("[defaults]\nattempts = 1\n");
        assertNull(proof.settings());
        assertEquals(List.of(), proof.violations());
    }

    @Test
    void usesDefaultsForAnEmptyTable() {
        AdmissionSettings door = validate("[admission]\n").settings();
        assertEquals(AdmissionValidator.defaults(settings()), door);
        assertEquals(List.of(1.0, 1.5, 0.5), door.tenantWeights(), "shares over their mean");
        assertEquals(2_000_000, door.maxRetryAfterUs());
        assertEquals(0, door.clientRetryWindowUs());
    }

    @Test
    void readsAllKeys() {
        AdmissionSettings door = validate("""
                [admission]
                waiting = 20
                lines = 8
                unsent = 3
                patience = "30s"
                longest-advice = "500ms"
                bookings = 1024
                [admission.weights]
                school-b = 4
                """).settings();
        assertEquals(new AdmissionSettings(20, 8, 3, 30_000_000, 500_000, 1_024, List.of(1.0, 1.5, 4.0)), door);
    }

    @ParameterizedTest
    @CsvSource({
        "waiting = 0, OUT_OF_RANGE",
        "waiting = ~many~, WRONG_UNIT",
        "lines = 5000, OUT_OF_RANGE",
        "unsent = 0, OUT_OF_RANGE",
        "bookings = 1000, OUT_OF_RANGE",
        "bookings = 3, OUT_OF_RANGE",
        "patience = 30, WRONG_UNIT",
        "patience = ~90m~, OUT_OF_RANGE",
        "longest-advice = ~3s~, NOT_ALLOWED",
        "waitng = 5, UNKNOWN_KEY",
        "weights = 3, WRONG_UNIT",
        "weights = { school-z = 1.0 }, UNKNOWN_TENANT",
        "weights = { school-a = 0.0 }, STARVES",
        "weights = { school-a = -1 }, STARVES",
        "weights = { school-a = nan }, STARVES",
        "weights = { school-a = 5000 }, OUT_OF_RANGE",
        "weights = { school-a = true }, WRONG_UNIT"
    })
    void reportsABadValueWithItsPositionAndRule(String line, Rule rule) {
        AdmissionValidator.ValidationResult proof = validate("[admission]\n" + line.replace('~', '"') + "\n");
        assertNull(proof.settings());
        assertEquals(1, proof.violations().size(), proof.violations().toString());
        Violation violation = proof.violations().get(0);
        assertEquals(rule, violation.rule());
        assertEquals(2, violation.position().line());
        assertTrue(violation.toString().startsWith("door.toml:2:"), violation.toString());
    }

    @Test
    void documentsEveryKeyAndNoOther() throws IOException {
        String page = Files.readString(Path.of("docs/admission.md"));
        List<String> named = page.lines()
                .filter(l -> l.matches("\\| `[a-z-]+` \\| .*"))
                .map(l -> l.split("`")[1])
                .toList();
        assertEquals(AdmissionValidator.KEYS, named);
    }
}
