package vetchpost.changes;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.SectionReader;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;

/**
 * Validates the {@code [changes]} table of the operator's file, by which a node receives its routes from control
 * machines. Called whenever the file is loaded or checked. Stateless; does no I/O.
 */
public final class ChangesValidator {
    private static final List<String> KEYS = List.of("publishers", "secret-file", "file", "name");
    private static final int MAX_PUBLISHERS = 1_024;
    private static final String ADDRESS_PATTERN = "\\[?[0-9a-fA-F.:]+\\]?:[0-9]{1,5}";

    private ChangesValidator() {}

    /**
     * The result of a validation.
     *
     * @param settings null if there is no such table, or any violation
     * @param violations every one
     */
    public record Validation(ChangesSettings settings, List<Violation> violations) {}

    /**
     * Validates the table.
     *
     * @param file the sections of the file that are not routes
     */
    public static Validation validate(List<Section> file) {
        Section changes =
                file.stream().filter(s -> s.kind() == Kind.CHANGES).findFirst().orElse(null);
        List<Violation> violations = new ArrayList<>();
        if (changes == null) {
            return new Validation(null, violations);
        }
        SectionReader reader = new SectionReader(changes, "changes", violations);
        reader.rejectUnknownKeys(KEYS);
        List<String> publishers = reader.texts("publishers", List.of());
        if (publishers.isEmpty() || publishers.size() > MAX_PUBLISHERS) {
            reader.addViolation(
                    "publishers",
                    Rule.INCOMPLETE,
                    publishers.size() + " publishers",
                    "publishers = [\"10.0.0.1:9100\"]");
        }
        for (String publisher : publishers) {
            if (!publisher.matches(ADDRESS_PATTERN)) {
                reader.addViolation(
                        "publishers",
                        Rule.BAD_PATTERN,
                        publisher + " is not an address with a port",
                        "\"10.0.0.1:9100\"");
            }
        }
        if (new HashSet<>(publishers).size() < publishers.size()) {
            reader.addViolation("publishers", Rule.SAME_MATCH, "a publisher is listed twice", "each publisher once");
        }
        if (!reader.has("secret-file")) {
            reader.addViolation(
                    "secret-file",
                    Rule.INCOMPLETE,
                    "it does not say secret-file",
                    "secret-file = \"/etc/vetchpost/secret\"");
        }
        String name = reader.text("name", "");
        if (name.length() > 64) {
            reader.addViolation("name", Rule.OUT_OF_RANGE, "a name of " + name.length() + " characters", "64 or fewer");
        }
        for (Section section : file) {
            if (section.kind() == Kind.DEFAULTS || section.kind() == Kind.CLASS) {
                violations.add(new Violation(
                        section.position(),
                        section.name(),
                        Rule.UNREACHABLE,
                        "with [changes], limits come from the control machines",
                        "no such table"));
            }
        }
        return new Validation(
                violations.isEmpty()
                        ? new ChangesSettings(publishers, reader.text("secret-file", ""), reader.text("file", ""), name)
                        : null,
                violations);
    }
}
