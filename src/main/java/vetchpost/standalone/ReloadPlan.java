package vetchpost.standalone;

import java.util.List;
import vetchpost.decision.Balancer.Settings;

/**
 * What a reloaded file requires of a running node, beyond what applies to later requests anyway. Stateless; computed
 * when the operator's file is reloaded.
 *
 * @param replacesCore whether the balancer's settings differ, so that a new core must accept further requests
 * @param movesListener whether clients connect to another address
 */
public record ReloadPlan(boolean replacesCore, boolean movesListener) {

    /** Compares the settings of a file before and after it was reloaded. */
    public static ReloadPlan between(Standalone before, Standalone after) {
        return new ReloadPlan(
                !before.requestRules().equals(after.requestRules())
                        || !coreSettings(before.settings()).equals(coreSettings(after.settings())),
                !before.listen().equals(after.listen()));
    }

    /** All of the core's settings that a file can change. */
    private static List<Object> coreSettings(Settings settings) {
        return List.of(
                List.copyOf(settings.classes),
                List.copyOf(settings.tenants),
                settings.maxAttempts,
                settings.connectTimeoutUs,
                settings.drainGraceUs,
                settings.coldUs,
                settings.coldStartFraction,
                settings.coldOverloadMultiple,
                settings.allowsHedging,
                settings.maxRetryAfterUs,
                settings.nodes);
    }
}
