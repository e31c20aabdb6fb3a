package vetchpost.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the route of a request: the most specific that matches. Paths count first, segment by segment from
 * the left, plain text before {@code {name}} before a prefix; then the tenant; then the method. Each step
 * of a
 * path is a look-up, so that the cost doesn't grow with the number of routes.
 */
public final class RouteTable {
    /** A place in the tree of paths. */
    private static final class Node {
        private final Map<String, Node> texts = new HashMap<>();
        private Node any;
        private final List<Leaf> exact = new ArrayList<>(1);
        private final List<Leaf> prefix = new ArrayList<>(1);
    }

    /** A route at its place, for a tenant and a method or for all. */
    private record Leaf(int tenant, String method, Route route) {
        boolean matches(int ofTenant, String ofMethod) {
            return (tenant == RouteKey.EVERY || tenant == ofTenant)
                    && (method.isEmpty() || method.equals(ofMethod));
        }

        int weight() {
            return (tenant == RouteKey.EVERY ? 0 : 2) + (method.isEmpty() ? 0 : 1);
        }
    }

    private final Map<String, Node> classes = new HashMap<>();
    private final Map<String, Route> otherwise;
    private final boolean alone;

    /**
     * No routes so far but one for each class, by its name.
     *
     * @param alone whether paths are the application's own; else they begin with their class
     */
    RouteTable(Map<String, Route> otherwise, boolean alone) {
        this.otherwise = otherwise;
        this.alone = alone;
    }

    /** Adds a route; the one that has the same key already is returned instead, if there is one. */
    Route add(RouteKey key, Route route) {
        Node node = classes.computeIfAbsent(key.cls(), c -> new Node());
        for (String segment : key.segments()) {
            if (segment.equals(RouteKey.ANY)) {
                node.any = node.any == null ? new Node() : node.any;
                node = node.any;
            } else {
                node = node.texts.computeIfAbsent(segment, s -> new Node());
            }
        }
        List<Leaf> leaves = key.prefix() ? node.prefix : node.exact;
        for (Leaf leaf : leaves) {
            if (leaf.tenant == key.tenant() && leaf.method.equals(key.method())) {
                return leaf.route;
            }
        }
        leaves.add(new Leaf(key.tenant(), key.method(), route));
        leaves.sort((a, b) -> b.weight() - a.weight());
        return null;
    }

    /**
     * The route of a request.
     *
     * @param cls name of its class, one of the settings'
     * @param target its path and query as written
     * @param tenant index into the settings' tenants, or -1
     * @return null if the path can be read in two ways
     */
    public Route find(String cls, String method, String target, int tenant) {
        Node root = classes.get(cls);
        if (alone && root == null) {
            return otherwise.get(cls); // No route has a path, so that no path has to be read.
        }
        List<String> path = RouteKey.path(target);
        if (path != null && alone) {
            Route found = find(root, path, 0, method, tenant);
            return found == null ? otherwise.get(cls) : found;
        }
        if (path == null || path.isEmpty() || !path.get(0).equals(cls)) {
            return null;
        }
        Route found = root == null ? null : find(root, path, 1, method, tenant);
        return found == null ? otherwise.get(cls) : found;
    }

    private static Route find(Node node, List<String> path, int at, String method, int tenant) {
        if (at == path.size()) {
            Route exact = first(node.exact, method, tenant);
            return exact == null ? first(node.prefix, method, tenant) : exact;
        }
        Node next = node.texts.get(path.get(at));
        Route found = next == null ? null : find(next, path, at + 1, method, tenant);
        if (found == null && node.any != null) {
            found = find(node.any, path, at + 1, method, tenant);
        }
        return found == null ? first(node.prefix, method, tenant) : found;
    }

    private static Route first(List<Leaf> leaves, String method, int tenant) {
        for (Leaf leaf : leaves) {
            if (leaf.matches(tenant, method)) {
                return leaf.route;
            }
        }
        return null;
    }
}
