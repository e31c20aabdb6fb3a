package vetchpost.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;
import vetchpost.routes.Position;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;

/**
 * Validates the {@code [admission]} table of an operator's file and makes {@link AdmissionSettings} of it. Called when
 * a file is loaded or checked. It does no I/O.
 */
public final class AdmissionValidator {
    static final List<String> KEYS =
            List.of("waiting", "lines", "unsent", "patience", "longest-advice", "bookings", "weights");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(ms|s|m)");
    private static final int DEFAULT_WAITING_REQUESTS = 1_000;
    private static final int MAX_WAITING_REQUESTS = 100_000;
    private static final int DEFAULT_QUEUES_PER_CLASS = 64;
    private static final int MAX_QUEUES_PER_CLASS = 1_024;
    private static final int DEFAULT_UNSENT_REQUESTS = 2;
    private static final int MAX_UNSENT_REQUESTS = 64;
    private static final int DEFAULT_RESERVATIONS = 16_384;
    private static final int MIN_RESERVATIONS = 64;
    private static final int MAX_RESERVATIONS = 1 << 20;
    private static final double MAX_TENANT_WEIGHT = 1_000;
    private static final long MAX_DURATION_US = 3_600_000_000L;

    private final Settings settings;
    private final List<Violation> violations = new ArrayList<>();

    /**
     * The result of a validation.
     *
     * @param settings null if there is no such table, or any violation
     * @param violations all violations of the table
     */
    public record ValidationResult(AdmissionSettings settings, List<Violation> violations) {}

    private AdmissionValidator(Settings settings) {
        this.settings = settings;
    }

    /**
     * Validates the file's {@code [admission]} table, if it has one.
     *
     * @param settings the platform's settings: tenants, and the longest retry-after allowed
     */
    public static ValidationResult validate(List<Section> file, Settings settings) {
        for (Section section : file) {
            if (section.kind() == Kind.ADMISSION) {
                return new AdmissionValidator(settings).validateSection(section);
            }
        }
        return new ValidationResult(null, List.of());
    }

    /** The settings for an empty table. */
    public static AdmissionSettings defaults(Settings settings) {
        return new AdmissionSettings(
                DEFAULT_WAITING_REQUESTS,
                DEFAULT_QUEUES_PER_CLASS,
                DEFAULT_UNSENT_REQUESTS,
                0,
                settings.maxRetryAfterUs,
                DEFAULT_RESERVATIONS,
                weights(settings, Map.of()));
    }

    private ValidationResult validateSection(Section section) {
        section.entries().forEach((key, entry) -> {
            if (!KEYS.contains(key)) {
                addViolation(
                        entry.position(),
                        Rule.UNKNOWN_KEY,
                        "unknown key '" + key + "'",
                        "one of " + String.join(", ", KEYS));
            }
        });
        int maxWaiting = integerValue(section, "waiting", DEFAULT_WAITING_REQUESTS, 1, MAX_WAITING_REQUESTS);
        int queuesPerClass = integerValue(section, "lines", DEFAULT_QUEUES_PER_CLASS, 1, MAX_QUEUES_PER_CLASS);
        int maxUnsent = integerValue(section, "unsent", DEFAULT_UNSENT_REQUESTS, 1, MAX_UNSENT_REQUESTS);
        int reservationTableSize =
                integerValue(section, "bookings", DEFAULT_RESERVATIONS, MIN_RESERVATIONS, MAX_RESERVATIONS);
        if (Integer.bitCount(reservationTableSize) != 1) {
            addViolation(
                    section.entries().get("bookings").position(),
                    Rule.OUT_OF_RANGE,
                    "bookings = " + reservationTableSize + " is not a power of two",
                    Integer.toString(Integer.highestOneBit(reservationTableSize)));
        }
        long clientRetryWindowUs = durationUs(section, "patience", 0);
        long maxRetryAfterUs = durationUs(section, "longest-advice", settings.maxRetryAfterUs);
        if (maxRetryAfterUs > settings.maxRetryAfterUs) {
            addViolation(
                    section.entries().get("longest-advice").position(),
                    Rule.NOT_ALLOWED,
                    "longest-advice is longer than the " + settings.maxRetryAfterUs / 1_000
                            + "ms that the settings allow",
                    settings.maxRetryAfterUs / 1_000 + "ms");
        }
        List<Double> weights = weights(section);
        return new ValidationResult(
                violations.isEmpty()
                        ? new AdmissionSettings(
                                maxWaiting,
                                queuesPerClass,
                                maxUnsent,
                                clientRetryWindowUs,
                                maxRetryAfterUs,
                                reservationTableSize,
                                weights)
                        : null,
                List.copyOf(violations));
    }

    private void addViolation(Position position, Rule rule, String message, String suggestion) {
        violations.add(new Violation(position, "admission", rule, message, suggestion));
    }

    private int integerValue(Section section, String key, int defaultValue, int min, int max) {
        Entry entry = section.entries().get(key);
        if (entry == null) {
            return defaultValue;
        }
        if (!(entry.value() instanceof Long number)) {
            addViolation(entry.position(), Rule.WRONG_UNIT, key + " is not a whole number", key + " = " + defaultValue);
            return defaultValue;
        }
        if (number < min || number > max) {
            addViolation(entry.position(), Rule.OUT_OF_RANGE, key + " = " + number, "from " + min + " to " + max);
            return defaultValue;
        }
        return number.intValue();
    }

    private long durationUs(Section section, String key, long defaultValue) {
        Entry entry = section.entries().get(key);
        if (entry == null) {
            return defaultValue;
        }
        Matcher matcher = entry.value() instanceof String text ? DURATION.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            addViolation(entry.position(), Rule.WRONG_UNIT, key + " is not a duration with a unit", "\"500ms\"");
            return defaultValue;
        }
        long valueUs = (long) (Double.parseDouble(matcher.group(1))
                * switch (matcher.group(2)) {
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    default -> 60e6;
                });
        if (valueUs > MAX_DURATION_US) {
            addViolation(entry.position(), Rule.OUT_OF_RANGE, key + " is longer than an hour", "\"60m\"");
            return defaultValue;
        }
        return valueUs;
    }

    private List<Double> weights(Section section) {
        Entry entry = section.entries().get("weights");
        if (entry == null) {
            return weights(settings, Map.of());
        }
        if (!(entry.value() instanceof Map<?, ?> table)) {
            addViolation(entry.position(), Rule.WRONG_UNIT, "weights is not a table", "weights = { school = 2.0 }");
            return List.of();
        }
        List<String> names = settings.tenants.stream().map(Tenant::name).toList();
        table.forEach((name, value) -> {
            if (!names.contains(name)) {
                addViolation(
                        entry.position(),
                        Rule.UNKNOWN_TENANT,
                        "there is no tenant '" + name + "'",
                        names.isEmpty()
                                ? ""
                                : "one of " + String.join(", ", names.subList(0, Math.min(names.size(), 20))));
            } else if (!(value instanceof Number)) {
                addViolation(entry.position(), Rule.WRONG_UNIT, "the weight of " + name + " is not a number", "1.0");
            } else if (!(((Number) value).doubleValue() >= 1 / MAX_TENANT_WEIGHT)) {
                addViolation(
                        entry.position(),
                        Rule.STARVES,
                        name + " has weight " + value + ": it would get nothing while others wait",
                        "at least " + 1 / MAX_TENANT_WEIGHT);
            } else if (((Number) value).doubleValue() > MAX_TENANT_WEIGHT) {
                addViolation(
                        entry.position(),
                        Rule.OUT_OF_RANGE,
                        name + " has weight " + value,
                        "at most " + MAX_TENANT_WEIGHT);
            }
        });
        return violations.isEmpty() ? weights(settings, table) : List.of();
    }

    /**
     * The weight of each tenant: the configured one, else its quota in proportion to the mean quota so that 1 is usual,
     * else 1. Requests without a tenant have weight 1.
     */
    private static List<Double> weights(Settings settings, Map<?, ?> configured) {
        double mean = settings.tenants.stream()
                .mapToDouble(Tenant::quotaPerS)
                .filter(quota -> quota > 0)
                .average()
                .orElse(1);
        List<Double> weights = new ArrayList<>();
        weights.add(1.0);
        for (Tenant tenant : settings.tenants) {
            double quotaRatio = tenant.quotaPerS() > 0 ? tenant.quotaPerS() / mean : 1;
            weights.add(
                    configured.get(tenant.name()) instanceof Number number
                            ? number.doubleValue()
                            : Math.min(MAX_TENANT_WEIGHT, Math.max(1 / MAX_TENANT_WEIGHT, quotaRatio)));
        }
        return weights;
    }
}
