import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node from one file whose class of long work has a deadline of 100 s; the servers need 75 s for it. SIGTERM comes
 * while the node holds such requests. Each has to get its answer before the process ends.
 */
final class LongStop {
    private static final int SERVERS = 3;
    private static final long WORK_MS = 75_000;

    private LongStop() {}

    public static void main(String[] args) throws IOException {
        Lab.main(args, LongStop::run);
    }

    private static void run(Lab lab) throws Exception {
        Map<String, Long> run = new ConcurrentHashMap<>();
        StringBuilder addresses = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            ServerSocket listener = lab.listen(0, 64, socket -> serve(lab, socket, run));
            addresses.append(i == 0 ? "" : ", ").append("\"127.0.0.1:").append(listener.getLocalPort()).append('"');
        }
        int port = Lab.freePort();
        Path file = Files.writeString(
                lab.temp.resolve("node.toml"),
                "[node]\nlisten = \"127.0.0.1:" + port + "\"\n\n"
                        + "[classes.imports]\nmethods = [\"POST\"]\npaths = [\"/imports/*\"]\nrepeat = \"unsafe\"\n"
                        + "deadline = \"100s\"\naim = \"90s\"\n\n[classes.pages]\nmethods = [\"GET\", \"HEAD\"]\n\n"
                        + "[classes.rest]\nrepeat = \"unsafe\"\n\n[pool]\nservers = [" + addresses + "]\n");
        Process node = lab.startNode("a", " serve " + file, Map.of());
        lab.awaitReady(port, 30);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            String id = "import-" + i;
            clients.add(Lab.start(() -> {
                try (Socket socket = Lab.connect(port)) {
                    socket.setSoTimeout(100_000);
                    Lab.write(socket, "POST /imports/" + id + " HTTP/1.1\r\nHost: shop.local\r\nContent-Length: 4\r\n\r\nrows");
                    Lab.Message answer = Lab.read(socket.getInputStream(), false);
                    lab.record("answer to " + id + ": " + answer.startLine + ", '" + answer.text().trim() + "', "
                            + answer.ending);
                    (answer.whole ? answered : lost).incrementAndGet();
                } catch (IOException e) {
                    lost.incrementAndGet();
                    lab.record("no answer to " + id + ": " + e);
                }
            }));
        }
        Lab.sleep(2_000);
        if (run.size() < 4) {
            lab.finish(Lab.COULD_NOT_RUN, run.size() + " of 4 requests are at servers");
        }
        if (lab.trouble) {
            lab.signal(node, "TERM");
            boolean ended = node.waitFor(66, TimeUnit.SECONDS);
            lab.record(ended ? "the node has ended with code " + node.exitValue() : "the node still runs");
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = answered + " answered, " + lost + " taken and never answered";
        lab.finish(lost.get() > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    private static void serve(Lab lab, Socket socket, Map<String, Long> run) throws IOException, InterruptedException {
        for (Lab.Message request = Lab.readRequest(socket.getInputStream());
                request != null;
                request = Lab.readRequest(socket.getInputStream())) {
            String body = "ok\n";
            if (request.path().startsWith("/imports/")) {
                run.put(request.path(), System.nanoTime());
                lab.record("a server runs " + request.path());
                Thread.sleep(WORK_MS);
                body = "imported " + request.path() + "\n";
                lab.record("a server has done " + request.path() + " and answers");
            }
            Lab.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }
}
