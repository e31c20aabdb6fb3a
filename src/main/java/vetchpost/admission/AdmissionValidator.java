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

/** Reads the table of an operator's file that speaks of the door. It does no I/O. */
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
     * What the table comes to.
     *
     * @param settings null if there is no table, or any violation
     */
    public record ValidationResult(AdmissionSettings settings, List<Violation> violations) {}

    private AdmissionValidator(Settings settings) {
        this.settings = settings;
    }

    /** Looks at the table of a file that is its affair; {@code settings} are the platform's. */
    public static ValidationResult validate(List<Section> file, Settings settings) {
        for (Section section : file) {
            if (section.kind() == Kind.ADMISSION) {
                return new AdmissionValidator(settings).validateSection(section);
            }
        }
        return new ValidationResult(null, List.of());
    }

    /** What holds where the table says nothing. */
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
        int waiting = integerValue(section, "waiting", DEFAULT_WAITING_REQUESTS, 1, MAX_WAITING_REQUESTS);
        int lines = integerValue(section, "lines", DEFAULT_QUEUES_PER_CLASS, 1, MAX_QUEUES_PER_CLASS);
        int unsent = integerValue(section, "unsent", DEFAULT_UNSENT_REQUESTS, 1, MAX_UNSENT_REQUESTS);
        int bookings = integerValue(section, "bookings", DEFAULT_RESERVATIONS, MIN_RESERVATIONS, MAX_RESERVATIONS);
        if (Integer.bitCount(bookings) != 1) {
            addViolation(
                    section.entries().get("bookings").position(),
                    Rule.OUT_OF_RANGE,
                    "bookings = " + bookings + " is no power of two",
                    Integer.toString(Integer.highestOneBit(bookings)));
        }
        long patience = durationUs(section, "patience", 0);
        long longest = durationUs(section, "longest-advice", settings.maxRetryAfterUs);
        if (longest > settings.maxRetryAfterUs) {
            addViolation(
                    section.entries().get("longest-advice").position(),
                    Rule.NOT_ALLOWED,
                    "longest-advice is over the " + settings.maxRetryAfterUs / 1_000 + "ms that the settings allow",
                    settings.maxRetryAfterUs / 1_000 + "ms");
        }
        List<Double> weights = weights(section);
        return new ValidationResult(
                violations.isEmpty()
                        ? new AdmissionSettings(waiting, lines, unsent, patience, longest, bookings, weights)
                        : null,
                List.copyOf(violations));
    }

    private void addViolation(Position at, Rule rule, String what, String fits) {
        violations.add(new Violation(at, "admission", rule, what, fits));
    }

    private int integerValue(Section section, String key, int otherwise, int least, int most) {
        Entry entry = section.entries().get(key);
        if (entry == null) {
            return otherwise;
        }
        if (!(entry.value() instanceof Long number)) {
            addViolation(entry.position(), Rule.WRONG_UNIT, key + " is no whole number", key + " = " + otherwise);
            return otherwise;
        }
        if (number < least || number > most) {
            addViolation(entry.position(), Rule.OUT_OF_RANGE, key + " = " + number, "from " + least + " to " + most);
            return otherwise;
        }
        return number.intValue();
    }

    private long durationUs(Section section, String key, long otherwise) {
        Entry entry = section.entries().get(key);
        if (entry == null) {
            return otherwise;
        }
        Matcher m = entry.value() instanceof String text ? DURATION.matcher(text) : null;
        if (m == null || !m.matches()) {
            addViolation(entry.position(), Rule.WRONG_UNIT, key + " is no time with its unit", "\"500ms\"");
            return otherwise;
        }
        long us = (long) (Double.parseDouble(m.group(1))
                * switch (m.group(2)) {
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    default -> 60e6;
                });
        if (us > MAX_DURATION_US) {
            addViolation(entry.position(), Rule.OUT_OF_RANGE, key + " is over an hour", "\"60m\"");
            return otherwise;
        }
        return us;
    }

    private List<Double> weights(Section section) {
        Entry entry = section.entries().get("weights");
        if (entry == null) {
            return weights(settings, Map.of());
        }
        if (!(entry.value() instanceof Map<?, ?> table)) {
            addViolation(entry.position(), Rule.WRONG_UNIT, "weights is no table", "weights = { school = 2.0 }");
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
                addViolation(entry.position(), Rule.WRONG_UNIT, "the weight of " + name + " is no number", "1.0");
            } else if (!(((Number) value).doubleValue() >= 1 / MAX_TENANT_WEIGHT)) {
                addViolation(
                        entry.position(),
                        Rule.STARVES,
                        name + " weighs " + value + ": it would get nothing while " + "others wait",
                        "from " + 1 / MAX_TENANT_WEIGHT + " on");
            } else if (((Number) value).doubleValue() > MAX_TENANT_WEIGHT) {
                addViolation(entry.position(), Rule.OUT_OF_RANGE, name + " weighs " + value, "to " + MAX_TENANT_WEIGHT);
            }
        });
        return violations.isEmpty() ? weights(settings, table) : List.of();
    }

    /**
     * A tenant's share where the settings say one, in proportion to their mean so that 1 is usual; else 1.
     * What the file says comes first. Requests of no tenant weigh as the usual one.
     */
    private static List<Double> weights(Settings settings, Map<?, ?> said) {
        double mean = settings.tenants.stream()
                .mapToDouble(Tenant::quotaPerS)
                .filter(q -> q > 0)
                .average()
                .orElse(1);
        List<Double> weights = new ArrayList<>();
        weights.add(1.0);
        for (Tenant tenant : settings.tenants) {
            double share = tenant.quotaPerS() > 0 ? tenant.quotaPerS() / mean : 1;
            weights.add(
                    said.get(tenant.name()) instanceof Number number
                            ? number.doubleValue()
                            : Math.min(MAX_TENANT_WEIGHT, Math.max(1 / MAX_TENANT_WEIGHT, share)));
        }
        return weights;
    }
}
