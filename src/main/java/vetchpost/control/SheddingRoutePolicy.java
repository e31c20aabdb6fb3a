package vetchpost.control;

import java.util.List;
import java.util.function.Supplier;
import vetchpost.core.ClientRequest;
import vetchpost.core.RouteLimits;
import vetchpost.core.RoutePolicy;

/** Routes of which a share of a class's requests is refused on arrival: evenly, not by chance. */
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
     * Before these routes.
     *
     * @param classes the settings' names of classes, in their order
     * @param effects what holds now
     */
    public SheddingRoutePolicy(RoutePolicy routes, List<String> classes, Supplier<OverrideEffects> effects) {
        this.routes = routes;
        this.classes = classes;
        this.effects = effects;
        shedRemainders = new int[classes.size()];
    }

    @Override
    public RouteLimits limitsOf(ClientRequest request) {
        int cls = request.classIndex();
        int perMille = effects.get().shedPerMille(classes.get(cls));
        if (perMille > 0) {
            shedRemainders[cls] += perMille;
            if (shedRemainders[cls] >= PER_MILLE) {
                shedRemainders[cls] -= PER_MILLE;
                return REJECTING_LIMITS;
            }
        }
        return routes.limitsOf(request);
    }
}
