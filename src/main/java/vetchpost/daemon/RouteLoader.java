package vetchpost.daemon;

import java.io.IOException;
import java.nio.file.Path;
import vetchpost.core.Subset;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.FileRoutePolicy;
import vetchpost.routes.RouteValidation;

/** Reads an operator's file, proves it, and makes a node's routes of it; loaded only where there is one. */
final class RouteLoader {
    private RouteLoader() {}

    /**
     * What a file comes to; {@code subset} is null where a node has the whole fleet.
     *
     * @param file recovery is null where nothing is kept or handed over, admission where nothing waits before
     * the module
     */
    record LoadedRoutes(FileRoutePolicy policy, Subset subset, ValidatedFile file) {
        /** Has all of it hold from now on; on the loop. */
        void apply() {
            policy.replaceTable(file.routes().table(), file.settings());
        }
    }

    /**
     * Reads a file.
     *
     * @param before what it came to the last time, or null; its policy goes on with what it has counted
     * @throws IllegalArgumentException with a line for each violation
     */
    static LoadedRoutes load(Path path, Settings settings, long seed, LoadedRoutes before) {
        ValidatedFile file;
        try {
            file = ValidatedFile.read(path, sections -> settings, before == null ? null : before.file());
        } catch (IOException e) {
            throw new IllegalArgumentException("the routes can't be read: " + e, e);
        }
        if (!file.isValid()) {
            throw new IllegalArgumentException(file.describeViolations("the routes are"));
        }
        RouteValidation.FleetSubset part = file.routes().fleetSubset();
        return new LoadedRoutes(
                before == null ? new FileRoutePolicy(file.routes().table(), settings, seed) : before.policy(),
                part == null ? null : subset(part, settings),
                file);
    }

    /** Where repeats must stay in a cell, a node has all of a cell or nothing. */
    private static Subset subset(RouteValidation.FleetSubset part, Settings settings) {
        boolean byCell = settings.classes.stream()
                .anyMatch(
                        c -> c.idempotency() == Idempotency.KEYED && c.deduplicationScope() == DeduplicationScope.CELL);
        return new Subset(part.node(), settings.nodes, part.subset(), byCell);
    }
}
