package vetchpost.routes;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.Section.Entry;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.Violation.Rule;
import vetchpost.store.EntryChange;

/**
 * Validates the operator's file before the first request, and builds the route table from it. The rules keep
 * every accepted file from losing requests, repeating unsafe effects, starving a route or exceeding the
 * platform's settings; see {@link Violation.Rule}. All violations are returned, not only the first. Loaders of
 * the node's file and {@code vetchpost check} call it, and so does {@code RouteConfiguration} for each batch of
 * changes. An instance is used by one thread and does no I/O.
 */
public final class RouteValidator {
    /** From planning a retry to its first byte at a server: event-loop delay, connect and network time. */
    static final long RETRY_SEND_MARGIN_US = 25_000;

    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_ROUTES = 1_000_000;
    private static final int MAX_ATTEMPTS = 100;
    private static final int MAX_LABEL_CHARS = 1_024;
    /** Below 50, half of all requests or more would be hedged; above 99, fewer than one in a hundred. */
    private static final int MIN_HEDGE_PERCENTILE = 50;

    private static final int MAX_HEDGE_PERCENTILE = 99;
    private static final int MAX_CONCURRENCY = 1_000_000;
    private static final long MAX_DURATION_US = 3_600_000_000L;
    private static final int MAX_VIOLATIONS = 10_000;
    private static final int MAX_SUBSET_SERVERS = 1_000_000;
    private static final List<String> FLEET_KEYS = List.of("node", "subset");

    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s)");
    private static final Pattern SIZE_PATTERN = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");

    /**
     * The keys of a route, limits first, in the order of the operators' page. {@link RouteCodec} writes the
     * ordinal, so the order must not change.
     */
    enum Key {
        ATTEMPT_TIMEOUT("attempt-timeout"),
        TOTAL_TIMEOUT("total-timeout"),
        ATTEMPTS("attempts"),
        BACKOFF("backoff"),
        JITTER("jitter"),
        HEDGE_AFTER("copy-after"),
        HEDGE_PERCENTILE("copy-percentile"),
        RETRY_BUDGET("retry-budget"),
        CONCURRENCY("concurrency"),
        MAX_BODY("max-body"),
        RETRY_AFTER("retry-after"),
        NAME("name"),
        CLASS("class"),
        METHOD("method"),
        PATH("path"),
        TENANT("tenant");

        private final String text;

        Key(String text) {
            this.text = text;
        }

        String text() {
            return text;
        }

        boolean isLimit() {
            return ordinal() < NAME.ordinal();
        }

        static Key of(String text) {
            for (Key key : values()) {
                if (key.text.equals(text)) {
                    return key;
                }
            }
            return null;
        }
    }

    private final Settings settings;
    private final boolean checksRules;
    /** Whether the node runs without a platform: paths need not begin with the class, and bodies have any size. */
    private final boolean standalone;

    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final TenantNames tenants;
    /** The tenants that routes may name; those of the settings unless the caller gives others. */
    private Tenants knownTenants;

    private Map<Key, PositionedValue> defaults = Map.of();
    private final Map<String, Map<Key, PositionedValue>> classLimits = new HashMap<>();

    private RouteValidation.FleetSubset fleetSubset;
    private RouteTable table;
    /** For routes that differ from those in the previous table; unchanged routes keep their versions. */
    private long version;

    private RouteTable previousTable;
    private int routeCount;
    private Position lastPosition;

    /** A value in microseconds, bytes or without a unit, depending on its key, and its position in the file. */
    private record PositionedValue(double value, Position position) {}

    private RouteValidator(Settings settings, boolean checksRules, boolean standalone, TenantNames tenants) {
        this.settings = settings;
        this.checksRules = checksRules;
        this.standalone = standalone;
        this.tenants = tenants;
        knownTenants = tenants;
        settings.classes.forEach(c -> classes.put(c.name(), c));
    }

    /** The names of the tenants that routes may refer to. */
    public interface Tenants {
        /** Whether a tenant has this name. */
        boolean contains(String name);

        /** The names, for suggestions in messages; may stop after 1,001, more than are searched or listed. */
        Iterable<String> names();
    }

    private RouteValidator(Settings settings, boolean checksRules, boolean standalone) {
        this(settings, checksRules, standalone, new TenantNames(settings.tenants));
    }

    /**
     * Validates the file of a node whose settings come from the platform.
     *
     * @return the table, or every violation
     */
    public static RouteValidation validate(List<Section> file, Settings settings) {
        return new RouteValidator(settings, true, false).validate(file);
    }

    /**
     * Validates the file of a node without a platform.
     *
     * @param settings made of the same file
     * @return the table, or every violation
     */
    public static RouteValidation validateStandalone(List<Section> file, Settings settings) {
        return new RouteValidator(settings, true, true).validate(file);
    }

    /** Reads a file without checking the limits against each other, so that tests can show what breaks then. */
    static RouteValidation readUnchecked(List<Section> file, Settings settings) {
        return new RouteValidator(settings, false, false).validate(file);
    }

    /**
     * Starts the validation of a file with the sections that are not routes. {@link #addRoute} takes the routes
     * one by one, so that not all have to be in memory, and {@link #finish} returns the result.
     *
     * @param standalone whether the node runs without a platform
     * @param previousTable routes that are the same as in this one keep their versions; may be null
     * @param version of new and changed routes
     */
    public static RouteValidator begin(
            List<Section> otherSections,
            Settings settings,
            boolean standalone,
            RouteTable previousTable,
            long version) {
        return begin(otherSections, settings, standalone, previousTable, version, null);
    }

    /**
     * Starts the validation of a file whose routes may name tenants other than those of the settings.
     *
     * @param tenants that routes may name; null for those of the settings
     */
    public static RouteValidator begin(
            List<Section> otherSections,
            Settings settings,
            boolean standalone,
            RouteTable previousTable,
            long version,
            Tenants tenants) {
        RouteValidator validator = previousTable != null && previousTable.rules().settings == settings
                ? new RouteValidator(settings, true, standalone, previousTable.rules().tenants)
                : new RouteValidator(settings, true, standalone);
        validator.knownTenants = tenants == null ? validator.tenants : tenants;
        validator.previousTable = previousTable;
        validator.version = version;
        validator.readOtherSections(otherSections);
        return validator;
    }

    /**
     * A change of one route.
     *
     * @param op whether the route is added, replaced or deleted
     * @param name of the route, also if the section has none
     * @param section the new content, with the route's name if it has one; null for a delete
     * @param position reported in violations
     */
    public record RouteChange(EntryChange.Op op, String name, Section section, Position position) {}

    /**
     * Validates changes against only what they can break: the changed routes, and those of the same name or match.
     * The result is that of validating a whole file with the changes in it.
     *
     * @param version of the changed routes
     * @return the table with all changes, or every violation
     */
    public static RouteValidation validateChanges(RouteTable base, List<RouteChange> changes, long version) {
        return validateChanges(base, changes, version, base.rules().tenants);
    }

    /**
     * Replaces the limits of classes and the defaults of a table, without validating them again.
     *
     * @param limits sections that another node has validated
     */
    public static RouteTable withLimits(RouteTable table, List<Section> limits) {
        RouteValidator validator = table.rules().withoutChecks();
        validator.defaults = Map.of();
        validator.classLimits.clear();
        validator.previousTable = table;
        validator.readOtherSections(limits);
        return table.withRulesOf(validator.table);
    }

    /** Validates changes whose routes may name tenants other than those of the settings. */
    public static RouteValidation validateChanges(
            RouteTable base, List<RouteChange> changes, long version, Tenants tenants) {
        RouteValidator baseValidator = base.rules();
        RouteValidator validator =
                new RouteValidator(baseValidator.settings, true, baseValidator.standalone, baseValidator.tenants);
        validator.knownTenants = tenants;
        validator.defaults = baseValidator.defaults;
        validator.classLimits.putAll(baseValidator.classLimits);
        validator.table = base;
        validator.version = version;
        // Deletes and replaces go first, wherever in the batch, so that they free their names and matches.
        for (RouteChange change : changes) {
            boolean exists = base.isNamed(change.name());
            if (change.op() != EntryChange.Op.PUT && !exists) {
                validator.addViolation(
                        change.position(),
                        "route " + change.name(),
                        Rule.UNKNOWN_ENTRY,
                        "there is no route with this name",
                        "a put");
            } else if (change.op() != EntryChange.Op.PUT) {
                validator.table = validator.table.without(change.name());
            }
        }
        for (RouteChange change : changes) {
            if (change.section() != null) {
                validator.addRoute(change.section());
            }
        }
        return validator.finish();
    }

    /** A copy with these limits that checks nothing more; a table reads its routes with it. */
    private RouteValidator withoutChecks() {
        RouteValidator reader = new RouteValidator(settings, false, standalone, tenants);
        reader.defaults = defaults;
        reader.classLimits.putAll(classLimits);
        return reader;
    }

    /** Whether a tenant has the same index in both. */
    boolean sharesTenants(RouteValidator other) {
        return tenants == other.tenants || settings.tenants.equals(other.settings.tenants);
    }

    TenantNames tenants() {
        return tenants;
    }

    private void addViolation(Position position, String label, Rule rule, String problem, String accepted) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(position, label, rule, problem, accepted));
        }
    }

    private RouteValidation validate(List<Section> file) {
        readOtherSections(file);
        for (Section section : file) {
            if (section.kind() == Kind.ROUTE) {
                addRoute(section);
            }
        }
        return finish();
    }

    private void readOtherSections(List<Section> file) {
        Map<String, Section> classSections = new HashMap<>();
        for (Section section : file) {
            switch (section.kind()) {
                case DEFAULTS -> defaults = readLimits(section);
                case CLASS -> {
                    if (!classes.containsKey(section.name())) {
                        addViolation(
                                section.position(),
                                section.name(),
                                Rule.UNKNOWN_CLASS,
                                "there is no class '" + section.name() + "'",
                                ClosestMatch.of(section.name(), classes.keySet()));
                    }
                    classLimits.put(section.name(), readLimits(section));
                    classSections.put(section.name(), section);
                }
                case FLEET -> fleetSubset = readFleetSubset(section);
                case UNKNOWN ->
                    addViolation(
                            section.position(),
                            "",
                            Rule.UNKNOWN_TABLE,
                            "unknown table '" + section.name() + "'",
                            ClosestMatch.of(
                                    section.name(),
                                    List.of(
                                            "node",
                                            "classes",
                                            "tenants",
                                            "pool",
                                            "source",
                                            "checks",
                                            "defaults",
                                            "class",
                                            "route",
                                            "fleet",
                                            "state",
                                            "handover",
                                            "admission",
                                            "control",
                                            "changes")));
                default -> {}
            }
        }
        Map<String, Route> classRoutes = new LinkedHashMap<>();
        for (RequestClass cls : classes.values()) {
            Section section = classSections.get(cls.name());
            classRoutes.put(
                    cls.name(),
                    new Route(
                            cls.name(),
                            resolveLimits(
                                    cls,
                                    mergeLimits(cls.name(), Map.of()),
                                    "class " + cls.name(),
                                    section == null ? null : section.position())));
        }
        table = new RouteTable(
                previousTable != null && hasSameLimitsAs(previousTable.rules())
                        ? previousTable.rules()
                        : withoutChecks(),
                standalone,
                classRoutes);
    }

    /** Whether a route with the same entries has the same limits in both. */
    private boolean hasSameLimitsAs(RouteValidator other) {
        return standalone == other.standalone
                && settings.maxAttempts == other.settings.maxAttempts
                && settings.classes.equals(other.settings.classes)
                && settings.tenants.equals(other.settings.tenants)
                && limitValues().equals(other.limitValues());
    }

    /** The values of the defaults and of each class, without their positions in the file. */
    private Map<String, Map<Key, Double>> limitValues() {
        Map<String, Map<Key, Double>> all = new HashMap<>();
        all.put("", limitValues(defaults));
        classLimits.forEach((cls, limits) -> all.put("class " + cls, limitValues(limits)));
        return all;
    }

    private static Map<Key, Double> limitValues(Map<Key, PositionedValue> limits) {
        Map<Key, Double> values = new TreeMap<>();
        limits.forEach((key, limit) -> values.put(key, limit.value()));
        return values;
    }

    private Map<Key, PositionedValue> mergeLimits(String cls, Map<Key, PositionedValue> routeLimits) {
        Map<Key, PositionedValue> merged = new TreeMap<>(defaults);
        merged.putAll(classLimits.getOrDefault(cls, Map.of()));
        merged.putAll(routeLimits);
        return merged;
    }

    /** Ends the validation, and returns the table or every violation in the order of the file. */
    public RouteValidation finish() {
        if (routeCount > MAX_ROUTES) {
            addViolation(lastPosition, "", Rule.OUT_OF_RANGE, routeCount + " routes", MAX_ROUTES + "");
        }
        violations.sort(Comparator.comparingInt((Violation v) -> v.position().line())
                .thenComparingInt(v -> v.position().column()));
        return new RouteValidation(
                violations.isEmpty() ? table : null, table.allRoutes(), fleetSubset, List.copyOf(violations));
    }

    // ---------------------------------------------------------------- the subset of the fleet

    private RouteValidation.FleetSubset readFleetSubset(Section section) {
        section.entries().forEach((text, entry) -> {
            if (!FLEET_KEYS.contains(text)) {
                addViolation(
                        entry.position(),
                        "fleet",
                        Rule.UNKNOWN_KEY,
                        "unknown key '" + text + "'",
                        ClosestMatch.of(text, FLEET_KEYS));
            }
        });
        int node = requireInteger(section, "node", 0, settings.nodes - 1);
        int subset = requireInteger(section, "subset", 1, MAX_SUBSET_SERVERS);
        return node < 0 || subset < 0 ? null : new RouteValidation.FleetSubset(node, subset);
    }

    /** A whole number that is required; -1 and a violation if it is missing or not valid. */
    private int requireInteger(Section section, String key, int min, int max) {
        Entry entry = section.entries().get(key);
        if (entry == null) {
            addViolation(section.position(), "fleet", Rule.OUT_OF_RANGE, "it does not say " + key, key + " = " + min);
            return -1;
        }
        if (!(entry.value() instanceof Long number)) {
            addViolation(
                    entry.position(),
                    "fleet",
                    Rule.WRONG_UNIT,
                    key + " = " + format(entry.value()) + " is no whole number",
                    key + " = " + min);
            return -1;
        }
        if (number < min || number > max) {
            addViolation(
                    entry.position(),
                    "fleet",
                    Rule.OUT_OF_RANGE,
                    key + " = " + number
                            + (key.equals("node") ? ", and the settings have " + settings.nodes + " nodes" : ""),
                    "from " + min + " to " + max);
            return -1;
        }
        return number.intValue();
    }

    // ---------------------------------------------------------------- routes

    /** Validates one more route and adds it to the table; its violations are returned by {@link #finish}. */
    public void addRoute(Section section) {
        lastPosition = section.position();
        if (++routeCount > MAX_ROUTES) {
            return;
        }
        String path = readText(section, Key.PATH);
        String name = readText(section, Key.NAME);
        String label = "route " + (name == null ? path == null ? "" : path : name);
        if (label.length() > MAX_LABEL_CHARS) {
            addViolation(
                    positionOf(section, Key.NAME, Key.PATH),
                    "",
                    Rule.OUT_OF_RANGE,
                    "a name of " + label.length() + " characters",
                    "1,000 or fewer");
            return;
        }
        List<String> segments = parsePattern(section, path, label);
        String cls = readText(section, Key.CLASS);
        if (cls == null && segments != null && !standalone) {
            cls = segments.get(0);
        }
        if (cls == null && path == null) {
            addViolation(section.position(), label, Rule.UNREACHABLE, "it has neither class nor path", "class or path");
            return;
        }
        if (cls == null && !standalone) {
            return;
        }
        if (cls != null && !classes.containsKey(cls)) {
            addViolation(
                    positionOf(section, Key.CLASS, Key.PATH),
                    label,
                    Rule.UNKNOWN_CLASS,
                    "there is no class '" + cls + "'",
                    ClosestMatch.of(cls, classes.keySet()));
            return;
        }
        if (!standalone && segments != null && !segments.get(0).equals(cls)) {
            addViolation(
                    positionOf(section, Key.PATH, Key.CLASS),
                    label,
                    Rule.UNREACHABLE,
                    "requests of class " + cls + " have paths that begin with /" + cls,
                    "\"/" + cls + "/...\"");
            return;
        }
        String method = standalone ? readText(section, Key.METHOD) : readMethod(section, classes.get(cls), label);
        String tenant = readTenant(section, label);
        Map<Key, PositionedValue> limits = readLimits(section);
        boolean isMatchValid = tenant != null && (path == null || segments != null);
        if (!isMatchValid && standalone) {
            return;
        }
        int violationsBefore = violations.size();
        for (RequestClass requestClass : classes.values()) {
            if (cls == null || cls.equals(requestClass.name())) {
                resolveLimits(requestClass, mergeLimits(requestClass.name(), limits), label, section.position());
            }
        }
        if (isMatchValid) {
            insert(section, label, routeKey(segments, cls, method, tenant), violationsBefore);
        }
    }

    /** Adds a validated route to the table, unless its name or its match is in use. */
    private void insert(Section section, String label, RouteKey key, int violationsBefore) {
        String name = label.substring("route ".length());
        String conflicting = table.findSameMatch(key);
        if (conflicting != null) {
            addViolation(
                    section.position(),
                    label,
                    Rule.SAME_MATCH,
                    "it matches the same requests as route " + conflicting,
                    "another path, tenant or method");
            return;
        }
        if (table.isNamed(name)) {
            addViolation(
                    positionOf(section, Key.NAME, Key.PATH),
                    label,
                    Rule.SAME_NAME,
                    "another route or class has this name",
                    "another name");
            return;
        }
        if (violations.size() > violationsBefore && checksRules) {
            // Its limits are not valid and may have no encoding, but later routes are still compared with its match.
            table = table.with(
                    name,
                    key,
                    RouteCodec.encode(new Section(Kind.ROUTE, "", section.position(), matchEntriesOf(section))),
                    version);
            return;
        }
        byte[] bytes;
        try {
            bytes = RouteCodec.encode(section);
        } catch (IllegalArgumentException e) {
            if (violations.isEmpty()) {
                addViolation(section.position(), label, Rule.OUT_OF_RANGE, e.getMessage(), "");
            }
            bytes = RouteCodec.encode(new Section(Kind.ROUTE, "", section.position(), matchEntriesOf(section)));
        }
        table = table.with(
                name, key, bytes, previousTable == null ? version : previousTable.versionOf(name, bytes, version));
    }

    /** The entries that decide which requests a route matches, without its limits. */
    private static Map<String, Entry> matchEntriesOf(Section section) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        section.entries().forEach((text, entry) -> {
            Key key = Key.of(text);
            if (key != null && !key.isLimit() && entry.value() instanceof String) {
                entries.put(text, entry);
            }
        });
        return entries;
    }

    private RouteKey routeKey(List<String> segments, String cls, String method, String tenant) {
        boolean isPrefix = segments == null || segments.get(segments.size() - 1).equals("*");
        List<String> pathSegments = segments == null
                ? List.of()
                : segments.subList(standalone ? 0 : 1, segments.size() - (isPrefix ? 1 : 0));
        return new RouteKey(cls == null ? "" : cls, method == null ? "" : method, pathSegments, isPrefix, tenant);
    }

    /** What a validated route matches. */
    RouteKey keyOf(Section section) {
        List<String> segments = parsePattern(section, textOf(section, Key.PATH), "");
        String cls = textOf(section, Key.CLASS);
        String tenant = textOf(section, Key.TENANT);
        return routeKey(
                segments,
                cls == null && !standalone && segments != null ? segments.get(0) : cls,
                textOf(section, Key.METHOD),
                tenant == null ? "" : tenant);
    }

    private static String textOf(Section section, Key key) {
        Entry entry = section.entries().get(key.text());
        return entry == null ? null : (String) entry.value();
    }

    /** A validated route with its limits for requests of a class. */
    Route route(String name, String cls, Section section) {
        return new Route(
                name, resolveLimits(classes.get(cls), mergeLimits(cls, readLimits(section)), name, section.position()));
    }

    private List<String> parsePattern(Section section, String path, String label) {
        if (path == null) {
            return null;
        }
        try {
            return RouteKey.parsePattern(path);
        } catch (RouteKey.InvalidPatternException e) {
            addViolation(
                    positionOf(section, Key.PATH, Key.PATH),
                    label,
                    Rule.BAD_PATTERN,
                    e.getMessage(),
                    "\"/class/{name}/text\"");
            return null;
        }
    }

    private String readMethod(Section section, RequestClass cls, String label) {
        String method = readText(section, Key.METHOD);
        String only = cls.idempotency() == Idempotency.SAFE ? "GET" : "POST";
        if (method != null && !method.equals(only)) {
            addViolation(
                    positionOf(section, Key.METHOD, Key.METHOD),
                    label,
                    Rule.UNREACHABLE,
                    "requests of class " + cls.name() + " are never " + method,
                    "\"" + only + "\"");
        }
        return method == null ? "" : method;
    }

    /** The name of the route's tenant; empty for every tenant, null for an unknown one. */
    private String readTenant(Section section, String label) {
        String tenant = readText(section, Key.TENANT);
        if (tenant == null) {
            return "";
        }
        if (!knownTenants.contains(tenant)) {
            addViolation(
                    positionOf(section, Key.TENANT, Key.TENANT),
                    label,
                    Rule.UNKNOWN_TENANT,
                    "there is no tenant '" + tenant + "'",
                    ClosestMatch.of(tenant, knownTenants.names()));
            return null;
        }
        return tenant;
    }

    private static Position positionOf(Section section, Key key, Key fallback) {
        Entry entry = section.entries().get(key.text());
        entry = entry == null ? section.entries().get(fallback.text()) : entry;
        return entry == null ? section.position() : entry.position();
    }

    private String readText(Section section, Key key) {
        Entry entry = section.entries().get(key.text());
        if (entry == null) {
            return null;
        }
        if (entry.value() instanceof String text && !text.isEmpty()) {
            return text;
        }
        addViolation(entry.position(), section.name(), Rule.WRONG_UNIT, key.text() + " is no text", "\"...\"");
        return null;
    }

    // ---------------------------------------------------------------- values

    private Map<Key, PositionedValue> readLimits(Section section) {
        Map<Key, PositionedValue> limits = new TreeMap<>();
        section.entries().forEach((text, entry) -> {
            Key key = Key.of(text);
            if (key == null || !key.isLimit() && section.kind() != Kind.ROUTE) {
                addViolation(
                        entry.position(),
                        section.name(),
                        Rule.UNKNOWN_KEY,
                        "unknown key '" + text + "'",
                        ClosestMatch.of(text, keysOf(section.kind())));
            } else if (key.isLimit()) {
                Double value = parseLimit(key, entry, section.name());
                if (value != null) {
                    limits.put(key, new PositionedValue(value, entry.position()));
                }
            }
        });
        return limits;
    }

    private static List<String> keysOf(Kind kind) {
        List<String> keys = new ArrayList<>();
        for (Key key : Key.values()) {
            if (key.isLimit() || kind == Kind.ROUTE) {
                keys.add(key.text());
            }
        }
        return keys;
    }

    private Double parseLimit(Key key, Entry entry, String route) {
        return switch (key) {
            case ATTEMPT_TIMEOUT, TOTAL_TIMEOUT, BACKOFF, RETRY_AFTER, HEDGE_AFTER -> parseDuration(key, entry, route);
            case MAX_BODY -> parseSize(key, entry, route);
            case ATTEMPTS -> parseInteger(key, entry, route, 1, MAX_ATTEMPTS);
            case HEDGE_PERCENTILE -> parseInteger(key, entry, route, MIN_HEDGE_PERCENTILE, MAX_HEDGE_PERCENTILE);
            case CONCURRENCY -> parseInteger(key, entry, route, 0, MAX_CONCURRENCY);
            default -> parseFraction(key, entry, route);
        };
    }

    private Double parseDuration(Key key, Entry entry, String route) {
        Matcher matcher = entry.value() instanceof String text ? DURATION_PATTERN.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.WRONG_UNIT,
                    key.text() + " = " + format(entry.value()) + " is no length of time",
                    entry.value() instanceof Long
                            ? "\"" + entry.value() + "ms\""
                            : "a number and us, ms or s, as \"250ms\",");
            return null;
        }
        double us = Double.parseDouble(matcher.group(1))
                * (matcher.group(2).equals("s") ? 1e6 : matcher.group(2).equals("ms") ? 1e3 : 1);
        boolean mayBeZero = key == Key.BACKOFF || key == Key.RETRY_AFTER;
        if (us > MAX_DURATION_US || us < 1 && !(mayBeZero && us == 0)) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.OUT_OF_RANGE,
                    key.text() + " = " + format(entry.value()),
                    "from 1us to 1 hour");
            return null;
        }
        return us;
    }

    private Double parseSize(Key key, Entry entry, String route) {
        Matcher matcher = entry.value() instanceof String text ? SIZE_PATTERN.matcher(text) : null;
        if (matcher == null || !matcher.matches()) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.WRONG_UNIT,
                    key.text() + " = " + format(entry.value()) + " is no size",
                    entry.value() instanceof Long
                            ? "\"" + entry.value() + "B\""
                            : "a number and B or KiB, as \"16KiB\",");
            return null;
        }
        double bytes = Double.parseDouble(matcher.group(1))
                * switch (matcher.group(2)) {
                    case "B" -> 1.0;
                    case "KiB" -> 1_024.0;
                    case "MiB" -> 1_048_576.0;
                    default -> 1_073_741_824.0;
                };
        if (bytes > MAX_BODY_BYTES && !standalone) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.OUT_OF_RANGE,
                    key.text() + " is over the maximum that a node accepts",
                    "\"64KiB\"");
            return null;
        }
        return bytes;
    }

    private Double parseInteger(Key key, Entry entry, String route, int min, int max) {
        if (!(entry.value() instanceof Long number)) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.WRONG_UNIT,
                    key.text() + " = " + format(entry.value()) + " is no whole number",
                    min + " or more");
            return null;
        }
        if (number < min || number > max) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.OUT_OF_RANGE,
                    key.text() + " = " + number,
                    "from " + min + " to " + max);
            return null;
        }
        return (double) number;
    }

    private Double parseFraction(Key key, Entry entry, String route) {
        double value = entry.value() instanceof Long whole
                ? whole
                : entry.value() instanceof Double number ? number : Double.NaN;
        if (Double.isNaN(value)) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.WRONG_UNIT,
                    key.text() + " = " + format(entry.value()) + " is no number",
                    "a share as 0.2");
            return null;
        }
        if (value < 0 || value > 1) {
            addViolation(entry.position(), route, Rule.OUT_OF_RANGE, key.text() + " = " + value, "from 0 to 1");
            return null;
        }
        return value;
    }

    private static String format(Object value) {
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }

    // ---------------------------------------------------------------- the rules

    private Limits resolveLimits(RequestClass cls, Map<Key, PositionedValue> values, String route, Position position) {
        long clientTimeoutUs = cls.deadlineUs();
        long totalTimeoutUs = (long) valueOf(values, Key.TOTAL_TIMEOUT, 0);
        long attemptTimeoutUs = (long) valueOf(values, Key.ATTEMPT_TIMEOUT, 0);
        int defaultAttempts = cls.idempotency() == Idempotency.UNSAFE ? 1 : settings.maxAttempts;
        int attempts = (int) valueOf(values, Key.ATTEMPTS, defaultAttempts);
        Limits limits = new Limits(
                attemptTimeoutUs,
                totalTimeoutUs,
                attempts,
                (long) valueOf(values, Key.BACKOFF, 0),
                valueOf(values, Key.JITTER, 0),
                (long) valueOf(values, Key.HEDGE_AFTER, 0),
                (int) valueOf(values, Key.HEDGE_PERCENTILE, 0),
                valueOf(values, Key.RETRY_BUDGET, 0),
                (int) valueOf(values, Key.CONCURRENCY, 0),
                (long) valueOf(values, Key.MAX_BODY, standalone ? Long.MAX_VALUE : MAX_BODY_BYTES),
                (long) valueOf(values, Key.RETRY_AFTER, -1));
        if (!checksRules) {
            return limits;
        }
        long availableUs = totalTimeoutUs == 0 ? clientTimeoutUs : totalTimeoutUs;
        if (totalTimeoutUs > clientTimeoutUs) {
            addViolation(
                    values.get(Key.TOTAL_TIMEOUT).position(),
                    route,
                    Rule.PAST_CLIENT,
                    "total-timeout is " + formatDuration(totalTimeoutUs) + ", and clients wait "
                            + formatDuration(clientTimeoutUs),
                    "total-timeout = \"" + formatDuration(clientTimeoutUs) + "\"");
        }
        if (attemptTimeoutUs > availableUs) {
            addViolation(
                    values.get(Key.ATTEMPT_TIMEOUT).position(),
                    route,
                    Rule.PAST_WHOLE,
                    "attempt-timeout is " + formatDuration(attemptTimeoutUs) + ", and the request has "
                            + formatDuration(availableUs) + " in total",
                    "attempt-timeout = \"" + formatDuration(availableUs) + "\"");
        }
        if (cls.idempotency() == Idempotency.UNSAFE && attempts > 1) {
            addViolation(
                    values.get(Key.ATTEMPTS).position(),
                    route,
                    Rule.UNSAFE_AGAIN,
                    "attempts is " + attempts + " and " + cls.name() + " must never run twice",
                    "attempts = 1");
        }
        if (cls.idempotency() == Idempotency.KEYED && attempts > 1 && values.containsKey(Key.ATTEMPT_TIMEOUT)) {
            long latestStartUs = limits.latestStartUs(attempts) + RETRY_SEND_MARGIN_US;
            if (latestStartUs > cls.deduplicationWindowUs()) {
                long fittingTimeoutUs = (cls.deduplicationWindowUs()
                                - RETRY_SEND_MARGIN_US
                                - (limits.latestStartUs(attempts) - (attempts - 1) * attemptTimeoutUs))
                        / (attempts - 1);
                addViolation(
                        values.get(Key.ATTEMPT_TIMEOUT).position(),
                        route,
                        Rule.KEYED_LATE,
                        "attempt " + attempts
                                + " may begin " + formatDuration(latestStartUs)
                                + " after the first, with backoff, jitter and "
                                + formatDuration(RETRY_SEND_MARGIN_US)
                                + " margin, and racks deduplicate retries for "
                                + formatDuration(cls.deduplicationWindowUs()),
                        fittingTimeoutUs > 0
                                ? "attempt-timeout = \"" + formatDuration(fittingTimeoutUs) + "\""
                                : "attempts = 1");
            }
        }
        if (attempts > 1 && attemptTimeoutUs > 0 && attemptTimeoutUs <= availableUs) {
            long endUs = limits.latestStartUs(attempts) + attemptTimeoutUs;
            if (endUs > availableUs && (values.containsKey(Key.ATTEMPTS) || values.containsKey(Key.BACKOFF))) {
                int fittingAttempts = attempts;
                while (fittingAttempts > 1 && limits.latestStartUs(fittingAttempts) + attemptTimeoutUs > availableUs) {
                    fittingAttempts--;
                }
                addViolation(
                        positionOf(values, Key.ATTEMPTS, Key.BACKOFF),
                        route,
                        Rule.SCHEDULE,
                        attempts + " attempts of "
                                + formatDuration(attemptTimeoutUs) + " and the backoff between them take "
                                + formatDuration(endUs)
                                + ", and the request has " + formatDuration(availableUs) + " in total",
                        "attempts = " + fittingAttempts);
            }
        }
        checkHedging(cls, values, limits, route, availableUs);
        if (values.containsKey(Key.CONCURRENCY) && limits.maxConcurrency() == 0) {
            addViolation(
                    values.get(Key.CONCURRENCY).position(),
                    route,
                    Rule.STARVES,
                    "concurrency is 0",
                    "concurrency = 1 or more, or no such key");
        }
        if (cls.idempotency() != Idempotency.SAFE && limits.maxBodyBytes() == 0) {
            addViolation(
                    values.get(Key.MAX_BODY).position(),
                    route,
                    Rule.STARVES,
                    "max-body is 0 and its requests have bodies",
                    "max-body = \"1B\" or more");
        }
        long retryAfterUs = limits.retryAfterUs();
        if (retryAfterUs > settings.maxRetryAfterUs) {
            addViolation(
                    values.get(Key.RETRY_AFTER).position(),
                    route,
                    Rule.OUT_OF_RANGE,
                    "retry-after is " + formatDuration(retryAfterUs) + ", and the maximum in the settings is "
                            + formatDuration(settings.maxRetryAfterUs),
                    "retry-after = \"" + formatDuration(settings.maxRetryAfterUs) + "\"");
        }
        return limits;
    }

    private void checkHedging(
            RequestClass cls, Map<Key, PositionedValue> values, Limits limits, String route, long availableUs) {
        if (limits.hedgeAfterUs() == 0 && limits.hedgePercentile() == 0) {
            return;
        }
        Position position = positionOf(values, Key.HEDGE_AFTER, Key.HEDGE_PERCENTILE);
        if (limits.hedgeAfterUs() > 0 && limits.hedgePercentile() > 0) {
            addViolation(position, route, Rule.SCHEDULE, "copy-after and copy-percentile are both set", "one of them");
        }
        if (!settings.allowsHedging) {
            addViolation(
                    position, route, Rule.NOT_ALLOWED, "the settings do not allow hedged requests", "no copy-after");
        }
        if (cls.idempotency() == Idempotency.UNSAFE) {
            addViolation(
                    position,
                    route,
                    Rule.UNSAFE_AGAIN,
                    "a hedged request of " + cls.name() + ", which must never run twice",
                    "no copy-after");
        } else if (limits.maxAttempts() < 2) {
            addViolation(
                    position,
                    route,
                    Rule.SCHEDULE,
                    "a hedged request is a second attempt, and attempts is 1",
                    "attempts = 2");
        }
        long latestHedgeUs = limits.latestHedgeUs();
        if (cls.idempotency() == Idempotency.KEYED
                && latestHedgeUs > 0
                && latestHedgeUs + RETRY_SEND_MARGIN_US > cls.deduplicationWindowUs()) {
            addViolation(
                    position,
                    route,
                    Rule.KEYED_LATE,
                    "the hedged request may be sent " + formatDuration(latestHedgeUs + RETRY_SEND_MARGIN_US)
                            + " after the first, with jitter and " + formatDuration(RETRY_SEND_MARGIN_US)
                            + " margin, and racks deduplicate retries for "
                            + formatDuration(cls.deduplicationWindowUs()),
                    "copy-after = \""
                            + formatDuration((long)
                                    ((cls.deduplicationWindowUs() - RETRY_SEND_MARGIN_US) / (1 + limits.jitter())))
                            + "\"");
        }
        if (latestHedgeUs >= availableUs) {
            addViolation(
                    position,
                    route,
                    Rule.SCHEDULE,
                    "the hedged request may be sent after " + formatDuration(latestHedgeUs) + ", and the request has "
                            + formatDuration(availableUs) + " in total",
                    "a shorter copy-after");
        }
    }

    private static Position positionOf(Map<Key, PositionedValue> values, Key key, Key fallback) {
        return values.getOrDefault(key, values.get(fallback)).position();
    }

    private static double valueOf(Map<Key, PositionedValue> values, Key key, double fallback) {
        PositionedValue value = values.get(key);
        return value == null ? fallback : value.value();
    }

    /** A duration in the syntax of the file, in milliseconds where that is exact. */
    static String formatDuration(long us) {
        return us % 1_000 == 0 ? us / 1_000 + "ms" : us + "us";
    }
}
