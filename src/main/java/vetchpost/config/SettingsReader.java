package vetchpost.config;

import java.util.Map;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.ReportField;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;

/**
 * Converts path=value settings to the {@link Settings} of the decision module. Missing settings take the module's
 * documented defaults, except for the required values of request classes, which are reported as missing. The
 * simulation adapter and the real node share it, so that both run the module with the same settings.
 */
public final class SettingsReader {
    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads settings given as path=value pairs.
     *
     * @throws IllegalArgumentException naming the path whose value is missing or invalid
     */
    public static Settings read(Map<String, String> values) {
        return new SettingsReader(values).settings();
    }

    private Settings settings() {
        Settings settings = new Settings();
        settings.nodes = (int) wholeNumber("balancers", settings.nodes);
        // A node number beyond the count wraps around instead of failing: nodes may have been added since, or the count
        // left out, and two nodes with the same part of the servers still serve.
        settings.node = Math.floorMod((int) wholeNumber("me", settings.node), Math.max(1, settings.nodes));
        for (String zone : list("zones")) {
            settings.zones.add(zone);
        }
        settings.myZone = Math.max(0, settings.zones.indexOf(values.getOrDefault("myZone", "")));
        int classes = (int) wholeNumber("classes.count", 0);
        for (int i = 0; i < classes; i++) {
            settings.classes.add(requestClass("classes." + i + "."));
        }
        int tenants = (int) wholeNumber("realms.count", 0);
        for (int i = 0; i < tenants; i++) {
            String prefix = "realms." + i + ".";
            settings.tenants.add(new Tenant(required(prefix + "name"), decimal(prefix + "quotaPerS", 0)));
        }
        settings.overShareValueFraction = decimal("overShareWorth", settings.overShareValueFraction);
        settings.valuePerWorkUnit = "work".equals(values.get("countedBy"));
        settings.maxAttempts = (int) wholeNumber("limits.attemptsCap", settings.maxAttempts);
        settings.allowsHedging = flag("limits.parallelTries");
        settings.allowsCancellation = flag("limits.cancelling");
        settings.allowsProbes = flag("limits.probes");
        settings.clientsMarkRetries = flag("callers.marksRetry");
        settings.maxRetryAfterUs = flag("limits.retryAfter") ? wholeNumber("limits.maxRetryAfterUs", 0) : 0;
        settings.tickUs = wholeNumber("quantumUs", settings.tickUs);
        settings.connectTimeoutUs = wholeNumber("limits.dialTimeoutUs", settings.connectTimeoutUs);
        settings.mustRequestList = "on_request".equals(values.get("membershipMode"));
        settings.maxListIntervalUs = wholeNumber("rules.askWithinUs", settings.maxListIntervalUs);
        settings.drainGraceUs = wholeNumber("rules.drainGraceUs", settings.drainGraceUs);
        settings.coldStartFraction = decimal("rules.coldFrom", settings.coldStartFraction);
        settings.coldUs = wholeNumber("rules.coldUs", settings.coldUs);
        settings.coldOverloadMultiple = decimal("rules.overloadFactor", settings.coldOverloadMultiple);
        settings.coldOverloadWindowUs = wholeNumber("rules.fallUs", settings.coldOverloadWindowUs);
        settings.crossZonePrice = decimal("costs.crossZone", settings.crossZonePrice);
        settings.probePrice = decimal("costs.probe", settings.probePrice);
        for (String field : list("report.fields")) {
            settings.reportFields.add(
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
        return settings;
    }

    private RequestClass requestClass(String prefix) {
        String idempotency = required(prefix + "repeat");
        String deduplicationScope = values.getOrDefault(prefix + "group", "all");
        return new RequestClass(
                required(prefix + "name"),
                wholeNumber(prefix + "onTimeUs"),
                decimal(prefix + "aimStretch", 0),
                wholeNumber(prefix + "giveUpUs"),
                decimal(prefix + "importance", 1),
                decimal(prefix + "lateWorth", 0),
                switch (idempotency) {
                    case "safe" -> Idempotency.SAFE;
                    case "keyed" -> Idempotency.KEYED;
                    case "unsafe" -> Idempotency.UNSAFE;
                    default -> throw invalid(prefix + "repeat", "is unknown: " + idempotency);
                },
                switch (deduplicationScope) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.ZONE;
                    case "cell" -> DeduplicationScope.CELL;
                    default -> throw invalid(prefix + "group", "is unknown: " + deduplicationScope);
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

    private long wholeNumber(String path, long defaultValue) {
        return values.containsKey(path) ? wholeNumber(path) : defaultValue;
    }

    private double decimal(String path, double defaultValue) {
        return values.containsKey(path) ? decimal(path, required(path)) : defaultValue;
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
