package vetchpost.daemon;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command {@code serve}: the daemon by one file, or as it runs without arguments and what those can't
 * say.
 */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Serves until SIGTERM. With FILE, by that file alone (docs/standalone.md); else "
                    + "by the "
                    + "platform's configuration, which LB_CONFIG names.",
            "SIGHUP has it read what it serves by again; what can't be used changes nothing."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:ended by SIGTERM", "1:the address can't be had", "2:bad configuration, routes or arguments"},
        footer = {
            "",
            "Examples:",
            "  init --listen 127.0.0.1:8080 --server 127.0.0.1:9001 > node.toml",
            "  check node.toml && serve node.toml"
        })
final class ServeCommand implements Callable<Integer> {
    /** No exit code: the daemon runs. */
    static final int SERVING = -1;

    @Spec
    private CommandSpec spec;

    @Parameters(
            paramLabel = "FILE",
            arity = "0..1",
            description = "The operator's file, with all that a node needs. The environment is not " + "looked at.")
    private Path file;

    @Option(
            names = "--routes",
            paramLabel = "FILE",
            description = "Beside the platform's configuration: limits per route and class, a part of "
                    + "the fleet "
                    + "(docs/routes.md), fair queues (docs/admission.md), and what is kept and handed over "
                    + "(docs/state.md). Proved before the first request. Its tables [node], [classes], "
                    + "[tenants], "
                    + "[pool], [[source]] and [checks] are passed over: the platform says that.")
    private Path routes;

    @Override
    public Integer call() {
        if (file != null && routes != null) {
            throw new ParameterException(
                    spec.commandLine(), "either FILE, which says all, or --routes FILE beside" + " LB_CONFIG");
        }
        if (file != null) {
            StandaloneMain.serve(file);
        } else {
            Main.serve(routes);
        }
        return SERVING;
    }
}
