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
 * Reads and validates the tables of an operator's file that configure a node without a platform: every request has a
 * class, nothing that may have run is retried where that could do harm, and there is a source of servers. It reports
 * every violation at once and performs no I/O. Called when a file is checked, loaded or reloaded; each call uses an
 * instance of its own. Times are in microseconds.
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
     * The result of validating the tables.
     *
     * @param standalone null if there is no table {@code [node]}, or any violation
     */
    public record Validation(Standalone standalone, List<Violation> violations) {}

    private StandaloneValidator() {}

    /** The keys of each table, which the operators' documents must list. */
    static List<List<String>> keys() {
        return List.of(NODE_KEYS, CLASS_KEYS, TENANT_KEYS, POOL_KEYS, SOURCE_KEYS, CHECK_KEYS);
    }

    /** Whether the file configures a node without a platform. */
    public static boolean isStandalone(List<Section> file) {
        return file.stream().anyMatch(s -> s.kind() == Kind.NODE);
    }

    /** Whether this table belongs to the configuration of a node without a platform. */
    public static boolean isStandaloneSection(Section section) {
        return switch (section.kind()) {
            case NODE, REQUEST_CLASS, TENANT, POOL, SOURCE, CHECKS -> true;
            default -> false;
        };
    }

    /** Validates the tables of the file that this class is responsible for. */
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
                            "there is no table [node], without which this table has no effect",
                            "[node] with listen = \"127.0.0.1:8080\""));
                    break;
                }
            }
            return new Validation(null, List.copyOf(violations));
        }
        SectionReader table = new SectionReader(node, "node", violations);
        table.rejectUnknownKeys(NODE_KEYS);
        InetSocketAddress listen = readAddress(table, "listen", table.text("listen", null), true);
        if (!table.has("listen")) {
            table.addViolation("listen", Rule.INCOMPLETE, "missing key listen", "listen = \"127.0.0.1:8080\"");
        }
        int sockets = table.integer("sockets", 1_024, 128, 1 << 20);
        settings.nodes = table.integer("nodes", 1, 1, 10_000);
        int number = table.integer("number", 0, 0, 9_999);
        if (number >= settings.nodes) {
            table.addViolation(
                    "number",
                    Rule.OUT_OF_RANGE,
                    "number = " + number + " of " + settings.nodes + " nodes, counted from 0",
                    "number = " + (settings.nodes - 1));
        }
        settings.maxRetryAfterUs = table.duration("longest-advice", 30 * SECOND, 0, HOUR);
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
        checkCoverage(file, table);
        for (Section section : file) {
            if (section.kind() == Kind.TENANT) {
                readTenant(section);
            }
        }
        Section pool = firstSection(file, Kind.POOL);
        SectionReader servers = new SectionReader(
                pool == null ? new Section(Kind.POOL, "pool", node.position(), Map.of()) : pool, "pool", violations);
        servers.rejectUnknownKeys(POOL_KEYS);
        WebLimits limits = readLimits(table, servers.text("expect-header", ""));
        long idleUs = readPool(servers);
        List<SourceDeclaration> sources = readSources(file, servers);
        boolean hasServersKey =
                servers.value("servers") instanceof List<?> entries ? !entries.isEmpty() : servers.has("servers");
        if (sources.isEmpty() && !hasServersKey && firstSection(file, Kind.SOURCE) == null) {
            servers.addViolation(
                    "servers",
                    Rule.INCOMPLETE,
                    "no server and no source is named",
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
        String tenantHeader = table.text("tenant-header", "");
        String drainHeader = servers.text("drain-header", "");
        long seed = readSeed(table);
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

    private long readSeed(SectionReader table) {
        String seed = table.text("seed", null);
        if (seed == null) {
            return 0;
        }
        if (!seed.matches("[0-9a-fA-F]{1,16}")) {
            table.addViolation(
                    "seed", Rule.OUT_OF_RANGE, "seed must be a hexadecimal number of up to 16 digits", "seed = \"1\"");
            return 0;
        }
        return Long.parseUnsignedLong(seed, 16);
    }

    private WebLimits readLimits(SectionReader table, String requiredHeader) {
        String name = table.text("name", "vetchpost");
        if (!name.matches(TOKEN_PATTERN)) {
            table.addViolation(
                    "name", Rule.OUT_OF_RANGE, "name must be a token that is valid in Via", "name = \"node-1\"");
        }
        String forwarded = table.choice("forwarded", "both", List.of("standard", "custom", "both", "none"));
        int bufferBytes = (int) table.size("hold", 64 * KIB, KIB, 16 * KIB * KIB);
        long maxBodyBytes = table.size("max-body", 1L << 30, 0, 1L << 50);
        return new WebLimits(
                bufferBytes,
                table.duration("hold-for", 100 * MS, 0, 60 * SECOND),
                maxBodyBytes,
                table.duration("head-within", 10 * SECOND, 100 * MS, HOUR),
                table.duration("idle", 30 * SECOND, 100 * MS, HOUR),
                table.duration("keep-alive", 75 * SECOND, 0, DAY),
                table.duration("upload-within", HOUR, SECOND, DAY),
                name,
                Forwarded.valueOf(forwarded.toUpperCase(Locale.ROOT)),
                table.flag("trust-forwarded", false),
                requiredHeader);
    }

    // ---------------------------------------------------------------- classes of requests

    /** The default classes: requests of safe methods, and all others. */
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

    private void addClass(RequestRule rule, RequestClass requestClass) {
        requestRules.add(rule);
        settings.classes.add(requestClass);
    }

    private void readRequestClass(Section section) {
        SectionReader table = new SectionReader(section, section.name(), violations);
        table.rejectUnknownKeys(CLASS_KEYS);
        String idempotencyName = table.choice(
                "repeat",
                table.has("methods") && SAFE_METHODS.containsAll(table.texts("methods", List.of())) ? "safe" : "unsafe",
                List.of("safe", "keyed", "unsafe"));
        Idempotency idempotency = Idempotency.valueOf(idempotencyName.toUpperCase(Locale.ROOT));
        Set<String> methods = new LinkedHashSet<>(table.texts("methods", List.of()));
        for (String method : methods) {
            if (!method.matches(TOKEN_PATTERN) || !method.equals(method.toUpperCase(Locale.ROOT))) {
                table.addViolation(
                        "methods",
                        Rule.BAD_PATTERN,
                        "\"" + method + "\" is not a valid method",
                        "\"" + method.toUpperCase(Locale.ROOT) + "\"");
            }
        }
        List<String> paths = new ArrayList<>(table.texts("paths", List.of()));
        for (String path : paths) {
            if (!path.matches("/[\\x21-\\x22\\x24-\\x29\\x2B-\\x3E\\x40-\\x7E]*\\*?")
                    || path.endsWith("*") && !path.endsWith("/*")) {
                table.addViolation(
                        "paths",
                        Rule.BAD_PATTERN,
                        "\"" + path + "\" is not a valid path",
                        "\"/photos\" or \"/photos/*\"");
            }
        }
        String header = table.text("header", idempotency == Idempotency.KEYED ? DEFAULT_KEY_HEADER : "");
        if (!header.isEmpty() && !header.matches(TOKEN_PATTERN)) {
            table.addViolation(
                    "header",
                    Rule.BAD_PATTERN,
                    "header must be the name of a header field",
                    "\"" + DEFAULT_KEY_HEADER + "\"");
        }
        if (idempotency == Idempotency.KEYED && !table.has("window")) {
            table.addViolation(
                    "window",
                    Rule.KEYED_LATE,
                    "missing key window: how long servers drop repeats of a key",
                    "window = \"10s\", or repeat = \"unsafe\"");
        }
        if (idempotency != Idempotency.KEYED && table.has("window")) {
            table.addViolation("window", Rule.UNREACHABLE, "only keyed classes have a window", "repeat = \"keyed\"");
        }
        if (idempotency == Idempotency.SAFE) {
            for (String method : methods) {
                if (!SAFE_METHODS.contains(method)) {
                    table.addViolation(
                            "repeat",
                            Rule.UNSAFE_AGAIN,
                            method + " is not a safe method (RFC 9110, section"
                                    + " 9.2.1): a retry could take effect twice",
                            "repeat = \"unsafe\"");
                }
            }
            if (methods.isEmpty()) {
                table.addViolation(
                        "repeat",
                        Rule.UNSAFE_AGAIN,
                        "a safe class must list its methods",
                        "methods = [\"GET\", \"HEAD\"]");
            }
        }
        long deadlineUs = table.duration("deadline", 30 * SECOND, MS, DAY);
        long latencyTargetUs = table.duration("aim", Math.min(SECOND, deadlineUs), MS, DAY);
        if (latencyTargetUs > deadlineUs) {
            table.addViolation(
                    "aim",
                    Rule.PAST_WHOLE,
                    "aim is longer than the deadline of " + SectionReader.formatDuration(deadlineUs),
                    "aim = \"" + SectionReader.formatDuration(deadlineUs) + "\"");
        }
        addClass(
                new RequestRule(methods, paths, header),
                new RequestClass(
                        section.name(),
                        latencyTargetUs,
                        0,
                        deadlineUs,
                        table.number("worth", 1, 0, 1e6),
                        table.number("late-worth", 0.5, 0, 1),
                        idempotency,
                        DeduplicationScope.ALL,
                        table.duration("window", 0, 0, DAY),
                        false));
    }

    /** Checks that each class can be reached and that each request has a class. */
    private void checkCoverage(List<Section> file, SectionReader table) {
        List<Section> classes =
                file.stream().filter(s -> s.kind() == Kind.REQUEST_CLASS).toList();
        for (int i = 0; i < classes.size(); i++) {
            for (int j = 0; j < i; j++) {
                if (requestRules.get(j).covers(requestRules.get(i))) {
                    violations.add(new Violation(
                            classes.get(i).position(),
                            classes.get(i).name(),
                            Rule.UNREACHABLE,
                            "all its requests belong to class " + classes.get(j).name() + ", which comes first",
                            "it before [classes." + classes.get(j).name() + "]"));
                    break;
                }
            }
        }
        if (requestRules.stream().noneMatch(r -> r.covers(RequestRule.ANY))) {
            table.addViolation(
                    "listen",
                    Rule.INCOMPLETE,
                    "some requests have no class: no class matches what the others leave",
                    "a last class without methods, paths and header, as [classes.rest]");
        }
    }

    private void readTenant(Section section) {
        SectionReader table = new SectionReader(section, section.name(), violations);
        table.rejectUnknownKeys(TENANT_KEYS);
        int index = settings.tenants.size();
        settings.tenants.add(new Tenant(section.name(), table.number("share", 0, 0, 1e9)));
        tenantsByName.put(section.name(), index);
        for (String host : table.texts("hosts", List.of())) {
            Integer otherIndex =
                    tenantsByHost.putIfAbsent(Classifier.hostName(host).toLowerCase(Locale.ROOT), index);
            if (otherIndex != null) {
                table.addViolation(
                        "hosts",
                        Rule.SAME_MATCH,
                        "host " + host + " is tenant "
                                + settings.tenants.get(otherIndex).name() + "'s too",
                        "each host once");
            }
        }
    }

    // ---------------------------------------------------------------- servers

    private long readPool(SectionReader table) {
        settings.maxAttempts = table.integer("attempts", 3, 1, 100);
        settings.connectTimeoutUs = table.duration("connect-timeout", 250 * MS, MS, 60 * SECOND);
        settings.drainGraceUs = table.duration("grace", SECOND, 10 * MS, HOUR);
        settings.coldUs = table.duration("cold", 20 * SECOND, 0, HOUR);
        settings.coldStartFraction = table.number("cold-from", 0.2, 0.001, 1);
        settings.coldOverloadMultiple = table.number("overload", 3, 1, 1_000);
        settings.allowsHedging = table.flag("second-copies", true);
        return 2 * table.duration("idle", 5 * SECOND, 0, HOUR);
    }

    private List<SourceDeclaration> readSources(List<Section> file, SectionReader pool) {
        List<SourceDeclaration> sources = new ArrayList<>();
        List<ReportedServer> inlineServers = readServers(pool);
        if (!inlineServers.isEmpty()) {
            sources.add(new SourceDeclaration(
                    "file",
                    SourceDeclaration.Kind.ITSELF,
                    "",
                    0,
                    EnumSet.allOf(Permission.class),
                    0,
                    0,
                    Long.MAX_VALUE / 4,
                    inlineServers,
                    List.of()));
        }
        Set<String> names = new HashSet<>(Set.of("file"));
        for (Section section : file) {
            if (section.kind() == Kind.SOURCE) {
                SourceDeclaration declared = readSource(section, names);
                if (declared != null) {
                    sources.add(declared);
                }
            }
        }
        return sources;
    }

    private SourceDeclaration readSource(Section section, Set<String> names) {
        SectionReader table = new SectionReader(section, "source", violations);
        table.rejectUnknownKeys(SOURCE_KEYS);
        List<String> kinds =
                List.of("file", "dns", "srv").stream().filter(table::has).toList();
        if (kinds.size() != 1) {
            table.addViolation(
                    kinds.isEmpty() ? "name" : kinds.get(1),
                    Rule.INCOMPLETE,
                    "a source must have exactly one of file, dns and srv",
                    "file = \"...\", dns = \"...\" or srv = \"...\"");
            return null;
        }
        String kind = kinds.get(0);
        String location = table.text(kind, "");
        String name = table.text("name", location);
        if (!names.add(name)) {
            table.addViolation("name", Rule.SAME_NAME, "there is already a source '" + name + "'", "another name");
        }
        boolean isDnsName = !kind.equals("file");
        if (isDnsName && !location.matches("(?i)[a-z0-9_]([a-z0-9_-]{0,62})(\\.[a-z0-9_]([a-z0-9_-]{0,62}))*\\.?")) {
            table.addViolation(
                    kind, Rule.BAD_PATTERN, "\"" + location + "\" is not a valid DNS name", "\"web.example\"");
        }
        int port = table.integer("port", 0, 1, 65_535);
        if (kind.equals("dns") != table.has("port")) {
            table.addViolation(
                    "port",
                    kind.equals("dns") ? Rule.INCOMPLETE : Rule.UNREACHABLE,
                    kind.equals("dns")
                            ? "missing key port: the addresses of a name have none"
                            : "the port comes from the " + kind,
                    kind.equals("dns") ? "port = 80" : "no port");
        }
        Set<Permission> permissions = EnumSet.noneOf(Permission.class);
        for (String permission : table.texts("may", List.of("add", "drain", "remove"))) {
            try {
                permissions.add(Permission.valueOf(permission.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                table.addViolation(
                        "may",
                        Rule.OUT_OF_RANGE,
                        "\"" + permission + "\" is not a permission of a source",
                        "add, drain or remove");
            }
        }
        long intervalUs = table.duration("every", isDnsName ? 5 * SECOND : SECOND, 100 * MS, DAY);
        long retentionUs = table.duration("keep", isDnsName ? 3 * Math.max(intervalUs, 10 * SECOND) : 0, 0, 7 * DAY);
        if (isDnsName && retentionUs < 2 * intervalUs) {
            table.addViolation(
                    "keep",
                    Rule.OUT_OF_RANGE,
                    "keep is under two intervals: servers would come and"
                            + " go with each answer that names only part of them",
                    "keep = \"" + SectionReader.formatDuration(2 * intervalUs) + "\"");
        }
        List<InetSocketAddress> resolvers = new ArrayList<>();
        for (String resolver : table.texts("resolvers", List.of())) {
            InetSocketAddress address = readAddress(table, "resolvers", resolver, false);
            if (address != null) {
                resolvers.add(address);
            }
        }
        return new SourceDeclaration(
                name,
                SourceDeclaration.Kind.valueOf(kind.toUpperCase(Locale.ROOT)),
                location,
                port,
                permissions,
                intervalUs,
                retentionUs,
                table.duration("stale", isDnsName ? HOUR : 10 * 60 * SECOND, SECOND, 7 * DAY),
                List.of(),
                resolvers);
    }

    private List<ReportedServer> readServers(SectionReader pool) {
        Object value = pool.value("servers");
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            pool.addViolation("servers", Rule.WRONG_UNIT, "servers must be a list", "[\"127.0.0.1:9001\"]");
            return List.of();
        }
        List<ReportedServer> servers = new ArrayList<>();
        for (Object entry : list) {
            try {
                ReportedServer server = ServerEntryReader.read(entry);
                if (servers.stream()
                        .anyMatch(other -> other.addresses().stream().anyMatch(server.addresses()::contains))) {
                    pool.addViolation(
                            "servers",
                            Rule.SAME_MATCH,
                            ReportedServer.formatAddress(server.addresses().get(0)) + " is listed twice",
                            "each server once");
                }
                servers.add(server);
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

    private CheckRules readChecks(SectionReader table, int nodeNumber) {
        table.rejectUnknownKeys(CHECK_KEYS);
        String path = table.text("path", "");
        if (!path.isEmpty() && !path.matches("/[\\x21-\\x7E]{0,255}")) {
            table.addViolation("path", Rule.BAD_PATTERN, "path = \"" + path + "\" is not a valid path", "\"/healthy\"");
        }
        String status = table.text("status", "200-399");
        int minStatus = 200;
        int maxStatus = 399;
        if (status.matches("[1-5]\\d\\d(-[1-5]\\d\\d)?")) {
            minStatus = Integer.parseInt(status.substring(0, 3));
            maxStatus = status.length() > 3 ? Integer.parseInt(status.substring(4)) : minStatus;
        }
        if (!status.matches("[1-5]\\d\\d(-[1-5]\\d\\d)?") || maxStatus < minStatus) {
            table.addViolation(
                    "status", Rule.OUT_OF_RANGE, "status must be one status or a range", "status = \"200-399\"");
        }
        long intervalUs = table.duration("every", 5 * SECOND, 100 * MS, HOUR);
        long timeoutUs = table.duration("within", Math.min(SECOND, intervalUs), 10 * MS, 60 * SECOND);
        if (timeoutUs > intervalUs) {
            table.addViolation(
                    "within",
                    Rule.SCHEDULE,
                    "a check may take longer than the interval between checks",
                    "within = \"" + SectionReader.formatDuration(intervalUs) + "\"");
        }
        return new CheckRules(
                path,
                table.text("host", "localhost"),
                minStatus,
                maxStatus,
                intervalUs,
                timeoutUs,
                table.integer("rise", 2, 1, 100),
                table.integer("fall", 3, 1, 100),
                table.number("budget", 20, 0.1, 10_000),
                table.integer("watchers", 3, 1, 100),
                settings.nodes,
                nodeNumber,
                table.number("most-out", 0.5, 0, 1));
    }

    private static InetSocketAddress readAddress(SectionReader table, String key, String text, boolean allowsPortZero) {
        if (text == null) {
            return null;
        }
        try {
            InetSocketAddress address = ServerEntryReader.parseAddress(text);
            if (address.getPort() > 0 || allowsPortZero) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            table.addViolation(key, Rule.BAD_PATTERN, e.getMessage(), "\"127.0.0.1:8080\"");
            return null;
        }
        table.addViolation(key, Rule.OUT_OF_RANGE, text + " has no port", "\"127.0.0.1:8080\"");
        return null;
    }
}
