package vetchpost.daemon;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import vetchpost.standalone.ServerEntryReader;

/** The command {@code init}: prints an operator's file that a standalone node can run without changes. */
@Command(
        name = "init",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Prints a file for a standalone node, with comments on further settings.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:printed", "2:bad arguments"},
        footer = {
            "",
            "Example:",
            "  init --listen 127.0.0.1:8080 --server 127.0.0.1:9001 --server 127.0.0.1:9002 > node.toml"
        })
final class InitCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--listen",
            paramLabel = "ADDRESS",
            defaultValue = "127.0.0.1:8080",
            description = "Address to listen on; ${DEFAULT-VALUE} by default.")
    private String listen;

    @Option(
            names = "--server",
            paramLabel = "ADDRESS",
            required = true,
            description = "A web server; repeat the option for each.")
    private List<String> servers;

    @Override
    public Integer call() {
        checkAddress(listen);
        servers.forEach(this::checkAddress);
        spec.commandLine().getOut().print(fileText());
        spec.commandLine().getOut().flush();
        return 0;
    }

    private void checkAddress(String address) {
        try {
            ServerEntryReader.parseAddress(address);
        } catch (IllegalArgumentException e) {
            throw new ParameterException(
                    spec.commandLine(),
                    e.getMessage() + ", as 127.0.0.1:8080 and"
                            + " [::1]:8080 are; names are looked up by a [[source]], see docs/servers.md");
        }
    }

    private String fileText() {
        String serverLines = servers.stream().map(s -> "    \"" + s + "\",\n").collect(Collectors.joining());
        return """
                # A standalone vetchpost node: `check FILE` validates this file, `serve FILE` runs it. Settings that
                # are commented out show the defaults. docs/standalone.md has every key.

                [node]
                listen = "%s"
                # max-body = "1GiB"          # longer uploads get 413
                # forwarded = "both"         # headers that name the client to servers: standard, custom, both or none

                # Which requests may be retried after a failure. Without any [classes], GET, HEAD and OPTIONS are
                # retried, and other requests only if they can't have run.
                #
                # [classes.read]
                # methods = ["GET", "HEAD", "OPTIONS"]
                # deadline = "30s"           # without a response by then the client gets 503 or 504
                # aim = "1s"                 # latency target of a usual response
                #
                # [classes.write]
                # repeat = "unsafe"

                [pool]
                servers = [
                %s]
                # attempts = 3               # maximum, at different servers
                # connect-timeout = "250ms"
                # drain-header = "X-Drain"   # a server that sends it gets no new requests

                # The outcome of requests shows which servers fail; these checks probe them in addition.
                [checks]
                # path = "/healthy"          # without it, a check only connects
                every = "5s"
                fall = 3                     # failures in a row until a server gets no requests
                rise = 2                     # successes in a row until it gets requests again
                """.formatted(listen, serverLines);
    }
}
