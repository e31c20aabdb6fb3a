package vetchpost.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import vetchpost.admission.AdmissionProver;
import vetchpost.config.Config;
import vetchpost.decision.Balancer.Settings;
import vetchpost.recovery.RecoveryProver;
import vetchpost.routes.Explanation;
import vetchpost.routes.Proof;
import vetchpost.routes.Prover;
import vetchpost.routes.Violation;
import vetchpost.routes.file.RouteFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code check}: proves an operator's file and says what holds. */
@Command(name = "check", mixinStandardHelpOptions = true, sortOptions = false,
        description = "Proves an operator's file against the four rules, and names all that it breaks.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:the file holds", "2:it breaks a rule, or the arguments are bad"})
final class CheckCommand implements Callable<Integer> {
    private static final int REFUSED = 2;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The operator's file.")
    private Path file;

    @Option(names = "--config", paramLabel = "FILE",
            description = {"The platform's configuration, for its classes "
        + "and limits.", "LB_CONFIG if not said."})
    private Path config;

    @Option(names = "--explain", paramLabel = "ROUTE",
            description = "Prints what holds for a route or class, and the latest times of its attempts.")
    private String explain;

    @Override
    public Integer call() {
        Settings settings = settings();
        RouteFile read;
        try {
            read = RouteFile.read(file);
        } catch (IOException e) {
            throw bad("can't read the file: " + e);
        }
        Proof proof = read.violations().isEmpty() ? Prover.prove(read.sections(), settings) : null;
        List<Violation> violations = new ArrayList<>(proof == null ? read.violations() : proof.violations());
        violations.addAll(RecoveryProver.prove(read.sections()).violations());
        violations.addAll(AdmissionProver.prove(read.sections(), settings).violations());
        PrintWriter out = spec.commandLine().getOut();
        if (!violations.isEmpty()) {
            violations.forEach(out::println);
            out.println(violations.size() + (violations.size() == 1 ? " violation" : " violations"));
            out.flush();
            return REFUSED;
        }
        if (explain == null) {
            out.println(file + " holds: " + proof.routes().size() + " routes, classes among them");
        } else {
            if (!proof.routes().containsKey(explain)) {
                throw bad("there is no route '" + explain + "'; there are " + String.join(", ",
                        proof.routes().keySet().stream().limit(20).toList()));
            }
            out.print(Explanation.of(proof.routes().get(explain)));
        }
        out.flush();
        return 0;
    }

    private Settings settings() {
        Map<String, String> environment = config == null ? System.getenv()
                : Map.of("LB_CONFIG",
                config.toString(), "LB_LISTEN", "127.0.0.1:1", "LB_DISCOVERY", "127.0.0.1:1");
        try {
            return Config.read(environment).settings();
        } catch (IllegalArgumentException e) {
            throw bad("classes and limits come from the platform's configuration (--config or LB_CONFIG): "
                    + e.getMessage());
        }
    }

    private ParameterException bad(String why) {
        return new ParameterException(spec.commandLine(), why);
    }
}
