package vetchpost.standalone;

import java.util.List;
import vetchpost.decision.Balancer.Settings;

/**
 * What a file that is read again asks of a running node, beside what holds for requests from then on anyway.
 *
 * @param core whether the module would be told otherwise, so that a new core has to take what comes
 * @param address whether clients connect elsewhere
 */
public record ReloadPlan(boolean replacesCore, boolean movesListener) {

    /** From what a file came to before to what it comes to now. */
    public static ReloadPlan between(Standalone before, Standalone now) {
        return new ReloadPlan(
                !before.requestRules().equals(now.requestRules())
                        || !coreSettings(before.settings()).equals(coreSettings(now.settings())),
                !before.listen().equals(now.listen()));
    }

    /** All of the settings that a file can change. */
    private static List<Object> coreSettings(Settings set) {
        return List.of(
                List.copyOf(set.classes),
                List.copyOf(set.tenants),
                set.maxAttempts,
                set.connectTimeoutUs,
                set.drainGraceUs,
                set.coldUs,
                set.coldStartFraction,
                set.coldOverloadMultiple,
                set.allowsHedging,
                set.maxRetryAfterUs,
                set.nodes);
    }
}
