package vetchpost.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import vetchpost.simulation.wire.Message;
import vetchpost.simulation.wire.MessageParser;

/** A client on a loopback socket: asks, waits, thinks a little and asks again, until told to end. */
final class StandInClient implements Runnable {
    private static final AtomicLong TXNS = new AtomicLong();
    private static final int PATIENCE_MS = 500;
    private static final int THINK_MS = 30;

    private final InetSocketAddress node;
    private final TrialStatistics tally;
    private final SplittableRandom random;
    private final CountDownLatch ended = new CountDownLatch(1);
    private Socket socket;
    private Message answer;
    private String last = "";

    StandInClient(InetSocketAddress node, TrialStatistics tally, long seed) {
        this.node = node;
        this.tally = tally;
        random = new SplittableRandom(seed);
    }

    /** No further request after the one that is out. */
    void end() {
        ended.countDown();
    }

    @Override
    public void run() {
        try {
            do {
                ask();
            } while (!ended.await(random.nextInt(THINK_MS), TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            drop();
        }
    }

    private void ask() {
        int draw = random.nextInt(100);
        String cls = draw < 70 ? "view-page" : draw < 85 ? "add-photo" : "place-order";
        int waitMs = draw < 70 ? 500 : draw < 85 ? 600 : 1_000;
        String txn = String.format(Locale.ROOT, "%016x", TXNS.incrementAndGet());
        long began = System.nanoTime();
        int status = 0;
        String body = "";
        try {
            open();
            socket.getOutputStream().write(bytes(cls, txn, waitMs));
            Message message = read(waitMs + PATIENCE_MS);
            status = message.status();
            body = message.text();
            last = txn;
            if (message.field("connection").equalsIgnoreCase("close")) {
                drop();
            }
        } catch (IOException e) {
            // No answer, then: the tally is told so.
            drop();
        }
        tally.answered(cls, txn, status, body, System.nanoTime() - began, waitMs * 1_000_000L);
    }

    private byte[] bytes(String cls, String txn, int waitMs) {
        boolean safe = cls.equals("view-page");
        String body = safe ? "" : "x".repeat(1 + random.nextInt(400));
        return Message.bytes(
                (safe ? "GET /" : "POST /") + cls + "/" + random.nextInt(99) + " HTTP/1.1",
                "Host: backend.local\r\nX-Txn: " + txn + "\r\nX-Org: school\r\nX-Remaining-Ms: " + waitMs
                        + "\r\n"
                        + (cls.equals("add-photo") ? "Idempotency-Key: k" + txn + "\r\n" : "")
                        + (safe ? "" : "Content-Length: " + body.length() + "\r\n"),
                body);
    }

    private void open() throws IOException {
        if (socket != null && socket.getInputStream().available() > 0) {
            tally.answeredTwice(last);
            drop();
        }
        if (socket == null) {
            socket = new Socket();
            socket.connect(node, PATIENCE_MS);
            socket.setTcpNoDelay(true);
        }
    }

    private Message read(int mostMs) throws IOException {
        answer = null;
        MessageParser parser = new MessageParser(message -> answer = message);
        byte[] some = new byte[4_096];
        long end = System.nanoTime() + mostMs * 1_000_000L;
        while (answer == null) {
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0 || parser.isBroken()) {
                throw new SocketTimeoutException("no answer");
            }
            socket.setSoTimeout((int) leftMs);
            int read = socket.getInputStream().read(some);
            if (read < 0) {
                throw new IOException("closed without an answer");
            }
            parser.feed(Arrays.copyOf(some, read));
        }
        return answer;
    }

    private void drop() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is of no further use, closed or not.
            socket = null;
        }
        socket = null;
    }
}
