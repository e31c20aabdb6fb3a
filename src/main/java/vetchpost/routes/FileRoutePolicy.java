package vetchpost.routes;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import vetchpost.core.ClientRequest;
import vetchpost.core.RouteLimits;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.Settings;
import vetchpost.store.PackedTree;

/**
 * Applies the limits of a validated route table to requests. It counts the requests in flight of each route, and
 * has a retry budget for each tenant of each route, so that no tenant can spend another's. State is created on
 * first use. At most {@link #MAX_TRACKED_STATES} states are kept: the least recently used ones are dropped, unless
 * they have requests in flight, and start again when used again.
 *
 * <p>A new table applies at once to requests that start from then on. Unchanged routes keep their counts and
 * budgets, changed routes keep their requests in flight, and requests keep the limits that they started with.
 *
 * <p>The node's dispatcher calls it for each request. Not thread-safe: one instance belongs to one event loop.
 */
public final class FileRoutePolicy implements RoutePolicy {
    /** Maximum number of routes, and of tenants of routes, with state; each takes some 15 MB when full. */
    static final int MAX_TRACKED_STATES = 65_536;

    private RouteTable table;
    private List<String> classes;
    private long defaultRetryAfterUs;
    private final SplittableRandom random;
    private final Map<RouteId, RouteState> states = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RouteId, RouteState> eldest) {
            // Dropping a route with requests in flight would lose their count. It stays, and is checked again.
            return size() > MAX_TRACKED_STATES && eldest.getValue().inFlight == 0;
        }
    };
    private final Map<TenantRoute, TenantLimits> tenantLimits = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TenantRoute, TenantLimits> eldest) {
            return size() > MAX_TRACKED_STATES;
        }
    };

    /** Identifies a route for one class: the key of its entry, or null for the route of the class itself. */
    private static final class RouteId {
        private final int classIndex;
        private final byte[] entryKey;

        RouteId(int classIndex, byte[] entryKey) {
            this.classIndex = classIndex;
            this.entryKey = entryKey;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof RouteId that
                    && classIndex == that.classIndex
                    && Arrays.equals(entryKey, that.entryKey);
        }

        @Override
        public int hashCode() {
            return 31 * classIndex + Arrays.hashCode(entryKey);
        }
    }

    /** The requests in flight of a route, its limits, and the entry and table that they were decoded from. */
    private static final class RouteState {
        private Limits limits;
        private PackedTree.Item entry;
        private RouteTable table;
        private int inFlight;
    }

    /** Identifies a tenant of a route, for as long as the route has these limits. */
    private record TenantRoute(RouteState state, Limits limits, int tenant) {
        @Override
        public boolean equals(Object other) {
            return other instanceof TenantRoute that
                    && state == that.state
                    && tenant == that.tenant
                    && limits == that.limits;
        }

        @Override
        public int hashCode() {
            return 31 * System.identityHashCode(state) + tenant;
        }
    }

    /**
     * A policy with no requests counted.
     *
     * @param table of a valid file
     * @param settings with the classes and tenants that requests refer to by index
     * @param seed of the random jitter
     */
    public FileRoutePolicy(RouteTable table, Settings settings, long seed) {
        replaceTable(table, settings);
        random = new SplittableRandom(seed);
    }

    /**
     * Applies another table to requests from now on. Takes little time, whatever the number of routes: all
     * state is decoded on first use.
     *
     * @param settings with the classes and tenants that requests refer to by index
     */
    public void replaceTable(RouteTable newTable, Settings settings) {
        List<String> classNames = settings.classes.stream().map(c -> c.name()).toList();
        if (classes != null && !(classes.equals(classNames) && newTable.rules().sharesTenants(table.rules()))) {
            // The states are keyed by the indexes of classes and tenants, which have changed.
            states.clear();
            tenantLimits.clear();
        }
        table = newTable;
        classes = classNames;
        defaultRetryAfterUs = settings.maxRetryAfterUs;
    }

    /** The table that applies to new requests. */
    public RouteTable table() {
        return table;
    }

    @Override
    public RouteLimits limitsOf(ClientRequest request) {
        RouteTable.Match match =
                table.match(classes.get(request.classIndex()), request.method(), request.target(), request.tenant());
        if (match == null) {
            return null;
        }
        RouteState state = updateState(request.classIndex(), match);
        TenantRoute tenantRoute = new TenantRoute(state, state.limits, request.tenant());
        TenantLimits limits = tenantLimits.get(tenantRoute);
        if (limits == null) {
            limits = new TenantLimits(state, state.limits);
            tenantLimits.put(tenantRoute, limits);
        }
        return limits;
    }

    private RouteState updateState(int classIndex, RouteTable.Match match) {
        PackedTree.Item entry = match.entry();
        RouteId routeId = new RouteId(classIndex, entry == null ? null : entry.key());
        RouteState state = states.get(routeId);
        if (state == null) {
            state = new RouteState();
            states.put(routeId, state);
        }
        boolean isSameEntry = entry == null
                ? state.entry == null
                : state.entry != null
                        && state.entry.stamp() == entry.stamp()
                        && Arrays.equals(state.entry.value(), entry.value());
        if (state.limits == null || !isSameEntry || state.table != table && !state.table.hasSameRulesAs(table)) {
            Limits limits = table.route(match).limits();
            // Equal limits stay the same object: the budgets of tenants are keyed by its identity.
            state.limits = limits.equals(state.limits) ? state.limits : limits;
        }
        state.entry = entry;
        state.table = table;
        return state;
    }

    /** The limits of a route for one tenant, with that tenant's retry budget and latencies. */
    private final class TenantLimits implements RouteLimits {
        private final RouteState state;
        private final Limits limits;
        private final RetryBudget budget;
        private final LatencyWindow latencies;

        TenantLimits(RouteState state, Limits limits) {
            this.state = state;
            this.limits = limits;
            latencies = limits.hedgePercentile() == 0 ? null : new LatencyWindow(limits.hedgePercentile());
            budget = limits.retryBudgetFraction() == 0 ? null : new RetryBudget(limits.retryBudgetFraction());
        }

        @Override
        public int maxAttempts() {
            return limits.maxAttempts();
        }

        @Override
        public boolean mayRetry() {
            return budget == null || budget.hasRetryLeft();
        }

        @Override
        public void recordRetry() {
            if (budget != null) {
                budget.spendRetry();
            }
        }

        @Override
        public long hedgeDelayUs() {
            long minDelayUs = latencies == null ? limits.hedgeAfterUs() : latencies.percentileUs();
            return minDelayUs == 0 ? 0 : (long) (minDelayUs * (1 + limits.jitter() * random.nextDouble()));
        }

        @Override
        public void recordLatency(long latencyUs) {
            if (latencies != null) {
                latencies.add(latencyUs);
            }
        }

        @Override
        public long retryDelayUs(int attempts) {
            long minDelayUs = limits.backoffUs(attempts);
            return minDelayUs == 0 ? 0 : (long) (minDelayUs * (1 + limits.jitter() * random.nextDouble()));
        }

        @Override
        public long attemptTimeoutUs() {
            return limits.attemptTimeoutUs() == 0 ? Long.MAX_VALUE : limits.attemptTimeoutUs();
        }

        @Override
        public long requestTimeoutUs() {
            return limits.requestTimeoutUs() == 0 ? Long.MAX_VALUE : limits.requestTimeoutUs();
        }

        @Override
        public long maxBodyBytes() {
            return limits.maxBodyBytes();
        }

        @Override
        public boolean tryAcquire() {
            if (limits.maxConcurrency() > 0 && state.inFlight >= limits.maxConcurrency()) {
                return false;
            }
            state.inFlight++;
            if (budget != null) {
                budget.recordFirstAttempt();
            }
            return true;
        }

        @Override
        public void release() {
            state.inFlight--;
        }

        @Override
        public long retryAfterUs(long fallbackUs) {
            return limits.retryAfterUs() >= 0
                    ? limits.retryAfterUs()
                    : fallbackUs > 0 ? fallbackUs : defaultRetryAfterUs;
        }
    }
}
