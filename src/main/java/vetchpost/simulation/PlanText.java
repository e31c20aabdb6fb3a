package vetchpost.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Reads and writes a {@link Plan} as a script: one setting or fault per line, with {@code #} before comments.
 * Settings that a script omits are drawn from its seed, or seed 1; faults are only those that it lists.
 */
final class PlanText {
    private static final Pattern FAULT =
            Pattern.compile("at\\s+(\\d+(?:\\.\\d+)?)s\\s+([a-z-]+\\s+[a-z-]+)(?:\\s+(\\d{1,4}))?"
                    + "(?:\\s+for\\s+(\\d+(?:\\.\\d+)?)s)?(?:\\s+amount\\s+(\\d+(?:\\.\\d+)?))?");
    private static final Pattern SETTING = Pattern.compile("([a-z]+)\\s+(\\S+)");
    private static final double MAX_SECONDS = 3_600;
    private static final int MAX_LINES = 10_000;
    private static final double DEFAULT_AMOUNT = 0.5;
    private static final int MAX_REQUEST_NUMBER = 10_000_000;

    /** An invalid script; the message names the line. */
    static final class ScriptException extends Exception {
        private static final long serialVersionUID = 1;

        ScriptException(int line, String what) {
            super("line " + line + ": " + what);
        }
    }

    private PlanText() {}

    /**
     * Reads a script.
     *
     * @throws ScriptException if a line is invalid, or there are more than 10,000
     */
    static Plan parse(List<String> lines) throws ScriptException {
        if (lines.size() > MAX_LINES) {
            throw new ScriptException(MAX_LINES + 1, "more than " + MAX_LINES + " lines");
        }
        Draft draft = new Draft(Plan.of(1));
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).replaceFirst("#.*", "").trim();
            if (line.isEmpty()) {
                continue;
            }
            if (line.startsWith("at ")) {
                faults.add(parseFault(i + 1, line));
            } else {
                draft.readSetting(i + 1, line);
            }
        }
        return draft.plan(faults);
    }

    private static Fault parseFault(int number, String line) throws ScriptException {
        Matcher match = FAULT.matcher(line);
        if (!match.matches()) {
            throw new ScriptException(
                    number, "expected 'at TIMEs FAULT [NUMBER] [for TIMEs] [amount NUMBER]', but found: " + line);
        }
        String words = match.group(2).replaceAll("\\s+", " ");
        for (Fault.Kind kind : Fault.Kind.values()) {
            if (kind.scriptName().equals(words)) {
                return new Fault(
                        parseMs(number, match.group(1)),
                        kind,
                        match.group(3) == null ? 0 : Integer.parseInt(match.group(3)),
                        match.group(4) == null ? 1_000 : parseMs(number, match.group(4)),
                        match.group(5) == null ? DEFAULT_AMOUNT : Double.parseDouble(match.group(5)));
            }
        }
        throw new ScriptException(number, "unknown fault '" + words + "'; known are " + faultNames());
    }

    private static String faultNames() {
        return Arrays.stream(Fault.Kind.values()).map(Fault.Kind::scriptName).collect(Collectors.joining(", "));
    }

    private static long parseMs(int number, String seconds) throws ScriptException {
        double value = Double.parseDouble(seconds);
        if (value > MAX_SECONDS) {
            throw new ScriptException(number, seconds + " s is more than an hour");
        }
        return Math.round(1_000 * value);
    }

    /** The settings read so far. */
    private static final class Draft {
        private long seed;
        private int nodes;
        private int servers;
        private int racks;
        private boolean pushed;
        private double rate;
        private long durationMs;
        private double workMs;
        private int slots;
        private BitSet onlyRequests;

        Draft(Plan plan) {
            copyFrom(plan);
        }

        private void copyFrom(Plan plan) {
            seed = plan.seed();
            nodes = plan.nodes();
            servers = plan.servers();
            racks = plan.racks();
            pushed = plan.pushed();
            rate = plan.rate();
            durationMs = plan.durationMs();
            workMs = plan.workMs();
            slots = plan.slots();
            onlyRequests = plan.onlyRequests();
        }

        Plan plan(List<Fault> faults) {
            return new Plan(seed, nodes, servers, racks, pushed, rate, durationMs, workMs, slots, faults, onlyRequests);
        }

        private void readSetting(int number, String line) throws ScriptException {
            Matcher match = SETTING.matcher(line);
            if (!match.matches()) {
                throw new ScriptException(number, "expected 'NAME VALUE', but found: " + line);
            }
            String value = match.group(2);
            try {
                switch (match.group(1)) {
                    // Sets all other settings too, so a script gives it first.
                    case "seed" -> copyFrom(Plan.of(Long.parseLong(value)));
                    case "nodes" -> nodes = parseInteger(value, 1, 20);
                    case "boxes" -> servers = parseInteger(value, 1, 200);
                    case "racks" -> racks = parseInteger(value, 1, 200);
                    case "list" -> pushed = parseListMode(value);
                    case "rate" -> rate = parseDecimal(value, 0.001, 10_000);
                    case "seconds" -> durationMs = Math.round(1_000 * parseDecimal(value, 0.001, MAX_SECONDS));
                    case "work" -> workMs = parseDecimal(value, 0.1, 1_000);
                    case "slots" -> slots = parseInteger(value, 1, 64);
                    case "only" -> onlyRequests = parseRequestNumbers(value);
                    default ->
                        throw new ScriptException(
                                number,
                                "unknown setting '" + match.group(1) + "'; known are seed, nodes, "
                                        + "boxes, racks, list, rate, seconds, work, slots, only, at");
                }
            } catch (IllegalArgumentException e) {
                throw new ScriptException(number, match.group(1) + ": " + e.getMessage());
            }
        }
    }

    private static boolean parseListMode(String value) {
        if (!value.equals("pushed") && !value.equals("asked")) {
            throw new IllegalArgumentException("must be 'pushed' or 'asked', but is: " + value);
        }
        return value.equals("pushed");
    }

    private static int parseInteger(String value, int min, int max) {
        return (int) parseDecimal(value.matches("\\d{1,9}") ? value : "x", min, max);
    }

    private static double parseDecimal(String value, double min, double max) {
        if (!value.matches("\\d{1,9}(\\.\\d{1,9})?")) {
            throw new IllegalArgumentException("not a decimal number: " + value);
        }
        double number = Double.parseDouble(value);
        if (number < min || number > max) {
            throw new IllegalArgumentException(value + " is not from " + min + " to " + max);
        }
        return number;
    }

    private static BitSet parseRequestNumbers(String value) {
        BitSet requests = new BitSet();
        if (!value.equals("none")) {
            for (String number : value.split(",")) {
                requests.set(parseInteger(number, 0, MAX_REQUEST_NUMBER));
            }
        }
        return requests;
    }

    /** Writes a plan as a script that gives the same run. */
    static String write(Plan plan) {
        StringBuilder text = new StringBuilder();
        text.append("seed ")
                .append(plan.seed())
                .append("\nnodes ")
                .append(plan.nodes())
                .append("\nboxes ")
                .append(plan.servers())
                .append("\nracks ")
                .append(plan.racks())
                .append("\nlist ")
                .append(plan.pushed() ? "pushed" : "asked")
                .append("\nrate ")
                .append(decimal(plan.rate()))
                .append("\nseconds ")
                .append(decimal(plan.durationMs() / 1e3))
                .append("\nwork ")
                .append(decimal(plan.workMs()))
                .append("\nslots ")
                .append(plan.slots())
                .append('\n');
        if (plan.onlyRequests() != null) {
            text.append("only ")
                    .append(
                            plan.onlyRequests().isEmpty()
                                    ? "none"
                                    : plan.onlyRequests().stream()
                                            .mapToObj(Integer::toString)
                                            .collect(Collectors.joining(",")))
                    .append('\n');
        }
        for (Fault fault : plan.faults()) {
            text.append("at ")
                    .append(decimal(fault.atMs() / 1e3))
                    .append("s ")
                    .append(fault.kind().scriptName())
                    .append(' ')
                    .append(fault.target())
                    .append(" for ")
                    .append(decimal(fault.durationMs() / 1e3))
                    .append("s amount ")
                    .append(decimal(fault.amount()))
                    .append('\n');
        }
        return text.toString();
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.6f", value);
    }
}
