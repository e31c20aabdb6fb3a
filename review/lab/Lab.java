import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins for one small deployment on loopback addresses: servers, discovery, clients, and the node itself as a
 * separate process, started with the run command of the deploy file. Blocking sockets, one thread a connection.
 */
final class Lab implements AutoCloseable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final long startNs = System.nanoTime();
    final ExecutorService threads = Executors.newCachedThreadPool(r -> {
        Thread thread = new Thread(r);
        thread.setDaemon(true);
        return thread;
    });
    final List<Server> servers = new ArrayList<>();
    final List<Node> nodes = new CopyOnWriteArrayList<>();
    final Path temp;
    private final PrintWriter record;
    private final SplittableRandom random = new SplittableRandom(System.nanoTime());

    Lab(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        temp = Files.createTempDirectory("review");
        log("TROUBLE=%s", TROUBLE ? "1" : "0");
        // Whatever ends this process ends the nodes too.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(n -> n.process.destroyForcibly())));
        Thread limit = new Thread(() -> {
            sleep(110_000);
            log("the case takes too long");
            Runtime.getRuntime().exit(2);
        });
        limit.setDaemon(true);
        limit.start();
    }

    /** What a case does; returns its exit code. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    /** Runs a case and ends the process with its code. */
    static void run(String recordFile, Case test) {
        int code = 2;
        try (Lab lab = new Lab(Path.of(recordFile))) {
            try {
                code = test.run(lab);
            } catch (Exception e) {
                lab.log("the case couldn't run: %s", e);
            }
            lab.log("exit code %d", code);
        } catch (IOException e) {
            System.out.println("the record can't be written: " + e);
        }
        Runtime.getRuntime().exit(code);
    }

    /** Milliseconds since the start of the test. */
    double ms() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void log(String format, Object... args) {
        record.println(String.format(Locale.ROOT, "%10.1f  ", ms()) + String.format(Locale.ROOT, format, args));
        record.flush();
    }

    synchronized String newId() {
        return String.format("%016x", random.nextLong());
    }

    static void sleep(double millis) {
        if (millis <= 0) {
            return;
        }
        try {
            TimeUnit.NANOSECONDS.sleep((long) (millis * 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        for (Node node : nodes) {
            node.kill();
        }
        threads.shutdownNow();
        try (var files = Files.walk(temp)) {
            files.sorted(Collections.reverseOrder()).forEach(f -> f.toFile().delete());
        }
        record.flush();
    }

    // ------------------------------------------------------------------------------------------------ messages

    /** The head of an HTTP message and its body. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a message");
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads a whole message, or null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in, true);
        if (message.first == null) {
            return null;
        }
        for (String field = line(in, false); !field.isEmpty(); field = line(in, false)) {
            int colon = field.indexOf(':');
            message.headers.put(field.substring(0, colon).trim(), field.substring(colon + 1).trim());
        }
        String length = message.header("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) {
                throw new EOFException("end within a body");
            }
        } else if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in, false), 16); size > 0; size = Integer.parseInt(line(in, false), 16)) {
                body.write(in.readNBytes(size));
                line(in, false);
            }
            line(in, false);
            message.body = body.toByteArray();
        }
        return message;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ------------------------------------------------------------------------------------------------ servers

    /** What a server does with a request that has arrived whole. */
    interface Behaviour {
        void serve(Server server, Message request, Socket connection) throws Exception;
    }

    /** A request that has arrived whole at a server. */
    record Run(String id, String server, double atMs, String path) {}

    final List<Run> runs = new CopyOnWriteArrayList<>();
    final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();

    static String answerFor(String id) {
        return "answer to " + id + "\n";
    }

    static void answer(Socket connection, int status, String headers, String body) throws IOException {
        connection.getOutputStream()
                .write(bytes("HTTP/1.1 " + status + " X\r\nContent-Type: text/plain\r\n" + headers + "Content-Length: "
                        + body.length() + "\r\n\r\n" + body));
    }

    /** Serves each request after some time. */
    static Behaviour serves(double millis) {
        return (server, request, connection) -> {
            sleep(millis);
            answer(connection, 200, "", answerFor(request.header("X-Txn")));
        };
    }

    /** One server: 200 for each request with an id, 404 without. */
    final class Server {
        final String uid;
        final int cell;
        final int port;
        volatile Behaviour behaviour;
        volatile String state = "Ready";
        volatile long bootMs;
        final ServerSocket socket;
        final List<Socket> connections = new CopyOnWriteArrayList<>();

        Server(String uid, int cell, Behaviour behaviour) throws IOException {
            this.uid = uid;
            this.cell = cell;
            this.behaviour = behaviour;
            socket = new ServerSocket(0, 1024, LOOPBACK);
            port = socket.getLocalPort();
            threads.execute(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    threads.execute(() -> serve(connection));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                for (Message request = read(in); request != null && !connection.isClosed(); request = read(in)) {
                    String id = request.header("X-Txn");
                    if (id == null) {
                        answer(connection, 404, "", "");
                        continue;
                    }
                    runs.add(new Run(id, uid, ms(), request.path()));
                    runsById.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
                    log("server %s got %s %s", uid, id, request.path());
                    behaviour.serve(this, request, connection);
                }
            } catch (Exception e) {
                // The connection has ended.
            } finally {
                connections.remove(connection);
            }
        }

        String entry() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"room\",\"model\":\"std-box\","
                    + "\"pod_group\":" + cell + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs
                    + "}";
        }
    }

    Server server(String uid, int cell, Behaviour behaviour) throws IOException {
        Server server = new Server(uid, cell, behaviour);
        servers.add(server);
        return server;
    }

    static String list(int revision, boolean all, List<Server> entries) {
        StringBuilder targets = new StringBuilder();
        for (Server server : entries) {
            targets.append(targets.length() == 0 ? "" : ",").append(server.entry());
        }
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + targets + "]}";
    }

    // ------------------------------------------------------------------------------------------------ discovery

    /** Discovery that is asked: whole lists, and watches with an empty line every 2 s. */
    final class Discovery {
        final ServerSocket socket = new ServerSocket(0, 128, LOOPBACK);
        final List<Socket> watches = new CopyOnWriteArrayList<>();
        volatile int revision = 41;

        Discovery() throws IOException {
            threads.execute(this::accept);
            threads.execute(() -> {
                while (!socket.isClosed()) {
                    sleep(2_000);
                    send("");
                }
            });
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = socket.accept();
                    threads.execute(() -> serve(connection));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket connection) {
            try {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                Message request = read(in);
                if (request == null) {
                    connection.close();
                    return;
                }
                log("discovery asked: %s", request.path());
                if (!request.path().contains("watch=1")) {
                    answer(connection, 200, "Connection: close\r\n", list(revision, true, servers));
                    connection.close();
                    return;
                }
                connection.getOutputStream().write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                write(connection, list(revision, true, servers));
                watches.add(connection);
            } catch (IOException e) {
                log("discovery: %s", e);
            }
        }

        private void write(Socket watch, String line) throws IOException {
            watch.getOutputStream()
                    .write(bytes(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n"));
        }

        synchronized void send(String line) {
            for (Socket watch : watches) {
                try {
                    write(watch, line);
                } catch (IOException e) {
                    watches.remove(watch);
                }
            }
        }

        /** Tells a change of these servers on all open watches. */
        void change(Server... changed) {
            revision++;
            log("discovery tells rev %d: %s", revision, list(revision, false, List.of(changed)));
            send(list(revision, false, List.of(changed)));
        }
    }

    // ------------------------------------------------------------------------------------------------ the node

    /** The settings of a small deployment, as the protocol page shows them. */
    static Map<String, String> settings() {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("classes", "[{\"name\":\"view-page\",\"onTimeUs\":100000,\"giveUpUs\":500000,\"importance\":1.0,"
                + "\"lateWorth\":0.0,\"repeat\":\"safe\",\"group\":\"all\",\"stream\":false,\"windowUs\":5000000},"
                + "{\"name\":\"add-photo\",\"onTimeUs\":200000,\"giveUpUs\":600000,\"importance\":5.0,"
                + "\"lateWorth\":0.0,\"repeat\":\"keyed\",\"group\":\"cell\",\"stream\":false,\"windowUs\":1200000},"
                + "{\"name\":\"place-order\",\"onTimeUs\":300000,\"giveUpUs\":1000000,\"importance\":5.0,"
                + "\"lateWorth\":0.0,\"repeat\":\"unsafe\",\"group\":\"all\",\"stream\":false,\"windowUs\":5000000}]");
        settings.put("limits", "{\"attemptsCap\":4,\"cancelling\":true,\"connIdleUs\":60000000,\"cpuUsPerS\":14795,"
                + "\"dialTimeoutUs\":50000,\"maxOpen\":36989,\"maxRetryAfterUs\":1000000,\"parallelTries\":true,"
                + "\"peerMessages\":false,\"probes\":true,\"retryAfter\":true,\"streamsPerConn\":100}");
        settings.put("rules", "{\"askWithinUs\":10000000,\"coldFrom\":0.12,\"coldUs\":23000000,\"drainGraceUs\":500000,"
                + "\"fallUs\":2000000,\"graceToAnswerUs\":8000,\"overloadFactor\":4.0}");
        settings.put("realms", "[{\"name\":\"school-a\",\"quotaPerS\":300.0,\"share\":0.6},"
                + "{\"name\":\"school-b\",\"quotaPerS\":200.0,\"share\":0.4}]");
        settings.put("membershipMode", "\"on_request\"");
        return settings;
    }

    String config(int listenPort, int discoveryPort, Map<String, String> settings) {
        StringBuilder all = new StringBuilder("\"balancers\":1,\"me\":0,\"tier\":0,\"quantumUs\":2000,"
                + "\"zones\":[\"room\"],\"myZone\":\"room\",\"countedBy\":\"request\",\"weights\":\"rough\","
                + "\"overShareWorth\":0.1,\"callers\":{\"marksRetry\":true},\"report\":{\"via\":\"none\",\"fields\":[]}");
        settings.forEach((name, value) -> all.append(",\"").append(name).append("\":").append(value));
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + listenPort + "\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"seed\":\"" + newId() + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + list(41, true, servers) + ",\"settings\":{" + all + "}}";
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, LOOPBACK)) {
            return probe.getLocalPort();
        }
    }

    /** The command of the deploy file. */
    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(root().resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run command");
    }

    static Path root() {
        return Path.of(System.getProperty("root")).toAbsolutePath();
    }

    /** A node in a process of its own. */
    final class Node {
        final int port;
        final Path logFile;
        final Process process;

        /** A node of the platform. */
        Node(int discoveryPort, Map<String, String> settings) throws IOException {
            port = freePort();
            Path configFile = temp.resolve("config-" + port + ".json");
            Files.writeString(configFile, config(port, discoveryPort, settings));
            logFile = temp.resolve("node-" + port + ".log");
            process = start("", configFile);
        }

        /** A node that listens on this port by the file that the arguments name. */
        Node(int port, String arguments) throws IOException {
            this.port = port;
            logFile = temp.resolve("node-" + port + ".log");
            process = start(arguments, null);
        }

        private Process start(String arguments, Path configFile) throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand() + arguments);
            builder.directory(root().toFile());
            builder.environment().remove("LB_CONFIG");
            if (configFile != null) {
                builder.environment().put("LB_CONFIG", configFile.toString());
            }
            builder.environment().put("LB_NAME", "n0");
            builder.environment().put("TMPDIR", temp.toString());
            builder.redirectErrorStream(true).redirectOutput(logFile.toFile());
            Process started = builder.start();
            log("node %d started as process %d", port, started.pid());
            nodes.add(this);
            return started;
        }

        boolean awaitReady(double withinMs) throws IOException {
            double end = ms() + withinMs;
            while (ms() < end && process.isAlive()) {
                try (Client client = new Client(port)) {
                    client.write(bytes("GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
                    client.socket.setSoTimeout(2_000);
                    Message answer = read(client.in);
                    if (answer != null && answer.status() == 200) {
                        log("node %d is ready", port);
                        return true;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(50);
            }
            return false;
        }

        /** A node by itself has no path of its own to ask: it is ready some time after it listens. */
        boolean awaitListening(double withinMs) throws IOException {
            double end = ms() + withinMs;
            while (ms() < end && process.isAlive()) {
                if (Files.readString(logFile, StandardCharsets.ISO_8859_1).contains("listening on")) {
                    log("node %d listens", port);
                    return true;
                }
                sleep(20);
            }
            return false;
        }

        void signal(String name) throws IOException {
            log("SIG%s to the node", name);
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** SIGKILL. */
        void kill() throws IOException {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            log("end of the node's log:");
            List<String> lines = Files.readAllLines(logFile, StandardCharsets.ISO_8859_1);
            for (String line : lines.subList(Math.max(0, lines.size() - 60), lines.size())) {
                log("    %s", line);
            }
        }
    }

    // ------------------------------------------------------------------------------------------------ clients

    /** One connection of a client to the node. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;
        boolean used;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2_000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void write(byte[] data) throws IOException {
            out.write(data);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] request(String className, String id, int remainingMs, String tenant, String extra, byte[] body) {
        boolean isSafe = className.equals("view-page");
        byte[] head = bytes((isSafe ? "GET /" : "POST /") + className + "/1 HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                + "\r\nX-Org: " + tenant + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + (className.equals("add-photo") ? "Idempotency-Key: " + id + id + "\r\n" : "") + extra
                + (isSafe ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n");
        byte[] all = java.util.Arrays.copyOf(head, head.length + (isSafe ? 0 : body.length));
        System.arraycopy(body, 0, all, head.length, all.length - head.length);
        return all;
    }

    /** What became of a request. */
    static final class Fate {
        final String id;
        final String className;
        /** When its last byte was written; negative before. */
        double sentMs = -1;
        double answeredMs = -1;
        int status;
        String body;
        String error;

        Fate(String id, String className) {
            this.id = id;
            this.className = className;
        }

        boolean isServed() {
            return status == 200 && answerFor(id).equals(body);
        }

        boolean isForeign() {
            return status == 200 && !answerFor(id).equals(body);
        }

        /** Whether it was taken and no whole answer came by half a second (and 50 ms) after the client's time. */
        boolean isLost(int remainingMs) {
            return sentMs >= 0 && (answeredMs < 0 || answeredMs - sentMs > remainingMs + 550);
        }
    }

    /** A plain client population: one request at a time on a connection, connections are kept. */
    final class Clients {
        final Node node;
        final Deque<Client> idle = new ArrayDeque<>();
        final List<Fate> fates = new CopyOnWriteArrayList<>();
        final AtomicInteger open = new AtomicInteger();

        Clients(Node node) {
            this.node = node;
        }

        /** Sends requests evenly at this rate for this time, and waits for their ends. */
        void run(double perSecond, double forMs, List<String> classes, Map<String, Integer> remaining) {
            double from = ms();
            for (int i = 0; i * 1_000 / perSecond < forMs; i++) {
                sleep(from + i * 1_000 / perSecond - ms());
                String className = classes.get(i % classes.size());
                open.incrementAndGet();
                threads.execute(() -> {
                    try {
                        send(className, remaining.get(className));
                    } finally {
                        open.decrementAndGet();
                    }
                });
            }
            double end = ms() + 5_000;
            while (open.get() > 0 && ms() < end) {
                sleep(10);
            }
        }

        Fate send(String className, int remainingMs) {
            Fate fate = new Fate(newId(), className);
            byte[] data = request(className, fate.id, remainingMs, "school-a", "", new byte[100]);
            fates.add(fate);
            for (int tries = 0; tries < 2 && fate.answeredMs < 0; tries++) {
                Client client = null;
                boolean reused = false;
                try {
                    synchronized (idle) {
                        client = tries == 0 ? idle.poll() : null;
                    }
                    reused = client != null;
                    client = reused ? client : new Client(node.port);
                    fate.sentMs = -1;
                    client.write(data);
                    fate.sentMs = ms();
                    client.socket.setSoTimeout(remainingMs + 2_000);
                    Message answer = read(client.in);
                    if (answer == null) {
                        throw new EOFException("closed without an answer");
                    }
                    fate.answeredMs = ms();
                    fate.status = answer.status();
                    fate.body = answer.text();
                    if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                        client.close();
                    } else {
                        synchronized (idle) {
                            idle.push(client);
                        }
                    }
                } catch (IOException e) {
                    fate.error = e.toString();
                    try {
                        if (client != null) {
                            client.close();
                        }
                    } catch (IOException closing) {
                        // It is closed.
                    }
                    if (!reused || e instanceof SocketTimeoutException) {
                        break;
                    }
                }
            }
            log("client sent %s %s at %.1f: %s at %.1f", className, fate.id, fate.sentMs,
                    fate.answeredMs < 0 ? fate.error : fate.status + (fate.isForeign() ? " FOREIGN" : ""),
                    fate.answeredMs < 0 ? ms() : fate.answeredMs);
            return fate;
        }
    }
}
