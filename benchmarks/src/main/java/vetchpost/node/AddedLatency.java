package vetchpost.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * What a node adds to a request over a direct call: the same requests at the same fixed times to a server and
 * to a node before it, in turn. Load is open: a request's time counts from when it was due, whether or not
 * its connection was still busy then, so that a wait is counted for all that it holds up (no coordinated
 * omission).
 *
 * <p>{@code java -cp benchmarks.jar vetchpost.node.AddedLatency VETCHPOST_JAR [SECONDS [RATE ...]]}
 */
public final class AddedLatency {
    private static final byte[] ANSWER = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
                    + "100\r\n\r\n"
                    + "x".repeat(100))
            .getBytes(StandardCharsets.US_ASCII);
    private static final byte[] REQUEST = "GET /view/1 HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int CONNECTIONS = 32;
    private static final int SERVERS = 16;
    private static final int WARMUP_S = 5;
    private static final long MAX_LATENCY_NS = TimeUnit.SECONDS.toNanos(10);
    private static final int STARTUP_TIMEOUT_MS = 15_000;
    private static final double NS_PER_MS = 1e6;

    private AddedLatency() {}

    /** See the class. */
    public static void main(String[] args) throws Exception {
        if (args.length < 1) {
            System.err.println("usage: AddedLatency VETCHPOST_JAR [SECONDS [RATE ...]]");
            System.exit(2);
        }
        int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 10;
        List<Integer> rates = new ArrayList<>();
        for (int i = 2; i < args.length; i++) {
            rates.add(Integer.parseInt(args[i]));
        }
        rates = rates.isEmpty() ? List.of(100, 300, 1_000, 3_000) : rates;
        List<Integer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(startServer());
        }
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path file = Files.createTempFile("node", ".toml");
        file.toFile().deleteOnExit();
        StringBuilder text = new StringBuilder("[node]\nlisten = \"127.0.0.1:" + port + "\"\n[pool]\nservers = [");
        servers.forEach(s -> text.append("\"127.0.0.1:").append(s).append("\", "));
        Files.writeString(file, text + "]\n");
        Process node = new ProcessBuilder(
                        "java", "-XX:+UseSerialGC", "-Xms40m", "-Xmx40m", "-jar", args[0], "serve", file.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            awaitListening(port);
            measure(List.of(port), 1_000, WARMUP_S);
            measure(servers, 1_000, WARMUP_S);
            System.out.printf(
                    "%8s %12s %12s %12s %12s %12s %12s %16s%n",
                    "per s", "direct p50", "p99", "node p50", "p99", "added p50", "added p99", "node us each");
            for (int rate : rates) {
                Histogram direct = measure(servers, rate, seconds);
                long before = cpuMs(node);
                Histogram through = measure(List.of(port), rate, seconds);
                double us = 1e3 * (cpuMs(node) - before) / through.getTotalCount();
                System.out.printf(
                        Locale.ROOT,
                        "%8d %9.3f ms %9.3f ms %9.3f ms %9.3f ms %9.3f ms %9.3f ms " + "%13.1f%n",
                        rate,
                        percentileMs(direct, 50),
                        percentileMs(direct, 99),
                        percentileMs(through, 50),
                        percentileMs(through, 99),
                        percentileMs(through, 50) - percentileMs(direct, 50),
                        percentileMs(through, 99) - percentileMs(direct, 99),
                        us);
            }
        } finally {
            node.destroy();
        }
        System.exit(0);
    }

    private static double percentileMs(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NS_PER_MS;
    }

    private static long cpuMs(Process process) {
        return process.info().totalCpuDuration().orElseThrow().toMillis();
    }

    private static void awaitListening(int port) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STARTUP_TIMEOUT_MS);
        while (true) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return;
            } catch (IOException e) {
                if (System.nanoTime() > until) {
                    throw e;
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
            }
        }
    }

    /** Requests at fixed times, spread over connections; times from when each was due. */
    private static Histogram measure(List<Integer> ports, int perS, int seconds) throws Exception {
        Histogram histogram = new ConcurrentHistogram(MAX_LATENCY_NS, 3);
        long total = (long) perS * seconds;
        long beginNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
        long everyNs = TimeUnit.SECONDS.toNanos(1) / perS;
        CountDownLatch done = new CountDownLatch(CONNECTIONS);
        for (int c = 0; c < CONNECTIONS; c++) {
            int first = c;
            int port = ports.get(c % ports.size());
            startThread(() -> {
                try (Socket socket = new Socket()) {
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                    for (long i = first; i < total; i += CONNECTIONS) {
                        long dueNs = beginNs + i * everyNs;
                        waitUntil(dueNs);
                        socket.getOutputStream().write(REQUEST);
                        readAnswer(socket.getInputStream());
                        histogram.recordValue(Math.min(MAX_LATENCY_NS, System.nanoTime() - dueNs));
                    }
                } finally {
                    done.countDown();
                }
            });
        }
        if (!done.await(3L * seconds + 30, TimeUnit.SECONDS) || histogram.getTotalCount() < total) {
            throw new IOException("only " + histogram.getTotalCount() + " of " + total + " were answered");
        }
        return histogram;
    }

    private static void waitUntil(long dueNs) {
        for (long left = dueNs - System.nanoTime(); left > 0; left = dueNs - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    /** One answer, whose body is 100 x. */
    private static void readAnswer(InputStream in) throws IOException {
        int ends = 0;
        int body = 0;
        byte[] some = new byte[2_048];
        while (body < 100) {
            int read = in.read(some);
            if (read < 0) {
                throw new IOException("the connection has ended");
            }
            for (int i = 0; i < read; i++) {
                if (ends == 4) {
                    body++;
                } else {
                    ends = some[i] == '\n' || some[i] == '\r' ? ends + 1 : 0;
                }
            }
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (IOException e) {
                // The other side has ended, or what is missing is counted.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static int startServer() throws IOException {
        ServerSocket listening = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (true) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> answerRequests(socket));
            }
        });
        return listening.getLocalPort();
    }

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
}
