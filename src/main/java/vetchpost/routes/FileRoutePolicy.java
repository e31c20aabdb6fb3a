package vetchpost.routes;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import vetchpost.core.ClientRequest;
import vetchpost.core.RouteBounds;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.Settings;

/**
 * The routes of a proved file, with what they count: requests in hand for each route, and a retry budget for
 * each tenant of each, so that no tenant can spend another's. What it keeps is bounded by routes times
 * tenants,
 * and made when first used.
 */
public final class FileRoutePolicy implements RoutePolicy {
    private final RouteTable table;
    private final List<String> classes;
    private final int tenants;
    private final long adviceUs;
    private final SplittableRandom random;
    private final Map<Route, State> states = new IdentityHashMap<>();

    /** What a route counts. */
    private static final class State {
        private final Bounds[] byTenant;
        private int inHand;

        State(int tenants) {
            byTenant = new Bounds[tenants + 1];
        }
    }

    /**
     * Nothing counted so far.
     *
     * @param table of a file that holds
     * @param seed of the jitter
     */
    public FileRoutePolicy(RouteTable table, Settings settings, long seed) {
        this.table = table;
        classes = settings.classes.stream().map(c -> c.name()).toList();
        tenants = settings.tenants.size();
        adviceUs = settings.maxRetryAfterUs;
        random = new SplittableRandom(seed);
    }

    @Override
    public RouteBounds boundsOf(ClientRequest request) {
        Route route = table.find(classes.get(request.classIndex()), request.method(), request.target(),
                request.tenant());
        if (route == null) {
            return null;
        }
        State state = states.computeIfAbsent(route, r -> new State(tenants));
        int tenant = request.tenant() + 1;
        if (state.byTenant[tenant] == null) {
            state.byTenant[tenant] = new Bounds(state, route.limits());
        }
        return state.byTenant[tenant];
    }

    /** A route's bounds for one tenant. */
    private final class Bounds implements RouteBounds {
        private final State state;
        private final Limits limits;
        private final RetryBudget budget;
        private final LatencyWindow latencies;

        Bounds(State state, Limits limits) {
            this.state = state;
            this.limits = limits;
            latencies = limits.copyPercentile() == 0 ? null : new LatencyWindow(limits.copyPercentile());
            budget = limits.retryBudget() == 0 ? null : new RetryBudget(limits.retryBudget());
        }

        @Override
        public int attempts() {
            return limits.attempts();
        }

        @Override
        public boolean mayRepeat() {
            return budget == null || budget.hasOne();
        }

        @Override
        public void repeated() {
            if (budget != null) {
                budget.takeOne();
            }
        }

        @Override
        public long copyAfterUs() {
            long leastUs = latencies == null ? limits.copyUs() : latencies.percentileUs();
            return leastUs == 0 ? 0 : (long) (leastUs * (1 + limits.jitter() * random.nextDouble()));
        }

        @Override
        public void served(long latencyUs) {
            if (latencies != null) {
                latencies.add(latencyUs);
            }
        }

        @Override
        public long waitUs(int attempts) {
            long leastUs = limits.backoffUs(attempts);
            return leastUs == 0 ? 0 : (long) (leastUs * (1 + limits.jitter() * random.nextDouble()));
        }

        @Override
        public long attemptUs() {
            return limits.attemptUs() == 0 ? Long.MAX_VALUE : limits.attemptUs();
        }

        @Override
        public long totalUs() {
            return limits.totalUs() == 0 ? Long.MAX_VALUE : limits.totalUs();
        }

        @Override
        public long bodyBytes() {
            return limits.bodyBytes();
        }

        @Override
        public boolean enter() {
            if (limits.concurrency() > 0 && state.inHand >= limits.concurrency()) {
                return false;
            }
            state.inHand++;
            if (budget != null) {
                budget.firstTry();
            }
            return true;
        }

        @Override
        public void leave() {
            state.inHand--;
        }

        @Override
        public long adviseUs(long otherwiseUs) {
            return limits.retryAfterUs() >= 0 ? limits.retryAfterUs() : otherwiseUs > 0 ? otherwiseUs
                    : adviceUs;
        }
    }
}
