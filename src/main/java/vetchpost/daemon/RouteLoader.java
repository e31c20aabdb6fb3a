package vetchpost.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import vetchpost.admission.AdmissionProver;
import vetchpost.admission.AdmissionSettings;
import vetchpost.core.RoutePolicy;
import vetchpost.core.Subset;
import vetchpost.decision.Balancer.Group;
import vetchpost.decision.Balancer.Repeat;
import vetchpost.decision.Balancer.Settings;
import vetchpost.recovery.RecoveryProver;
import vetchpost.recovery.RecoverySettings;
import vetchpost.routes.FileRoutePolicy;
import vetchpost.routes.Proof;
import vetchpost.routes.Prover;
import vetchpost.routes.Violation;
import vetchpost.routes.file.RouteFile;

/** Reads an operator's file, proves it, and makes a node's routes of it; loaded only where there is one. */
final class RouteLoader {
    private RouteLoader() { }

    /**
     * What a file comes to; {@code subset} is null where a node has the whole fleet, {@code recovery} where
     * nothing is kept or handed over, {@code admission} where nothing waits before the module.
     */
    record Loaded(RoutePolicy policy, Subset subset, RecoverySettings recovery,
            AdmissionSettings admission) { }

    /** Throws IllegalArgumentException with a line for each violation. */
    static Loaded load(Path path, Settings settings, long seed) {
        RouteFile file;
        try {
            file = RouteFile.read(path);
        } catch (IOException e) {
            throw new IllegalArgumentException("the routes can't be read: " + e, e);
        }
        if (!file.violations().isEmpty()) {
            throw new IllegalArgumentException(lines(file.violations()));
        }
        Proof proof = Prover.prove(file.sections(), settings);
        RecoveryProver.Proof recovery = RecoveryProver.prove(file.sections());
        AdmissionProver.Proof admission = AdmissionProver.prove(file.sections(), settings);
        if (!proof.holds() || !recovery.violations().isEmpty() || !admission.violations().isEmpty()) {
            List<Violation> violations = new ArrayList<>(proof.violations());
            violations.addAll(recovery.violations());
            violations.addAll(admission.violations());
            throw new IllegalArgumentException(lines(violations));
        }
        return new Loaded(new FileRoutePolicy(proof.table(), settings, seed),
                proof.part() == null ? null : subset(proof.part(), settings), recovery.settings(),
                admission.settings());
    }

    /** Where repeats must stay in a cell, a node has all of a cell or nothing. */
    private static Subset subset(Proof.Part part, Settings settings) {
        boolean byCell = settings.classes.stream().anyMatch(c -> c.repeat() == Repeat.KEYED
                && c.group() == Group.CELL);
        return new Subset(part.node(), settings.nodes, part.subset(), byCell);
    }

    private static String lines(List<Violation> violations) {
        return "the routes are refused:\n" + violations.stream().map(v -> "  " + v)
                .collect(Collectors.joining("\n"));
    }
}
