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
 * A configuration at one version: its entries, the routes that requests are looked up in, and which of them
 * are a tenant's. It never changes. A batch is proved by what it can break: each route with those of its
 * name, match and tenant; all routes where defaults or a class change.
 */
public final class RouteConfiguration implements Index {
    private static final byte[] EMPTY_BYTES = new byte[0];
    private static final byte[] TENANTS_START = new EntryKey(EntryKind.TENANT, "").bytes();
    private static final double MAX_TENANT_SHARE = 1e9;
    private static final int MAX_BATCH_CHANGES = 10_000;

    private final Settings settings;
    private final VersionedStore store;
    private final RouteTable routes;
    /** Of routes that are one tenant's: the tenant's name, a byte of 0, the route's. */
    private final PackedTree tenantRoutes;
    /** While entries are taken in one by one: whether what holds for classes is among them. */
    private final boolean limitsChanged;

    /**
     * What a batch comes to.
     *
     * @param catalog null if there is any violation
     */
    public record Outcome(RouteConfiguration configuration, List<Violation> violations) {}

    private RouteConfiguration(
            Settings settings, VersionedStore store, RouteTable routes, PackedTree byTenant, boolean limitsChanged) {
        this.limitsChanged = limitsChanged;
        this.settings = settings;
        this.store = store;
        this.routes = routes;
        this.tenantRoutes = byTenant;
    }

    /**
     * Nothing, for requests of these classes.
     *
     * @param settings its tenants are those that requests can have; those that routes may name are entries
     */
    public static RouteConfiguration empty(Settings settings) {
        return new RouteConfiguration(
                settings,
                VersionedStore.EMPTY,
                RouteValidator.validateStandalone(List.of(), settings).table(),
                PackedTree.EMPTY,
                false);
    }

    /** The entries, with their versions. */
    public VersionedStore store() {
        return store;
    }

    /** The same entries with their own versions, as somebody has kept them, for a writer to go on from. */
    public RouteConfiguration withStore(VersionedStore kept) {
        return new RouteConfiguration(settings, kept, routes.backedBy(kept.live()), tenantRoutes, false);
    }

    /** Where requests' routes are found. */
    public RouteTable routes() {
        return routes;
    }

    /** Bytes that it keeps beside the entries. */
    public long indexBytes() {
        return routes.indexBytes() + tenantRoutes.retainedBytes();
    }

    // ---------------------------------------------------------------- a batch that is proved

    /**
     * The batch at that version, or all that it would break; of several changes of one key the last counts.
     */
    public Outcome apply(List<EntryChange> batch, long version) {
        List<Violation> violations = new ArrayList<>();
        Map<EntryKey, EntryChange> last = new LinkedHashMap<>();
        if (batch.size() > MAX_BATCH_CHANGES) {
            violations.add(new Violation(
                    withStore(MAX_BATCH_CHANGES),
                    "batch",
                    Rule.OUT_OF_RANGE,
                    batch.size() + " changes",
                    MAX_BATCH_CHANGES + " or fewer"));
            return new Outcome(null, violations);
        }
        for (int i = 0; i < batch.size(); i++) {
            EntryChange change = batch.get(i);
            boolean there = last.containsKey(change.key())
                    ? last.get(change.key()).value() != null
                    : store.get(change.key()) != null;
            if (there != (change.op() != Op.PUT)) {
                violations.add(new Violation(
                        withStore(i),
                        change.key().toString(),
                        there ? Rule.SAME_NAME : Rule.UNKNOWN_ENTRY,
                        there ? "it is there already" : "it is not there",
                        there ? "a replace" : "a put"));
            }
            last.remove(change.key());
            last.put(change.key(), change);
        }
        if (!violations.isEmpty()) {
            return new Outcome(null, violations);
        }
        List<EntryChange> changes = List.copyOf(last.values());
        VersionedStore after = store.with(changes, version);
        RouteValidation proof = validateRoutes(changes, after, version, violations);
        if (!violations.isEmpty()) {
            // Some can't be read, so that nothing more can be said of them.
            violations.addAll(proof.violations());
            return new Outcome(null, violations);
        }
        PackedTree owned = tenantRoutes;
        for (int i = 0; i < changes.size(); i++) {
            EntryChange change = changes.get(i);
            switch (change.key().kind()) {
                case TENANT -> validateTenant(change, withStore(i), violations);
                case SERVICE -> validateService(change, withStore(i), violations);
                case ROUTE -> owned = updateTenantRoutes(owned, change.key().bytes(), change.value());
                default -> {}
            }
        }
        for (int i = 0; i < changes.size(); i++) {
            EntryChange change = changes.get(i);
            if (change.key().kind() == EntryKind.TENANT && change.value() == null) {
                requireNoRoutes(owned, change.key().name(), withStore(i), violations);
            }
        }
        violations.addAll(proof.violations());
        return violations.isEmpty()
                ? new Outcome(
                        new RouteConfiguration(settings, after, proof.table().backedBy(after.live()), owned, false),
                        violations)
                : new Outcome(null, violations);
    }

    /** Where a change stands in its batch, as messages have it. */
    private static Position withStore(int change) {
        return new Position("batch", change + 1, 1);
    }

    private RouteValidation validateRoutes(
            List<EntryChange> changes, VersionedStore after, long version, List<Violation> violations) {
        RouteValidator.Tenants tenants = new RouteValidator.Tenants() {
            @Override
            public boolean contains(String name) {
                return after.get(new EntryKey(EntryKind.TENANT, name)) != null;
            }

            @Override
            public Iterable<String> names() {
                return () -> after.live().range(TENANTS_START, null, 1_001).stream()
                        .filter(i -> i.key()[0] == TENANTS_START[0])
                        .map(i -> EntryKey.of(i.key()).name())
                        .iterator();
            }
        };
        if (changes.stream().anyMatch(c -> c.key().kind() == EntryKind.LIMITS)) {
            return validateAllRoutes(after, version, tenants, violations);
        }
        List<RouteChange> ofRoutes = new ArrayList<>();
        for (int i = 0; i < changes.size(); i++) {
            EntryChange change = changes.get(i);
            if (change.key().kind() == EntryKind.ROUTE) {
                Section section = null;
                try {
                    section = change.value() == null
                            ? null
                            : requireName(change.key().name(), RouteCodec.decode(change.value(), withStore(i)));
                } catch (IllegalArgumentException e) {
                    violations.add(
                            new Violation(withStore(i), change.key().toString(), Rule.SYNTAX, e.getMessage(), ""));
                }
                if (section != null || change.value() == null) {
                    // Whether it was there has been looked at, whatever came of it within the batch.
                    ofRoutes.add(new RouteChange(
                            store.get(change.key()) == null ? Op.PUT : change.op() == Op.PUT ? Op.REPLACE : change.op(),
                            change.key().name(),
                            section,
                            withStore(i)));
                }
            }
        }
        ofRoutes.removeIf(c -> c.section() == null && store.get(new EntryKey(EntryKind.ROUTE, c.name())) == null);
        return RouteValidator.validateChanges(routes, ofRoutes, version, tenants);
    }

    /** A route's own name is its entry's, and is not kept twice; where it has none it is its path. */
    private static Section requireName(String name, Section route) {
        if (name.equals(RouteCodec.nameOf(route))) {
            return route;
        }
        throw new IllegalArgumentException("the entry of route " + name + " has the name " + RouteCodec.nameOf(route));
    }

    /** Defaults or a class have changed: all routes are proved by them. */
    private RouteValidation validateAllRoutes(
            VersionedStore after, long version, RouteValidator.Tenants tenants, List<Violation> violations) {
        List<Section> others = readLimits(after.live(), violations);
        RouteValidator prover = RouteValidator.begin(others, settings, true, routes, version, tenants);
        byte[] first = new EntryKey(EntryKind.ROUTE, "").bytes();
        for (Item route = after.live().ceiling(first);
                route != null && route.key()[0] == first[0];
                route = after.live().ceiling(PackedTree.successor(route.key()))) {
            String name = EntryKey.of(route.key()).name();
            Position at = new Position("route " + name, 1, 1);
            try {
                prover.addRoute(requireName(name, RouteCodec.decode(route.value(), at)));
            } catch (IllegalArgumentException e) {
                violations.add(new Violation(at, "route " + name, Rule.SYNTAX, e.getMessage(), ""));
            }
        }
        return prover.finish();
    }

    private static void validateTenant(EntryChange change, Position at, List<Violation> violations) {
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
                    at,
                    change.key().toString(),
                    Rule.OUT_OF_RANGE,
                    e.getMessage(),
                    "a share from 0 to " + MAX_TENANT_SHARE));
        }
    }

    private static void validateService(EntryChange change, Position at, List<Violation> violations) {
        try {
            if (change.value() != null) {
                FieldCodec.read(change.value(), (number, value) -> {});
            }
        } catch (IllegalArgumentException e) {
            violations.add(new Violation(at, change.key().toString(), Rule.SYNTAX, e.getMessage(), ""));
        }
    }

    private static void requireNoRoutes(PackedTree owned, String tenant, Position at, List<Violation> violations) {
        byte[] prefix = tenantRouteKey(tenant, EMPTY_BYTES);
        Item item = owned.ceiling(prefix);
        if (item != null
                && Arrays.equals(prefix, 0, prefix.length, item.key(), 0, Math.min(prefix.length, item.key().length))) {
            violations.add(new Violation(
                    at,
                    "tenant " + tenant,
                    Rule.UNKNOWN_TENANT,
                    "route " + FieldCodec.text(Arrays.copyOfRange(item.key(), prefix.length, item.key().length))
                            + " is its",
                    "without that route"));
        }
    }

    private static byte[] tenantRouteKey(String tenant, byte[] route) {
        byte[] name = FieldCodec.utf8(tenant);
        byte[] key = Arrays.copyOf(name, name.length + 1 + route.length);
        System.arraycopy(route, 0, key, name.length + 1, route.length);
        return key;
    }

    private PackedTree updateTenantRoutes(PackedTree before, byte[] key, byte[] value) {
        PackedTree after = before;
        byte[] name = Arrays.copyOfRange(key, 1, key.length);
        Item old = routes.entries().get(key);
        String was = old == null ? null : RouteCodec.tenantOf(old.value());
        if (was != null) {
            after = after.remove(tenantRouteKey(was, name));
        }
        String is = value == null ? null : RouteCodec.tenantOf(value);
        return is == null ? after : after.put(tenantRouteKey(is, name), EMPTY_BYTES, 0);
    }

    // ---------------------------------------------------------------- what was proved elsewhere

    @Override
    public RouteConfiguration withEntry(byte[] key, byte[] value, PackedTree live) {
        EntryKey of = EntryKey.of(key);
        if (of.kind() == EntryKind.LIMITS) {
            return new RouteConfiguration(settings, store, routes, tenantRoutes, true);
        }
        if (of.kind() != EntryKind.ROUTE) {
            return this;
        }
        return new RouteConfiguration(
                settings,
                store,
                routes.withRoute(of.name(), value, live),
                updateTenantRoutes(tenantRoutes, key, value),
                limitsChanged);
    }

    /** With an entry of a tree that all of it is read from already; for a start from what was kept. */
    public RouteConfiguration withIndexedEntry(byte[] key, byte[] value) {
        EntryKey of = EntryKey.of(key);
        if (of.kind() != EntryKind.ROUTE) {
            return of.kind() == EntryKind.LIMITS
                    ? new RouteConfiguration(settings, store, routes, tenantRoutes, true)
                    : this;
        }
        String tenant = RouteCodec.tenantOf(value);
        return new RouteConfiguration(
                settings,
                store,
                routes.withIndexedRoute(of.name(), value),
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

    /** What holds for all and for classes. */
    private static List<Section> readLimits(PackedTree live, List<Violation> violations) {
        List<Section> sections = new ArrayList<>();
        for (Item item : live.range(
                new EntryKey(EntryKind.LIMITS, "").bytes(),
                new EntryKey(EntryKind.SERVICE, "").bytes(),
                Integer.MAX_VALUE)) {
            EntryKey key = EntryKey.of(item.key());
            Position at = new Position(key.toString(), 1, 1);
            try {
                sections.add(new Section(
                        key.name().isEmpty() ? Section.Kind.DEFAULTS : Section.Kind.CLASS,
                        key.name(),
                        at,
                        RouteCodec.decode(item.value(), at).entries()));
            } catch (IllegalArgumentException e) {
                if (violations == null) {
                    throw e;
                }
                violations.add(new Violation(at, key.toString(), Rule.SYNTAX, e.getMessage(), ""));
            }
        }
        return sections;
    }
}
