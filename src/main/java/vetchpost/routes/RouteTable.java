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
 * Finds the route of a request: the most specific that matches. Paths count first, segment by segment from
 * the left, plain text before {@code {name}} before a prefix; then the tenant; then the method. It never
 * changes: a change of a route makes another table, which shares all but the way to that route
 * (docs/changes.md).
 *
 * <p>Routes are kept as the bytes that were proved, by name, and found by match: a look-up is a few searches
 * in sorted bytes, so that its cost grows with the logarithm of the number of routes. Limits are made of the
 * bytes when asked for.
 */
public final class RouteTable {
    private static final String ANY_VALUE = "";
    private static final Position NO_POSITION = new Position("", 1, 1);
    private static final byte[] ROUTES_START = new EntryKey(EntryKind.ROUTE, "").bytes();
    private static final byte[] ROUTES_END = {(byte) (ROUTES_START[0] + 1)};

    /** How limits are made of what a route says, its class and the defaults. */
    private final RouteValidator rules;

    private final boolean standalone;
    private final Map<String, Route> classRoutes;
    /** By the bytes of their keys; entries of other kinds may be among them. */
    private final PackedTree entries;
    /** Names, by match. */
    private final PackedTree namesByMatch;
    /** How many routes requests of each class can have. */
    private final Map<String, Integer> routeCountByClass;

    private final int routeCount;

    /**
     * The route of a request, before its limits are made.
     *
     * @param entry null for the route of its class
     */
    record Match(String cls, Item entry) {}

    /** No routes so far but one for each class, by its name. */
    RouteTable(RouteValidator rules, boolean alone, Map<String, Route> otherwise) {
        this(rules, alone, otherwise, PackedTree.EMPTY, PackedTree.EMPTY, Map.of(), 0);
    }

    private RouteTable(
            RouteValidator rules,
            boolean alone,
            Map<String, Route> otherwise,
            PackedTree entries,
            PackedTree matches,
            Map<String, Integer> counts,
            int routes) {
        this.rules = rules;
        this.standalone = alone;
        this.classRoutes = otherwise;
        this.entries = entries;
        this.namesByMatch = matches;
        this.routeCountByClass = counts;
        this.routeCount = routes;
    }

    /** The same routes, with what holds for classes and for all in the other one. */
    RouteTable withRulesOf(RouteTable other) {
        return new RouteTable(
                other.rules, standalone, other.classRoutes, entries, namesByMatch, routeCountByClass, routeCount);
    }

    /**
     * The same routes, read from a tree that holds the same entries of theirs, so that they are kept once.
     */
    public RouteTable backedBy(PackedTree same) {
        return new RouteTable(rules, standalone, classRoutes, same, namesByMatch, routeCountByClass, routeCount);
    }

    /** Whether these have the same limits for classes, and by their classes for all routes. */
    boolean hasSameRulesAs(RouteTable other) {
        return rules == other.rules;
    }

    RouteValidator rules() {
        return rules;
    }

    boolean isStandalone() {
        return standalone;
    }

    /** The entries of its routes, perhaps among others. */
    public PackedTree entries() {
        return entries;
    }

    /** How many routes there are, besides those of classes. */
    public int size() {
        return routeCount;
    }

    /** What the places come to by which its routes are found. */
    public PackedTree.Sum matchSum() {
        return namesByMatch.sum();
    }

    /** Bytes that it keeps beside its entries. */
    public long indexBytes() {
        return namesByMatch.retainedBytes();
    }

    private static byte[] keyOf(String name) {
        return new EntryKey(EntryKind.ROUTE, name).bytes();
    }

    /** Whether a route or a class has this name. */
    boolean isNamed(String name) {
        return classRoutes.containsKey(name) || entries.get(keyOf(name)) != null;
    }

    /** The name of the route that matches the same as this would, or null. */
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
        MatchKey into = new MatchKey();
        for (String segment : key.segments()) {
            if (segment.equals(RouteKey.ANY_SEGMENT)) {
                into.addAnySegment();
            } else {
                into.addSegment(segment);
            }
        }
        return into.addPathEnd(key.prefix())
                .addConditions(key.tenant(), key.method(), cls)
                .bytes();
    }

    private Map<String, Integer> adjustCounts(String cls, int by) {
        Map<String, Integer> all = new LinkedHashMap<>(routeCountByClass);
        for (String each : cls.isEmpty() ? classRoutes.keySet() : Set.of(cls)) {
            all.merge(each, by, Integer::sum);
        }
        return all;
    }

    /** With one more route, which has been proved, from that version on. */
    RouteTable with(String name, RouteKey key, byte[] route, long version) {
        byte[] text = FieldCodec.utf8(name);
        return new RouteTable(
                rules,
                standalone,
                classRoutes,
                entries.put(keyOf(name), route, version),
                namesByMatch.put(matchBytes(key, key.cls()), text, 0),
                adjustCounts(key.cls(), 1),
                routeCount + 1);
    }

    /** The version of a route if it has these bytes here too, else the other one. */
    long versionOf(String name, byte[] route, long otherwise) {
        Item item = entries.get(keyOf(name));
        return item != null && Arrays.equals(item.value(), route) ? item.stamp() : otherwise;
    }

    /** Without a route; itself if there is none. */
    RouteTable without(String name) {
        return without(name, null);
    }

    /** The same, whose entries are these without it; null for its own less this one. */
    private RouteTable without(String name, PackedTree live) {
        Item item = entries.get(keyOf(name));
        if (item == null) {
            return live == null ? this : backedBy(live);
        }
        RouteKey key = keyOf(item);
        byte[] match = matchBytes(key, key.cls());
        Item found = namesByMatch.get(match);
        // While many changes are taken in one by one, another may have taken its place by now.
        boolean own = found != null
                && Arrays.equals(found.value(), 0, found.value().length, item.key(), 1, item.key().length);
        return new RouteTable(
                rules,
                standalone,
                classRoutes,
                live == null ? entries.remove(item.key()) : live,
                own ? namesByMatch.remove(match) : namesByMatch,
                adjustCounts(key.cls(), -1),
                routeCount - 1);
    }

    /**
     * With what a change that was proved elsewhere makes of a route, in any order among other changes of
     * theirs; it need not hold before the last is taken in.
     *
     * @param route null if it goes
     * @param live all entries, this one among them as it is now
     * @throws IllegalArgumentException if these bytes are no route's
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

    /** With a route that is among the entries already, and not found yet. */
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

    // ---------------------------------------------------------------- look-up

    /**
     * The route of a request.
     *
     * @param cls name of its class, one of the settings'
     * @param target its path and query as written
     * @param tenant index into the settings' tenants, or -1
     * @return null if the path can be read in two ways
     */
    public Route find(String cls, String method, String target, int tenant) {
        Match match = match(cls, method, target, tenant);
        return match == null ? null : route(match);
    }

    /** The same, with no limits made of it yet. */
    Match match(String cls, String method, String target, int tenant) {
        boolean any = routeCountByClass.getOrDefault(cls, 0) > 0;
        if (standalone && !any) {
            return new Match(cls, null); // No route has a path, so that no path has to be read.
        }
        List<String> path = RouteKey.parsePath(target);
        if (path == null || !standalone && (path.isEmpty() || !path.get(0).equals(cls))) {
            return null;
        }
        Item name = any
                ? find(new MatchKey(), path, standalone ? 0 : 1, rules.tenants().nameAt(tenant), method, cls)
                : null;
        if (name == null) {
            return new Match(cls, null);
        }
        byte[] key = new byte[1 + name.value().length];
        key[0] = ROUTES_START[0];
        System.arraycopy(name.value(), 0, key, 1, name.value().length);
        return new Match(cls, entries.get(key));
    }

    /** With its limits. */
    Route route(Match match) {
        return match.entry() == null
                ? classRoutes.get(match.cls())
                : rules.route(
                        EntryKey.of(match.entry().key()).name(),
                        match.cls(),
                        RouteCodec.decode(match.entry().value(), NO_POSITION));
    }

    private Item find(MatchKey at, List<String> path, int from, String tenant, String method, String cls) {
        int here = at.mark();
        if (from < path.size()) {
            Item found = hasKeyWithPrefix(at.addSegment(path.get(from)))
                    ? find(at, path, from + 1, tenant, method, cls)
                    : null;
            at.truncate(here);
            if (found == null && hasKeyWithPrefix(at.addAnySegment())) {
                found = find(at, path, from + 1, tenant, method, cls);
            }
            at.truncate(here);
            if (found != null) {
                return found;
            }
        } else {
            Item exact = findAtPathEnd(at, false, tenant, method, cls);
            if (exact != null) {
                return exact;
            }
        }
        return findAtPathEnd(at, true, tenant, method, cls);
    }

    private boolean hasKeyWithPrefix(MatchKey at) {
        Item next = namesByMatch.ceiling(at.bytes());
        return next != null && at.isPrefixOf(next.key());
    }

    private Item findAtPathEnd(MatchKey at, boolean prefix, String tenant, String method, String cls) {
        int here = at.mark();
        at.addPathEnd(prefix);
        Item found = null;
        if (hasKeyWithPrefix(at)) {
            int leaf = at.mark();
            for (String ofTenant : tenant.isEmpty() ? List.of(ANY_VALUE) : List.of(tenant, ANY_VALUE)) {
                for (String ofMethod : List.of(method, ANY_VALUE)) {
                    for (String ofClass : standalone ? List.of(cls, ANY_VALUE) : List.of(cls)) {
                        at.truncate(leaf);
                        found = found == null
                                ? namesByMatch.get(at.addConditions(ofTenant, ofMethod, ofClass)
                                        .bytes())
                                : found;
                    }
                }
            }
        }
        at.truncate(here);
        return found;
    }

    // ---------------------------------------------------------------- all of them

    /** All routes and classes by name, with limits that are made as they are asked for. */
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
                Route ofClass = classRoutes.get(text);
                Item item = ofClass != null ? null : entries.get(keyOf(text));
                return item == null ? ofClass : routeForFirstClass(item);
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
