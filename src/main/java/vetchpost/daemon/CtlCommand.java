package vetchpost.daemon;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import vetchpost.control.AuditLog;

/**
 * The command {@code ctl}: queries running nodes over their control sockets and asks for temporary overrides. Sends one
 * JSON request to each node in turn; the nodes do the work, except that {@code audit} reads a file.
 */
@Command(
        name = "ctl",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Shows the state of running nodes, and sets temporary overrides for them.",
            "An override ends by itself; one that would leave too little capacity is rejected, with the numbers."
        },
        footer = {
            "",
            "Examples:",
            "  ctl --node /run/vetchpost/socket servers",
            "  ctl --node /run/vetchpost/socket drain web-7 --for 30m --reason \"disk is full\"",
            "  ctl --node /run/vetchpost/socket explain --refused 10m",
            "  ctl --node a.sock --node b.sock shed orders --share 0.5 --for 10m --reason \"retry storm\""
        },
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done at all nodes",
            "1:a node rejected the command, or an audit log is broken",
            "2:bad arguments, or a node can't be reached"
        })
final class CtlCommand implements Callable<Integer> {
    private static final int MAX_REPLY_BYTES = 16 << 20;
    private static final Pattern DURATION = Pattern.compile("(\\d{1,6})(s|m|h)");

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--node",
            paramLabel = "SOCKET",
            description = {
                "A node's socket, as [control] names it.",
                "With several, nodes are asked in this order up to the first that rejects."
            })
    private List<Path> nodes = new ArrayList<>();

    @Option(names = "--json", description = "Prints each node's reply unchanged, one per line.")
    private boolean json;

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "missing command; --help lists the commands");
    }

    @Command(name = "status", description = "Shows how many servers accept requests, and the pending work.")
    int status() {
        return sendToNodes(buildRequest("status"));
    }

    @Command(name = "servers", description = "Lists the servers.")
    int servers() {
        return sendToNodes(buildRequest("servers"));
    }

    @Command(name = "overrides", description = "Lists the operators' overrides that are still in force.")
    int overrides() {
        return sendToNodes(buildRequest("overrides"));
    }

    @Command(
            name = "reload",
            description = {"Has nodes reload their file, as SIGHUP does; prints the reason", "if one can't."})
    int reload() {
        return sendToNodes(buildRequest("reload"));
    }

    /** Options that all overrides have. */
    static final class LeaseOptions {
        @Option(
                names = "--for",
                required = true,
                paramLabel = "TIME",
                description = "Duration: 30s, 10m, 2h; at most a day.")
        private String duration;

        @Option(names = "--reason", required = true, paramLabel = "TEXT", description = "Why; it is recorded.")
        private String reason;

        @Option(names = "--owner", paramLabel = "NAME", description = "Who asks; your login name by default.")
        private String owner = System.getProperty("user.name", "unknown");

        @Option(
                names = "--priority",
                paramLabel = "0..9",
                description = "Of several weights or shares the one with the highest priority applies.")
        private int priority;

        @Option(
                names = "--key",
                paramLabel = "TEXT",
                description = "Idempotency key: commands with the same key act once.")
        private String key = UUID.randomUUID().toString();

        @Option(names = "--anyway", description = "Overrides the safety check; it is recorded.")
        private boolean anyway;

        @Option(names = "--dry-run", description = "Changes nothing, and shows the effect.")
        private boolean dryRun;
    }

    @Command(name = "drain", description = "Sends a server no new requests; pending ones go on.")
    int drain(@Parameters(paramLabel = "SERVER") String server, @picocli.CommandLine.Mixin LeaseOptions lease) {
        return sendToNodes(buildRequest("drain", lease, "server", server, null));
    }

    @Command(name = "weight", description = "Reduces a server's load to a share of the usual one.")
    int weight(
            @Parameters(paramLabel = "SERVER") String server,
            @Option(names = "--share", required = true, paramLabel = "0.001..1") double share,
            @picocli.CommandLine.Mixin LeaseOptions lease) {
        return sendToNodes(buildRequest("weight", lease, "server", server, share));
    }

    @Command(name = "shed", description = "Rejects a share of a class's requests on arrival.")
    int shed(
            @Parameters(paramLabel = "CLASS") String className,
            @Option(names = "--share", required = true, paramLabel = "0.001..1") double share,
            @picocli.CommandLine.Mixin LeaseOptions lease) {
        return sendToNodes(buildRequest("shed", lease, "class", className, share));
    }

    @Command(name = "freeze", description = "Freezes the list of servers.")
    int freeze(@picocli.CommandLine.Mixin LeaseOptions lease) {
        return sendToNodes(buildRequest("freeze", lease, null, null, null));
    }

    @Command(name = "undo", description = "Ends an override before its time.")
    int undo(
            @Parameters(paramLabel = "NUMBER") long number,
            @Option(names = "--owner", paramLabel = "NAME") String owner) {
        JsonObject message = buildRequest("undo");
        message.addProperty("number", number);
        message.addProperty("owner", owner == null ? System.getProperty("user.name", "unknown") : owner);
        return sendToNodes(message);
    }

    @Command(
            name = "explain",
            description = {
                "Explains a request by its id, a server that gets no requests,",
                "rejections and failures by cause, or the last requests that were",
                "rejected, failed, retried or slow."
            })
    int explain(
            @Parameters(arity = "0..1", paramLabel = "ID", description = "A request's id: up to 16 hexadecimal digits.")
                    String id,
            @Option(
                            names = "--why-not",
                            paramLabel = "SERVER",
                            description = "Why this server gets no requests, or fewer than others.")
                    String server,
            @Option(
                            names = "--refused",
                            paramLabel = "TIME",
                            description = "Rejections and failures in this time, by cause: 10m; at most an hour.")
                    String duration,
            @Option(names = "--last", paramLabel = "N", description = "The last N; 20 by default, at most 100.")
                    Integer last) {
        long optionCount =
                Stream.of(id, server, duration, last).filter(Objects::nonNull).count();
        if (optionCount > 1) {
            throw new ParameterException(
                    spec.commandLine(), "use only one of ID, --why-not, --refused and --last, not " + optionCount);
        }
        JsonObject message = buildRequest("explain");
        if (id != null) {
            message.addProperty("txn", id);
        } else if (server != null) {
            message.addProperty("server", server);
        } else if (duration != null) {
            message.addProperty("refused", parseDurationMs("--refused", duration));
        } else if (last != null) {
            message.addProperty("last", last);
        }
        return sendToNodes(message);
    }

    @Command(name = "audit", description = "Checks that an audit log is complete and unchanged.")
    int audit(@Parameters(paramLabel = "FILE", description = "The file that [control] names.") Path file) {
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (IOException e) {
            throw new ParameterException(spec.commandLine(), "can't read " + file + ": " + e.getMessage());
        }
        int brokenLine = AuditLog.firstBrokenLine(lines);
        if (brokenLine == 0 && json) {
            lines.forEach(line -> out().println(AuditLog.textOf(line)));
        } else {
            out().println(
                            brokenLine == 0
                                    ? lines.size() + " entries, the chain is intact"
                                    : "line " + brokenLine + " breaks the chain: it, or one before it, was"
                                            + " changed, removed or inserted");
        }
        out().flush();
        return brokenLine == 0 ? 0 : 1;
    }

    private static JsonObject buildRequest(String verb) {
        JsonObject message = new JsonObject();
        message.addProperty("v", 1);
        message.addProperty("do", verb);
        return message;
    }

    private JsonObject buildRequest(String verb, LeaseOptions lease, String field, String subject, Double share) {
        JsonObject message = buildRequest(verb);
        if (field != null) {
            message.addProperty(field, subject);
        }
        if (share != null) {
            message.addProperty("share", share);
        }
        message.addProperty("for", parseDurationMs("--for", lease.duration));
        message.addProperty("reason", lease.reason);
        message.addProperty("owner", lease.owner);
        message.addProperty("priority", lease.priority);
        message.addProperty("key", lease.key);
        message.addProperty("anyway", lease.anyway);
        message.addProperty("dry", lease.dryRun);
        return message;
    }

    private long parseDurationMs(String option, String text) {
        Matcher match = DURATION.matcher(text);
        if (!match.matches()) {
            throw new ParameterException(
                    spec.commandLine(), option + " " + text + " is not a duration; use for example 30s, 10m or 2h");
        }
        long secondMs = 1_000;
        return Long.parseLong(match.group(1))
                * switch (match.group(2)) {
                    case "s" -> secondMs;
                    case "m" -> 60 * secondMs;
                    default -> 3_600 * secondMs;
                };
    }

    /**
     * Sends a request to the nodes one after the other, and stops at the first that rejects it or can't be reached.
     *
     * @return the exit code
     */
    private int sendToNodes(JsonObject message) {
        if (nodes.isEmpty()) {
            throw new ParameterException(spec.commandLine(), "no node given; use --node SOCKET before the command");
        }
        int done = 0;
        int code = 0;
        for (Path node : nodes) {
            JsonObject reply;
            try {
                reply = exchange(node, message);
            } catch (IOException | JsonParseException | IllegalStateException e) {
                out().println(node + ": can't reach the node: " + e.getMessage());
                code = 2;
                break;
            }
            boolean ok = reply.get("ok").getAsBoolean()
                    && (!reply.has("would") || reply.get("would").getAsBoolean());
            print(node, reply);
            if (!ok) {
                code = 1;
                break;
            }
            done++;
        }
        if (nodes.size() > 1 && code != 0) {
            out().println("done at " + done + " of " + nodes.size() + " nodes"
                    + (done < nodes.size() - 1 ? "; the remaining nodes were not asked" : ""));
        }
        out().flush();
        return code;
    }

    private static JsonObject exchange(Path node, JsonObject message) throws IOException {
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(node))) {
            ByteBuffer bytes = ByteBuffer.wrap((message + "\n").getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            var in = new java.io.BufferedInputStream(Channels.newInputStream(channel));
            for (int nextByte = in.read(); nextByte != '\n'; nextByte = in.read()) {
                if (nextByte < 0 || line.size() >= MAX_REPLY_BYTES) {
                    throw new IOException("the node closed the connection without a reply");
                }
                line.write(nextByte);
            }
            return JsonParser.parseString(line.toString(StandardCharsets.UTF_8)).getAsJsonObject();
        }
    }

    private void print(Path node, JsonObject reply) {
        if (json) {
            out().println(reply);
            return;
        }
        if (nodes.size() > 1) {
            out().println(node + ":");
        }
        if (!reply.get("ok").getAsBoolean()) {
            out().println("rejected: " + joinTexts(reply, "why"));
        } else if (reply.has("list")) {
            printTable(reply);
        } else if (ExplainText.isExplanation(reply)) {
            ExplainText.print(out(), reply);
        } else if (reply.has("override")) {
            JsonObject lease = reply.getAsJsonObject("override");
            out().println("override " + lease.get("number") + " is in force for " + formatTimeLeft(lease)
                    + (joinTexts(reply, "against").isEmpty() ? "" : ", although " + joinTexts(reply, "against")));
        } else if (reply.has("would")) {
            JsonObject before = reply.getAsJsonObject("before");
            JsonObject after = reply.getAsJsonObject("after");
            out().println((reply.get("would").getAsBoolean() ? "would be carried out" : "would be rejected")
                    + (joinTexts(reply, "against").isEmpty() ? "" : ": " + joinTexts(reply, "against")));
            out().println("servers that accept requests: " + before.get("servers") + " now, "
                    + after.get("servers") + " then; weight " + before.get("weight") + ", "
                    + after.get("weight"));
        } else {
            reply.entrySet().stream()
                    .filter(e -> !List.of("v", "ok", "id").contains(e.getKey()))
                    .forEach(e -> out().printf("%-10s %s%n", e.getKey(), e.getValue()));
            if (reply.size() <= 3) {
                out().println("done");
            }
        }
    }

    private void printTable(JsonObject reply) {
        if (reply.getAsJsonArray("list").isEmpty()) {
            out().println("none");
        }
        for (JsonElement element : reply.getAsJsonArray("list")) {
            JsonObject row = element.getAsJsonObject();
            if (row.has("state")) {
                out().printf(
                                Locale.ROOT,
                                "%-24s %-10s %8.3f  %s%n",
                                row.get("id").getAsString(),
                                row.get("zone").getAsString(),
                                row.get("weight").getAsDouble(),
                                row.get("state").getAsString());
            } else {
                int amount = row.get("per-mille").getAsInt();
                out().printf(
                                Locale.ROOT,
                                "%4d  %-6s %-20s %6s  %8s left  %s: %s%n",
                                row.get("number").getAsLong(),
                                row.get("kind").getAsString(),
                                row.get("subject").getAsString(),
                                amount == 0 ? "" : amount / 10.0 + "%",
                                formatTimeLeft(row),
                                row.get("owner").getAsString(),
                                row.get("reason").getAsString());
            }
        }
    }

    private static String joinTexts(JsonObject reply, String key) {
        List<String> texts = new ArrayList<>();
        reply.getAsJsonArray(key).forEach(t -> texts.add(t.getAsString()));
        return String.join("; ", texts);
    }

    private static String formatTimeLeft(JsonObject lease) {
        long seconds = (lease.get("left-ms").getAsLong() + 999) / 1_000;
        return seconds < 120 ? seconds + " s" : seconds < 7_200 ? seconds / 60 + " min" : seconds / 3_600 + " h";
    }
}
