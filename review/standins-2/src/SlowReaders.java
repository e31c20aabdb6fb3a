import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node from one file with three servers that answer everything whole and within 30 ms. A client fetches long answers, one
 * after the other, and begins to read each of them late. Others place orders meanwhile. What a server has answered to an
 * order has to reach the client.
 */
final class SlowReaders {
    private static final int SERVERS = 3;
    private static final int ORDERS_A_DOWNLOAD = 6;
    private static final long READ_AFTER_MS = 50;
    private static final long ORDER_WORK_MS = 30;
    private static final int ORDER_ANSWER_BYTES = 100_000;
    private static final int SHORTEST_DOWNLOAD = 1_000_000;
    private static final int LONGEST_DOWNLOAD = 4_700_000;
    private static final int STEP = 24_000;
    private static final int ROUNDS = 5;

    private SlowReaders() {}

    public static void main(String[] args) throws IOException {
        Lab.main(args, SlowReaders::run);
    }

    private static void run(Lab lab) throws Exception {
        Map<String, Long> answeredAt = new ConcurrentHashMap<>();
        StringBuilder addresses = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            int number = i;
            ServerSocket listener = lab.listen(0, 128, socket -> serve(lab, number, socket, answeredAt));
            addresses.append(i == 0 ? "" : ", ").append("\"127.0.0.1:").append(listener.getLocalPort()).append('"');
        }
        int port = Lab.freePort();
        Path file = Files.writeString(
                lab.temp.resolve("node.toml"),
                "[node]\nlisten = \"127.0.0.1:" + port + "\"\n\n"
                        + "[classes.pages]\nmethods = [\"GET\", \"HEAD\"]\n\n"
                        + "[classes.orders]\nrepeat = \"unsafe\"\ndeadline = \"5s\"\n\n[pool]\nservers = [" + addresses
                        + "]\n");
        lab.startNode("a", " serve " + file, Map.of());
        lab.awaitReady(port, 30);
        AtomicInteger downloads = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger numbers = new AtomicInteger();
        List<Thread> orders = new ArrayList<>();
        // How much of an answer the system takes without its reader is the system's affair, so all lengths are tried.
        for (int round = 0; round < ROUNDS; round++) {
            for (int bytes = SHORTEST_DOWNLOAD + round * STEP / ROUNDS; bytes < LONGEST_DOWNLOAD; bytes += STEP) {
                if (lab.seconds() > 95) {
                    break;
                }
                try (Socket socket = new Socket()) {
                    socket.setReceiveBufferSize(65_536);
                    socket.connect(new InetSocketAddress(Lab.LOOPBACK, port), 3_000);
                    socket.setSoTimeout(20_000);
                    Lab.write(socket, "GET /album/" + bytes + " HTTP/1.1\r\nHost: shop.local\r\nConnection: close\r\n\r\n");
                    if (lab.trouble) {
                        Lab.sleep(READ_AFTER_MS);
                    } else {
                        readAll(socket);
                    }
                    for (int i = 0; i < ORDERS_A_DOWNLOAD; i++) {
                        orders.add(Lab.start(() -> order(
                                lab, port, "/orders/" + numbers.incrementAndGet(), answeredAt, served, failed, lost)));
                    }
                    Lab.sleep(40);
                    if (lab.trouble) {
                        readAll(socket);
                    }
                    downloads.incrementAndGet();
                } catch (IOException e) {
                    lab.record("a download of " + bytes + " bytes ended: " + e);
                }
            }
        }
        for (Thread order : orders) {
            order.join();
        }
        String counts = served + " orders answered, " + failed + " failed before a server, " + lost
                + " whose server's whole answer was lost; " + downloads + " downloads";
        if (served.get() == 0) {
            lab.finish(Lab.COULD_NOT_RUN, counts);
        }
        lab.finish(lost.get() > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    private static void readAll(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[65_536];
        while (in.read(buffer) >= 0) {
            // Only the reading counts.
        }
    }

    private static void order(
            Lab lab,
            int port,
            String path,
            Map<String, Long> answeredAt,
            AtomicInteger served,
            AtomicInteger failed,
            AtomicInteger lost) {
        String result;
        boolean isWhole = false;
        long startNs = System.nanoTime();
        try (Socket socket = Lab.connect(port)) {
            socket.setSoTimeout(20_000);
            Lab.write(socket, "POST " + path + " HTTP/1.1\r\nHost: shop.local\r\nContent-Length: 4\r\n"
                    + "Connection: close\r\n\r\nbook");
            Lab.Message answer = Lab.read(new java.io.BufferedInputStream(socket.getInputStream()), false);
            isWhole = answer.whole && answer.status() == 200 && answer.body.length == ORDER_ANSWER_BYTES;
            result = answer.startLine + ", " + answer.body.length + " bytes, " + answer.ending;
        } catch (IOException e) {
            result = e.toString();
        }
        long tookMs = (System.nanoTime() - startNs) / 1_000_000;
        Long at = answeredAt.get(path);
        if (isWhole) {
            served.incrementAndGet();
        } else if (at == null) {
            failed.incrementAndGet();
            lab.record(path + " has not been answered by a server: " + result);
        } else {
            lost.incrementAndGet();
            lab.record("LOST: " + path + " was answered whole by its server after " + (at - startNs) / 1_000_000
                    + " ms; its client got after " + tookMs + " ms: " + result);
        }
    }

    private static void serve(Lab lab, int number, Socket socket, Map<String, Long> answeredAt)
            throws IOException {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        for (Lab.Message request = Lab.readRequest(in); request != null; request = Lab.readRequest(in)) {
            String path = request.path();
            int bytes = path.startsWith("/album/")
                    ? Integer.parseInt(path.substring("/album/".length()))
                    : path.startsWith("/orders/") ? ORDER_ANSWER_BYTES : 2;
            if (path.startsWith("/orders/")) {
                Lab.sleep(ORDER_WORK_MS);
            }
            byte[] body = new byte[bytes];
            Arrays.fill(body, (byte) 'x');
            OutputStream out = socket.getOutputStream();
            Lab.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + bytes + "\r\n\r\n");
            out.write(body);
            out.flush();
            if (path.startsWith("/orders/")) {
                // All of it has gone to the node's connection.
                answeredAt.put(path, System.nanoTime());
                lab.record("server " + number + " has run " + path + " and answered it whole");
            }
        }
    }
}
