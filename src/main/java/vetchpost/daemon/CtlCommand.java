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

/** The command {@code ctl}: operators' control of running nodes. */
@Command(
        name = "ctl",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description = {
            "Asks running nodes how they are, and has them be more careful for a while.",
            "What is asked for ends by itself; what would leave too little is refused, with figures."
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
            "1:a node refused, or a trail is broken",
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
                "Several are asked in this order, stopping at the first that refuses."
            })
    private List<Path> nodes = new ArrayList<>();

    @Option(names = "--json", description = "Prints each node's reply as it came, a line each.")
    private boolean json;

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "say what is to be done; --help names the commands");
    }

    @Command(name = "status", description = "Shows how many servers take requests, and what is in hand.")
    int status() {
        return sendToNodes(buildRequest("status"));
    }

    @Command(name = "servers", description = "Lists the servers.")
    int servers() {
        return sendToNodes(buildRequest("servers"));
    }

    @Command(name = "overrides", description = "Lists what operators have asked for and still holds.")
    int overrides() {
        return sendToNodes(buildRequest("overrides"));
    }

    @Command(
            name = "reload",
            description = {"Has nodes read their file again, as SIGHUP does; tells what", "keeps one from it."})
    int reload() {
        return sendToNodes(buildRequest("reload"));
    }

    /** What all changes have. */
    static final class LeaseOptions {
        @Option(
                names = "--for",
                required = true,
                paramLabel = "TIME",
                description = "For how long: 30s, 10m, 2h; a day at most.")
        private String duration;

        @Option(names = "--reason", required = true, paramLabel = "TEXT", description = "Why; it is recorded.")
        private String reason;

        @Option(names = "--owner", paramLabel = "NAME", description = "Who asks; your login name if not said.")
        private String owner = System.getProperty("user.name", "unknown");

        @Option(
                names = "--priority",
                paramLabel = "0..9",
                description = "Of several weights or shares the highest counts.")
        private int priority;

        @Option(names = "--key", paramLabel = "TEXT", description = "The same in a repeated command: acts once.")
        private String key = UUID.randomUUID().toString();

        @Option(names = "--anyway", description = "Carries out what is judged to be harmful; it is recorded.")
        private boolean anyway;

        @Option(names = "--dry-run", description = "Changes nothing, and shows before and after.")
        private boolean dryRun;
    }

    @Command(name = "drain", description = "Has a server take nothing new; what it has goes on.")
    int drain(@Parameters(paramLabel = "SERVER") String server, @picocli.CommandLine.Mixin LeaseOptions lease) {
        return sendToNodes(buildRequest("drain", lease, "server", server, null));
    }

    @Command(name = "weight", description = "Has a server take a share of its usual part.")
    int weight(
            @Parameters(paramLabel = "SERVER") String server,
            @Option(names = "--share", required = true, paramLabel = "0.001..1") double share,
            @picocli.CommandLine.Mixin LeaseOptions lease) {
        return sendToNodes(buildRequest("weight", lease, "server", server, share));
    }

    @Command(name = "shed", description = "Refuses a share of a class's requests on arrival.")
    int shed(
            @Parameters(paramLabel = "CLASS") String cls,
            @Option(names = "--share", required = true, paramLabel = "0.001..1") double share,
            @picocli.CommandLine.Mixin LeaseOptions lease) {
        return sendToNodes(buildRequest("shed", lease, "class", cls, share));
    }

    @Command(name = "freeze", description = "Holds the list of servers as it is.")
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
                "Tells why: of a request by its id, of a server that gets",
                "nothing, of what was refused, or of the last requests that were refused,",
                "failed, repeated or slow."
            })
    int explain(
            @Parameters(arity = "0..1", paramLabel = "ID", description = "A request's id: up to 16 hexadecimal digits.")
                    String id,
            @Option(
                            names = "--why-not",
                            paramLabel = "SERVER",
                            description = "Why this server gets nothing, or less than others.")
                    String server,
            @Option(
                            names = "--refused",
                            paramLabel = "TIME",
                            description = "What was refused or failed in so long, by cause: 10m; an hour at most.")
                    String span,
            @Option(names = "--last", paramLabel = "N", description = "The last N; 20 if not said, 100 at most.")
                    Integer last) {
        long said = Stream.of(id, server, span, last).filter(Objects::nonNull).count();
        if (said > 1) {
            throw new ParameterException(
                    spec.commandLine(), "say one of ID, --why-not, --refused and --last, not " + said);
        }
        JsonObject message = buildRequest("explain");
        if (id != null) {
            message.addProperty("txn", id);
        } else if (server != null) {
            message.addProperty("server", server);
        } else if (span != null) {
            message.addProperty("refused", parseDurationMs("--refused", span));
        } else if (last != null) {
            message.addProperty("last", last);
        }
        return sendToNodes(message);
    }

    @Command(name = "audit", description = "Checks that a trail of changes is whole.")
    int audit(@Parameters(paramLabel = "FILE", description = "The file that [control] names.") Path file) {
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (IOException e) {
            throw new ParameterException(spec.commandLine(), "can't read " + file + ": " + e.getMessage());
        }
        int broken = AuditLog.firstBrokenLine(lines);
        if (broken == 0 && json) {
            lines.forEach(line -> out().println(AuditLog.textOf(line)));
        } else {
            out().println(
                            broken == 0
                                    ? lines.size() + " entries, each follows from those before"
                                    : "line " + broken + " does not follow from those before: it, or one before it, was"
                                            + " changed, taken out or put in");
        }
        out().flush();
        return broken == 0 ? 0 : 1;
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

    private long parseDurationMs(String option, String length) {
        Matcher time = DURATION.matcher(length);
        if (!time.matches()) {
            throw new ParameterException(
                    spec.commandLine(), option + " " + length + " is no length of time; 30s, 10m or 2h would be");
        }
        long second = 1_000;
        return Long.parseLong(time.group(1))
                * switch (time.group(2)) {
                    case "s" -> second;
                    case "m" -> 60 * second;
                    default -> 3_600 * second;
                };
    }

    /** Asks the nodes one after the other; a change stops at the first that does not carry it out. */
    private int sendToNodes(JsonObject message) {
        if (nodes.isEmpty()) {
            throw new ParameterException(spec.commandLine(), "name a node: --node SOCKET before the command");
        }
        int done = 0;
        int code = 0;
        for (Path node : nodes) {
            JsonObject reply;
            try {
                reply = exchange(node, message);
            } catch (IOException | JsonParseException | IllegalStateException e) {
                out().println(node + ": can't be asked: " + e.getMessage());
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
                    + (done < nodes.size() - 1 ? "; those behind were not asked" : ""));
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
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0 || line.size() >= MAX_REPLY_BYTES) {
                    throw new IOException("it has ended the connection without an answer");
                }
                line.write(b);
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
            out().println("refused: " + joinTexts(reply, "why"));
        } else if (reply.has("list")) {
            printTable(reply);
        } else if (ExplainText.isExplanation(reply)) {
            ExplainText.print(out(), reply);
        } else if (reply.has("override")) {
            JsonObject lease = reply.getAsJsonObject("override");
            out().println("override " + lease.get("number") + " holds for " + formatTimeLeft(lease)
                    + (joinTexts(reply, "against").isEmpty() ? "" : ", although " + joinTexts(reply, "against")));
        } else if (reply.has("would")) {
            JsonObject before = reply.getAsJsonObject("before");
            JsonObject after = reply.getAsJsonObject("after");
            out().println((reply.get("would").getAsBoolean() ? "would be carried out" : "would be refused")
                    + (joinTexts(reply, "against").isEmpty() ? "" : ": " + joinTexts(reply, "against")));
            out().println("servers that take requests: " + before.get("servers") + " now, "
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
        for (JsonElement each : reply.getAsJsonArray("list")) {
            JsonObject row = each.getAsJsonObject();
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
        long s = (lease.get("left-ms").getAsLong() + 999) / 1_000;
        return s < 120 ? s + " s" : s < 7_200 ? s / 60 + " min" : s / 3_600 + " h";
    }
}
