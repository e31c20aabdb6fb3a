package vetchpost.daemon;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code serve}: the daemon, as it runs without arguments, and with what those can't say. */
@Command(name = "serve", mixinStandardHelpOptions = true, sortOptions = false,
        description = {"Serves until SIGTERM, by the configuration that LB_CONFIG names.",
            "SIGHUP has it read the configuration and the routes again; what can't be used changes nothing."},
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:ended by SIGTERM", "1:the address can't be had",
            "2:bad configuration, routes or arguments"})
final class ServeCommand implements Callable<Integer> {
    /** No exit code: the daemon runs. */
    static final int SERVING = -1;

    @Option(names = "--routes", paramLabel = "FILE",
            description = "Limits per route and class, a part of the fleet (docs/routes.md), fair queues "
                + "(docs/admission.md), and what is kept and handed over (docs/state.md). Proved "
                + "before the first request.")
    private Path routes;

    @Override
    public Integer call() {
        Main.serve(routes);
        return SERVING;
    }
}
