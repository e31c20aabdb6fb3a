import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A node of the platform with twelve servers. One answer in ten comes a second time some milliseconds later, if nothing
 * else waits on its connection then. No client may be given the answer to another request.
 */
final class LateCopies {
    private static final int SERVERS = 12;
    private static final int CLIENTS = 24;
    private static final double COPIES = 0.1;
    private static final long RUN_MS = 90_000;
    private static final String[][] CLASSES = {
        {"view-page", "safe", "500"}, {"add-photo", "keyed", "600"}, {"place-order", "unsafe", "1000"}
    };

    private LateCopies() {}

    public static void main(String[] args) throws IOException {
        Lab.main(args, LateCopies::run);
    }

    private static void run(Lab lab) throws Exception {
        Platform platform = new Platform(lab);
        AtomicInteger copies = new AtomicInteger();
        for (int i = 0; i < SERVERS; i++) {
            ServerSocket listener = lab.listen(0, 128, socket -> serve(lab, socket, copies));
            platform.addServer(listener.getLocalPort(), i / 6);
        }
        int port = Lab.freePort();
        platform.startNode("n0", port, Platform.usualClasses(), 50, 1_024);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        long endNs = System.nanoTime() + RUN_MS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Lab.start(() -> {
                Socket socket = null;
                while (System.nanoTime() - endNs < 0) {
                    String[] requestClass = CLASSES[ThreadLocalRandom.current().nextInt(3)];
                    String txn = platform.newTxn();
                    try {
                        socket = socket == null ? Lab.connect(port) : socket;
                        socket.setSoTimeout(2_000);
                        Lab.write(socket, Platform.request(
                                requestClass[0], requestClass[1], txn, Long.parseLong(requestClass[2]), "data"));
                        Lab.Message answer = Lab.read(socket.getInputStream(), false);
                        if (answer.whole && answer.status() == 200) {
                            served.incrementAndGet();
                            if (!answer.text().equals("done " + txn)) {
                                foreign.incrementAndGet();
                                lab.record("FOREIGN: request " + txn + " of " + requestClass[0] + " was answered 200 with '"
                                        + answer.text() + "'");
                            }
                        } else {
                            other.incrementAndGet();
                        }
                        if (!answer.whole || answer.field("connection").equalsIgnoreCase("close")) {
                            socket.close();
                            socket = null;
                        }
                    } catch (IOException e) {
                        other.incrementAndGet();
                        socket = null;
                    }
                    Lab.sleep(ThreadLocalRandom.current().nextInt(100));
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = served + " answered 200, " + other + " refused or failed, " + copies + " second copies, " + foreign
                + " answered with what was made for another request";
        lab.record(counts);
        if (served.get() == 0 || lab.trouble && copies.get() == 0) {
            lab.finish(Lab.COULD_NOT_RUN, counts);
        }
        lab.finish(foreign.get() > 0 ? Lab.BROKEN : Lab.HELD, counts);
    }

    private static void serve(Lab lab, Socket socket, AtomicInteger copies) throws IOException, InterruptedException {
        PushbackInputStream in = new PushbackInputStream(new java.io.BufferedInputStream(socket.getInputStream()), 1);
        for (Lab.Message request = Lab.readRequest(in); request != null; request = Lab.readRequest(in)) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            Thread.sleep(5 + random.nextInt(15));
            String body = "done " + request.field("x-txn");
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            Lab.write(socket, answer);
            if (lab.trouble && random.nextDouble() < COPIES && nothingComesFor(socket, in, 1 + random.nextInt(5))) {
                Lab.write(socket, answer);
                copies.incrementAndGet();
            }
        }
    }

    private static boolean nothingComesFor(Socket socket, PushbackInputStream in, int ms) throws IOException {
        socket.setSoTimeout(ms);
        try {
            int next = ((InputStream) in).read();
            if (next < 0) {
                throw new IOException("closed");
            }
            in.unread(next);
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        } finally {
            socket.setSoTimeout(0);
        }
    }
}
