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
 * The routes of a proved file, with what they count: requests in hand for each route, and a retry budget for
 * each tenant of each, so that no tenant can spend another's. All of it is made when first used; of what was
 * used longest ago and has nothing in hand no more is kept than {@link #MAX_TRACKED_STATES}, and begins anew when used
 * again.
 *
 * <p>Another table comes into force at once and for requests from then on: what a route that stays the same
 * has counted goes on, one that changed counts on what it has in hand, and requests keep the bounds that they
 * began with.
 */
public final class FileRoutePolicy implements RoutePolicy {
    /** Routes, and tenants of routes; some 15 MB of each if all were kept. */
    static final int MAX_TRACKED_STATES = 65_536;

    private RouteTable table;
    private List<String> classes;
    private long defaultRetryAfterUs;
    private final SplittableRandom random;
    private final Map<RouteId, RouteState> states = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RouteId, RouteState> eldest) {
            // One with requests in hand would lose count of them; it goes on being kept, and is looked at
            // again.
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

    /** A route for one class: its entry's key, or null for the class's own. */
    private static final class RouteId {
        private final int classIndex;
        private final byte[] entryKey;

        RouteId(int cls, byte[] key) {
            this.classIndex = cls;
            this.entryKey = key;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof RouteId place
                    && classIndex == place.classIndex
                    && Arrays.equals(entryKey, place.entryKey);
        }

        @Override
        public int hashCode() {
            return 31 * classIndex + Arrays.hashCode(entryKey);
        }
    }

    /** What a route counts, and by what entry and rules its limits were made. */
    private static final class RouteState {
        private Limits limits;
        private PackedTree.Item entry;
        private RouteTable table;
        private int inFlight;
    }

    /** One tenant's of a route, as long as its limits are these. */
    private record TenantRoute(RouteState state, Limits limits, int tenant) {
        @Override
        public boolean equals(Object other) {
            return other instanceof TenantRoute slot
                    && state == slot.state
                    && tenant == slot.tenant
                    && limits == slot.limits;
        }

        @Override
        public int hashCode() {
            return 31 * System.identityHashCode(state) + tenant;
        }
    }

    /**
     * Nothing counted so far.
     *
     * @param table of a file that holds
     * @param seed of the jitter
     */
    public FileRoutePolicy(RouteTable table, Settings settings, long seed) {
        replaceTable(table, settings);
        random = new SplittableRandom(seed);
    }

    /**
     * Has this table hold for requests from now on, by these classes and tenants; takes no time to speak of.
     */
    public void replaceTable(RouteTable now, Settings settings) {
        List<String> names = settings.classes.stream().map(c -> c.name()).toList();
        if (classes != null && !(classes.equals(names) && now.rules().sharesTenants(table.rules()))) {
            // Counts are kept by the places of both.
            states.clear();
            tenantLimits.clear();
        }
        table = now;
        classes = names;
        defaultRetryAfterUs = settings.maxRetryAfterUs;
    }

    /** The table in force. */
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
        TenantRoute slot = new TenantRoute(state, state.limits, request.tenant());
        TenantLimits found = tenantLimits.get(slot);
        if (found == null) {
            found = new TenantLimits(state, state.limits);
            tenantLimits.put(slot, found);
        }
        return found;
    }

    private RouteState updateState(int cls, RouteTable.Match match) {
        PackedTree.Item entry = match.entry();
        RouteId place = new RouteId(cls, entry == null ? null : entry.key());
        RouteState state = states.get(place);
        if (state == null) {
            state = new RouteState();
            states.put(place, state);
        }
        boolean sameEntry = entry == null
                ? state.entry == null
                : state.entry != null
                        && state.entry.stamp() == entry.stamp()
                        && Arrays.equals(state.entry.value(), entry.value());
        if (state.limits == null || !sameEntry || state.table != table && !state.table.hasSameRulesAs(table)) {
            Limits limits = table.route(match).limits();
            // The same limits go on as they are, with all that is counted by them.
            state.limits = limits.equals(state.limits) ? state.limits : limits;
        }
        state.entry = entry;
        state.table = table;
        return state;
    }

    /** A route's bounds for one tenant. */
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
            long leastUs = latencies == null ? limits.hedgeAfterUs() : latencies.percentileUs();
            return leastUs == 0 ? 0 : (long) (leastUs * (1 + limits.jitter() * random.nextDouble()));
        }

        @Override
        public void recordLatency(long latencyUs) {
            if (latencies != null) {
                latencies.add(latencyUs);
            }
        }

        @Override
        public long retryDelayUs(int attempts) {
            long leastUs = limits.backoffUs(attempts);
            return leastUs == 0 ? 0 : (long) (leastUs * (1 + limits.jitter() * random.nextDouble()));
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
        public long retryAfterUs(long otherwiseUs) {
            return limits.retryAfterUs() >= 0
                    ? limits.retryAfterUs()
                    : otherwiseUs > 0 ? otherwiseUs : defaultRetryAfterUs;
        }
    }
}
