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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What all cases share: starts nodes with the command of the deploy file, listens on loopback, reads and writes
 * HTTP/1.1, and keeps the record. It ends all processes that it started.
 */
final class Lab implements AutoCloseable {
    /** Exit codes that a Java runtime which fails by itself does not use; review/standins-2/run-case makes 0, 1 and 2 of them. */
    static final int HELD = 20;

    static final int BROKEN = 21;
    static final int COULD_NOT_RUN = 22;
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** False with TROUBLE=0: the same run without the disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Path folder;
    final Path temp;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<ServerSocket> listeners = new ArrayList<>();

    /** One HTTP message: its start line, fields in lower case, body, and whether it was whole. */
    static final class Message {
        String startLine = "";
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean whole;
        String ending = "";

        int status() {
            String[] parts = startLine.split(" ");
            return parts.length > 1 ? Integer.parseInt(parts[1]) : 0;
        }

        String path() {
            String[] parts = startLine.split(" ");
            return parts.length > 1 ? parts[1] : "";
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }
    }

    interface Acceptor {
        void accepted(Socket socket) throws IOException, InterruptedException;
    }

    Lab(String folder) throws IOException {
        this.folder = Path.of(folder).toAbsolutePath();
        temp = Files.createTempDirectory("case");
        record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread watchdog = new Thread(() -> {
            sleep(116_000);
            record("the run took too long");
            endProcesses();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        record("trouble " + (trouble ? "on" : "off"));
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    synchronized void record(String line) {
        record.printf(Locale.ROOT, "%8.3f %s%n", seconds(), line);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---------------------------------------------------------------- processes

    /** The command {@code run} of the deploy file. */
    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run in the deploy file");
    }

    /** Starts one node by the deploy file's command, with these further arguments and variables. */
    Process startNode(String name, String arguments, Map<String, String> variables) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand() + arguments);
        Path log = folder.resolve("node-" + name + ".log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().keySet().removeIf(k -> k.startsWith("LB_") || k.equals("JAVA_TOOL_OPTIONS"));
        builder.environment().putAll(variables);
        builder.environment()
                .put("TMPDIR", Files.createDirectories(temp.resolve("tmp-" + name)).toString());
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        record("started node " + name + ", process " + process.pid());
        return process;
    }

    void signal(Process process, String signal) throws IOException, InterruptedException {
        record("signal " + signal + " to process " + process.pid());
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    private void endProcesses() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    void awaitReady(int port, int seconds) throws IOException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() - endNs < 0) {
            try (Socket socket = connect(port)) {
                socket.setSoTimeout(2_000);
                write(socket, "GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
                Message answer = read(socket.getInputStream(), false);
                if (answer.whole && answer.status() == 200) {
                    record("ready at " + port + ": " + answer.startLine);
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            sleep(100);
        }
        throw new IOException("not ready within " + seconds + " s");
    }

    /** Ends the run. */
    void finish(int code, String why) {
        record((code == HELD ? "HELD: " : code == BROKEN ? "BROKEN: " : "COULD NOT RUN: ") + why);
        System.out.println((code == HELD ? "held: " : code == BROKEN ? "broken: " : "could not run: ") + why);
        close();
        Runtime.getRuntime().halt(code);
    }

    @Override
    public void close() {
        endProcesses();
        record.flush();
        try (var files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // A temporary folder that stays does no harm.
        }
    }

    interface Body {
        void run(Lab lab) throws Exception;
    }

    static void main(String[] args, Body body) throws IOException {
        Lab lab = new Lab(args[0]);
        try {
            body.run(lab);
            lab.finish(COULD_NOT_RUN, "no result");
        } catch (Exception e) {
            lab.record("error " + e);
            e.printStackTrace();
            lab.finish(COULD_NOT_RUN, e.toString());
        }
    }

    // ---------------------------------------------------------------- sockets

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** Listens on a free port and gives each connection to a thread of its own. */
    ServerSocket listen(int port, int backlog, Acceptor acceptor) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(LOOPBACK, port), backlog);
        listeners.add(listener);
        if (acceptor != null) {
            start(() -> acceptAll(listener, acceptor));
        }
        return listener;
    }

    static void acceptAll(ServerSocket listener, Acceptor acceptor) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                start(() -> {
                    try (socket) {
                        acceptor.accepted(socket);
                    } catch (IOException | InterruptedException e) {
                        // The connection has ended.
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(LOOPBACK, port), 3_000);
        return socket;
    }

    static void write(Socket socket, String text) throws IOException {
        write(socket.getOutputStream(), text);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    // ---------------------------------------------------------------- HTTP

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("end within a line");
            }
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    /** Reads a request; null if the connection ends before one begins. */
    static Message readRequest(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        Message message = new Message();
        message.startLine = (char) first + line(in);
        fields(in, message);
        message.body = in.readNBytes(number(message.field("content-length")));
        message.whole = true;
        return message;
    }

    private static int number(String text) {
        return text.isEmpty() ? 0 : Integer.parseInt(text.trim());
    }

    private static void fields(InputStream in, Message message) throws IOException {
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    /** Reads an answer as a client does: {@code whole} tells whether it ended as its head said. */
    static Message read(InputStream in, boolean toHead) {
        Message message = new Message();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            message.startLine = line(in);
            fields(in, message);
            if (message.status() / 100 == 1) {
                return read(in, toHead);
            }
            if (toHead) {
                message.whole = true;
                message.ending = "no body";
            } else if (message.field("transfer-encoding").equalsIgnoreCase("chunked")) {
                int length;
                do {
                    length = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                    copy(in, body, length);
                    line(in);
                } while (length > 0);
                message.whole = true;
                message.ending = "last chunk";
            } else if (message.fields.containsKey("content-length")) {
                copy(in, body, number(message.field("content-length")));
                message.whole = true;
                message.ending = "length reached";
            } else {
                for (int b = in.read(); b >= 0; b = in.read()) {
                    body.write(b);
                }
                message.whole = true;
                message.ending = "closed in order";
            }
        } catch (IOException | RuntimeException e) {
            message.ending = "not whole: " + e;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static void copy(InputStream in, OutputStream out, int length) throws IOException {
        for (int i = 0; i < length; i++) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("end within the body");
            }
            out.write(b);
        }
    }
}
