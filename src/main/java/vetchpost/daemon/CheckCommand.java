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
    private static final int REFUSED = 2;

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
    private Path config;

    @Option(
            names = "--explain",
            paramLabel = "ROUTE",
            description = "Prints what holds for a route or class, and the latest times of its attempts.")
    private String explain;

    @Override
    public Integer call() {
        ValidatedFile proved;
        try {
            proved = ValidatedFile.prove(
                    file,
                    sections -> config == null && StandaloneValidator.isStandalone(sections) ? null : settings(),
                    null);
        } catch (IOException e) {
            throw bad("can't read the file: " + e);
        }
        if (!proved.holds()) {
            return refused(proved.violations());
        }
        Standalone node = proved.node();
        RouteValidation proof = proved.routes();
        PrintWriter out = spec.commandLine().getOut();
        if (explain == null) {
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
            } else if (proved.hasOwn()) {
                out.println("[node], [classes], [tenants], [pool], [[source]] and [checks] are passed "
                        + "over here:"
                        + " the platform's configuration says that.");
            }
        } else {
            if (!proof.routes().containsKey(explain)) {
                throw bad("there is no route '" + explain + "'; there are "
                        + String.join(
                                ", ", proof.routes().keySet().stream().limit(20).toList()));
            }
            out.print(Explanation.of(proof.routes().get(explain)));
        }
        out.flush();
        return 0;
    }

    private int refused(List<Violation> violations) {
        PrintWriter out = spec.commandLine().getOut();
        violations.forEach(out::println);
        out.println(violations.size() + (violations.size() == 1 ? " violation" : " violations"));
        out.flush();
        return REFUSED;
    }

    private Settings settings() {
        Map<String, String> environment = config == null
                ? System.getenv()
                : Map.of("LB_CONFIG", config.toString(), "LB_LISTEN", "127.0.0.1:1", "LB_DISCOVERY", "127.0.0.1:1");
        try {
            return NodeConfig.read(environment).settings();
        } catch (IllegalArgumentException e) {
            throw bad("the file has no table [node], so classes and limits come from the platform's"
                    + " configuration (--config or LB_CONFIG): " + e.getMessage());
        }
    }

    private ParameterException bad(String why) {
        return new ParameterException(spec.commandLine(), why);
    }
}
