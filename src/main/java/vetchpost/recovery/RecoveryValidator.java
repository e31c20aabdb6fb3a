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

/**
 * Validates the tables [state] and [handover] of an operator's file. Called when a file is loaded or checked; does no
 * I/O. An instance serves one file and is confined to one thread.
 */
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
     * The outcome of a validation.
     *
     * @param settings null if there is neither table, or any violation
     * @param violations all violations found
     */
    public record Validation(RecoverySettings settings, List<Violation> violations) {}

    private RecoveryValidator() {}

    /** Validates the tables [state] and [handover] among the sections of a file. */
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
        Path snapshotFile = path(state, "file");
        long intervalMs = duration(state, "every", 5 * SECOND_MS, SECOND_MS, 600 * SECOND_MS);
        long lifetimeMs = duration(state, "box-life", DAY_MS, 60 * SECOND_MS, 365 * DAY_MS);
        long addressReuseMs = duration(state, "address-kept", 30 * SECOND_MS, 0, 7 * DAY_MS);
        String identityPath = text(state, "identify");
        if (identityPath != null && !PATH.matcher(identityPath).matches()) {
            addViolation(
                    state.entries().get("identify").position(),
                    "state",
                    Rule.BAD_PATTERN,
                    "identify = \"" + identityPath + "\" is not a path",
                    "\"/who\"");
        }
        InetSocketAddress listenAddress = address(
                handover, "listen", handover == null ? null : handover.entries().get("listen"));
        List<InetSocketAddress> peers = addresses(handover);
        Path secret = path(handover, "secret-file");
        long startWaitMs = duration(handover, "wait", 300, 0, 5 * SECOND_MS);
        long timeoutMs = duration(handover, "within", 2 * SECOND_MS, 100, 30 * SECOND_MS);
        if (handover != null) {
            if (listenAddress == null && peers.isEmpty() && violations.isEmpty()) {
                addViolation(
                        handover.position(),
                        "handover",
                        Rule.OUT_OF_RANGE,
                        "neither listen nor ask is set",
                        "either or both");
            }
            if (!handover.entries().containsKey("secret-file")) {
                addViolation(
                        handover.position(),
                        "handover",
                        Rule.OUT_OF_RANGE,
                        "it does not say secret-file: a forged snapshot could redirect all traffic",
                        "secret-file = \"...\"");
            }
            if (startWaitMs > timeoutMs) {
                addViolation(
                        handover.position(),
                        "handover",
                        Rule.SCHEDULE,
                        "wait is longer than within",
                        "wait = \"300ms\"");
            }
        }
        return new Validation(
                violations.isEmpty()
                        ? new RecoverySettings(
                                snapshotFile,
                                intervalMs,
                                new RestoredState.Rules(lifetimeMs, addressReuseMs, identityPath != null),
                                identityPath,
                                listenAddress,
                                peers,
                                secret,
                                startWaitMs,
                                timeoutMs)
                        : null,
                List.copyOf(violations));
    }

    private void addViolation(Position at, String table, Rule rule, String what, String validExample) {
        violations.add(new Violation(at, table, rule, what, validExample));
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
        addViolation(entry.position(), section.name(), Rule.WRONG_UNIT, key + " is not a string", "\"...\"");
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
                    key + " is not a path",
                    "\"/var/lib/vetchpost/" + key + "\"");
            return null;
        }
    }

    private long duration(Section section, String key, long defaultMs, long minMs, long maxMs) {
        String text = text(section, key);
        if (text == null) {
            return defaultMs;
        }
        Position at = section.entries().get(key).position();
        Matcher m = DURATION.matcher(text);
        if (!m.matches()) {
            addViolation(
                    at,
                    section.name(),
                    Rule.WRONG_UNIT,
                    key + " = \"" + text + "\" is not a duration",
                    "a number and ms, s, m, h or d, as \"5s\",");
            return defaultMs;
        }
        double ms = Double.parseDouble(m.group(1))
                * switch (m.group(2)) {
                    case "ms" -> 1;
                    case "s" -> SECOND_MS;
                    case "m" -> 60 * SECOND_MS;
                    case "h" -> 3_600 * SECOND_MS;
                    default -> DAY_MS;
                };
        if (ms < minMs || ms > maxMs) {
            addViolation(
                    at,
                    section.name(),
                    Rule.OUT_OF_RANGE,
                    key + " = \"" + text + "\"",
                    "from " + minMs + "ms to " + maxMs / SECOND_MS + "s");
            return defaultMs;
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
        addViolation(at, section.name(), Rule.WRONG_UNIT, key + " is not an address", "\"10.0.0.1:8450\"");
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
                    "ask is not a list of up to " + MAX_PEERS + " addresses",
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
