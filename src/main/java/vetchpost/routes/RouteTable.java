package vetchpost.routes;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.FieldCodec;
import vetchpost.store.PackedTree;
import vetchpost.store.PackedTree.Item;

/**
 * Finds the most specific route that matches a request. Paths are compared first, segment by segment from the
 * left, plain text before {@code {name}} before a prefix; then the tenant; then the method. A table is immutable
 * and may be read by any thread: a change makes another table, which shares all nodes of its trees but those on
 * the path to the changed route (docs/changes.md). {@link FileRoutePolicy} looks up requests in it.
 *
 * <p>Routes are stored by name as their validated, encoded bytes, and indexed by what they match. A lookup is a few
 * searches in sorted bytes, so its cost grows with the logarithm of the number of routes. Limits are decoded on
 * demand.
 */
public final class RouteTable {
    private static final String ANY_VALUE = "";
    private static final Position NO_POSITION = new Position("", 1, 1);
    private static final byte[] ROUTES_START = new EntryKey(EntryKind.ROUTE, "").bytes();
    private static final byte[] ROUTES_END = {(byte) (ROUTES_START[0] + 1)};

    /** Combines the limits of a route with those of its class and the defaults. */
    private final RouteValidator rules;

    private final boolean standalone;
    private final Map<String, Route> classRoutes;
    /** Encoded routes by the bytes of their keys; entries of other kinds may be among them. */
    private final PackedTree entries;
    /** Names of routes, by the bytes of {@link MatchKey}. */
    private final PackedTree namesByMatch;
    /** The number of routes that requests of each class can match. */
    private final Map<String, Integer> routeCountByClass;

    private final int routeCount;

    /**
     * The route of a request, before its limits are decoded.
     *
     * @param cls name of the request's class
     * @param entry of the route; null for the route of the class
     */
    record Match(String cls, Item entry) {}

    /** A table with one route for each class, by the class's name, and no others. */
    RouteTable(RouteValidator rules, boolean standalone, Map<String, Route> classRoutes) {
        this(rules, standalone, classRoutes, PackedTree.EMPTY, PackedTree.EMPTY, Map.of(), 0);
    }

    private RouteTable(
            RouteValidator rules,
            boolean standalone,
            Map<String, Route> classRoutes,
            PackedTree entries,
            PackedTree namesByMatch,
            Map<String, Integer> routeCountByClass,
            int routeCount) {
        this.rules = rules;
        this.standalone = standalone;
        this.classRoutes = classRoutes;
        this.entries = entries;
        this.namesByMatch = namesByMatch;
        this.routeCountByClass = routeCountByClass;
        this.routeCount = routeCount;
    }

    /** The same routes, with the defaults and class limits of the other table. */
    RouteTable withRulesOf(RouteTable other) {
        return new RouteTable(
                other.rules, standalone, other.classRoutes, entries, namesByMatch, routeCountByClass, routeCount);
    }

    /** The same routes, read from another tree with the same route entries, so that they are stored only once. */
    public RouteTable backedBy(PackedTree sameEntries) {
        return new RouteTable(rules, standalone, classRoutes, sameEntries, namesByMatch, routeCountByClass, routeCount);
    }

    /** Whether both tables apply the same defaults and class limits to their routes. */
    boolean hasSameRulesAs(RouteTable other) {
        return rules == other.rules;
    }

    RouteValidator rules() {
        return rules;
    }

    boolean isStandalone() {
        return standalone;
    }

    /** The entries of the routes; entries of other kinds may be among them. */
    public PackedTree entries() {
        return entries;
    }

    /** The number of routes, without those of classes. */
    public int size() {
        return routeCount;
    }

    /** Count and hash of the match index; equal for tables whose routes have the same names and matches. */
    public PackedTree.Sum matchSum() {
        return namesByMatch.sum();
    }

    /** Bytes retained by the match index, without the entries. */
    public long indexBytes() {
        return namesByMatch.retainedBytes();
    }

    private static byte[] entryKeyOf(String name) {
        return new EntryKey(EntryKind.ROUTE, name).bytes();
    }

    /** Whether a route or a class has this name. */
    boolean isNamed(String name) {
        return classRoutes.containsKey(name) || entries.get(entryKeyOf(name)) != null;
    }

    /** The name of a route that matches the same requests as this key, or null. */
    String findSameMatch(RouteKey key) {
        List<String> classes = new ArrayList<>(List.of(key.cls()));
        if (key.cls().isEmpty()) {
            classes.addAll(classRoutes.keySet());
        } else if (standalone) {
            classes.add(ANY_VALUE);
        }
        for (String cls : classes) {
            Item item = namesByMatch.get(matchBytes(key, cls));
            if (item != null) {
                return FieldCodec.text(item.value());
            }
        }
        return null;
    }

    private byte[] matchBytes(RouteKey key, String cls) {
        MatchKey matchKey = new MatchKey();
        for (String segment : key.segments()) {
            if (segment.equals(RouteKey.ANY_SEGMENT)) {
                matchKey.addAnySegment();
            } else {
                matchKey.addSegment(segment);
            }
        }
        return matchKey.addPathEnd(key.prefix())
                .addConditions(key.tenant(), key.method(), cls)
                .bytes();
    }

    private Map<String, Integer> adjustCounts(String cls, int delta) {
        Map<String, Integer> adjusted = new LinkedHashMap<>(routeCountByClass);
        for (String name : cls.isEmpty() ? classRoutes.keySet() : Set.of(cls)) {
            adjusted.merge(name, delta, Integer::sum);
        }
        return adjusted;
    }

    /** A table with one more, validated route, which was last changed at that version. */
    RouteTable with(String name, RouteKey key, byte[] route, long version) {
        byte[] encodedName = FieldCodec.utf8(name);
        return new RouteTable(
                rules,
                standalone,
                classRoutes,
                entries.put(entryKeyOf(name), route, version),
                namesByMatch.put(matchBytes(key, key.cls()), encodedName, 0),
                adjustCounts(key.cls(), 1),
                routeCount + 1);
    }

    /** The version of a route if this table has it with the same bytes, else the fallback. */
    long versionOf(String name, byte[] route, long fallback) {
        Item item = entries.get(entryKeyOf(name));
        return item != null && Arrays.equals(item.value(), route) ? item.stamp() : fallback;
    }

    /** A table without the route; this table if it has no such route. */
    RouteTable without(String name) {
        return without(name, null);
    }

    /** A table without the route, backed by the given entries; null for this table's entries less the route's. */
    private RouteTable without(String name, PackedTree live) {
        Item item = entries.get(entryKeyOf(name));
        if (item == null) {
            return live == null ? this : backedBy(live);
        }
        RouteKey key = keyOf(item);
        byte[] match = matchBytes(key, key.cls());
        Item indexed = namesByMatch.get(match);
        // While changes are applied one by one, another route may already have the same match.
        boolean isIndexed = indexed != null
                && Arrays.equals(indexed.value(), 0, indexed.value().length, item.key(), 1, item.key().length);
        return new RouteTable(
                rules,
                standalone,
                classRoutes,
                live == null ? entries.remove(item.key()) : live,
                isIndexed ? namesByMatch.remove(match) : namesByMatch,
                adjustCounts(key.cls(), -1),
                routeCount - 1);
    }

    /**
     * A table with a change that another node has validated. The changes of a batch may be applied in any order;
     * the table is consistent only after the last one.
     *
     * @param route the encoded route; null if it is deleted
     * @param live all entries, with this change applied
     * @throws IllegalArgumentException if the bytes are not a route
     */
    public RouteTable withRoute(String name, byte[] route, PackedTree live) {
        RouteTable without = without(name, live);
        if (route == null) {
            return without;
        }
        RouteKey key = keyOf(RouteCodec.decode(route, NO_POSITION));
        return new RouteTable(
                rules,
                standalone,
                classRoutes,
                live,
                without.namesByMatch.put(matchBytes(key, key.cls()), FieldCodec.utf8(name), 0),
                without.adjustCounts(key.cls(), 1),
                without.routeCount + 1);
    }

    /**
     * A table whose match index also has a route that is already among its entries.
     *
     * @throws IllegalArgumentException if the bytes are not a route
     */
    public RouteTable withIndexedRoute(String name, byte[] route) {
        RouteKey key = keyOf(RouteCodec.decode(route, NO_POSITION));
        return new RouteTable(
                rules,
                standalone,
                classRoutes,
                entries,
                namesByMatch.put(matchBytes(key, key.cls()), FieldCodec.utf8(name), 0),
                adjustCounts(key.cls(), 1),
                routeCount + 1);
    }

    private RouteKey keyOf(Item item) {
        return keyOf(RouteCodec.decode(item.value(), NO_POSITION));
    }

    private RouteKey keyOf(Section section) {
        return rules.keyOf(section);
    }

    // ---------------------------------------------------------------- lookup

    /**
     * Finds the route of a request.
     *
     * @param cls name of the request's class, one of the settings
     * @param target path and query as received
     * @param tenant index into the tenants of the settings, or -1 for none
     * @return null if the path is ambiguous
     */
    public Route find(String cls, String method, String target, int tenant) {
        Match match = match(cls, method, target, tenant);
        return match == null ? null : route(match);
    }

    /** Finds the route of a request without decoding its limits; null if the path is ambiguous. */
    Match match(String cls, String method, String target, int tenant) {
        boolean hasRoutes = routeCountByClass.getOrDefault(cls, 0) > 0;
        if (standalone && !hasRoutes) {
            return new Match(cls, null); // No route has a path, so the path need not be parsed.
        }
        List<String> path = RouteKey.parsePath(target);
        if (path == null || !standalone && (path.isEmpty() || !path.get(0).equals(cls))) {
            return null;
        }
        Item routeName = hasRoutes
                ? find(new MatchKey(), path, standalone ? 0 : 1, rules.tenants().nameAt(tenant), method, cls)
                : null;
        if (routeName == null) {
            return new Match(cls, null);
        }
        byte[] entryKey = new byte[1 + routeName.value().length];
        entryKey[0] = ROUTES_START[0];
        System.arraycopy(routeName.value(), 0, entryKey, 1, routeName.value().length);
        return new Match(cls, entries.get(entryKey));
    }

    /** Decodes the limits of a match. */
    Route route(Match match) {
        return match.entry() == null
                ? classRoutes.get(match.cls())
                : rules.route(
                        EntryKey.of(match.entry().key()).name(),
                        match.cls(),
                        RouteCodec.decode(match.entry().value(), NO_POSITION));
    }

    private Item find(MatchKey matchKey, List<String> path, int segment, String tenant, String method, String cls) {
        int mark = matchKey.mark();
        if (segment < path.size()) {
            Item found = hasKeyWithPrefix(matchKey.addSegment(path.get(segment)))
                    ? find(matchKey, path, segment + 1, tenant, method, cls)
                    : null;
            matchKey.truncate(mark);
            if (found == null && hasKeyWithPrefix(matchKey.addAnySegment())) {
                found = find(matchKey, path, segment + 1, tenant, method, cls);
            }
            matchKey.truncate(mark);
            if (found != null) {
                return found;
            }
        } else {
            Item exact = findAtPathEnd(matchKey, false, tenant, method, cls);
            if (exact != null) {
                return exact;
            }
        }
        return findAtPathEnd(matchKey, true, tenant, method, cls);
    }

    private boolean hasKeyWithPrefix(MatchKey prefix) {
        Item next = namesByMatch.ceiling(prefix.bytes());
        return next != null && prefix.isPrefixOf(next.key());
    }

    private Item findAtPathEnd(MatchKey matchKey, boolean isPrefix, String tenant, String method, String cls) {
        int mark = matchKey.mark();
        matchKey.addPathEnd(isPrefix);
        Item found = null;
        if (hasKeyWithPrefix(matchKey)) {
            int pathMark = matchKey.mark();
            for (String eachTenant : tenant.isEmpty() ? List.of(ANY_VALUE) : List.of(tenant, ANY_VALUE)) {
                for (String eachMethod : List.of(method, ANY_VALUE)) {
                    for (String eachClass : standalone ? List.of(cls, ANY_VALUE) : List.of(cls)) {
                        matchKey.truncate(pathMark);
                        found = found == null
                                ? namesByMatch.get(matchKey.addConditions(eachTenant, eachMethod, eachClass)
                                        .bytes())
                                : found;
                    }
                }
            }
        }
        matchKey.truncate(mark);
        return found;
    }

    // ---------------------------------------------------------------- iteration

    /** A view of all routes and classes by name, which decodes limits on access. */
    Map<String, Route> allRoutes() {
        return new AbstractMap<>() {
            @Override
            public int size() {
                return classRoutes.size() + routeCount;
            }

            @Override
            public boolean containsKey(Object name) {
                return name instanceof String text && isNamed(text);
            }

            @Override
            public Route get(Object name) {
                if (!(name instanceof String text)) {
                    return null;
                }
                Route classRoute = classRoutes.get(text);
                Item item = classRoute != null ? null : entries.get(entryKeyOf(text));
                return item == null ? classRoute : routeForFirstClass(item);
            }

            @Override
            public Set<Entry<String, Route>> entrySet() {
                return new AbstractSet<>() {
                    @Override
                    public Iterator<Entry<String, Route>> iterator() {
                        return iterate();
                    }

                    @Override
                    public int size() {
                        return classRoutes.size() + routeCount;
                    }
                };
            }
        };
    }

    private Route routeForFirstClass(Item item) {
        String cls = keyOf(item).cls();
        return route(new Match(cls.isEmpty() ? classRoutes.keySet().iterator().next() : cls, item));
    }

    private Iterator<Map.Entry<String, Route>> iterate() {
        Iterator<Map.Entry<String, Route>> classes = classRoutes.entrySet().iterator();
        return new Iterator<>() {
            private Item next = ceiling(ROUTES_START);

            @Override
            public boolean hasNext() {
                return classes.hasNext() || next != null;
            }

            @Override
            public Map.Entry<String, Route> next() {
                if (classes.hasNext()) {
                    return classes.next();
                }
                Item item = next;
                next = ceiling(PackedTree.successor(item.key()));
                return Map.entry(EntryKey.of(item.key()).name(), routeForFirstClass(item));
            }
        };
    }

    private Item ceiling(byte[] key) {
        Item item = entries.ceiling(key);
        return item == null || Arrays.compareUnsigned(item.key(), ROUTES_END) >= 0 ? null : item;
    }
}
