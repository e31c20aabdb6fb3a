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

/**
 * Validation of the operator's admission table: which values are accepted, and that a wrong one is reported with its
 * position and rule.
 */
class AdmissionValidatorTest {
    private static Settings settings() {
        Settings settings = AdmissionHarness.settings(0, 200_000);
        settings.tenants.add(new Tenant("school-a", 30));
        settings.tenants.add(new Tenant("school-b", 10));
        settings.maxRetryAfterUs = 2_000_000;
        return settings;
    }

    private static AdmissionValidator.ValidationResult validate(String text) {
        RouteFile file = RouteFile.parse("admission.toml", text);
        assertEquals(List.of(), file.violations());
        assertEquals(
                List.of(),
                RouteValidator.validate(file.sections(), settings()).violations(),
                "the route validator accepts the table");
        return AdmissionValidator.validate(file.sections(), settings());
    }

    @Test
    void returnsNoSettingsWithoutTheTable() {
        AdmissionValidator.ValidationResult result = validate("[defaults]\nattempts = 1\n");
        assertNull(result.settings());
        assertEquals(List.of(), result.violations());
    }

    @Test
    void usesDefaultsForAnEmptyTable() {
        AdmissionSettings admissionSettings = validate("[admission]\n").settings();
        assertEquals(AdmissionValidator.defaults(settings()), admissionSettings);
        assertEquals(List.of(1.0, 1.5, 0.5), admissionSettings.tenantWeights(), "quotas over their mean");
        assertEquals(2_000_000, admissionSettings.maxRetryAfterUs());
        assertEquals(0, admissionSettings.clientRetryWindowUs());
    }

    @Test
    void readsAllKeys() {
        AdmissionSettings admissionSettings = validate("""
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
        assertEquals(
                new AdmissionSettings(20, 8, 3, 30_000_000, 500_000, 1_024, List.of(1.0, 1.5, 4.0)), admissionSettings);
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
        AdmissionValidator.ValidationResult result = validate("[admission]\n" + line.replace('~', '"') + "\n");
        assertNull(result.settings());
        assertEquals(1, result.violations().size(), result.violations().toString());
        Violation violation = result.violations().get(0);
        assertEquals(rule, violation.rule());
        assertEquals(2, violation.position().line());
        assertTrue(violation.toString().startsWith("admission.toml:2:"), violation.toString());
    }

    @Test
    void documentsEveryKeyAndNoOther() throws IOException {
        String documentation = Files.readString(Path.of("docs/admission.md"));
        List<String> documentedKeys = documentation
                .lines()
                .filter(line -> line.matches("\\| `[a-z-]+` \\| .*"))
                .map(line -> line.split("`")[1])
                .toList();
        assertEquals(AdmissionValidator.KEYS, documentedKeys);
    }
}
