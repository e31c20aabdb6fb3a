package vetchpost.control;

import java.util.List;
import java.util.function.Supplier;
import vetchpost.core.ClientRequest;
import vetchpost.core.RouteLimits;
import vetchpost.core.RoutePolicy;

/**
 * Sheds a fraction of each class's requests on arrival, as the active overrides demand, and passes the rest to the next
 * route policy. Requests are shed at even intervals, not at random. Called on the event loop for every request.
 */
public final class SheddingRoutePolicy implements RoutePolicy {
    private static final int PER_MILLE = 1_000;
    private static final RouteLimits REJECTING_LIMITS = new RouteLimits() {
        @Override
        public boolean tryAcquire() {
            return false;
        }
    };

    private final RoutePolicy routes;
    private final List<String> classes;
    private final Supplier<OverrideEffects> effects;
    private final int[] shedRemainders;

    /**
     * Creates a policy in front of another.
     *
     * @param routes decides on the requests that are not shed
     * @param classes names of the request classes, in the settings' order
     * @param effects gives the effects of the active overrides
     */
    public SheddingRoutePolicy(RoutePolicy routes, List<String> classes, Supplier<OverrideEffects> effects) {
        this.routes = routes;
        this.classes = classes;
        this.effects = effects;
        shedRemainders = new int[classes.size()];
    }

    @Override
    public RouteLimits limitsOf(ClientRequest request) {
        int classIndex = request.classIndex();
        int perMille = effects.get().shedPerMille(classes.get(classIndex));
        if (perMille > 0) {
            shedRemainders[classIndex] += perMille;
            if (shedRemainders[classIndex] >= PER_MILLE) {
                shedRemainders[classIndex] -= PER_MILLE;
                return REJECTING_LIMITS;
            }
        }
        return routes.limitsOf(request);
    }
}
