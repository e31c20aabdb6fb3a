package vetchpost.changes;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.SectionReader;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;

/** Reads the table of an operator's file by which its routes come from control machines. It does no I/O. */
public final class ChangesValidator {
    private static final List<String> KEYS = List.of("publishers", "secret-file", "file", "name");
    private static final int MAX_PUBLISHERS = 1_024;
    private static final String ADDRESS_PATTERN = "\\[?[0-9a-fA-F.:]+\\]?:[0-9]{1,5}";

    private ChangesValidator() {}

    /**
     * What the table comes to.
     *
     * @param settings null if there is no table, or any violation
     */
    public record Validation(ChangesSettings settings, List<Violation> violations) {}

    /** Looks at the tables of a file that are no routes. */
    public static Validation validate(List<Section> file) {
        Section changes =
                file.stream().filter(s -> s.kind() == Kind.CHANGES).findFirst().orElse(null);
        List<Violation> violations = new ArrayList<>();
        if (changes == null) {
            return new Validation(null, violations);
        }
        SectionReader own = new SectionReader(changes, "changes", violations);
        own.rejectUnknownKeys(KEYS);
        List<String> publishers = own.texts("publishers", List.of());
        if (publishers.isEmpty() || publishers.size() > MAX_PUBLISHERS) {
            own.addViolation(
                    "publishers",
                    Rule.INCOMPLETE,
                    publishers.size() + " publishers",
                    "publishers = [\"10.0.0.1:9100\"]");
        }
        for (String each : publishers) {
            if (!each.matches(ADDRESS_PATTERN)) {
                own.addViolation(
                        "publishers", Rule.BAD_PATTERN, each + " is no address with a port", "\"10.0.0.1:9100\"");
            }
        }
        if (new HashSet<>(publishers).size() < publishers.size()) {
            own.addViolation("publishers", Rule.SAME_MATCH, "a publisher is named twice", "each once");
        }
        if (!own.has("secret-file")) {
            own.addViolation(
                    "secret-file",
                    Rule.INCOMPLETE,
                    "it does not say secret-file",
                    "secret-file = \"/etc/vetchpost/secret\"");
        }
        String name = own.text("name", "");
        if (name.length() > 64) {
            own.addViolation("name", Rule.OUT_OF_RANGE, "a name of " + name.length() + " characters", "64 or fewer");
        }
        for (Section section : file) {
            if (section.kind() == Kind.DEFAULTS || section.kind() == Kind.CLASS) {
                violations.add(new Violation(
                        section.position(),
                        section.name(),
                        Rule.UNREACHABLE,
                        "limits come from [changes]",
                        "no such table"));
            }
        }
        return new Validation(
                violations.isEmpty()
                        ? new ChangesSettings(publishers, own.text("secret-file", ""), own.text("file", ""), name)
                        : null,
                violations);
    }
}
