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

/** The command {@code check}: validates an operator's file and explains its routes. Reads files only. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Validates an operator's file against the four rules, and lists all violations.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:the file is valid", "2:it breaks a rule, or the arguments are bad"})
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
                "For a file without [node], the default is LB_CONFIG."
            })
    private Path platformConfig;

    @Option(
            names = "--explain",
            paramLabel = "ROUTE",
            description = "Prints the settings in force for a route or class, and the latest times of its attempts.")
    private String explainedRoute;

    @Override
    public Integer call() {
        ValidatedFile validated;
        try {
            validated = ValidatedFile.read(
                    file,
                    sections -> platformConfig == null && StandaloneValidator.isStandalone(sections)
                            ? null
                            : platformSettings(),
                    null);
        } catch (IOException e) {
            throw badUsage("can't read the file: " + e);
        }
        if (!validated.isValid()) {
            return printViolations(validated.violations());
        }
        Standalone node = validated.node();
        RouteValidation routeValidation = validated.routes();
        PrintWriter out = spec.commandLine().getOut();
        if (explainedRoute == null) {
            out.println(file + " is valid: " + routeValidation.routes().size() + " routes, including classes");
            if (node != null) {
                out.println("It configures a standalone node: serve " + file + " listens on "
                        + ReportedServer.formatAddress(node.listen()) + ", with servers from "
                        + node.sources().stream()
                                .map(s -> s.kind() == SourceDeclaration.Kind.ITSELF
                                        ? "the file (" + s.inlineServers().size() + ")"
                                        : s.name())
                                .collect(Collectors.joining(", "))
                        + ".");
                if (System.getenv("LB_CONFIG") != null) {
                    out.println("LB_CONFIG is set, but that command ignores it; serve --routes " + file
                            + " uses it instead, and ignores the file's tables for a standalone node.");
                }
            } else if (validated.hasStandaloneTables()) {
                out.println("[node], [classes], [tenants], [pool], [[source]] and [checks] are ignored "
                        + "here:"
                        + " the platform's configuration defines these.");
            }
        } else {
            if (!routeValidation.routes().containsKey(explainedRoute)) {
                throw badUsage("there is no route '" + explainedRoute + "'; there are "
                        + String.join(
                                ", ",
                                routeValidation.routes().keySet().stream()
                                        .limit(20)
                                        .toList()));
            }
            out.print(Explanation.of(routeValidation.routes().get(explainedRoute)));
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

    private ParameterException badUsage(String message) {
        return new ParameterException(spec.commandLine(), message);
    }
}
