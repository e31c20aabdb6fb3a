package vetchpost.standalone;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.decision.Balancer.Tenant;
import vetchpost.routes.Section;
import vetchpost.routes.Section.Kind;
import vetchpost.routes.SectionReader;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;
import vetchpost.sources.CheckRules;
import vetchpost.sources.MergeRules;
import vetchpost.sources.ReportedServer;
import vetchpost.sources.SourceDeclaration;
import vetchpost.sources.SourceDeclaration.Permission;
import vetchpost.standalone.WebLimits.Forwarded;

/**
 * Reads the tables of an operator's file that make a node of it without a platform, and proves that it can
 * run: every request has a class, nothing that may have run is repeated where that could do harm, servers are
 * named by somebody. It returns every violation, and does no I/O.
 */
public final class StandaloneValidator {
    private static final List<String> NODE_KEYS = List.of(
            "listen",
            "sockets",
            "seed",
            "nodes",
            "number",
            "name",
            "forwarded",
            "trust-forwarded",
            "hold",
            "hold-for",
            "max-body",
            "head-within",
            "idle",
            "keep-alive",
            "upload-within",
            "tenant-header",
            "longest-advice");
    private static final List<String> CLASS_KEYS =
            List.of("repeat", "methods", "paths", "header", "deadline", "aim", "worth", "late-worth", "window");
    private static final List<String> TENANT_KEYS = List.of("share", "hosts");
    private static final List<String> POOL_KEYS = List.of(
            "servers",
            "attempts",
            "connect-timeout",
            "idle",
            "grace",
            "cold",
            "cold-from",
            "overload",
            "second-copies",
            "drain-header",
            "expect-header",
            "most-gone",
            "confirm",
            "flaps",
            "calm",
            "absent");
    private static final List<String> SOURCE_KEYS =
            List.of("name", "file", "dns", "srv", "port", "may", "every", "keep", "stale", "resolvers");
    private static final List<String> CHECK_KEYS =
            List.of("path", "host", "status", "every", "within", "rise", "fall", "budget", "watchers", "most-out");
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;
    private static final long DAY = 24 * HOUR;
    private static final int KIB = 1_024;
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final String TOKEN_PATTERN = "[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}";
    private static final String DEFAULT_KEY_HEADER = "Idempotency-Key";

    private final List<Violation> violations = new ArrayList<>();
    private final Settings settings = new Settings();
    private final List<RequestRule> requestRules = new ArrayList<>();
    private final Map<String, Integer> tenantsByHost = new HashMap<>();
    private final Map<String, Integer> tenantsByName = new HashMap<>();

    /**
     * What the tables come to.
     *
     * @param standalone null if there is no table {@code [node]}, or any violation
     */
    public record Validation(Standalone standalone, List<Violation> violations) {}

    private StandaloneValidator() {}

    /** The keys of each table, as the pages for operators name them. */
    static List<List<String>> keys() {
        return List.of(NODE_KEYS, CLASS_KEYS, TENANT_KEYS, POOL_KEYS, SOURCE_KEYS, CHECK_KEYS);
    }

    /** Whether the file is meant to make a node by itself. */
    public static boolean isStandalone(List<Section> file) {
        return file.stream().anyMatch(s -> s.kind() == Kind.NODE);
    }

    /** The same of one table. */
    public static boolean isStandaloneSection(Section section) {
        return switch (section.kind()) {
            case NODE, REQUEST_CLASS, TENANT, POOL, SOURCE, CHECKS -> true;
            default -> false;
        };
    }

    /** Looks at the tables of a file that are its affair. */
    public static Validation validate(List<Section> file) {
        return new StandaloneValidator().validateFile(file);
    }

    private Validation validateFile(List<Section> file) {
        Section node = firstSection(file, Kind.NODE);
        if (node == null) {
            for (Section section : file) {
                if (isStandaloneSection(section)) {
                    violations.add(new Violation(
                            section.position(),
                            section.name(),
                            Rule.INCOMPLETE,
                            "there is no table [node], without which this says nothing",
                            "[node] with listen = \"127.0.0.1:8080\""));
                    break;
                }
            }
            return new Validation(null, List.copyOf(violations));
        }
        SectionReader own = new SectionReader(node, "node", violations);
        own.rejectUnknownKeys(NODE_KEYS);
        InetSocketAddress listen = readAddress(own, "listen", own.text("listen", null), true);
        if (!own.has("listen")) {
            own.addViolation("listen", Rule.INCOMPLETE, "it does not say listen", "listen = \"127.0.0.1:8080\"");
        }
        int sockets = own.integer("sockets", 1_024, 128, 1 << 20);
        settings.nodes = own.integer("nodes", 1, 1, 10_000);
        int number = own.integer("number", 0, 0, 9_999);
        if (number >= settings.nodes) {
            own.addViolation(
                    "number",
                    Rule.OUT_OF_RANGE,
                    "number = " + number + " of " + settings.nodes + " nodes, counted from 0",
                    "number = " + (settings.nodes - 1));
        }
        settings.maxRetryAfterUs = own.duration("longest-advice", 30 * SECOND, 0, HOUR);
        settings.clientsMarkRetries = true;
        settings.allowsCancellation = true;
        settings.allowsProbes = false;
        for (Section section : file) {
            if (section.kind() == Kind.REQUEST_CLASS) {
                readRequestClass(section);
            }
        }
        if (requestRules.isEmpty()) {
            addDefaultClasses();
        }
        checkCoverage(file, own);
        for (Section section : file) {
            if (section.kind() == Kind.TENANT) {
                readTenant(section);
            }
        }
        Section pool = firstSection(file, Kind.POOL);
        SectionReader servers = new SectionReader(
                pool == null ? new Section(Kind.POOL, "pool", node.position(), Map.of()) : pool, "pool", violations);
        servers.rejectUnknownKeys(POOL_KEYS);
        WebLimits limits = readLimits(own, servers.text("expect-header", ""));
        long idleUs = readPool(servers);
        List<SourceDeclaration> sources = readSources(file, servers);
        boolean tried = servers.value("servers") instanceof List<?> named ? !named.isEmpty() : servers.has("servers");
        if (sources.isEmpty() && !tried && firstSection(file, Kind.SOURCE) == null) {
            servers.addViolation(
                    "servers",
                    Rule.INCOMPLETE,
                    "nobody names a server",
                    "[pool] with servers = [\"127.0.0.1:9001\"], or a [[source]]");
        }
        MergeRules merge = new MergeRules(
                servers.number("most-gone", 0.5, 0, 1),
                servers.duration("confirm", 10 * SECOND, 0, HOUR),
                servers.integer("flaps", 4, 2, 1_000),
                servers.duration("calm", 60 * SECOND, SECOND, DAY),
                servers.duration("absent", 5 * SECOND, 0, HOUR));
        Section checking = firstSection(file, Kind.CHECKS);
        CheckRules checks =
                checking == null ? null : readChecks(new SectionReader(checking, "checks", violations), number);
        String tenantHeader = own.text("tenant-header", "");
        String drainHeader = servers.text("drain-header", "");
        long seed = readSeed(own);
        if (!violations.isEmpty()) {
            violations.sort((a, b) -> a.position().line() != b.position().line()
                    ? a.position().line() - b.position().line()
                    : a.position().column() - b.position().column());
            return new Validation(null, List.copyOf(violations));
        }
        return new Validation(
                new Standalone(
                        listen,
                        sockets,
                        seed,
                        idleUs,
                        settings,
                        List.copyOf(requestRules),
                        new Classifier(requestRules, tenantsByHost, tenantsByName, tenantHeader),
                        limits,
                        sources,
                        merge,
                        checks,
                        drainHeader),
                List.of());
    }

    private static Section firstSection(List<Section> file, Kind kind) {
        return file.stream().filter(s -> s.kind() == kind).findFirst().orElse(null);
    }

    private long readSeed(SectionReader own) {
        String seed = own.text("seed", null);
        if (seed == null) {
            return 0;
        }
        if (!seed.matches("[0-9a-fA-F]{1,16}")) {
            own.addViolation(
                    "seed", Rule.OUT_OF_RANGE, "seed is no hexadecimal number of up to 16 digits", "seed = \"1\"");
            return 0;
        }
        return Long.parseUnsignedLong(seed, 16);
    }

    private WebLimits readLimits(SectionReader own, String mark) {
        String name = own.text("name", "vetchpost");
        if (!name.matches(TOKEN_PATTERN)) {
            own.addViolation("name", Rule.OUT_OF_RANGE, "name is no token that Via could carry", "name = \"node-1\"");
        }
        String forwarded = own.choice("forwarded", "both", List.of("standard", "custom", "both", "none"));
        int hold = (int) own.size("hold", 64 * KIB, KIB, 16 * KIB * KIB);
        long most = own.size("max-body", 1L << 30, 0, 1L << 50);
        return new WebLimits(
                hold,
                own.duration("hold-for", 100 * MS, 0, 60 * SECOND),
                most,
                own.duration("head-within", 10 * SECOND, 100 * MS, HOUR),
                own.duration("idle", 30 * SECOND, 100 * MS, HOUR),
                own.duration("keep-alive", 75 * SECOND, 0, DAY),
                own.duration("upload-within", HOUR, SECOND, DAY),
                name,
                Forwarded.valueOf(forwarded.toUpperCase(Locale.ROOT)),
                own.flag("trust-forwarded", false),
                mark);
    }

    // ---------------------------------------------------------------- classes of requests

    /** What holds where the file names no class: what is safe by its method, and all the rest. */
    private void addDefaultClasses() {
        addClass(
                new RequestRule(SAFE_METHODS, List.of(), ""),
                new RequestClass(
                        "read", SECOND, 0, 30 * SECOND, 1, 0.5, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        addClass(
                RequestRule.ANY,
                new RequestClass(
                        "write", SECOND, 0, 30 * SECOND, 1, 0.5, Idempotency.UNSAFE, DeduplicationScope.ALL, 0, false));
    }

    private void addClass(RequestRule rule, RequestClass cls) {
        requestRules.add(rule);
        settings.classes.add(cls);
    }

    private void readRequestClass(Section section) {
        SectionReader own = new SectionReader(section, section.name(), violations);
        own.rejectUnknownKeys(CLASS_KEYS);
        String word = own.choice(
                "repeat",
                own.has("methods") && SAFE_METHODS.containsAll(own.texts("methods", List.of())) ? "safe" : "unsafe",
                List.of("safe", "keyed", "unsafe"));
        Idempotency repeat = Idempotency.valueOf(word.toUpperCase(Locale.ROOT));
        Set<String> methods = new LinkedHashSet<>(own.texts("methods", List.of()));
        for (String method : methods) {
            if (!method.matches(TOKEN_PATTERN) || !method.equals(method.toUpperCase(Locale.ROOT))) {
                own.addViolation(
                        "methods",
                        Rule.BAD_PATTERN,
                        "\"" + method + "\" is no method",
                        "\"" + method.toUpperCase(Locale.ROOT) + "\"");
            }
        }
        List<String> paths = new ArrayList<>(own.texts("paths", List.of()));
        for (String path : paths) {
            if (!path.matches("/[\\x21-\\x22\\x24-\\x29\\x2B-\\x3E\\x40-\\x7E]*\\*?")
                    || path.endsWith("*") && !path.endsWith("/*")) {
                own.addViolation(
                        "paths", Rule.BAD_PATTERN, "\"" + path + "\" is no path", "\"/photos\" or \"/photos/*\"");
            }
        }
        String header = own.text("header", repeat == Idempotency.KEYED ? DEFAULT_KEY_HEADER : "");
        if (!header.isEmpty() && !header.matches(TOKEN_PATTERN)) {
            own.addViolation(
                    "header", Rule.BAD_PATTERN, "header is no name of a field", "\"" + DEFAULT_KEY_HEADER + "\"");
        }
        if (repeat == Idempotency.KEYED && !own.has("window")) {
            own.addViolation(
                    "window",
                    Rule.KEYED_LATE,
                    "it does not say window: for how long servers drop repeats of a key",
                    "window = \"10s\", or repeat = \"unsafe\"");
        }
        if (repeat != Idempotency.KEYED && own.has("window")) {
            own.addViolation("window", Rule.UNREACHABLE, "only keyed classes have a window", "repeat = \"keyed\"");
        }
        if (repeat == Idempotency.SAFE) {
            for (String method : methods) {
                if (!SAFE_METHODS.contains(method)) {
                    own.addViolation(
                            "repeat",
                            Rule.UNSAFE_AGAIN,
                            method + " is no safe method (RFC 9110, section"
                                    + " 9.2.1): a repeat could have its effect twice",
                            "repeat = \"unsafe\"");
                }
            }
            if (methods.isEmpty()) {
                own.addViolation(
                        "repeat",
                        Rule.UNSAFE_AGAIN,
                        "a safe class says which methods it is of",
                        "methods = [\"GET\", \"HEAD\"]");
            }
        }
        long deadline = own.duration("deadline", 30 * SECOND, MS, DAY);
        long aim = own.duration("aim", Math.min(SECOND, deadline), MS, DAY);
        if (aim > deadline) {
            own.addViolation(
                    "aim",
                    Rule.PAST_WHOLE,
                    "aim is over the deadline of " + SectionReader.formatDuration(deadline),
                    "aim = \"" + SectionReader.formatDuration(deadline) + "\"");
        }
        addClass(
                new RequestRule(methods, paths, header),
                new RequestClass(
                        section.name(),
                        aim,
                        0,
                        deadline,
                        own.number("worth", 1, 0, 1e6),
                        own.number("late-worth", 0.5, 0, 1),
                        repeat,
                        DeduplicationScope.ALL,
                        own.duration("window", 0, 0, DAY),
                        false));
    }

    /** Whether each class can be reached, and each request has one. */
    private void checkCoverage(List<Section> file, SectionReader own) {
        List<Section> classes =
                file.stream().filter(s -> s.kind() == Kind.REQUEST_CLASS).toList();
        for (int i = 0; i < classes.size(); i++) {
            for (int j = 0; j < i; j++) {
                if (requestRules.get(j).covers(requestRules.get(i))) {
                    violations.add(new Violation(
                            classes.get(i).position(),
                            classes.get(i).name(),
                            Rule.UNREACHABLE,
                            "all its requests are of class " + classes.get(j).name() + ", which comes first",
                            "it before [classes." + classes.get(j).name() + "]"));
                    break;
                }
            }
        }
        if (requestRules.stream().noneMatch(r -> r.covers(RequestRule.ANY))) {
            own.addViolation(
                    "listen",
                    Rule.INCOMPLETE,
                    "some requests have no class: none takes what the others" + " leave",
                    "a last class without methods, paths and header, as [classes.rest]");
        }
    }

    private void readTenant(Section section) {
        SectionReader own = new SectionReader(section, section.name(), violations);
        own.rejectUnknownKeys(TENANT_KEYS);
        int index = settings.tenants.size();
        settings.tenants.add(new Tenant(section.name(), own.number("share", 0, 0, 1e9)));
        tenantsByName.put(section.name(), index);
        for (String host : own.texts("hosts", List.of())) {
            Integer before = tenantsByHost.putIfAbsent(Classifier.hostName(host).toLowerCase(Locale.ROOT), index);
            if (before != null) {
                own.addViolation(
                        "hosts",
                        Rule.SAME_MATCH,
                        "host " + host + " is tenant "
                                + settings.tenants.get(before).name() + "'s too",
                        "each host once");
            }
        }
    }

    // ---------------------------------------------------------------- servers

    private long readPool(SectionReader own) {
        settings.maxAttempts = own.integer("attempts", 3, 1, 100);
        settings.connectTimeoutUs = own.duration("connect-timeout", 250 * MS, MS, 60 * SECOND);
        settings.drainGraceUs = own.duration("grace", SECOND, 10 * MS, HOUR);
        settings.coldUs = own.duration("cold", 20 * SECOND, 0, HOUR);
        settings.coldStartFraction = own.number("cold-from", 0.2, 0.001, 1);
        settings.coldOverloadMultiple = own.number("overload", 3, 1, 1_000);
        settings.allowsHedging = own.flag("second-copies", true);
        return 2 * own.duration("idle", 5 * SECOND, 0, HOUR);
    }

    private List<SourceDeclaration> readSources(List<Section> file, SectionReader pool) {
        List<SourceDeclaration> sources = new ArrayList<>();
        List<ReportedServer> own = readServers(pool);
        if (!own.isEmpty()) {
            sources.add(new SourceDeclaration(
                    "file",
                    SourceDeclaration.Kind.ITSELF,
                    "",
                    0,
                    EnumSet.allOf(Permission.class),
                    0,
                    0,
                    Long.MAX_VALUE / 4,
                    own,
                    List.of()));
        }
        Set<String> known = new HashSet<>(Set.of("file"));
        for (Section section : file) {
            if (section.kind() == Kind.SOURCE) {
                SourceDeclaration declared = readSource(section, known);
                if (declared != null) {
                    sources.add(declared);
                }
            }
        }
        return sources;
    }

    private SourceDeclaration readSource(Section section, Set<String> known) {
        SectionReader own = new SectionReader(section, "source", violations);
        own.rejectUnknownKeys(SOURCE_KEYS);
        List<String> kinds =
                List.of("file", "dns", "srv").stream().filter(own::has).toList();
        if (kinds.size() != 1) {
            own.addViolation(
                    kinds.isEmpty() ? "name" : kinds.get(1),
                    Rule.INCOMPLETE,
                    "a source is one of a file, a name and a name of services",
                    "file = \"...\", dns = \"...\" or srv = \"...\"");
            return null;
        }
        String kind = kinds.get(0);
        String where = own.text(kind, "");
        String name = own.text("name", where);
        if (!known.add(name)) {
            own.addViolation("name", Rule.SAME_NAME, "there is another source '" + name + "'", "another name");
        }
        boolean asked = !kind.equals("file");
        if (asked && !where.matches("(?i)[a-z0-9_]([a-z0-9_-]{0,62})(\\.[a-z0-9_]([a-z0-9_-]{0,62}))*\\.?")) {
            own.addViolation(kind, Rule.BAD_PATTERN, "\"" + where + "\" is no name", "\"web.example\"");
        }
        int port = own.integer("port", 0, 1, 65_535);
        if (kind.equals("dns") != own.has("port")) {
            own.addViolation(
                    "port",
                    kind.equals("dns") ? Rule.INCOMPLETE : Rule.UNREACHABLE,
                    kind.equals("dns") ? "addresses of a name have no port" : "the port is told by the " + kind,
                    kind.equals("dns") ? "port = 80" : "no port");
        }
        Set<Permission> may = EnumSet.noneOf(Permission.class);
        for (String word : own.texts("may", List.of("add", "drain", "remove"))) {
            try {
                may.add(Permission.valueOf(word.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                own.addViolation(
                        "may",
                        Rule.OUT_OF_RANGE,
                        "\"" + word + "\" is nothing that a source may do",
                        "add, drain or remove");
            }
        }
        long every = own.duration("every", asked ? 5 * SECOND : SECOND, 100 * MS, DAY);
        long keep = own.duration("keep", asked ? 3 * Math.max(every, 10 * SECOND) : 0, 0, 7 * DAY);
        if (asked && keep < 2 * every) {
            own.addViolation(
                    "keep",
                    Rule.OUT_OF_RANGE,
                    "keep is under two answers' time: servers would come and"
                            + " go with each part of them that an answer names",
                    "keep = \"" + SectionReader.formatDuration(2 * every) + "\"");
        }
        List<InetSocketAddress> resolvers = new ArrayList<>();
        for (String each : own.texts("resolvers", List.of())) {
            InetSocketAddress address = readAddress(own, "resolvers", each, false);
            if (address != null) {
                resolvers.add(address);
            }
        }
        return new SourceDeclaration(
                name,
                SourceDeclaration.Kind.valueOf(kind.toUpperCase(Locale.ROOT)),
                where,
                port,
                may,
                every,
                keep,
                own.duration("stale", asked ? HOUR : 10 * 60 * SECOND, SECOND, 7 * DAY),
                List.of(),
                resolvers);
    }

    private List<ReportedServer> readServers(SectionReader pool) {
        Object value = pool.value("servers");
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            pool.addViolation("servers", Rule.WRONG_UNIT, "servers is no list", "[\"127.0.0.1:9001\"]");
            return List.of();
        }
        List<ReportedServer> servers = new ArrayList<>();
        for (Object each : list) {
            try {
                ReportedServer named = ServerEntryReader.read(each);
                if (servers.stream().anyMatch(s -> s.addresses().stream().anyMatch(named.addresses()::contains))) {
                    pool.addViolation(
                            "servers",
                            Rule.SAME_MATCH,
                            ReportedServer.formatAddress(named.addresses().get(0)) + " is named twice",
                            "each server once");
                }
                servers.add(named);
            } catch (IllegalArgumentException e) {
                pool.addViolation(
                        "servers",
                        Rule.BAD_PATTERN,
                        e.getMessage(),
                        "\"127.0.0.1:9001\" or { address = \"127.0.0.1:9001\", weight = 2.0 }");
            }
        }
        return servers;
    }

    private CheckRules readChecks(SectionReader own, int number) {
        own.rejectUnknownKeys(CHECK_KEYS);
        String path = own.text("path", "");
        if (!path.isEmpty() && !path.matches("/[\\x21-\\x7E]{0,255}")) {
            own.addViolation("path", Rule.BAD_PATTERN, "path = \"" + path + "\" is no path", "\"/healthy\"");
        }
        String status = own.text("status", "200-399");
        int least = 200;
        int most = 399;
        if (status.matches("[1-5]\\d\\d(-[1-5]\\d\\d)?")) {
            least = Integer.parseInt(status.substring(0, 3));
            most = status.length() > 3 ? Integer.parseInt(status.substring(4)) : least;
        }
        if (!status.matches("[1-5]\\d\\d(-[1-5]\\d\\d)?") || most < least) {
            own.addViolation(
                    "status",
                    Rule.OUT_OF_RANGE,
                    "status is neither one nor from one to another",
                    "status = \"200-399\"");
        }
        long every = own.duration("every", 5 * SECOND, 100 * MS, HOUR);
        long within = own.duration("within", Math.min(SECOND, every), 10 * MS, 60 * SECOND);
        if (within > every) {
            own.addViolation(
                    "within",
                    Rule.SCHEDULE,
                    "a check may take longer than until the next",
                    "within = \"" + SectionReader.formatDuration(every) + "\"");
        }
        return new CheckRules(
                path,
                own.text("host", "localhost"),
                least,
                most,
                every,
                within,
                own.integer("rise", 2, 1, 100),
                own.integer("fall", 3, 1, 100),
                own.number("budget", 20, 0.1, 10_000),
                own.integer("watchers", 3, 1, 100),
                settings.nodes,
                number,
                own.number("most-out", 0.5, 0, 1));
    }

    private static InetSocketAddress readAddress(SectionReader own, String key, String text, boolean anyPort) {
        if (text == null) {
            return null;
        }
        try {
            InetSocketAddress address = ServerEntryReader.parseAddress(text);
            if (address.getPort() > 0 || anyPort) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            // Told below, as a port that nobody can have is.
            own.addViolation(key, Rule.BAD_PATTERN, e.getMessage(), "\"127.0.0.1:8080\"");
            return null;
        }
        own.addViolation(key, Rule.OUT_OF_RANGE, text + " has no port", "\"127.0.0.1:8080\"");
        return null;
    }
}
