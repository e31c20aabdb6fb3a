package vetchpost.daemon;

import java.io.IOException;
import java.nio.file.Path;
import vetchpost.core.Subset;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.FileRoutePolicy;
import vetchpost.routes.RouteValidation;

/**
 * Reads and validates the operator's file that is used beside the platform's configuration, and creates the route
 * policy from it. {@link Main} calls it at the start and at each reload, off the event loop for reloads. The class is
 * loaded only if there is such a file.
 */
final class RouteLoader {
    private RouteLoader() {}

    /**
     * A valid file and what was created from it.
     *
     * @param policy the routes' policy, the same object across reloads
     * @param subset the node's part of the fleet, or null for the whole fleet
     * @param file the validated file
     */
    record LoadedRoutes(FileRoutePolicy policy, Subset subset, ValidatedFile file) {
        /** Puts the routes into force; call on the event loop. */
        void apply() {
            policy.replaceTable(file.routes().table(), file.settings());
        }
    }

    /**
     * Reads and validates a file. Blocks on the disk.
     *
     * @param settings the platform's settings
     * @param seed for the random decisions of a new policy
     * @param previous the result of the previous load, or null; its policy is reused with its counters
     * @throws IllegalArgumentException if the file can't be read or is invalid, with a line for each violation
     */
    static LoadedRoutes load(Path path, Settings settings, long seed, LoadedRoutes previous) {
        ValidatedFile file;
        try {
            file = ValidatedFile.read(path, sections -> settings, previous == null ? null : previous.file());
        } catch (IOException e) {
            throw new IllegalArgumentException("the routes file can't be read: " + e, e);
        }
        if (!file.isValid()) {
            throw new IllegalArgumentException(file.describeViolations("the routes are"));
        }
        RouteValidation.FleetSubset fleetSubset = file.routes().fleetSubset();
        return new LoadedRoutes(
                previous == null ? new FileRoutePolicy(file.routes().table(), settings, seed) : previous.policy(),
                fleetSubset == null ? null : subset(fleetSubset, settings),
                file);
    }

    /** If some class deduplicates retries within a cell, the subset consists of whole cells. */
    private static Subset subset(RouteValidation.FleetSubset fleetSubset, Settings settings) {
        boolean wholeCells = settings.classes.stream()
                .anyMatch(
                        c -> c.idempotency() == Idempotency.KEYED && c.deduplicationScope() == DeduplicationScope.CELL);
        return new Subset(fleetSubset.node(), settings.nodes, fleetSubset.subset(), wholeCells);
    }
}
