import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node from one file, six servers whose answers end by closing. One server falls silent in the middle of its answers,
 * and comes back by resetting its connections. No client may be given a part of an answer as if it were whole.
 */
final class StalledAnswer {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 12;
    private static final int ROWS = 4_000;
    private static final long SILENT_MS = 14_000;

    private StalledAnswer() {}

    public static void main(String[] args) throws IOException {
        Lab.main(args, StalledAnswer::run);
    }

    private static String row(String id, int number) {
        return "row " + number + " of " + id + "\n";
    }

    private static String whole(String id) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < ROWS; i++) {
            text.append(row(id, i));
        }
        return text.append("end of ").append(id).append('\n').toString();
    }

    private static void run(Lab lab) throws Exception {
        boolean[] silent = {false};
        StringBuilder addresses = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            int number = i;
            ServerSocket listener =
                    lab.listen(0, 64, socket -> serve(lab, number, socket, () -> number == 0 && silent[0]));
            addresses.append(i == 0 ? "" : ", ").append("\"127.0.0.1:").append(listener.getLocalPort()).append('"');
        }
        int port = Lab.freePort();
        Path file = Files.writeString(
                lab.temp.resolve("node.toml"),
                "[node]\nlisten = \"127.0.0.1:" + port + "\"\nidle = \"4s\"\n\n[pool]\nservers = [" + addresses + "]\n");
        lab.startNode("a", " serve " + file, Map.of());
        lab.awaitReady(port, 30);
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger right = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        silent[0] = lab.trouble;
        lab.record(lab.trouble ? "server 0 falls silent in its answers from now on" : "no server falls silent");
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Lab.start(() -> {
                for (int call = 0; call < 3; call++) {
                    String id = "report-" + client + "-" + call;
                    try (Socket socket = Lab.connect(port)) {
                        socket.setSoTimeout(40_000);
                        Lab.write(socket, "GET /" + id + " HTTP/1.1\r\nHost: reports.local\r\n\r\n");
                        Lab.Message answer = Lab.read(socket.getInputStream(), false);
                        boolean same = answer.text().equals(whole(id));
                        lab.record("answer to " + id + ": " + answer.startLine + ", " + answer.body.length + " bytes of "
                                + whole(id).length() + ", " + answer.ending);
                        if (answer.status() == 200 && answer.whole && !same) {
                            wrong.incrementAndGet();
                            lab.record("WRONG: " + id + " was ended as whole with a part of its answer");
                        } else if (answer.status() == 200 && answer.whole) {
                            right.incrementAndGet();
                        } else {
                            cut.incrementAndGet();
                        }
                    } catch (IOException e) {
                        cut.incrementAndGet();
                        lab.record("no answer to " + id + ": " + e);
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = right + " whole, " + cut + " cut and seen to be cut or failed, " + wrong + " cut and ended as whole";
        if (right.get() == 0) {
            lab.finish(Lab.COULD_NOT_RUN, counts);
        }
        lab.finish(wrong.get() > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    interface Condition {
        boolean holds();
    }

    private static void serve(Lab lab, int number, Socket socket, Condition silent)
            throws IOException, InterruptedException {
        Lab.Message request = Lab.readRequest(socket.getInputStream());
        if (request == null) {
            return;
        }
        String id = request.path().substring(1);
        String text = whole(id);
        Lab.write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n");
        if (silent.holds()) {
            Lab.write(socket, text.substring(0, text.length() / 2));
            lab.record("server " + number + " is silent in the middle of " + id);
            Thread.sleep(SILENT_MS);
            Lab.reset(socket);
            lab.record("server " + number + " is back and has reset " + id);
            return;
        }
        Lab.write(socket, text);
        lab.record("server " + number + " has sent all of " + id);
    }
}
