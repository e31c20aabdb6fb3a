package vetchpost.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Violation.Rule;

/**
 * Reads the values of one table of an operator's file, and says of each that can't be used where it stands,
 * what is wrong with it and what would pass. A value that is not there, or can't be used, is the one given
 * for that case; whoever reads looks at the violations before using any.
 */
public final class SectionReader {
    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m|h)");
    private static final Pattern SIZE_PATTERN = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");
    private static final int KIB_BYTES = 1_024;

    private final Section section;
    private final String label;
    private final List<Violation> violations;

    /**
     * Reads that table.
     *
     * @param label what messages call it
     * @param violations where what is wrong is added
     */
    public SectionReader(Section section, String label, List<Violation> violations) {
        this.section = section;
        this.label = label;
        this.violations = violations;
    }

    /** Whether the table says this. */
    public boolean has(String key) {
        return section.entries().containsKey(key);
    }

    /** Where a key stands, or the table if it does not. */
    public Position positionOf(String key) {
        Entry entry = section.entries().get(key);
        return entry == null ? section.position() : entry.position();
    }

    /** Adds a violation at the key, or at the table if the key is not there. */
    public void addViolation(String key, Rule rule, String what, String fits) {
        violations.add(new Violation(positionOf(key), label, rule, what, fits));
    }

    /** Names all keys that are none of these. */
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

    /** A value of any kind, or null. */
    public Object value(String key) {
        Entry entry = section.entries().get(key);
        return entry == null ? null : entry.value();
    }

    private static String format(Object value) {
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }

    private void addWrongUnit(String key, String what, String fits) {
        addViolation(key, Rule.WRONG_UNIT, key + " = " + format(value(key)) + " is " + what, key + " = " + fits);
    }

    /** A text that is not empty. */
    public String text(String key, String otherwise) {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof String text && !text.isEmpty()) {
            return text;
        }
        addWrongUnit(key, "no text", "\"...\"");
        return otherwise;
    }

    /** One of these words. */
    public String choice(String key, String otherwise, List<String> words) {
        String text = text(key, otherwise);
        if (words.contains(text)) {
            return text;
        }
        addViolation(key, Rule.OUT_OF_RANGE, key + " = \"" + text + "\"", ClosestMatch.of(text, words));
        return otherwise;
    }

    /** A list of texts. */
    public List<String> texts(String key, List<String> otherwise) {
        Object value = value(key);
        if (value == null) {
            return otherwise;
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
        return otherwise;
    }

    /** True or false. */
    public boolean flag(String key, boolean otherwise) {
        Object value = value(key);
        if (value == null || value instanceof Boolean) {
            return value == null ? otherwise : (Boolean) value;
        }
        addWrongUnit(key, "neither true nor false", Boolean.toString(otherwise));
        return otherwise;
    }

    /** A whole number within these bounds. */
    public int integer(String key, int otherwise, int least, int most) {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (!(value instanceof Long number)) {
            addWrongUnit(key, "no whole number", Integer.toString(otherwise));
            return otherwise;
        }
        if (number < least || number > most) {
            addViolation(key, Rule.OUT_OF_RANGE, key + " = " + number, "from " + least + " to " + most);
            return otherwise;
        }
        return number.intValue();
    }

    /** A number within these bounds. */
    public double number(String key, double otherwise, double least, double most) {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (!(value instanceof Number number)) {
            addWrongUnit(key, "no number", Double.toString(otherwise));
            return otherwise;
        }
        if (!(number.doubleValue() >= least && number.doubleValue() <= most)) {
            addViolation(key, Rule.OUT_OF_RANGE, key + " = " + number, "from " + least + " to " + most);
            return otherwise;
        }
        return number.doubleValue();
    }

    /** A length of time in microseconds, within these bounds. */
    public long duration(String key, long otherwiseUs, long leastUs, long mostUs) {
        Object value = value(key);
        if (value == null) {
            return otherwiseUs;
        }
        Matcher m = value instanceof String text ? DURATION_PATTERN.matcher(text) : null;
        if (m == null || !m.matches()) {
            addWrongUnit(key, "no length of time", value instanceof Long ? "\"" + value + "ms\"" : "\"250ms\"");
            return otherwiseUs;
        }
        double us = Double.parseDouble(m.group(1))
                * switch (m.group(2)) {
                    case "us" -> 1;
                    case "ms" -> 1e3;
                    case "s" -> 1e6;
                    case "m" -> 60e6;
                    default -> 3_600e6;
                };
        if (us < leastUs || us > mostUs) {
            addViolation(
                    key,
                    Rule.OUT_OF_RANGE,
                    key + " = " + format(value),
                    "from " + formatDuration(leastUs) + " to " + formatDuration(mostUs));
            return otherwiseUs;
        }
        return (long) us;
    }

    /** A size in bytes, within these bounds. */
    public long size(String key, long otherwise, long least, long most) {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        Matcher m = value instanceof String text ? SIZE_PATTERN.matcher(text) : null;
        if (m == null || !m.matches()) {
            addWrongUnit(key, "no size", value instanceof Long ? "\"" + value + "B\"" : "\"64KiB\"");
            return otherwise;
        }
        long bytes = Long.parseLong(m.group(1))
                * switch (m.group(2)) {
                    case "B" -> 1L;
                    case "KiB" -> KIB_BYTES;
                    case "MiB" -> KIB_BYTES * KIB_BYTES;
                    default -> (long) KIB_BYTES * KIB_BYTES * KIB_BYTES;
                };
        if (bytes < least || bytes > most) {
            addViolation(
                    key, Rule.OUT_OF_RANGE, key + " = " + format(value), "from " + size(least) + " to " + size(most));
            return otherwise;
        }
        return bytes;
    }

    /** A length of time as a file would have it. */
    public static String formatDuration(long us) {
        return us != 0 && us % 3_600_000_000L == 0
                ? us / 3_600_000_000L + "h"
                : us % 1_000_000 == 0 ? us / 1_000_000 + "s" : us % 1_000 == 0 ? us / 1_000 + "ms" : us + "us";
    }

    /** A size as a file would have it. */
    public static String size(long bytes) {
        long gib = (long) KIB_BYTES * KIB_BYTES * KIB_BYTES;
        return bytes != 0 && bytes % gib == 0
                ? bytes / gib + "GiB"
                : bytes != 0 && bytes % (KIB_BYTES * KIB_BYTES) == 0
                        ? bytes / (KIB_BYTES * KIB_BYTES) + "MiB"
                        : bytes != 0 && bytes % KIB_BYTES == 0 ? bytes / KIB_BYTES + "KiB" : bytes + "B";
    }
}
