import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node of the platform with the six servers of one rack. They drop repeats of a key for 1.2 s. At two of them half of
 * the new connections come up a second late, and some connections are reset under requests that have begun. No keyed
 * request may be sent later than its window after the first attempt that may have run.
 */
final class LateRetry {
    private static final int SERVERS = 6;
    private static final int LATE_SERVERS = 2;
    private static final int CLIENTS = 10;
    private static final long RUN_MS = 45_000;
    private static final long WINDOW_MS = 1_200;
    /** Each time limit is 50 ms longer on sockets, and a node may be held up for 150 ms before it writes. */
    private static final long SLACK_MS = 200;
    private static final double RESETS = 0.1;
    private static final long RESET_AFTER_MS = 600;
    private static final long OPEN_MS = 1_000;

    /** What the rack knows of one key. */
    private static final class Effect {
        long firstArrivalNs;
        long lastRunNs;
        int runs;
    }

    private LateRetry() {}

    public static void main(String[] args) throws IOException {
        Lab.main(args, LateRetry::run);
    }

    private static void run(Lab lab) throws Exception {
        Platform platform = new Platform(lab);
        Map<String, Effect> rack = new ConcurrentHashMap<>();
        AtomicInteger late = new AtomicInteger();
        AtomicInteger twice = new AtomicInteger();
        for (int i = 0; i < SERVERS; i++) {
            int number = i;
            boolean comesUpLate = lab.trouble && i >= SERVERS - LATE_SERVERS;
            Lab.Acceptor acceptor = socket -> serve(lab, number, comesUpLate, socket, rack, late, twice);
            ServerSocket listener = lab.listen(0, comesUpLate ? 1 : 128, comesUpLate ? null : acceptor);
            if (comesUpLate) {
                Lab.start(() -> acceptLate(listener, acceptor));
            }
            platform.addServer(listener.getLocalPort(), 3);
        }
        int port = Lab.freePort();
        platform.startNode(
                "n0",
                port,
                Platform.requestClass("add-photo", 2_500, 3_000, 5, "keyed", "cell", WINDOW_MS),
                2_000,
                1_024);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        long endNs = System.nanoTime() + RUN_MS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Lab.start(() -> {
                while (System.nanoTime() - endNs < 0) {
                    String txn = platform.newTxn();
                    try (Socket socket = Lab.connect(port)) {
                        socket.setSoTimeout(4_000);
                        Lab.write(socket, Platform.request("add-photo", "keyed", txn, 3_000, "photo"));
                        Lab.Message answer = Lab.read(socket.getInputStream(), false);
                        (answer.whole && answer.status() == 200 ? served : other).incrementAndGet();
                    } catch (IOException e) {
                        other.incrementAndGet();
                    }
                    Lab.sleep(ThreadLocalRandom.current().nextInt(100));
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = served + " answered 200, " + other + " refused or failed, " + late
                + " keyed attempts later than the window, " + twice + " effects done twice";
        if (served.get() == 0) {
            lab.finish(Lab.COULD_NOT_RUN, counts);
        }
        lab.finish(late.get() > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    /** Lets connections come up for a second, and then for a second none: those try again after a second. */
    private static void acceptLate(ServerSocket listener, Lab.Acceptor acceptor) {
        try {
            while (!listener.isClosed()) {
                long openUntilNs = System.nanoTime() + OPEN_MS * 1_000_000;
                while (System.nanoTime() - openUntilNs < 0) {
                    listener.setSoTimeout(20);
                    try {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        Lab.start(() -> {
                            try (socket) {
                                acceptor.accepted(socket);
                            } catch (IOException | InterruptedException e) {
                                // The connection has ended.
                            }
                        });
                    } catch (SocketTimeoutException e) {
                        // Nobody has come.
                    }
                }
                // Two connections of our own fill the queue, so that the system takes no others.
                List<Socket> fillers = new ArrayList<>();
                for (int i = 0; i < 2; i++) {
                    Socket filler = new Socket();
                    filler.connect(new InetSocketAddress(Lab.LOOPBACK, listener.getLocalPort()), 100);
                    fillers.add(filler);
                }
                Lab.sleep(OPEN_MS);
                for (Socket filler : fillers) {
                    filler.close();
                }
            }
        } catch (IOException e) {
            // The listener is closed, or the queue was full already.
            acceptLate(listener, acceptor);
        }
    }

    private static void serve(
            Lab lab,
            int number,
            boolean closes,
            Socket socket,
            Map<String, Effect> rack,
            AtomicInteger late,
            AtomicInteger twice)
            throws IOException, InterruptedException {
        for (Lab.Message request = Lab.readRequest(socket.getInputStream());
                request != null;
                request = closes ? null : Lab.readRequest(socket.getInputStream())) {
            String key = request.field("idempotency-key");
            long now = System.nanoTime();
            Effect effect = rack.computeIfAbsent(key, k -> new Effect());
            boolean first;
            synchronized (effect) {
                first = effect.runs == 0;
                if (first) {
                    effect.firstArrivalNs = now;
                }
                long sinceMs = (now - effect.firstArrivalNs) / 1_000_000;
                boolean runs = first || now - effect.lastRunNs > WINDOW_MS * 1_000_000;
                if (runs) {
                    effect.runs++;
                    effect.lastRunNs = now;
                }
                if (!first) {
                    lab.record("server " + number + " gets " + key + " again, " + sinceMs + " ms after its first attempt"
                            + (runs ? ", and runs it again" : ", and drops the repeat"));
                }
                if (sinceMs > WINDOW_MS + SLACK_MS) {
                    late.incrementAndGet();
                    lab.record("LATE: " + key + " was sent " + sinceMs + " ms after the attempt that may have run; the window"
                            + " is " + WINDOW_MS + " ms");
                    twice.addAndGet(runs ? 1 : 0);
                }
            }
            if (first && lab.trouble && ThreadLocalRandom.current().nextDouble() < RESETS) {
                Thread.sleep(RESET_AFTER_MS);
                lab.record("server " + number + " has run " + key + ", and its connection is reset");
                Lab.reset(socket);
                return;
            }
            Thread.sleep(5 + ThreadLocalRandom.current().nextInt(30));
            String body = "done " + key;
            Lab.write(socket, "HTTP/1.1 200 OK\r\n" + (closes ? "Connection: close\r\n" : "") + "Content-Length: "
                    + body.length() + "\r\n\r\n" + body);
        }
    }
}
