package vetchpost.control;

import java.util.ArrayList;
import java.util.List;
import vetchpost.routes.Section;
import vetchpost.routes.SectionReader;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;

/** Reads the table {@code [control]} of an operator's file. */
public final class ControlValidator {
    private static final List<String> KEYS = List.of("socket", "audit", "least-left", "most-shed", "keep");
    /** What the systems' addresses of Unix sockets hold. */
    private static final int MAX_PATH_LENGTH = 100;

    private static final double DEFAULT_MIN_REMAINING_FRACTION = 0.5;
    private static final double DEFAULT_MAX_SHED_FRACTION = 0.9;
    private static final int DEFAULT_RECORDED_REQUESTS = 1_000;
    private static final int MAX_RECORDED_REQUESTS = 100_000;

    private ControlValidator() {}

    /**
     * What the table comes to.
     *
     * @param settings null if there is none, or any violation
     */
    public record Validation(ControlSettings settings, List<Violation> violations) {}

    /** Looks at the table of a file that is its affair. */
    public static Validation validate(List<Section> file) {
        List<Violation> violations = new ArrayList<>();
        ControlSettings settings = null;
        for (Section section : file) {
            if (section.kind() == Section.Kind.CONTROL) {
                settings = readSettings(new SectionReader(section, "control", violations));
            }
        }
        return new Validation(violations.isEmpty() ? settings : null, List.copyOf(violations));
    }

    private static ControlSettings readSettings(SectionReader table) {
        table.rejectUnknownKeys(KEYS);
        return new ControlSettings(
                readPath(table, "socket"),
                readPath(table, "audit"),
                table.number("least-left", DEFAULT_MIN_REMAINING_FRACTION, 0, 1),
                table.number("most-shed", DEFAULT_MAX_SHED_FRACTION, 0, 1),
                table.integer("keep", DEFAULT_RECORDED_REQUESTS, 0, MAX_RECORDED_REQUESTS));
    }

    private static String readPath(SectionReader table, String key) {
        String path = table.text(key, null);
        if (!table.has(key)) {
            table.addViolation(
                    key, Rule.INCOMPLETE, "it does not say " + key, key + " = \"/run/vetchpost/" + key + "\"");
        } else if (path != null && (path.length() > MAX_PATH_LENGTH || path.indexOf('\0') >= 0)) {
            table.addViolation(
                    key,
                    Rule.OUT_OF_RANGE,
                    key + " is a path of over " + MAX_PATH_LENGTH + " characters",
                    "a shorter one");
        }
        return path;
    }
}
