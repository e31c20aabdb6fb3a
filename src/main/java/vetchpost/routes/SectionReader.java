package vetchpost.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Violation.Rule;

/**
 * Reads the values of one table of the operator's file. For each value that is not valid it adds a violation with
 * the position, the problem and what would be accepted. A missing or invalid value is replaced by the given
 * fallback, so callers check the violations before they use any value. The validators of the file's tables each use
 * one per table. Not thread-safe.
 */
public final class SectionReader {
    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m|h)");
    private static final Pattern SIZE_PATTERN = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");
    private static final int KIB_BYTES = 1_024;

    private final Section section;
    private final String label;
    private final List<Violation> violations;

    /**
     * A reader of one table.
     *
     * @param label names the table in messages
     * @param violations receives the violations
     */
    public SectionReader(Section section, String label, List<Violation> violations) {
        this.section = section;
        this.label = label;
        this.violations = violations;
    }

    /** Whether the table has this key. */
    public boolean has(String key) {
        return section.entries().containsKey(key);
    }

    /** The position of a key, or of the table if it does not have the key. */
    public Position positionOf(String key) {
        Entry entry = section.entries().get(key);
        return entry == null ? section.position() : entry.position();
    }

    /**
     * Adds a violation at the key, or at the table if it does not have the key.
     *
     * @param problem what is wrong, with the value
     * @param accepted what would be accepted; may be empty
     */
    public void addViolation(String key, Rule rule, String problem, String accepted) {
        violations.add(new Violation(positionOf(key), label, rule, problem, accepted));
    }

    /** Adds a violation for each key of the table that is not among these. */
    public void rejectUnknownKeys(List<String> keys) {
        section.entries().forEach((key, entry) -> {
            if (!keys.contains(key)) {
                violations.add(new Violation(
                        entry.position(),
                        label,
                        Rule.UNKNOWN_KEY,
                        "unknown key '" + key + "'",
                        ClosestMatch.of(key, keys)));
            }
        });
    }

    /** The value of a key as it was read, or null. */
    public Object value(String key) {
        Entry entry = section.entries().get(key);
        return entry == null ? null : entry.value();
    }

    private static String format(Object value) {
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }

    private void addWrongUnit(String key, String problem, String accepted) {
        addViolation(key, Rule.WRONG_UNIT, key + " = " + format(value(key)) + " is " + problem, key + " = " + accepted);
    }

    /** Reads a text that is not empty. */
    public String text(String key, String fallback) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        addWrongUnit(key, "no text", "\"...\"");
        return fallback;
    }

    /** Reads a text that is one of these words. */
    public String choice(String key, String fallback, List<String> words) {
        String text = text(key, fallback);
        if (words.contains(text)) {
            return text;
        }
        addViolation(key, Rule.OUT_OF_RANGE, key + " = \"" + text + "\"", ClosestMatch.of(text, words));
        return fallback;
    }

    /** Reads a list of texts that are not empty. */
    public List<String> texts(String key, List<String> fallback) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof List<?> list) {
            for (Object each : list) {
                if (each instanceof String text && !text.isEmpty()) {
                    texts.add(text);
                }
            }
            if (texts.size() == list.size()) {
                return texts;
            }
        }
        addWrongUnit(key, "no list of texts", "[\"...\"]");
        return fallback;
    }

    /** Reads a boolean. */
    public boolean flag(String key, boolean fallback) {
        Object value = value(key);
        if (value == null || value instanceof Boolean) {
            return value == null ? fallback : (Boolean) value;
        }
        addWrongUnit(key, "neither true nor false", Boolean.toString(fallback));
        return fallback;
    }

    /** Reads a whole number within these inclusive bounds. */
    public int integer(String key, int fallback, int min, int max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof Long number)) {
            addWrongUnit(key, "no whole number", Integer.toString(fallback));
            return fallback;
        }
        if (number < min || number > max) {
            addViolation(key, Rule.OUT_OF_RANGE, key + " = " + number, "from " + min + " to " + max);
            return fallback;
        }
        return number.intValue();
    }

    /** Reads a number within these inclusive bounds. */
    public double number(String key, double fallback, double min, double max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof Number number)) {
            addWrongUnit(key, "no number", Double.toString(fallback));
            return fallback;
        }
        if (!(number.doubleValue() >= min && number.doubleValue() <= max)) {
            addViolation(key, Rule.OUT_OF_RANGE, key + " = " + number, "from " + min + " to " + max);
            return fallback;
        }
        return number.doubleValue();
    }

    /** Reads a duration such as {@code "250ms"}, in microseconds, within these inclusive bounds. */
    public long duration(String key, long fallbackUs, long minUs, long maxUs) {
        Object value = value(key);
        if (value == null) {
            return fallbackUs;
        }
        Matcher matcher = value instanceof String text ? DURATION_PATTERN.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            addWrongUnit(key, "no length of time", value instanceof Long ? "\"" + value + "ms\"" : "\"250ms\"");
            return fallbackUs;
        }
        double us = Double.parseDouble(matcher.group(1))
                * switch (matcher.group(2)) {
                    case "us" -> 1;
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    case "m" -> 60e6;
                    default -> 3_600e6;
                };
        if (us < minUs || us > maxUs) {
            addViolation(
                    key,
                    Rule.OUT_OF_RANGE,
                    key + " = " + format(value),
                    "from " + formatDuration(minUs) + " to " + formatDuration(maxUs));
            return fallbackUs;
        }
        return (long) us;
    }

    /** Reads a size such as {@code "64KiB"}, in bytes, within these inclusive bounds. */
    public long size(String key, long fallback, long min, long max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        Matcher matcher = value instanceof String text ? SIZE_PATTERN.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            addWrongUnit(key, "no size", value instanceof Long ? "\"" + value + "B\"" : "\"64KiB\"");
            return fallback;
        }
        long bytes = Long.parseLong(matcher.group(1))
                * switch (matcher.group(2)) {
                    case "B" -> 1L;
                    case "KiB" -> KIB_BYTES;
                    case "MiB" -> KIB_BYTES * KIB_BYTES;
                    default -> (long) KIB_BYTES * KIB_BYTES * KIB_BYTES;
                };
        if (bytes < min || bytes > max) {
            addViolation(key, Rule.OUT_OF_RANGE, key + " = " + format(value), "from " + size(min) + " to " + size(max));
            return fallback;
        }
        return bytes;
    }

    /** A duration in microseconds in the syntax of the file. */
    public static String formatDuration(long us) {
        return us != 0 && us % 3_600_000_000L == 0
                ? us / 3_600_000_000L + "h"
                : us % 1_000_000 == 0 ? us / 1_000_000 + "s" : us % 1_000 == 0 ? us / 1_000 + "ms" : us + "us";
    }

    /** A size in bytes in the syntax of the file. */
    public static String size(long bytes) {
        long gib = (long) KIB_BYTES * KIB_BYTES * KIB_BYTES;
        return bytes != 0 && bytes % gib == 0
                ? bytes / gib + "GiB"
                : bytes != 0 && bytes % (KIB_BYTES * KIB_BYTES) == 0
                        ? bytes / (KIB_BYTES * KIB_BYTES) + "MiB"
                        : bytes != 0 && bytes % KIB_BYTES == 0 ? bytes / KIB_BYTES + "KiB" : bytes + "B";
    }
}
