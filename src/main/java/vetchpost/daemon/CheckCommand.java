package vetchpost.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import vetchpost.config.NodeConfig;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.Explanation;
import vetchpost.routes.RouteValidation;
import vetchpost.routes.Violation;
import vetchpost.sources.ReportedServer;
import vetchpost.sources.SourceDeclaration;
import vetchpost.standalone.Standalone;
import vetchpost.standalone.StandaloneValidator;

/** The command {@code check}: proves an operator's file and says what holds. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Proves an operator's file against the four rules, and names all that it breaks.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:the file holds", "2:it breaks a rule, or the arguments are bad"})
final class CheckCommand implements Callable<Integer> {
    private static final int EXIT_VIOLATIONS = 2;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The operator's file.")
    private Path file;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = {
                "The platform's configuration, for its classes " + "and limits.",
                "For a file without [node], LB_CONFIG if not said."
            })
    private Path platformConfig;

    @Option(
            names = "--explain",
            paramLabel = "ROUTE",
            description = "Prints what holds for a route or class, and the latest times of its attempts.")
    private String explainedRoute;

    @Override
    public Integer call() {
        ValidatedFile proved;
        try {
            proved = ValidatedFile.read(
                    file,
                    sections -> platformConfig == null && StandaloneValidator.isStandalone(sections)
                            ? null
                            : platformSettings(),
                    null);
        } catch (IOException e) {
            throw badUsage("can't read the file: " + e);
        }
        if (!proved.isValid()) {
            return printViolations(proved.violations());
        }
        Standalone node = proved.node();
        RouteValidation proof = proved.routes();
        PrintWriter out = spec.commandLine().getOut();
        if (explainedRoute == null) {
            out.println(file + " holds: " + proof.routes().size() + " routes, classes among them");
            if (node != null) {
                out.println("It makes a node by itself: serve " + file + " listens on "
                        + ReportedServer.formatAddress(node.listen()) + ", with servers by "
                        + node.sources().stream()
                                .map(s -> s.kind() == SourceDeclaration.Kind.ITSELF
                                        ? "the file (" + s.inlineServers().size() + ")"
                                        : s.name())
                                .collect(Collectors.joining(", "))
                        + ".");
                if (System.getenv("LB_CONFIG") != null) {
                    out.println("LB_CONFIG is set and not looked at by that; serve --routes " + file
                            + " goes by it instead, and passes over the file's own tables.");
                }
            } else if (proved.hasStandaloneTables()) {
                out.println("[node], [classes], [tenants], [pool], [[source]] and [checks] are passed "
                        + "over here:"
                        + " the platform's configuration says that.");
            }
        } else {
            if (!proof.routes().containsKey(explainedRoute)) {
                throw badUsage("there is no route '" + explainedRoute + "'; there are "
                        + String.join(
                                ", ", proof.routes().keySet().stream().limit(20).toList()));
            }
            out.print(Explanation.of(proof.routes().get(explainedRoute)));
        }
        out.flush();
        return 0;
    }

    private int printViolations(List<Violation> violations) {
        PrintWriter out = spec.commandLine().getOut();
        violations.forEach(out::println);
        out.println(violations.size() + (violations.size() == 1 ? " violation" : " violations"));
        out.flush();
        return EXIT_VIOLATIONS;
    }

    private Settings platformSettings() {
        Map<String, String> environment = platformConfig == null
                ? System.getenv()
                : Map.of(
                        "LB_CONFIG",
                        platformConfig.toString(),
                        "LB_LISTEN",
                        "127.0.0.1:1",
                        "LB_DISCOVERY",
                        "127.0.0.1:1");
        try {
            return NodeConfig.read(environment).settings();
        } catch (IllegalArgumentException e) {
            throw badUsage("the file has no table [node], so classes and limits come from the platform's"
                    + " configuration (--config or LB_CONFIG): " + e.getMessage());
        }
    }

    private ParameterException badUsage(String why) {
        return new ParameterException(spec.commandLine(), why);
    }
}
