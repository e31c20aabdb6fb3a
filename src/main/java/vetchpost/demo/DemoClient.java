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
final class DemoClient implements Runnable {
    private static final AtomicLong LAST_TRANSACTION_ID = new AtomicLong();
    private static final int TIMEOUT_MARGIN_MS = 500;
    private static final int MAX_THINK_TIME_MS = 30;

    private final InetSocketAddress node;
    private final DemoStatistics statistics;
    private final SplittableRandom random;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private Socket socket;
    private Message response;
    private String lastTransactionId = "";

    DemoClient(InetSocketAddress node, DemoStatistics tally, long seed) {
        this.node = node;
        this.statistics = tally;
        random = new SplittableRandom(seed);
    }

    /** No further request after the one that is out. */
    void stop() {
        stopped.countDown();
    }

    @Override
    public void run() {
        try {
            do {
                sendRequest();
            } while (!stopped.await(random.nextInt(MAX_THINK_TIME_MS), TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    private void sendRequest() {
        int draw = random.nextInt(100);
        String cls = draw < 70 ? "view-page" : draw < 85 ? "add-photo" : "place-order";
        int waitMs = draw < 70 ? 500 : draw < 85 ? 600 : 1_000;
        String txn = String.format(Locale.ROOT, "%016x", LAST_TRANSACTION_ID.incrementAndGet());
        long began = System.nanoTime();
        int status = 0;
        String body = "";
        try {
            connect();
            socket.getOutputStream().write(requestBytes(cls, txn, waitMs));
            Message message = readResponse(waitMs + TIMEOUT_MARGIN_MS);
            status = message.status();
            body = message.text();
            lastTransactionId = txn;
            if (message.field("connection").equalsIgnoreCase("close")) {
                disconnect();
            }
        } catch (IOException e) {
            // No answer, then: the tally is told so.
            disconnect();
        }
        statistics.recordAnswer(cls, txn, status, body, System.nanoTime() - began, waitMs * 1_000_000L);
    }

    private byte[] requestBytes(String cls, String txn, int waitMs) {
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

    private void connect() throws IOException {
        if (socket != null && socket.getInputStream().available() > 0) {
            statistics.recordSecondAnswer(lastTransactionId);
            disconnect();
        }
        if (socket == null) {
            socket = new Socket();
            socket.connect(node, TIMEOUT_MARGIN_MS);
            socket.setTcpNoDelay(true);
        }
    }

    private Message readResponse(int mostMs) throws IOException {
        response = null;
        MessageParser parser = new MessageParser(message -> response = message);
        byte[] some = new byte[4_096];
        long end = System.nanoTime() + mostMs * 1_000_000L;
        while (response == null) {
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
        return response;
    }

    private void disconnect() {
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
