package vetchpost.changes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import vetchpost.decision.Balancer.Settings;
import vetchpost.replication.Index;
import vetchpost.routes.Position;
import vetchpost.routes.RouteCodec;
import vetchpost.routes.RouteTable;
import vetchpost.routes.RouteValidation;
import vetchpost.routes.RouteValidator;
import vetchpost.routes.RouteValidator.RouteChange;
import vetchpost.routes.Section;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryChange.Op;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.FieldCodec;
import vetchpost.store.PackedTree;
import vetchpost.store.PackedTree.Item;
import vetchpost.store.VersionedStore;

/**
 * A configuration at one version: its entries, the route table that requests are looked up in, and an index of the
 * routes of each tenant. It is immutable and may be read by any thread. {@link ChangeWriter} validates batches with
 * {@link #apply}; replicas apply entries that were validated elsewhere through {@link Index}. A batch is validated
 * against only what it can break: each route with those of its name, match and tenant, or all routes where the
 * defaults or a class change.
 */
public final class RouteConfiguration implements Index {
    private static final byte[] EMPTY_BYTES = new byte[0];
    private static final byte[] TENANTS_START = new EntryKey(EntryKind.TENANT, "").bytes();
    private static final double MAX_TENANT_SHARE = 1e9;
    private static final int MAX_BATCH_CHANGES = 10_000;

    private final Settings settings;
    private final VersionedStore store;
    private final RouteTable routes;
    /** One key for each route that names a tenant: the tenant's name, a zero byte, the route's name. */
    private final PackedTree tenantRoutes;
    /** While entries are applied one by one: whether defaults or class limits are among them. */
    private final boolean limitsChanged;

    /**
     * The result of a batch.
     *
     * @param configuration with the batch applied; null if there is any violation
     * @param violations every one; empty if the batch was applied
     */
    public record Outcome(RouteConfiguration configuration, List<Violation> violations) {}

    private RouteConfiguration(
            Settings settings,
            VersionedStore store,
            RouteTable routes,
            PackedTree tenantRoutes,
            boolean limitsChanged) {
        this.limitsChanged = limitsChanged;
        this.settings = settings;
        this.store = store;
        this.routes = routes;
        this.tenantRoutes = tenantRoutes;
    }

    /**
     * A configuration without entries.
     *
     * @param settings with the classes and tenants of requests; the tenants that routes may name are entries
     */
    public static RouteConfiguration empty(Settings settings) {
        return new RouteConfiguration(
                settings,
                VersionedStore.EMPTY,
                RouteValidator.validateStandalone(List.of(), settings).table(),
                PackedTree.EMPTY,
                false);
    }

    /** The entries with their versions. */
    public VersionedStore store() {
        return store;
    }

    /**
     * The same configuration with its entries at the versions of a saved store, for a writer to continue from.
     *
     * @param saved store with the same entries
     */
    public RouteConfiguration withStore(VersionedStore saved) {
        return new RouteConfiguration(settings, saved, routes.backedBy(saved.live()), tenantRoutes, false);
    }

    /** The table that finds the route of a request. */
    public RouteTable routes() {
        return routes;
    }

    /** Bytes retained by the indexes, without the entries. */
    public long indexBytes() {
        return routes.indexBytes() + tenantRoutes.retainedBytes();
    }

    // ---------------------------------------------------------------- validated batches

    /**
     * Validates a batch and applies it as a whole, or not at all; of several changes of one key the last counts.
     *
     * @param batch up to 10,000 changes
     * @param version of the changes, greater than the store's
     * @return the configuration with the batch, or every violation
     */
    public Outcome apply(List<EntryChange> batch, long version) {
        List<Violation> violations = new ArrayList<>();
        Map<EntryKey, EntryChange> lastChangeOf = new LinkedHashMap<>();
        if (batch.size() > MAX_BATCH_CHANGES) {
            violations.add(new Violation(
                    positionOf(MAX_BATCH_CHANGES),
                    "batch",
                    Rule.OUT_OF_RANGE,
                    batch.size() + " changes",
                    MAX_BATCH_CHANGES + " or fewer"));
            return new Outcome(null, violations);
        }
        for (int i = 0; i < batch.size(); i++) {
            EntryChange change = batch.get(i);
            boolean exists = lastChangeOf.containsKey(change.key())
                    ? lastChangeOf.get(change.key()).value() != null
                    : store.get(change.key()) != null;
            if (exists != (change.op() != Op.PUT)) {
                violations.add(new Violation(
                        positionOf(i),
                        change.key().toString(),
                        exists ? Rule.SAME_NAME : Rule.UNKNOWN_ENTRY,
                        exists ? "there is already such an entry" : "there is no such entry",
                        exists ? "a replace" : "a put"));
            }
            lastChangeOf.remove(change.key());
            lastChangeOf.put(change.key(), change);
        }
        if (!violations.isEmpty()) {
            return new Outcome(null, violations);
        }
        List<EntryChange> changes = List.copyOf(lastChangeOf.values());
        VersionedStore newStore = store.with(changes, version);
        RouteValidation validation = validateRoutes(changes, newStore, version, violations);
        if (!violations.isEmpty()) {
            // Some entries could not be decoded, so the batch cannot be checked further.
            violations.addAll(validation.violations());
            return new Outcome(null, violations);
        }
        PackedTree newTenantRoutes = tenantRoutes;
        for (int i = 0; i < changes.size(); i++) {
            EntryChange change = changes.get(i);
            switch (change.key().kind()) {
                case TENANT -> validateTenant(change, positionOf(i), violations);
                case SERVICE -> validateService(change, positionOf(i), violations);
                case ROUTE ->
                    newTenantRoutes =
                            updateTenantRoutes(newTenantRoutes, change.key().bytes(), change.value());
                default -> {}
            }
        }
        for (int i = 0; i < changes.size(); i++) {
            EntryChange change = changes.get(i);
            if (change.key().kind() == EntryKind.TENANT && change.value() == null) {
                requireNoRoutes(newTenantRoutes, change.key().name(), positionOf(i), violations);
            }
        }
        violations.addAll(validation.violations());
        return violations.isEmpty()
                ? new Outcome(
                        new RouteConfiguration(
                                settings,
                                newStore,
                                validation.table().backedBy(newStore.live()),
                                newTenantRoutes,
                                false),
                        violations)
                : new Outcome(null, violations);
    }

    /** The position that violations report for a change: its place in the batch, from 1, as the line. */
    private static Position positionOf(int changeIndex) {
        return new Position("batch", changeIndex + 1, 1);
    }

    private RouteValidation validateRoutes(
            List<EntryChange> changes, VersionedStore newStore, long version, List<Violation> violations) {
        RouteValidator.Tenants tenants = new RouteValidator.Tenants() {
            @Override
            public boolean contains(String name) {
                return newStore.get(new EntryKey(EntryKind.TENANT, name)) != null;
            }

            @Override
            public Iterable<String> names() {
                return () -> newStore.live().range(TENANTS_START, null, 1_001).stream()
                        .filter(i -> i.key()[0] == TENANTS_START[0])
                        .map(i -> EntryKey.of(i.key()).name())
                        .iterator();
            }
        };
        if (changes.stream().anyMatch(c -> c.key().kind() == EntryKind.LIMITS)) {
            return validateAllRoutes(newStore, version, tenants, violations);
        }
        List<RouteChange> routeChanges = new ArrayList<>();
        for (int i = 0; i < changes.size(); i++) {
            EntryChange change = changes.get(i);
            if (change.key().kind() == EntryKind.ROUTE) {
                Section section = null;
                try {
                    section = change.value() == null
                            ? null
                            : requireName(change.key().name(), RouteCodec.decode(change.value(), positionOf(i)));
                } catch (IllegalArgumentException e) {
                    violations.add(
                            new Violation(positionOf(i), change.key().toString(), Rule.SYNTAX, e.getMessage(), ""));
                }
                if (section != null || change.value() == null) {
                    // Whether the entry exists was checked above, with all changes of the batch. The operation here
                    // is relative to the store, since only the last change of each key counts.
                    routeChanges.add(new RouteChange(
                            store.get(change.key()) == null ? Op.PUT : change.op() == Op.PUT ? Op.REPLACE : change.op(),
                            change.key().name(),
                            section,
                            positionOf(i)));
                }
            }
        }
        routeChanges.removeIf(c -> c.section() == null && store.get(new EntryKey(EntryKind.ROUTE, c.name())) == null);
        return RouteValidator.validateChanges(routes, routeChanges, version, tenants);
    }

    /** Checks that a route's name, which is its path if it has none, is the name of its entry. */
    private static Section requireName(String name, Section route) {
        if (name.equals(RouteCodec.nameOf(route))) {
            return route;
        }
        throw new IllegalArgumentException("the entry of route " + name + " has the name " + RouteCodec.nameOf(route));
    }

    /** Validates all routes, because the defaults or a class have changed. */
    private RouteValidation validateAllRoutes(
            VersionedStore newStore, long version, RouteValidator.Tenants tenants, List<Violation> violations) {
        List<Section> limits = readLimits(newStore.live(), violations);
        RouteValidator validator = RouteValidator.begin(limits, settings, true, routes, version, tenants);
        byte[] routesStart = new EntryKey(EntryKind.ROUTE, "").bytes();
        for (Item route = newStore.live().ceiling(routesStart);
                route != null && route.key()[0] == routesStart[0];
                route = newStore.live().ceiling(PackedTree.successor(route.key()))) {
            String name = EntryKey.of(route.key()).name();
            Position position = new Position("route " + name, 1, 1);
            try {
                validator.addRoute(requireName(name, RouteCodec.decode(route.value(), position)));
            } catch (IllegalArgumentException e) {
                violations.add(new Violation(position, "route " + name, Rule.SYNTAX, e.getMessage(), ""));
            }
        }
        return validator.finish();
    }

    private static void validateTenant(EntryChange change, Position position, List<Violation> violations) {
        if (change.value() == null) {
            return;
        }
        try {
            FieldCodec.read(change.value(), (number, value) -> {
                if (number != 0 || !(value instanceof Double share) || !(share >= 0 && share <= MAX_TENANT_SHARE)) {
                    throw new IllegalArgumentException("field " + number + " = " + value);
                }
            });
        } catch (IllegalArgumentException e) {
            violations.add(new Violation(
                    position,
                    change.key().toString(),
                    Rule.OUT_OF_RANGE,
                    e.getMessage(),
                    "a share from 0 to " + MAX_TENANT_SHARE));
        }
    }

    private static void validateService(EntryChange change, Position position, List<Violation> violations) {
        try {
            if (change.value() != null) {
                FieldCodec.read(change.value(), (number, value) -> {});
            }
        } catch (IllegalArgumentException e) {
            violations.add(new Violation(position, change.key().toString(), Rule.SYNTAX, e.getMessage(), ""));
        }
    }

    private static void requireNoRoutes(
            PackedTree tenantRoutes, String tenant, Position position, List<Violation> violations) {
        byte[] prefix = tenantRouteKey(tenant, EMPTY_BYTES);
        Item item = tenantRoutes.ceiling(prefix);
        if (item != null
                && Arrays.equals(prefix, 0, prefix.length, item.key(), 0, Math.min(prefix.length, item.key().length))) {
            violations.add(new Violation(
                    position,
                    "tenant " + tenant,
                    Rule.UNKNOWN_TENANT,
                    "route " + FieldCodec.text(Arrays.copyOfRange(item.key(), prefix.length, item.key().length))
                            + " belongs to it",
                    "deleting that route first"));
        }
    }

    private static byte[] tenantRouteKey(String tenant, byte[] route) {
        byte[] tenantName = FieldCodec.utf8(tenant);
        byte[] key = Arrays.copyOf(tenantName, tenantName.length + 1 + route.length);
        System.arraycopy(route, 0, key, tenantName.length + 1, route.length);
        return key;
    }

    private PackedTree updateTenantRoutes(PackedTree before, byte[] key, byte[] value) {
        PackedTree after = before;
        byte[] routeName = Arrays.copyOfRange(key, 1, key.length);
        Item oldEntry = routes.entries().get(key);
        String oldTenant = oldEntry == null ? null : RouteCodec.tenantOf(oldEntry.value());
        if (oldTenant != null) {
            after = after.remove(tenantRouteKey(oldTenant, routeName));
        }
        String newTenant = value == null ? null : RouteCodec.tenantOf(value);
        return newTenant == null ? after : after.put(tenantRouteKey(newTenant, routeName), EMPTY_BYTES, 0);
    }

    // ---------------------------------------------------------------- entries validated elsewhere

    @Override
    public RouteConfiguration withEntry(byte[] key, byte[] value, PackedTree live) {
        EntryKey entryKey = EntryKey.of(key);
        if (entryKey.kind() == EntryKind.LIMITS) {
            return new RouteConfiguration(settings, store, routes, tenantRoutes, true);
        }
        if (entryKey.kind() != EntryKind.ROUTE) {
            return this;
        }
        return new RouteConfiguration(
                settings,
                store,
                routes.withRoute(entryKey.name(), value, live),
                updateTenantRoutes(tenantRoutes, key, value),
                limitsChanged);
    }

    /**
     * A configuration whose indexes also have an entry that is already in the tree that backs it; used on a start
     * from a saved store.
     *
     * @param key bytes of an {@link EntryKey}
     * @throws IllegalArgumentException if the key or a route's value cannot be decoded
     */
    public RouteConfiguration withIndexedEntry(byte[] key, byte[] value) {
        EntryKey entryKey = EntryKey.of(key);
        if (entryKey.kind() != EntryKind.ROUTE) {
            return entryKey.kind() == EntryKind.LIMITS
                    ? new RouteConfiguration(settings, store, routes, tenantRoutes, true)
                    : this;
        }
        String tenant = RouteCodec.tenantOf(value);
        return new RouteConfiguration(
                settings,
                store,
                routes.withIndexedRoute(entryKey.name(), value),
                tenant == null
                        ? tenantRoutes
                        : tenantRoutes.put(
                                tenantRouteKey(tenant, Arrays.copyOfRange(key, 1, key.length)), EMPTY_BYTES, 0),
                limitsChanged);
    }

    @Override
    public RouteConfiguration backedBy(PackedTree live) {
        RouteTable table = routes.backedBy(live);
        return new RouteConfiguration(
                settings,
                VersionedStore.of(live, live.newestStamp()),
                limitsChanged ? RouteValidator.withLimits(table, readLimits(live, null)) : table,
                tenantRoutes,
                false);
    }

    /**
     * The sections of the defaults and of the classes.
     *
     * @param violations receives a violation for each entry that cannot be decoded; null to throw instead
     */
    private static List<Section> readLimits(PackedTree live, List<Violation> violations) {
        List<Section> sections = new ArrayList<>();
        for (Item item : live.range(
                new EntryKey(EntryKind.LIMITS, "").bytes(),
                new EntryKey(EntryKind.SERVICE, "").bytes(),
                Integer.MAX_VALUE)) {
            EntryKey key = EntryKey.of(item.key());
            Position position = new Position(key.toString(), 1, 1);
            try {
                sections.add(new Section(
                        key.name().isEmpty() ? Section.Kind.DEFAULTS : Section.Kind.CLASS,
                        key.name(),
                        position,
                        RouteCodec.decode(item.value(), position).entries()));
            } catch (IllegalArgumentException e) {
                if (violations == null) {
                    throw e;
                }
                violations.add(new Violation(position, key.toString(), Rule.SYNTAX, e.getMessage(), ""));
            }
        }
        return sections;
    }
}
