package vetchpost.node;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * The node and a plain proxy in turn, each in a process of its own on one core with the same flags, before the
 * same servers and clients: requests a second, latencies, and bytes allocated a request, as ratios.
 *
 * <p>{@code java -cp benchmarks.jar vetchpost.node.NodeComparison VETCHPOST_JAR [ROUNDS [SECONDS [CORE]]]}
 */
public final class NodeComparison {
    /** The node begins with four requests at a time for each. */
    private static final int SERVERS = 16;

    private static final int CONNECTIONS = 32;
    private static final int WARMUP_S = 8;
    private static final int STARTUP_TIMEOUT_MS = 15_000;
    private static final byte[] ANSWER = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 100\r\n"
                    + "\r\n" + "x".repeat(100))
            .getBytes(StandardCharsets.US_ASCII);
    private static final List<String> FLAGS = List.of(
            "-Dio.netty.jfr.enabled=false",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Xms40m",
            "-Xmx40m",
            "-Xss512k");
    /** "Pause Young ... 12M->3M(": to a megabyte, which over hundreds of pauses is near enough. */
    private static final Pattern GC_PAUSE = Pattern.compile(" (\\d+)M->(\\d+)M\\(");

    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
    private static final AtomicLong LAST_TXN = new AtomicLong();
    private static final AtomicLong REFUSED = new AtomicLong();

    /** What one run of one subject gave. */
    private record Run(double requestsPerS, double p50Us, double p99Us, double bytesPerRequest) {}

    private NodeComparison() {}

    /** See the class. */
    public static void main(String[] args) throws Exception {
        if (args.length < 1) {
            System.err.println("usage: NodeComparison VETCHPOST_JAR [ROUNDS [SECONDS [CORE]]]");
            System.exit(2);
        }
        int rounds = args.length > 1 ? Integer.parseInt(args[1]) : 3;
        int seconds = args.length > 2 ? Integer.parseInt(args[2]) : 10;
        String core = args.length > 3 ? args[3] : "0";
        List<ServerSocket> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(startServer());
        }
        List<Run> nodes = new ArrayList<>();
        List<Run> proxies = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            nodes.add(measure("node ", launchNode(args[0], servers, core), seconds));
            proxies.add(measure("proxy", launchProxy(servers, core), seconds));
        }
        System.out.printf(
                Locale.ROOT,
                "node over proxy, medians of %d rounds: throughput %.2f, p50 %.2f, p99 %.2f, "
                        + "bytes a request %.2f%n",
                rounds,
                ratio(nodes, proxies, 0),
                ratio(nodes, proxies, 1),
                ratio(nodes, proxies, 2),
                ratio(nodes, proxies, 3));
        System.exit(0);
    }

    private static double ratio(List<Run> a, List<Run> b, int figure) {
        return median(a, figure) / median(b, figure);
    }

    private static double median(List<Run> runs, int figure) {
        double[] sorted = runs.stream()
                .mapToDouble(r -> figure == 0
                        ? r.requestsPerS
                        : figure == 1 ? r.p50Us : figure == 2 ? r.p99Us : r.bytesPerRequest)
                .sorted()
                .toArray();
        return sorted[sorted.length / 2];
    }

    // ---------------------------------------------------------------- servers

    private static ServerSocket startServer() throws IOException {
        ServerSocket listening = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> answerRequests(socket));
            }
        });
        return listening;
    }

    /** An answer for each request without a body: those end with an empty line. */
    private static void answerRequests(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] some = new byte[8_192];
        int ends = 0;
        for (int read = in.read(some); read >= 0; read = in.read(some)) {
            for (int i = 0; i < read; i++) {
                ends = some[i] == '\n' || some[i] == '\r' ? ends + 1 : 0;
                if (ends == 4) {
                    socket.getOutputStream().write(ANSWER);
                    ends = 0;
                }
            }
        }
    }

    /** What a thread does until its socket ends. */
    private interface IoTask {
        void run() throws IOException;
    }

    private static Thread startThread(IoTask body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (IOException e) {
                // The other side has ended: so has this.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---------------------------------------------------------------- subjects

    /** A process, where it listens, and its log of collections. */
    private record Subject(Process process, int port, Path gcLog) {}

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Subject launch(int port, String core, List<String> what, String config) throws IOException {
        Path pauses = Files.createTempFile("pauses", ".log");
        pauses.toFile().deleteOnExit();
        List<String> command = new ArrayList<>(List.of("taskset", "-c", core, "java"));
        command.addAll(FLAGS);
        command.add("-Xlog:gc:file=" + pauses);
        command.addAll(what);
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(new File("/dev/null"));
        if (config != null) {
            builder.environment().put("LB_CONFIG", config);
        }
        return new Subject(builder.start(), port, pauses);
    }

    private static Subject launchProxy(List<ServerSocket> servers, String core) throws IOException {
        int port = freePort();
        List<String> what = new ArrayList<>(List.of(
                "-cp", System.getProperty("java.class.path"), PlainProxy.class.getName(), Integer.toString(port)));
        servers.forEach(s -> what.add(Integer.toString(s.getLocalPort())));
        return launch(port, core, what, null);
    }

    private static Subject launchNode(String jar, List<ServerSocket> servers, String core) throws IOException {
        int port = freePort();
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            known.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"s-")
                    .append(i)
                    .append("\",\"endpoint\":\"127.0.0.1:")
                    .append(servers.get(i).getLocalPort())
                    .append("\",\"state\":\"Ready\"}");
        }
        // Nobody answers for discovery: the known list is all that there is.
        ServerSocket discovery = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Path config = Files.createTempFile("node", ".json");
        config.toFile().deleteOnExit();
        Files.writeString(
                config,
                "{\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                        + discovery.getLocalPort()
                        + "\",\"seed\":\"1\",\"limits\":{\"sockets\":512},\"known\":{\"rev\":1,"
                        + "\"all\":true,\"targets\":[" + known + "]},\"settings\":{\"balancers\":1,"
                        + "\"membershipMode\":\"pushed\",\"classes\":[{\"name\":\"view-page\",\"repeat\":\"safe\","
                        + "\"onTimeUs\":250000,\"giveUpUs\":500000}],\"limits\":{\"attemptsCap\":4,\"cancelling\":true}}}");
        return launch(port, core, List.of("-jar", jar), config.toString());
    }

    // ---------------------------------------------------------------- clients

    private static Run measure(String name, Subject subject, int seconds) throws Exception {
        try {
            awaitListening(subject);
            loadAll(subject.port, WARMUP_S);
            long[] before = allocatedBytes(subject);
            REFUSED.set(0);
            long[][] latencies = loadAll(subject.port, seconds);
            long bytes = allocatedBytes(subject)[0] - before[0];
            long[] all = Arrays.stream(latencies)
                    .flatMapToLong(Arrays::stream)
                    .sorted()
                    .toArray();
            Run run = new Run(
                    all.length / (double) seconds,
                    all[all.length / 2] / 1e3,
                    all[(int) (all.length * 0.99)] / 1e3,
                    bytes / (double) all.length);
            System.out.printf(
                    Locale.ROOT,
                    "%s %7.0f requests a second, p50 %5.0f us, p99 %5.0f us, %6.0f bytes "
                            + "allocated a request, %d refused%n",
                    name,
                    run.requestsPerS,
                    run.p50Us,
                    run.p99Us,
                    run.bytesPerRequest,
                    REFUSED.get());
            return run;
        } finally {
            subject.process.destroy();
            subject.process.waitFor();
        }
    }

    private static void awaitListening(Subject subject) throws Exception {
        long end = System.currentTimeMillis() + STARTUP_TIMEOUT_MS;
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", subject.port), 1_000);
                return;
            } catch (IOException e) {
                if (System.currentTimeMillis() > end || subject.process.waitFor(50, TimeUnit.MILLISECONDS)) {
                    throw new IOException("it does not come up", e);
                }
            }
        }
    }

    /** Bytes taken from the heap up to the last collection. */
    private static long[] allocatedBytes(Subject subject) throws IOException {
        long sum = 0;
        long left = 0;
        for (String line : Files.readAllLines(subject.gcLog)) {
            Matcher m = GC_PAUSE.matcher(line);
            if (m.find()) {
                sum += Long.parseLong(m.group(1)) - left;
                left = Long.parseLong(m.group(2));
            }
        }
        return new long[] {(sum << 20)};
    }

    /** Each connection asks again as soon as it is answered; the latencies of each, in nanoseconds. */
    private static long[][] loadAll(int port, int seconds) throws InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        long[][] latencies = new long[CONNECTIONS][];
        List<Thread> threads = IntStream.range(0, CONNECTIONS)
                .mapToObj(i -> startThread(() -> latencies[i] = loadConnection(port, end)))
                .toList();
        for (Thread thread : threads) {
            thread.join();
        }
        return latencies;
    }

    private static long[] loadConnection(int port, long end) throws IOException {
        long[] took = new long[1 << 16];
        int count = 0;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(STARTUP_TIMEOUT_MS);
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            byte[] some = new byte[8_192];
            for (long now = System.nanoTime(); now < end; now = System.nanoTime()) {
                String txn = String.format("%016x", LAST_TXN.incrementAndGet());
                out.write(("GET /view-page/7 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txn + "\r\n"
                                + "X-Remaining-Ms: 500\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                if (!readAnswer(in, some)) {
                    REFUSED.incrementAndGet();
                    continue;
                }
                took = count == took.length ? Arrays.copyOf(took, 2 * count) : took;
                took[count++] = System.nanoTime() - now;
            }
        }
        return Arrays.copyOf(took, count);
    }

    /** Reads one answer whole; whether it is a 200. */
    private static boolean readAnswer(InputStream in, byte[] some) throws IOException {
        int have = 0;
        while (true) {
            int read = in.read(some, have, some.length - have);
            if (read < 0) {
                throw new IOException("closed");
            }
            have += read;
            String text = new String(some, 0, have, StandardCharsets.US_ASCII);
            int body = text.indexOf("\r\n\r\n");
            Matcher length = CONTENT_LENGTH.matcher(text);
            if (body >= 0 && length.find() && have - body - 4 >= Integer.parseInt(length.group(1))) {
                return text.startsWith("HTTP/1.1 200");
            }
        }
    }
}
