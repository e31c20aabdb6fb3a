import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node from one file with twelve servers. Clients look at some pages, then each fetches an album, which it reads slowly
 * but steadily. Others place orders meanwhile. The node must not crash, and must answer what it has taken.
 */
final class SlowDownloads {
    private static final int SERVERS = 12;
    private static final int READERS = 440;
    private static final int PAGES = 30;
    private static final int PAGE_MS = 100;
    private static final int ORDERING_CLIENTS = 2;
    private static final byte[] ALBUM = new byte[6_000_000];
    private static final int BYTES_A_READ = 16_384;
    private static final long BETWEEN_READS_MS = 250;
    private static final long RUN_MS = 75_000;

    private SlowDownloads() {}

    public static void main(String[] args) throws IOException {
        Lab.main(args, SlowDownloads::run);
    }

    private static void run(Lab lab) throws Exception {
        StringBuilder addresses = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            ServerSocket listener = lab.listen(0, 512, SlowDownloads::serve);
            addresses.append(i == 0 ? "" : ", ").append("\"127.0.0.1:").append(listener.getLocalPort()).append('"');
        }
        int port = Lab.freePort();
        Path file = Files.writeString(
                lab.temp.resolve("node.toml"),
                "[node]\nlisten = \"127.0.0.1:" + port + "\"\n\n[pool]\nservers = [" + addresses + "]\n");
        Process node = lab.startNode("a", " serve " + file, Map.of());
        lab.awaitReady(port, 30);
        long endNs = System.nanoTime() + RUN_MS * 1_000_000;
        AtomicInteger reading = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger orders = new AtomicInteger();
        AtomicInteger lostOrders = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            clients.add(Lab.start(() -> {
                for (int page = 0; page < PAGES && node.isAlive(); page++) {
                    getPage(port);
                }
                if (node.isAlive()) {
                    getAlbum(lab, port, endNs, reading, whole, cut);
                }
            }));
        }
        for (int i = 0; i < ORDERING_CLIENTS; i++) {
            clients.add(Lab.start(() -> {
                while (System.nanoTime() - endNs < 0 && node.isAlive()) {
                    order(lab, port, orders, lostOrders);
                    Lab.sleep(50);
                }
            }));
        }
        boolean ended = node.waitFor(endNs - System.nanoTime(), TimeUnit.NANOSECONDS);
        if (ended) {
            lab.record("CRASH: the node has ended by itself with code " + node.exitValue() + "; " + reading
                    + " clients were reading");
        }
        long joinUntilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(ended ? 3 : 30);
        for (Thread client : clients) {
            client.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(joinUntilNs - System.nanoTime())));
        }
        String counts = (ended ? "the node crashed; " : "the node lives; ") + whole + " albums whole, " + cut
                + " albums cut, " + reading + " still being read, " + orders + " orders answered, " + lostOrders
                + " taken and never answered";
        if (orders.get() == 0) {
            lab.finish(Lab.COULD_NOT_RUN, counts);
        }
        lab.finish(ended ? Lab.BROKEN : Lab.HELD, counts);
    }

    private static void getPage(int port) {
        try (Socket socket = Lab.connect(port)) {
            socket.setSoTimeout(30_000);
            Lab.write(socket, "GET /page HTTP/1.1\r\nHost: shop.local\r\nConnection: close\r\n\r\n");
            Lab.read(socket.getInputStream(), false);
        } catch (IOException e) {
            Lab.sleep(100);
        }
    }

    private static void getAlbum(
            Lab lab, int port, long endNs, AtomicInteger reading, AtomicInteger whole, AtomicInteger cut) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(32_768);
            socket.connect(new InetSocketAddress(Lab.LOOPBACK, port), 3_000);
            socket.setSoTimeout(40_000);
            Lab.write(socket, "GET /album HTTP/1.1\r\nHost: shop.local\r\nConnection: close\r\n\r\n");
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[BYTES_A_READ];
            long bytes = 0;
            reading.incrementAndGet();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                bytes += read;
                if (lab.trouble) {
                    Lab.sleep(BETWEEN_READS_MS);
                }
                if (System.nanoTime() - endNs > 0) {
                    return; // Still reading when the run ends.
                }
            }
            reading.decrementAndGet();
            (bytes > ALBUM.length ? whole : cut).incrementAndGet();
        } catch (IOException e) {
            cut.incrementAndGet();
            lab.record("an album was cut: " + e);
        }
    }

    private static void order(Lab lab, int port, AtomicInteger orders, AtomicInteger lostOrders) {
        boolean sent = false;
        try (Socket socket = Lab.connect(port)) {
            socket.setSoTimeout(35_000);
            Lab.write(socket, "POST /orders HTTP/1.1\r\nHost: shop.local\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbook");
            sent = true;
            Lab.Message answer = Lab.read(socket.getInputStream(), false);
            if (answer.whole) {
                orders.incrementAndGet();
            } else {
                lostOrders.incrementAndGet();
                lab.record("LOST: an order was taken and not answered: " + answer.ending);
            }
        } catch (IOException e) {
            lab.record("an order " + (sent ? "was lost: " : "could not be sent: ") + e);
        }
    }

    private static void serve(Socket socket) throws IOException, InterruptedException {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Lab.Message request = Lab.readRequest(in); request != null; request = Lab.readRequest(in)) {
            boolean isAlbum = request.path().equals("/album");
            if (!isAlbum) {
                Thread.sleep(PAGE_MS);
            }
            Lab.write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
                    + (isAlbum ? ALBUM.length : 4) + "\r\n\r\n" + (isAlbum ? "" : "done"));
            if (isAlbum) {
                out.write(ALBUM);
                out.flush();
            }
        }
    }
}
