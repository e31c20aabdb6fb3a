package vetchpost.config;

import java.util.Map;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.ReportField;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;

/**
 * Turns the wire's settings into the module's. Missing settings take the module's documented defaults,
 * but for the classes and their main figures, which are named as missing. The adapter and the real node
 * share it, so that both run the module under the same settings.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads settings given as the wire's path=value pairs.
     *
     * @throws IllegalArgumentException naming the path that is missing or senseless
     */
    public static Settings read(Map<String, String> values) {
        return new SettingsReader(values).settings();
    }

    private Settings settings() {
        Settings set = new Settings();
        set.nodes = (int) wholeNumber("balancers", set.nodes);
        // A number past the last is no reason to stay away: nodes may have been added since, or the number of
        // them left out, and two nodes with one part of the servers still serve.
        set.node = Math.floorMod((int) wholeNumber("me", set.node), Math.max(1, set.nodes));
        for (String zone : list("zones")) {
            set.zones.add(zone);
        }
        set.myZone = Math.max(0, set.zones.indexOf(values.getOrDefault("myZone", "")));
        int classes = (int) wholeNumber("classes.count", 0);
        for (int i = 0; i < classes; i++) {
            set.classes.add(requestClass("classes." + i + "."));
        }
        int tenants = (int) wholeNumber("realms.count", 0);
        for (int i = 0; i < tenants; i++) {
            String prefix = "realms." + i + ".";
            set.tenants.add(new Tenant(required(prefix + "name"), decimal(prefix + "quotaPerS", 0)));
        }
        set.overShareValueFraction = decimal("overShareWorth", set.overShareValueFraction);
        set.valuePerWorkUnit = "work".equals(values.get("countedBy"));
        set.maxAttempts = (int) wholeNumber("limits.attemptsCap", set.maxAttempts);
        set.allowsHedging = flag("limits.parallelTries");
        set.allowsCancellation = flag("limits.cancelling");
        set.allowsProbes = flag("limits.probes");
        set.clientsMarkRetries = flag("callers.marksRetry");
        set.maxRetryAfterUs = flag("limits.retryAfter") ? wholeNumber("limits.maxRetryAfterUs", 0) : 0;
        set.tickUs = wholeNumber("quantumUs", set.tickUs);
        set.connectTimeoutUs = wholeNumber("limits.dialTimeoutUs", set.connectTimeoutUs);
        set.mustRequestList = "on_request".equals(values.get("membershipMode"));
        set.maxListIntervalUs = wholeNumber("rules.askWithinUs", set.maxListIntervalUs);
        set.drainGraceUs = wholeNumber("rules.drainGraceUs", set.drainGraceUs);
        set.coldStartFraction = decimal("rules.coldFrom", set.coldStartFraction);
        set.coldUs = wholeNumber("rules.coldUs", set.coldUs);
        set.coldOverloadMultiple = decimal("rules.overloadFactor", set.coldOverloadMultiple);
        set.coldOverloadWindowUs = wholeNumber("rules.fallUs", set.coldOverloadWindowUs);
        set.crossZonePrice = decimal("costs.crossZone", set.crossZonePrice);
        set.probePrice = decimal("costs.probe", set.probePrice);
        for (String field : list("report.fields")) {
            set.reportFields.add(
                    switch (field) {
                        case "concurrent" -> ReportField.IN_FLIGHT;
                        case "depth" -> ReportField.QUEUED;
                        case "load_share" -> ReportField.UTILISATION;
                        case "mean_ms" -> ReportField.LATENCY_MS;
                        case "tps" -> ReportField.SERVED_PER_S;
                        case "err_ps" -> ReportField.ERRORS_PER_S;
                        default -> ReportField.OTHER;
                    });
        }
        return set;
    }

    private RequestClass requestClass(String prefix) {
        String repeat = required(prefix + "repeat");
        String group = values.getOrDefault(prefix + "group", "all");
        return new RequestClass(
                required(prefix + "name"),
                wholeNumber(prefix + "onTimeUs"),
                decimal(prefix + "aimStretch", 0),
                wholeNumber(prefix + "giveUpUs"),
                decimal(prefix + "importance", 1),
                decimal(prefix + "lateWorth", 0),
                switch (repeat) {
                    case "safe" -> Idempotency.SAFE;
                    case "keyed" -> Idempotency.KEYED;
                    case "unsafe" -> Idempotency.UNSAFE;
                    default -> throw invalid(prefix + "repeat", "is unknown: " + repeat);
                },
                switch (group) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default -> throw invalid(prefix + "group", "is unknown: " + group);
                },
                wholeNumber(prefix + "windowUs", 0),
                flag(prefix + "stream"));
    }

    private String required(String path) {
        String value = values.get(path);
        if (value == null) {
            throw invalid(path, "is missing");
        }
        return value;
    }

    private String[] list(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    private boolean flag(String path) {
        String value = values.getOrDefault(path, "0");
        return "1".equals(value) || "true".equals(value);
    }

    private long wholeNumber(String path) {
        return (long) decimal(path, required(path));
    }

    private long wholeNumber(String path, long otherwise) {
        return values.containsKey(path) ? wholeNumber(path) : otherwise;
    }

    private double decimal(String path, double otherwise) {
        return values.containsKey(path) ? decimal(path, required(path)) : otherwise;
    }

    private double decimal(String path, String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw invalid(path, "is not a number");
        }
    }

    private static IllegalArgumentException invalid(String path, String reason) {
        return new IllegalArgumentException(path + " " + reason);
    }
}
