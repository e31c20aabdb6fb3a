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
 * The command {@code serve}: runs a standalone node from one file, or the node that starts without arguments with an
 * operator's file beside the platform's configuration.
 */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Serves until SIGTERM. With FILE, runs from that file alone (docs/standalone.md); else "
                    + "from the "
                    + "platform's configuration, which LB_CONFIG names.",
            "SIGHUP reloads the files; an invalid one changes nothing."
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:ended by SIGTERM",
            "1:can't listen on the address",
            "2:bad configuration, routes or arguments"
        },
        footer = {
            "",
            "Examples:",
            "  init --listen 127.0.0.1:8080 --server 127.0.0.1:9001 > node.toml",
            "  check node.toml && serve node.toml"
        })
final class ServeCommand implements Callable<Integer> {
    /** Not an exit code: the node keeps running after the command returns. */
    static final int SERVING = -1;

    @Spec
    private CommandSpec spec;

    @Parameters(
            paramLabel = "FILE",
            arity = "0..1",
            description = "The operator's file, with everything a node needs. The environment is " + "ignored.")
    private Path file;

    @Option(
            names = "--routes",
            paramLabel = "FILE",
            description = "Used with the platform's configuration: limits per route and class, a subset of "
                    + "the fleet "
                    + "(docs/routes.md), fair queues (docs/admission.md), snapshots and handovers "
                    + "(docs/state.md). Validated before the first request. Its tables [node], [classes], "
                    + "[tenants], "
                    + "[pool], [[source]] and [checks] are ignored: the platform configures these.")
    private Path routes;

    @Override
    public Integer call() {
        if (file != null && routes != null) {
            throw new ParameterException(
                    spec.commandLine(), "use either FILE alone, or --routes FILE together with" + " LB_CONFIG");
        }
        if (file != null) {
            StandaloneMain.serve(file);
        } else {
            Main.serve(routes);
        }
        return SERVING;
    }
}
