import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart of a node of the platform under clients that always have two orders out on their connection. SIGKILL
 * comes 2 s after SIGTERM, where the longest deadline is 1 s. It must find no order that a server has run unanswered.
 */
final class SendAhead {
    private static final int CLIENTS = 10;

    private SendAhead() {}

    public static void main(String[] args) throws IOException {
        Lab.main(args, SendAhead::run);
    }

    private static void run(Lab lab) throws Exception {
        Platform platform = new Platform(lab);
        Set<String> run = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 6; i++) {
            ServerSocket listener = lab.listen(0, 128, socket -> serve(socket, run));
            platform.addServer(listener.getLocalPort(), 0);
        }
        int port = Lab.freePort();
        Process node = platform.startNode("n0", port, Platform.usualClasses(), 50, 1_024);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger lostRun = new AtomicInteger();
        AtomicBoolean end = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Lab.start(() -> {
                Deque<String> out = new ArrayDeque<>();
                try (Socket socket = Lab.connect(port)) {
                    socket.setSoTimeout(5_000);
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    boolean last = false;
                    while (!last || !out.isEmpty()) {
                        last |= end.get() && !lab.trouble;
                        while (!last && out.size() < 2) {
                            String txn = platform.newTxn();
                            out.add(txn);
                            Lab.write(socket, Platform.request("place-order", "unsafe", txn, 1_000, "data"));
                        }
                        Lab.Message answer = Lab.read(in, false);
                        if (!answer.whole) {
                            throw new IOException(answer.ending);
                        }
                        out.poll();
                        answered.incrementAndGet();
                        last |= answer.field("connection").equalsIgnoreCase("close");
                    }
                } catch (IOException e) {
                    for (String txn : out) {
                        lost.incrementAndGet();
                        lostRun.addAndGet(run.contains(txn) ? 1 : 0);
                        lab.record("LOST: order " + txn + (run.contains(txn) ? " was run" : " was not run") + ": " + e);
                    }
                }
            }));
        }
        Lab.sleep(3_000);
        end.set(true);
        if (lab.trouble) {
            lab.signal(node, "TERM");
            if (!node.waitFor(2_000, TimeUnit.MILLISECONDS)) {
                lab.signal(node, "KILL");
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = answered + " orders answered, " + lost + " taken or sent and not answered, of which " + lostRun
                + " had been run";
        lab.finish(lostRun.get() > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    private static void serve(Socket socket, Set<String> run) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Lab.Message request = Lab.readRequest(in); request != null; request = Lab.readRequest(in)) {
            String txn = request.field("x-txn");
            run.add(txn);
            Thread.sleep(30);
            String body = "done " + txn;
            Lab.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }
}
