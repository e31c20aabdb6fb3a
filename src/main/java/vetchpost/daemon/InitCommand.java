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

/** The command {@code init}: prints an operator's file that runs as it is. */
@Command(
        name = "init",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = "Prints a file by which a node runs, with comments on what it may say besides.",
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
            description = "Where clients connect; ${DEFAULT-VALUE} if not said.")
    private String listen;

    @Option(names = "--server", paramLabel = "ADDRESS", required = true, description = "A web server; once for each.")
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
        String named = servers.stream().map(s -> "    \"" + s + "\",\n").collect(Collectors.joining());
        return """
                # A vetchpost node by itself: `check FILE` proves this file, `serve FILE` runs it. What is
                # commented out is what holds anyway. docs/standalone.md has every key.

                [node]
                listen = "%s"
                # max-body = "1GiB"          # longer uploads get 413
                # forwarded = "both"         # tell servers of the client: standard, custom, both or none

                # Which requests may be sent again after a failure. Without any [classes], GET, HEAD and
                # OPTIONS may, and nothing else once it may have run.
                #
                # [classes.read]
                # methods = ["GET", "HEAD", "OPTIONS"]
                # deadline = "30s"           # an answer begins by then, or the client is told 503 or 504
                # aim = "1s"                 # and usually does by then
                #
                # [classes.write]
                # repeat = "unsafe"

                [pool]
                servers = [
                %s]
                # attempts = 3               # at most, over different servers
                # connect-timeout = "250ms"
                # drain-header = "X-Drain"   # a server that answers with it gets nothing new

                # Servers are watched by what real requests come to; this asks them besides.
                [checks]
                # path = "/healthy"          # else a connection is all that is asked for
                every = "5s"
                fall = 3                     # failed in a row, and a server gets no requests
                rise = 2                     # passed in a row, and it does again
                """.formatted(listen, named);
    }
}
