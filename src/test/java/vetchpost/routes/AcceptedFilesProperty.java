package vetchpost.routes;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import vetchpost.core.RoutePolicy;
import vetchpost.decision.Balancer.Settings;
import vetchpost.node.NodeHooks;
import vetchpost.routes.file.RouteFile;
import vetchpost.simulation.Plan;
import vetchpost.simulation.Result;
import vetchpost.simulation.Simulation;
import vetchpost.simulation.net.SimLoop;
import vetchpost.simulation.world.NodeProcess;

/** Whatever file the prover accepts, the four rules hold with it, whatever goes wrong. */
class AcceptedFilesProperty {
    private static final AtomicInteger ACCEPTED = new AtomicInteger();
    private static final AtomicInteger REJECTED = new AtomicInteger();

    @Provide
    Arbitrary<String> files() {
        Arbitrary<String> tables = Arbitraries.of(
                "[defaults]",
                "[class.view-page]",
                "[class.add-photo]",
                "[class.place-order]",
                "[[route]]\npath = \"/view-page/{n}\"",
                "[[route]]\npath = \"/add-photo/*\"",
                "[[route]]\npath = \"/place-order/{n}\"\ntenant = \"school\"");
        Arbitrary<String> lines = Arbitraries.oneOf(
                Arbitraries.integers().between(5, 600).map(n -> "attempt-timeout = \"" + n + "ms\""),
                Arbitraries.integers().between(20, 900).map(n -> "total-timeout = \"" + n + "ms\""),
                Arbitraries.integers().between(1, 4).map(n -> "attempts = " + n),
                Arbitraries.integers().between(0, 80).map(n -> "backoff = \"" + n + "ms\""),
                Arbitraries.integers().between(1, 200).map(n -> "copy-after = \"" + n + "ms\""),
                Arbitraries.integers().between(50, 99).map(n -> "copy-percentile = " + n),
                Arbitraries.of(0, 0.5, 1).map(n -> "jitter = " + n),
                Arbitraries.of(0.0, 0.05, 0.3, 1.0).map(n -> "retry-budget = " + n),
                Arbitraries.integers().between(0, 30).map(n -> "concurrency = " + n),
                Arbitraries.integers().between(0, 900).map(n -> "max-body = \"" + n + "B\""),
                Arbitraries.integers().between(0, 1_100).map(n -> "retry-after = \"" + n + "ms\""));
        Arbitrary<String> sections = Combinators.combine(tables, lines.list().ofMaxSize(4))
                .as((table, some) -> table + "\n"
                        + String.join("\n", some.stream().filter(distinctKeys()).toList()) + "\n");
        return sections.list().ofMinSize(1).ofMaxSize(4).map(some -> String.join("\n", some));
    }

    /** TOML takes no key twice. */
    private static Predicate<String> distinctKeys() {
        Set<String> seen = new HashSet<>();
        return line -> seen.add(line.substring(0, line.indexOf(' ')));
    }

    /** The file in force in all nodes, if it is accepted by the settings that they are given. */
    private record AppliedFile(List<Section> sections, boolean[] rejected) implements NodeProcess.Setup {
        @Override
        public NodeHooks hooks(SimLoop loop) {
            return NodeHooks.NONE;
        }

        @Override
        public RoutePolicy routes(Settings settings, long seed) {
            RouteValidation proof = RouteValidator.validate(sections, settings);
            rejected[0] = !proof.isValid();
            return rejected[0] ? RoutePolicy.NONE : new FileRoutePolicy(proof.table(), settings, seed);
        }
    }

    @Property(tries = 400, seed = "2718", shrinking = ShrinkingMode.OFF)
    @Label("accepted files keep the four rules")
    boolean acceptedFilesKeepTheRules(@ForAll("files") String text, @ForAll int seed) {
        RouteFile file = RouteFile.parse("random.toml", text);
        if (!file.violations().isEmpty()) {
            REJECTED.incrementAndGet();
            return true;
        }
        boolean[] refused = new boolean[1];
        Plan plan = Plan.of(Math.abs((long) seed) % 100_000);
        Result result = Simulation.run(plan, new AppliedFile(file.sections(), refused), null);
        (refused[0] ? REJECTED : ACCEPTED).incrementAndGet();
        if (!result.isGood()) {
            throw new AssertionError("seed " + result.seed() + ": " + result.violation() + " with\n" + text);
        }
        return true;
    }

    @AfterContainer
    static void enoughFilesAreAccepted() {
        System.out.println("random files: " + ACCEPTED + " accepted and run, " + REJECTED + " refused");
        if (ACCEPTED.get() < 50) {
            throw new AssertionError("only " + ACCEPTED + " files were accepted");
        }
    }
}
