package vetchpost.routes;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.Violation.Rule;
import vetchpost.routes.file.RouteFile;

/** Files taken at their word, as if there were no prover. */
public final class RouteFiles {
    private RouteFiles() {}

    /** The routes of a file, whatever rule it breaks. */
    public static RoutePolicy uncheckedPolicy(String text, Settings settings, long seed) {
        return new FileRoutePolicy(
                RouteValidator.readUnchecked(sections(text), settings).table(), settings, seed);
    }

    /** Whether the prover refuses the file for this rule, perhaps beside others. */
    public static boolean isRejected(String text, Settings settings, Rule rule) {
        return RouteValidator.validate(sections(text), settings).violations().stream()
                .anyMatch(v -> v.rule() == rule);
    }

    /** Whether the prover takes it. */
    public static boolean isAccepted(String text, Settings settings) {
        return RouteValidator.validate(sections(text), settings).isValid();
    }

    private static List<Section> sections(String text) {
        RouteFile file = RouteFile.parse("routes.toml", text);
        assertTrue(file.violations().isEmpty(), () -> file.violations().toString());
        return file.sections();
    }
}
