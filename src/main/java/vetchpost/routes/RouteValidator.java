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
 * Proves the operator's file against the four rules before the first request, as a compiler would, and makes
 * the table of routes of it. It returns every violation, and does no I/O.
 */
public final class RouteValidator {
    /** Between planning a repeat and its first byte at a server: a turn of the loop, a connect, the way. */
    static final long RETRY_SEND_MARGIN_US = 25_000;

    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_ROUTES = 1_000_000;
    private static final int MAX_ATTEMPTS = 100;
    private static final int MAX_LABEL_CHARS = 1_024;
    /** Copies of half of all requests and more are no hedge, and of less than one in a hundred none. */
    private static final int MIN_HEDGE_PERCENTILE = 50;

    private static final int MAX_HEDGE_PERCENTILE = 99;
    private static final int MAX_CONCURRENCY = 1_000_000;
    private static final long MAX_DURATION_US = 3_600_000_000L;
    private static final int MAX_VIOLATIONS = 10_000;
    private static final int MAX_SUBSET_SERVERS = 1_000_000;
    private static final List<String> FLEET_KEYS = List.of("node", "subset");

    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s)");
    private static final Pattern SIZE_PATTERN = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");

    /** The keys of limits, in the order of the page for operators. */
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
    /** Whether paths are the application's own, and bodies of any length. */
    private final boolean standalone;

    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final TenantNames tenants;
    /** Those that routes may name; the settings' unless said otherwise. */
    private Tenants knownTenants;

    private Map<Key, PositionedValue> defaults = Map.of();
    private final Map<String, Map<Key, PositionedValue>> classLimits = new HashMap<>();

    private RouteValidation.FleetSubset fleetSubset;
    private RouteTable table;
    /** Of routes that are not the same as in the table before; those have theirs. */
    private long version;

    private RouteTable previousTable;
    private int routeCount;
    private Position lastPosition;

    /** A value that has been read, and where it stands. */
    private record PositionedValue(double value, Position position) {}

    private RouteValidator(Settings settings, boolean checking, boolean alone, TenantNames tenants) {
        this.settings = settings;
        this.checksRules = checking;
        this.standalone = alone;
        this.tenants = tenants;
        knownTenants = tenants;
        settings.classes.forEach(c -> classes.put(c.name(), c));
    }

    /** Names of tenants. */
    public interface Tenants {
        /** Whether there is one of this name. */
        boolean contains(String name);

        /** All names, or more than anybody would read. */
        Iterable<String> names();
    }

    private RouteValidator(Settings settings, boolean checking, boolean alone) {
        this(settings, checking, alone, new TenantNames(settings.tenants));
    }

    /** Proves a file by the platform's settings. */
    public static RouteValidation validate(List<Section> file, Settings settings) {
        return new RouteValidator(settings, true, false).validate(file);
    }

    /** Proves the file of a node without a platform, by the settings that the same file comes to. */
    public static RouteValidation validateStandalone(List<Section> file, Settings settings) {
        return new RouteValidator(settings, true, true).validate(file);
    }

    /** The same without the rules that need proof, to see in a test what they are for. */
    static RouteValidation readUnchecked(List<Section> file, Settings settings) {
        return new RouteValidator(settings, false, false).validate(file);
    }

    /**
     * Begins with the tables of a file that are not routes; {@link #addRoute} takes those one by one, so that not
     * all have to be in memory, and {@link #finish} tells what all comes to.
     *
     * @param alone whether the file makes a node without a platform
     * @param before what held before: routes that are the same keep their versions; null for nothing
     * @param version of the others
     */
    public static RouteValidator begin(
            List<Section> others, Settings settings, boolean alone, RouteTable before, long version) {
        return begin(others, settings, alone, before, version, null);
    }

    /** The same with other tenants than the settings'; null for those. */
    public static RouteValidator begin(
            List<Section> others, Settings settings, boolean alone, RouteTable before, long version, Tenants tenants) {
        RouteValidator prover = before != null && before.rules().settings == settings
                ? new RouteValidator(settings, true, alone, before.rules().tenants)
                : new RouteValidator(settings, true, alone);
        prover.knownTenants = tenants == null ? prover.tenants : tenants;
        prover.previousTable = before;
        prover.version = version;
        prover.readOtherSections(others);
        return prover;
    }

    /**
     * What becomes of a route.
     *
     * @param section what it says from then on, its name too if it has one; null if it goes
     * @param at where messages say that this stands
     */
    public record RouteChange(EntryChange.Op op, String name, Section section, Position position) {}

    /**
     * Proves changes by what they can break, which is their routes and those of the same name or match, and
     * not by all routes. It says the same as the proof of a file with the changes in it would.
     *
     * @param version that the changes have
     * @return a table with all of them, or what they violate
     */
    public static RouteValidation validateChanges(RouteTable base, List<RouteChange> changes, long version) {
        return validateChanges(base, changes, version, base.rules().tenants);
    }

    /** The same routes, with what these tables say for all and for classes, which was proved elsewhere. */
    public static RouteTable withLimits(RouteTable table, List<Section> limits) {
        RouteValidator prover = table.rules().withoutChecks();
        prover.defaults = Map.of();
        prover.classLimits.clear();
        prover.previousTable = table;
        prover.readOtherSections(limits);
        return table.withRulesOf(prover.table);
    }

    /** The same with other tenants than the settings'. */
    public static RouteValidation validateChanges(
            RouteTable base, List<RouteChange> changes, long version, Tenants tenants) {
        RouteValidator rules = base.rules();
        RouteValidator prover = new RouteValidator(rules.settings, true, rules.standalone, rules.tenants);
        prover.knownTenants = tenants;
        prover.defaults = rules.defaults;
        prover.classLimits.putAll(rules.classLimits);
        prover.table = base;
        prover.version = version;
        // What goes makes room first, wherever in the batch it is told.
        for (RouteChange change : changes) {
            boolean there = base.isNamed(change.name());
            if (change.op() != EntryChange.Op.PUT && !there) {
                prover.addViolation(
                        change.position(),
                        "route " + change.name(),
                        Rule.UNKNOWN_ENTRY,
                        "there is no route of this name",
                        "a put");
            } else if (change.op() != EntryChange.Op.PUT) {
                prover.table = prover.table.without(change.name());
            }
        }
        for (RouteChange change : changes) {
            if (change.section() != null) {
                prover.addRoute(change.section());
            }
        }
        return prover.finish();
    }

    /** These limits with no more proof, for a table to read its routes by. */
    private RouteValidator withoutChecks() {
        RouteValidator reader = new RouteValidator(settings, false, standalone, tenants);
        reader.defaults = defaults;
        reader.classLimits.putAll(classLimits);
        return reader;
    }

    /** Whether tenants have the same places by both. */
    boolean sharesTenants(RouteValidator other) {
        return tenants == other.tenants || settings.tenants.equals(other.settings.tenants);
    }

    TenantNames tenants() {
        return tenants;
    }

    private void addViolation(Position at, String route, Rule rule, String what, String fits) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(at, route, rule, what, fits));
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
                            "'" + section.name() + "' is no table of this file",
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
        Map<String, Route> ofClasses = new LinkedHashMap<>();
        for (RequestClass cls : classes.values()) {
            Section section = classSections.get(cls.name());
            ofClasses.put(
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
                ofClasses);
    }

    /** Whether all routes that say the same have the same limits by both. */
    private boolean hasSameLimitsAs(RouteValidator other) {
        return standalone == other.standalone
                && settings.maxAttempts == other.settings.maxAttempts
                && settings.classes.equals(other.settings.classes)
                && settings.tenants.equals(other.settings.tenants)
                && limitValues().equals(other.limitValues());
    }

    /** What the defaults and classes say, without the places where they say it. */
    private Map<String, Map<Key, Double>> limitValues() {
        Map<String, Map<Key, Double>> all = new HashMap<>();
        all.put("", limitValues(defaults));
        classLimits.forEach((cls, own) -> all.put("class " + cls, limitValues(own)));
        return all;
    }

    private static Map<Key, Double> limitValues(Map<Key, PositionedValue> figures) {
        Map<Key, Double> values = new TreeMap<>();
        figures.forEach((key, figure) -> values.put(key, figure.value()));
        return values;
    }

    private Map<Key, PositionedValue> mergeLimits(String cls, Map<Key, PositionedValue> own) {
        Map<Key, PositionedValue> all = new TreeMap<>(defaults);
        all.putAll(classLimits.getOrDefault(cls, Map.of()));
        all.putAll(own);
        return all;
    }

    /** What all comes to, with every violation in the order of the file. */
    public RouteValidation finish() {
        if (routeCount > MAX_ROUTES) {
            addViolation(lastPosition, "", Rule.OUT_OF_RANGE, routeCount + " routes", MAX_ROUTES + "");
        }
        violations.sort(Comparator.comparingInt((Violation v) -> v.position().line())
                .thenComparingInt(v -> v.position().column()));
        return new RouteValidation(
                violations.isEmpty() ? table : null, table.allRoutes(), fleetSubset, List.copyOf(violations));
    }

    // ---------------------------------------------------------------- the part of the fleet

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
        int node = figure(section, "node", 0, settings.nodes - 1);
        int subset = figure(section, "subset", 1, MAX_SUBSET_SERVERS);
        return node < 0 || subset < 0 ? null : new RouteValidation.FleetSubset(node, subset);
    }

    /** A whole number that must be there, or -1. */
    private int figure(Section section, String key, int least, int most) {
        Entry entry = section.entries().get(key);
        if (entry == null) {
            addViolation(section.position(), "fleet", Rule.OUT_OF_RANGE, "it does not say " + key, key + " = " + least);
            return -1;
        }
        if (!(entry.value() instanceof Long number)) {
            addViolation(
                    entry.position(),
                    "fleet",
                    Rule.WRONG_UNIT,
                    key + " = " + format(entry.value()) + " is no whole number",
                    key + " = " + least);
            return -1;
        }
        if (number < least || number > most) {
            addViolation(
                    entry.position(),
                    "fleet",
                    Rule.OUT_OF_RANGE,
                    key + " = " + number
                            + (key.equals("node") ? ", and the settings have " + settings.nodes + " nodes" : ""),
                    "from " + least + " to " + most);
            return -1;
        }
        return number.intValue();
    }

    // ---------------------------------------------------------------- routes

    /** Takes one more route. */
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
            addViolation(
                    section.position(), label, Rule.UNREACHABLE, "it says neither class nor path", "class or path");
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
        Map<Key, PositionedValue> own = readLimits(section);
        boolean readable = tenant != null && (path == null || segments != null);
        if (!readable && standalone) {
            return;
        }
        int found = violations.size();
        for (RequestClass each : classes.values()) {
            if (cls == null || cls.equals(each.name())) {
                resolveLimits(each, mergeLimits(each.name(), own), label, section.position());
            }
        }
        if (readable) {
            insert(section, label, routeKey(segments, cls, method, tenant), found);
        }
    }

    /** A proved route takes its place, if nobody has its name or matches the same. */
    private void insert(Section section, String label, RouteKey key, int found) {
        String name = label.substring("route ".length());
        String same = table.findSameMatch(key);
        if (same != null) {
            addViolation(
                    section.position(),
                    label,
                    Rule.SAME_MATCH,
                    "it matches the same as route " + same,
                    "another path, tenant or method");
            return;
        }
        if (table.isNamed(name)) {
            addViolation(
                    positionOf(section, Key.NAME, Key.PATH),
                    label,
                    Rule.SAME_NAME,
                    "there is another of this name",
                    "another name");
            return;
        }
        if (violations.size() > found && checksRules) {
            // Not to be read by its bytes, which may be none; but it has its place among the others.
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

    /** What a route says of where it stands, without its limits. */
    private static Map<String, Entry> matchEntriesOf(Section section) {
        Map<String, Entry> place = new LinkedHashMap<>();
        section.entries().forEach((text, entry) -> {
            Key key = Key.of(text);
            if (key != null && !key.isLimit() && entry.value() instanceof String) {
                place.put(text, entry);
            }
        });
        return place;
    }

    private RouteKey routeKey(List<String> segments, String cls, String method, String tenant) {
        boolean prefix = segments == null || segments.get(segments.size() - 1).equals("*");
        List<String> rest =
                segments == null ? List.of() : segments.subList(standalone ? 0 : 1, segments.size() - (prefix ? 1 : 0));
        return new RouteKey(cls == null ? "" : cls, method == null ? "" : method, rest, prefix, tenant);
    }

    /** Where a route that was proved has its place. */
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

    /** A route that was proved, for requests of a class. */
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

    /** Its name, empty for every tenant; null for one that is not known. */
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

    private static Position positionOf(Section section, Key key, Key orElse) {
        Entry entry = section.entries().get(key.text());
        entry = entry == null ? section.entries().get(orElse.text()) : entry;
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

    // ---------------------------------------------------------------- figures

    private Map<Key, PositionedValue> readLimits(Section section) {
        Map<Key, PositionedValue> figures = new TreeMap<>();
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
                Double value = figure(key, entry, section.name());
                if (value != null) {
                    figures.put(key, new PositionedValue(value, entry.position()));
                }
            }
        });
        return figures;
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

    private Double figure(Key key, Entry entry, String route) {
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
        Matcher m = entry.value() instanceof String text ? DURATION_PATTERN.matcher(text) : null;
        if (m == null || !m.matches()) {
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
        double us = Double.parseDouble(m.group(1))
                * (m.group(2).equals("s") ? 1e6 : m.group(2).equals("ms") ? 1e3 : 1);
        boolean mayBeNone = key == Key.BACKOFF || key == Key.RETRY_AFTER;
        if (us > MAX_DURATION_US || us < 1 && !(mayBeNone && us == 0)) {
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
        Matcher m = entry.value() instanceof String text ? SIZE_PATTERN.matcher(text) : null;
        if (m == null || !m.matches()) {
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
        double bytes = Double.parseDouble(m.group(1))
                * switch (m.group(2)) {
                    case "B" -> 1.0;
                    case "KiB" -> 1_024.0;
                    case "MiB" -> 1_048_576.0;
                    default -> 1_073_741_824.0;
                };
        if (bytes > MAX_BODY_BYTES && !standalone) {
            addViolation(
                    entry.position(), route, Rule.OUT_OF_RANGE, key.text() + " is over what a node takes", "\"64KiB\"");
            return null;
        }
        return bytes;
    }

    private Double parseInteger(Key key, Entry entry, String route, int least, int most) {
        if (!(entry.value() instanceof Long number)) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.WRONG_UNIT,
                    key.text() + " = " + format(entry.value()) + " is no whole number",
                    least + " or more");
            return null;
        }
        if (number < least || number > most) {
            addViolation(
                    entry.position(),
                    route,
                    Rule.OUT_OF_RANGE,
                    key.text() + " = " + number,
                    "from " + least + " to " + most);
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

    private Limits resolveLimits(RequestClass cls, Map<Key, PositionedValue> own, String route, Position where) {
        long clientUs = cls.deadlineUs();
        long totalUs = (long) valueOf(own, Key.TOTAL_TIMEOUT, 0);
        long attemptUs = (long) valueOf(own, Key.ATTEMPT_TIMEOUT, 0);
        int usual = cls.idempotency() == Idempotency.UNSAFE ? 1 : settings.maxAttempts;
        int attempts = (int) valueOf(own, Key.ATTEMPTS, usual);
        Limits limits = new Limits(
                attemptUs,
                totalUs,
                attempts,
                (long) valueOf(own, Key.BACKOFF, 0),
                valueOf(own, Key.JITTER, 0),
                (long) valueOf(own, Key.HEDGE_AFTER, 0),
                (int) valueOf(own, Key.HEDGE_PERCENTILE, 0),
                valueOf(own, Key.RETRY_BUDGET, 0),
                (int) valueOf(own, Key.CONCURRENCY, 0),
                (long) valueOf(own, Key.MAX_BODY, standalone ? Long.MAX_VALUE : MAX_BODY_BYTES),
                (long) valueOf(own, Key.RETRY_AFTER, -1));
        if (!checksRules) {
            return limits;
        }
        long wholeUs = totalUs == 0 ? clientUs : totalUs;
        if (totalUs > clientUs) {
            addViolation(
                    own.get(Key.TOTAL_TIMEOUT).position(),
                    route,
                    Rule.PAST_CLIENT,
                    "total-timeout is " + formatDuration(totalUs) + ", and clients wait " + formatDuration(clientUs),
                    "total-timeout = \"" + formatDuration(clientUs) + "\"");
        }
        if (attemptUs > wholeUs) {
            addViolation(
                    own.get(Key.ATTEMPT_TIMEOUT).position(),
                    route,
                    Rule.PAST_WHOLE,
                    "attempt-timeout is " + formatDuration(attemptUs) + ", and the request has "
                            + formatDuration(wholeUs) + " in all",
                    "attempt-timeout = \"" + formatDuration(wholeUs) + "\"");
        }
        if (cls.idempotency() == Idempotency.UNSAFE && attempts > 1) {
            addViolation(
                    own.get(Key.ATTEMPTS).position(),
                    route,
                    Rule.UNSAFE_AGAIN,
                    "attempts is " + attempts + " and " + cls.name() + " must never run twice",
                    "attempts = 1");
        }
        if (cls.idempotency() == Idempotency.KEYED && attempts > 1 && own.containsKey(Key.ATTEMPT_TIMEOUT)) {
            long latestUs = limits.latestStartUs(attempts) + RETRY_SEND_MARGIN_US;
            if (latestUs > cls.deduplicationWindowUs()) {
                long fitsUs = (cls.deduplicationWindowUs()
                                - RETRY_SEND_MARGIN_US
                                - (limits.latestStartUs(attempts) - (attempts - 1) * attemptUs))
                        / (attempts - 1);
                addViolation(
                        own.get(Key.ATTEMPT_TIMEOUT).position(),
                        route,
                        Rule.KEYED_LATE,
                        "attempt " + attempts
                                + " may begin " + formatDuration(latestUs) + " after the first, with waits, jitter and "
                                + formatDuration(RETRY_SEND_MARGIN_US)
                                + " margin, and racks drop repeats for " + formatDuration(cls.deduplicationWindowUs()),
                        fitsUs > 0 ? "attempt-timeout = \"" + formatDuration(fitsUs) + "\"" : "attempts = 1");
            }
        }
        if (attempts > 1 && attemptUs > 0 && attemptUs <= wholeUs) {
            long endUs = limits.latestStartUs(attempts) + attemptUs;
            if (endUs > wholeUs && (own.containsKey(Key.ATTEMPTS) || own.containsKey(Key.BACKOFF))) {
                int fits = attempts;
                while (fits > 1 && limits.latestStartUs(fits) + attemptUs > wholeUs) {
                    fits--;
                }
                addViolation(
                        positionOf(own, Key.ATTEMPTS, Key.BACKOFF),
                        route,
                        Rule.SCHEDULE,
                        attempts + " attempts of "
                                + formatDuration(attemptUs) + " and the waits between them take "
                                + formatDuration(endUs)
                                + ", and the request has " + formatDuration(wholeUs) + " in all",
                        "attempts = " + fits);
            }
        }
        checkHedging(cls, own, limits, route, wholeUs);
        if (own.containsKey(Key.CONCURRENCY) && limits.maxConcurrency() == 0) {
            addViolation(
                    own.get(Key.CONCURRENCY).position(),
                    route,
                    Rule.STARVES,
                    "concurrency is 0",
                    "concurrency = 1 or more, or none said");
        }
        if (cls.idempotency() != Idempotency.SAFE && limits.maxBodyBytes() == 0) {
            addViolation(
                    own.get(Key.MAX_BODY).position(),
                    route,
                    Rule.STARVES,
                    "max-body is 0 and its requests have bodies",
                    "max-body = \"1B\" or more");
        }
        long adviceUs = limits.retryAfterUs();
        if (adviceUs > settings.maxRetryAfterUs) {
            addViolation(
                    own.get(Key.RETRY_AFTER).position(),
                    route,
                    Rule.OUT_OF_RANGE,
                    "retry-after is " + formatDuration(adviceUs) + ", and the longest advice allowed is "
                            + formatDuration(settings.maxRetryAfterUs),
                    "retry-after = \"" + formatDuration(settings.maxRetryAfterUs) + "\"");
        }
        return limits;
    }

    private void checkHedging(
            RequestClass cls, Map<Key, PositionedValue> own, Limits limits, String route, long wholeUs) {
        if (limits.hedgeAfterUs() == 0 && limits.hedgePercentile() == 0) {
            return;
        }
        Position at = positionOf(own, Key.HEDGE_AFTER, Key.HEDGE_PERCENTILE);
        if (limits.hedgeAfterUs() > 0 && limits.hedgePercentile() > 0) {
            addViolation(at, route, Rule.SCHEDULE, "copy-after and copy-percentile both say when", "one of them");
        }
        if (!settings.allowsHedging) {
            addViolation(at, route, Rule.NOT_ALLOWED, "the platform allows no second copies", "no copy-after");
        }
        if (cls.idempotency() == Idempotency.UNSAFE) {
            addViolation(
                    at,
                    route,
                    Rule.UNSAFE_AGAIN,
                    "a second copy of " + cls.name() + ", which must never run " + "twice",
                    "no copy-after");
        } else if (limits.maxAttempts() < 2) {
            addViolation(
                    at, route, Rule.SCHEDULE, "a second copy is a second attempt, and attempts is 1", "attempts = 2");
        }
        long latestUs = limits.latestHedgeUs();
        if (cls.idempotency() == Idempotency.KEYED
                && latestUs > 0
                && latestUs + RETRY_SEND_MARGIN_US > cls.deduplicationWindowUs()) {
            addViolation(
                    at,
                    route,
                    Rule.KEYED_LATE,
                    "the copy may be sent " + formatDuration(latestUs + RETRY_SEND_MARGIN_US)
                            + " after the first, with jitter and " + formatDuration(RETRY_SEND_MARGIN_US)
                            + " margin, and racks drop repeats for "
                            + formatDuration(cls.deduplicationWindowUs()),
                    "copy-after = \""
                            + formatDuration((long)
                                    ((cls.deduplicationWindowUs() - RETRY_SEND_MARGIN_US) / (1 + limits.jitter())))
                            + "\"");
        }
        if (latestUs >= wholeUs) {
            addViolation(
                    at,
                    route,
                    Rule.SCHEDULE,
                    "the copy may be sent after " + formatDuration(latestUs) + ", and the request has "
                            + formatDuration(wholeUs) + " in all",
                    "a shorter copy-after");
        }
    }

    private static Position positionOf(Map<Key, PositionedValue> own, Key key, Key orElse) {
        return own.getOrDefault(key, own.get(orElse)).position();
    }

    private static double valueOf(Map<Key, PositionedValue> own, Key key, double otherwise) {
        PositionedValue figure = own.get(key);
        return figure == null ? otherwise : figure.value();
    }

    /** A length of time as the file would have it. */
    static String formatDuration(long us) {
        return us % 1_000 == 0 ? us / 1_000 + "ms" : us + "us";
    }
}
