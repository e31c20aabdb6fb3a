package vetchpost.recovery;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import vetchpost.discovery.ServerListParser;
import vetchpost.routes.Position;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;
import vetchpost.state.RestoredState;

/** Reads the tables of an operator's file that speak of state and handovers. It does no I/O. */
public final class RecoveryValidator {
    private static final List<String> STATE_KEYS = List.of("file", "every", "box-life", "address-kept", "identify");
    private static final List<String> HANDOVER_KEYS = List.of("listen", "ask", "secret-file", "wait", "within");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(ms|s|m|h|d)");
    private static final Pattern PATH = Pattern.compile("/[\\x21-\\x7E]{0,255}");
    private static final int MAX_PEERS = 16;
    private static final long SECOND_MS = 1_000;
    private static final long DAY_MS = 86_400 * SECOND_MS;

    private final List<Violation> violations = new ArrayList<>();

    /**
     * What the tables come to.
     *
     * @param settings null if there is neither table, or any violation
     */
    public record Validation(RecoverySettings settings, List<Violation> violations) {}

    private RecoveryValidator() {}

    /** Looks at the tables of a file that are its affair. */
    public static Validation validate(List<Section> file) {
        return new RecoveryValidator().read(file);
    }

    private Validation read(List<Section> file) {
        Section state = null;
        Section handover = null;
        for (Section section : file) {
            state = section.kind() == Kind.STATE ? section : state;
            handover = section.kind() == Kind.HANDOVER ? section : handover;
        }
        if (state == null && handover == null) {
            return new Validation(null, List.of());
        }
        rejectUnknownKeys(state, STATE_KEYS);
        rejectUnknownKeys(handover, HANDOVER_KEYS);
        if (state != null && !state.entries().containsKey("file")) {
            addViolation(state.position(), "state", Rule.OUT_OF_RANGE, "it does not say file", "file = \"...\"");
        }
        Path kept = path(state, "file");
        long every = duration(state, "every", 5 * SECOND_MS, SECOND_MS, 600 * SECOND_MS);
        long life = duration(state, "box-life", DAY_MS, 60 * SECOND_MS, 365 * DAY_MS);
        long keptAt = duration(state, "address-kept", 30 * SECOND_MS, 0, 7 * DAY_MS);
        String identify = text(state, "identify");
        if (identify != null && !PATH.matcher(identify).matches()) {
            addViolation(
                    state.entries().get("identify").position(),
                    "state",
                    Rule.BAD_PATTERN,
                    "identify = \"" + identify + "\" is no path",
                    "\"/who\"");
        }
        InetSocketAddress give = address(
                handover, "listen", handover == null ? null : handover.entries().get("listen"));
        List<InetSocketAddress> ask = addresses(handover);
        Path secret = path(handover, "secret-file");
        long wait = duration(handover, "wait", 300, 0, 5 * SECOND_MS);
        long within = duration(handover, "within", 2 * SECOND_MS, 100, 30 * SECOND_MS);
        if (handover != null) {
            if (give == null && ask.isEmpty() && violations.isEmpty()) {
                addViolation(
                        handover.position(),
                        "handover",
                        Rule.OUT_OF_RANGE,
                        "it says neither listen nor ask",
                        "either or both");
            }
            if (!handover.entries().containsKey("secret-file")) {
                addViolation(
                        handover.position(),
                        "handover",
                        Rule.OUT_OF_RANGE,
                        "it does not say secret-file: a false snapshot could steer all traffic",
                        "secret-file = \"...\"");
            }
            if (wait > within) {
                addViolation(handover.position(), "handover", Rule.SCHEDULE, "wait is over within", "wait = \"300ms\"");
            }
        }
        return new Validation(
                violations.isEmpty()
                        ? new RecoverySettings(
                                kept,
                                every,
                                new RestoredState.Rules(life, keptAt, identify != null),
                                identify,
                                give,
                                ask,
                                secret,
                                wait,
                                within)
                        : null,
                List.copyOf(violations));
    }

    private void addViolation(Position at, String table, Rule rule, String what, String fits) {
        violations.add(new Violation(at, table, rule, what, fits));
    }

    private void rejectUnknownKeys(Section section, List<String> keys) {
        if (section != null) {
            section.entries().forEach((key, entry) -> {
                if (!keys.contains(key)) {
                    addViolation(
                            entry.position(),
                            section.name(),
                            Rule.UNKNOWN_KEY,
                            "unknown key '" + key + "'",
                            "one of " + String.join(", ", keys));
                }
            });
        }
    }

    private String text(Section section, String key) {
        Entry entry = section == null ? null : section.entries().get(key);
        if (entry == null) {
            return null;
        }
        if (entry.value() instanceof String text && !text.isEmpty()) {
            return text;
        }
        addViolation(entry.position(), section.name(), Rule.WRONG_UNIT, key + " is no text", "\"...\"");
        return null;
    }

    private Path path(Section section, String key) {
        String text = text(section, key);
        try {
            return text == null ? null : Path.of(text);
        } catch (InvalidPathException e) {
            addViolation(
                    section.entries().get(key).position(),
                    section.name(),
                    Rule.OUT_OF_RANGE,
                    key + " is no path",
                    "\"/var/lib/vetchpost/" + key + "\"");
            return null;
        }
    }

    private long duration(Section section, String key, long usual, long least, long most) {
        String text = text(section, key);
        if (text == null) {
            return usual;
        }
        Position at = section.entries().get(key).position();
        Matcher m = DURATION.matcher(text);
        if (!m.matches()) {
            addViolation(
                    at,
                    section.name(),
                    Rule.WRONG_UNIT,
                    key + " = \"" + text + "\" is no length of time",
                    "a number and ms, s, m, h or d, as \"5s\",");
            return usual;
        }
        double ms = Double.parseDouble(m.group(1))
                * switch (m.group(2)) {
                    case "ms" -> 1;
                    case "s" -> SECOND_MS;
                    case "m" -> 60 * SECOND_MS;
                    case "h" -> 3_600 * SECOND_MS;
                    default -> DAY_MS;
                };
        if (ms < least || ms > most) {
            addViolation(
                    at,
                    section.name(),
                    Rule.OUT_OF_RANGE,
                    key + " = \"" + text + "\"",
                    "from " + least + "ms to " + most / SECOND_MS + "s");
            return usual;
        }
        return (long) ms;
    }

    private InetSocketAddress address(Section section, String key, Entry entry) {
        if (entry == null) {
            return null;
        }
        return address(section, key, entry.value(), entry.position());
    }

    private InetSocketAddress address(Section section, String key, Object value, Position at) {
        try {
            if (value instanceof String text) {
                return ServerListParser.address(text);
            }
        } catch (IllegalArgumentException e) {
            addViolation(at, section.name(), Rule.WRONG_UNIT, key + ": " + e.getMessage(), "\"10.0.0.1:8450\"");
            return null;
        }
        addViolation(at, section.name(), Rule.WRONG_UNIT, key + " is no address", "\"10.0.0.1:8450\"");
        return null;
    }

    private List<InetSocketAddress> addresses(Section section) {
        Entry entry = section == null ? null : section.entries().get("ask");
        List<InetSocketAddress> addresses = new ArrayList<>();
        if (entry == null) {
            return addresses;
        }
        if (!(entry.value() instanceof List<?> list) || list.size() > MAX_PEERS) {
            addViolation(
                    entry.position(),
                    "handover",
                    Rule.WRONG_UNIT,
                    "ask is no list of up to " + MAX_PEERS + " addresses",
                    "[\"10.0.0.1:8450\"]");
            return addresses;
        }
        for (Object value : list) {
            InetSocketAddress address = address(section, "ask", value, entry.position());
            if (address != null) {
                addresses.add(address);
            }
        }
        return addresses;
    }
}
