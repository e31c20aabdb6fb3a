package vetchpost.simulation.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import vetchpost.changes.RouteConfiguration;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.Position;
import vetchpost.routes.RouteCodec;
import vetchpost.routes.Section;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.FieldCodec;
import vetchpost.store.Version;

/** Drawn configurations of any size, and changes of them; the same for the same seed. */
final class ConfigurationGenerator {
    private static final Position POSITION = new Position("drawn", 1, 1);
    private static final int MAX_BATCH_ENTRIES = 5_000;
    private static final long US_PER_MS = 1_000;

    private final SplittableRandom random;
    private final int serviceCount;
    private final int tenantCount;
    private int routeCount;

    /** Of so many entries of each kind, as far as they are made. */
    ConfigurationGenerator(long seed, int services, int tenants) {
        random = new SplittableRandom(seed);
        this.serviceCount = services;
        this.tenantCount = tenants;
    }

    /** What requests there are. */
    static Settings settings() {
        Settings set = new Settings();
        set.maxAttempts = 3;
        set.maxRetryAfterUs = 30_000 * US_PER_MS;
        set.allowsHedging = true;
        set.classes.add(new RequestClass(
                "read",
                1_000 * US_PER_MS,
                0,
                30_000 * US_PER_MS,
                1,
                0.5,
                Idempotency.SAFE,
                DeduplicationScope.ALL,
                0,
                false));
        set.classes.add(new RequestClass(
                "write",
                1_000 * US_PER_MS,
                0,
                30_000 * US_PER_MS,
                1,
                0.5,
                Idempotency.UNSAFE,
                DeduplicationScope.ALL,
                0,
                false));
        return set;
    }

    private String path(int route) {
        return String.format(Locale.ROOT, "/s%04d/r%06d/{id}", route % serviceCount, route);
    }

    private static EntryKey key(String route) {
        return new EntryKey(EntryKind.ROUTE, route);
    }

    private byte[] routeValue(int number) {
        Map<String, Section.Entry> entries = new LinkedHashMap<>();
        put(entries, "path", path(number));
        put(entries, "class", "read");
        put(entries, "attempts", (long) random.nextInt(1, 4));
        put(entries, "attempt-timeout", random.nextInt(50, 900) + "ms");
        put(entries, "total-timeout", random.nextInt(3, 9) + "s");
        put(entries, "concurrency", (long) random.nextInt(10, 2_000));
        if (tenantCount > 0 && random.nextInt(20) == 0) {
            put(entries, "tenant", tenantName(random.nextInt(tenantCount)));
        }
        return RouteCodec.encode(new Section(Section.Kind.ROUTE, "", POSITION, entries));
    }

    private static void put(Map<String, Section.Entry> entries, String key, Object value) {
        entries.put(key, new Section.Entry(value, POSITION));
    }

    private static String tenantName(int number) {
        return String.format(Locale.ROOT, "t%06d", number);
    }

    private static byte[] tenantValue(double share) {
        FieldCodec.Encoder packer = new FieldCodec.Encoder();
        packer.add(0, share);
        return packer.bytes();
    }

    private static byte[] serviceValue(int number) {
        FieldCodec.Encoder packer = new FieldCodec.Encoder();
        packer.add(0, "pool-" + number);
        packer.add(1, 30L);
        return packer.bytes();
    }

    /** A configuration of that many routes. */
    RouteConfiguration generate(int ofRoutes) {
        List<EntryChange> changes = new ArrayList<>();
        for (int i = 0; i < serviceCount; i++) {
            changes.add(EntryChange.put(
                    new EntryKey(EntryKind.SERVICE, String.format(Locale.ROOT, "s%04d", i)), serviceValue(i)));
        }
        for (int i = 0; i < tenantCount; i++) {
            changes.add(EntryChange.put(new EntryKey(EntryKind.TENANT, tenantName(i)), tenantValue(1 + i % 7)));
        }
        for (routeCount = 0; routeCount < ofRoutes; routeCount++) {
            changes.add(EntryChange.put(key(path(routeCount)), routeValue(routeCount)));
        }
        RouteConfiguration catalog = RouteConfiguration.empty(settings());
        long number = 0;
        for (int i = 0; i < changes.size(); i += MAX_BATCH_ENTRIES) {
            RouteConfiguration.Outcome outcome = catalog.apply(
                    changes.subList(i, Math.min(changes.size(), i + MAX_BATCH_ENTRIES)), Version.of(1, ++number));
            if (outcome.configuration() == null) {
                throw new IllegalStateException(
                        "what was drawn is refused: " + outcome.violations().get(0));
            }
            catalog = outcome.configuration();
        }
        return catalog;
    }

    /**
     * Some changes that fit the catalog: mostly a route that says something else, now and then one more or
     * less.
     */
    List<EntryChange> generateChanges(RouteConfiguration catalog, int size) {
        Map<EntryKey, EntryChange> batch = new LinkedHashMap<>();
        while (batch.size() < size) {
            int kind = random.nextInt(20);
            if (kind == 0) {
                batch.put(key(path(routeCount)), EntryChange.put(key(path(routeCount)), routeValue(routeCount++)));
                continue;
            }
            if (kind == 1 && tenantCount > 0) {
                EntryKey tenant = new EntryKey(EntryKind.TENANT, tenantName(random.nextInt(tenantCount)));
                batch.put(tenant, EntryChange.replace(tenant, tenantValue(random.nextInt(1, 50))));
                continue;
            }
            int number = random.nextInt(routeCount);
            EntryKey route = key(path(number));
            if (catalog.store().get(route) == null || batch.containsKey(route)) {
                if (batch.isEmpty() && routeCount < 10) {
                    batch.put(key(path(routeCount)), EntryChange.put(key(path(routeCount)), routeValue(routeCount++)));
                }
                continue;
            }
            batch.put(route, kind == 2 ? EntryChange.delete(route) : EntryChange.replace(route, routeValue(number)));
        }
        return List.copyOf(batch.values());
    }
}
