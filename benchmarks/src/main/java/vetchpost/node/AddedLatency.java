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
 * Measures the latency that a node adds to a direct call: it sends the same requests at the same fixed times to servers
 * and to a node before them, alternately. The load is open-loop: a request's latency counts from its scheduled time
 * even if its connection was still busy then, so that a delay counts for every request that it holds up (no coordinated
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

    /** Runs the measurement at each rate and prints a line of figures for it. */
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
                long cpuBeforeMs = cpuMs(node);
                Histogram viaNode = measure(List.of(port), rate, seconds);
                double us = 1e3 * (cpuMs(node) - cpuBeforeMs) / viaNode.getTotalCount();
                System.out.printf(
                        Locale.ROOT,
                        "%8d %9.3f ms %9.3f ms %9.3f ms %9.3f ms %9.3f ms %9.3f ms " + "%13.1f%n",
                        rate,
                        percentileMs(direct, 50),
                        percentileMs(direct, 99),
                        percentileMs(viaNode, 50),
                        percentileMs(viaNode, 99),
                        percentileMs(viaNode, 50) - percentileMs(direct, 50),
                        percentileMs(viaNode, 99) - percentileMs(direct, 99),
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

    /** Sends requests at fixed times, spread over the connections; records latencies from the scheduled times. */
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

    /** Reads one answer, whose body has 100 bytes. */
    private static void readAnswer(InputStream in) throws IOException {
        int lineEndBytes = 0;
        int body = 0;
        byte[] buffer = new byte[2_048];
        while (body < 100) {
            int read = in.read(buffer);
            if (read < 0) {
                throw new IOException("the connection was closed before the answer was complete");
            }
            for (int i = 0; i < read; i++) {
                if (lineEndBytes == 4) {
                    body++;
                } else {
                    lineEndBytes = buffer[i] == '\n' || buffer[i] == '\r' ? lineEndBytes + 1 : 0;
                }
            }
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side has closed the connection; missing answers are counted.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static int startServer() throws IOException {
        ServerSocket serverSocket = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (true) {
                Socket socket = serverSocket.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> answerRequests(socket));
            }
        });
        return serverSocket.getLocalPort();
    }

    private static void answerRequests(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[8_192];
        int lineEndBytes = 0;
        for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
            for (int i = 0; i < read; i++) {
                lineEndBytes = buffer[i] == '\n' || buffer[i] == '\r' ? lineEndBytes + 1 : 0;
                if (lineEndBytes == 4) {
                    socket.getOutputStream().write(ANSWER);
                    lineEndBytes = 0;
                }
            }
        }
    }
}
