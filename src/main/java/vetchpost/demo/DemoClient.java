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

/**
 * A simulated client: sends a request to the node over loopback, waits for the response, pauses and repeats until
 * stopped. {@link TryCommand} runs each one on a thread of its own.
 */
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

    DemoClient(InetSocketAddress node, DemoStatistics statistics, long seed) {
        this.node = node;
        this.statistics = statistics;
        random = new SplittableRandom(seed);
    }

    /** Stops the client after its pending request. */
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
        int percentile = random.nextInt(100);
        String className = percentile < 70 ? "view-page" : percentile < 85 ? "add-photo" : "place-order";
        int deadlineMs = percentile < 70 ? 500 : percentile < 85 ? 600 : 1_000;
        String transactionId = String.format(Locale.ROOT, "%016x", LAST_TRANSACTION_ID.incrementAndGet());
        long startNs = System.nanoTime();
        int status = 0;
        String body = "";
        try {
            connect();
            socket.getOutputStream().write(requestBytes(className, transactionId, deadlineMs));
            Message message = readResponse(deadlineMs + TIMEOUT_MARGIN_MS);
            status = message.status();
            body = message.text();
            lastTransactionId = transactionId;
            if (message.field("connection").equalsIgnoreCase("close")) {
                disconnect();
            }
        } catch (IOException e) {
            // Recorded below as status 0, which means no response.
            disconnect();
        }
        statistics.recordAnswer(
                className, transactionId, status, body, System.nanoTime() - startNs, deadlineMs * 1_000_000L);
    }

    private byte[] requestBytes(String className, String transactionId, int deadlineMs) {
        boolean safe = className.equals("view-page");
        String body = safe ? "" : "x".repeat(1 + random.nextInt(400));
        return Message.bytes(
                (safe ? "GET /" : "POST /") + className + "/" + random.nextInt(99) + " HTTP/1.1",
                "Host: backend.local\r\nX-Txn: " + transactionId + "\r\nX-Org: school\r\nX-Remaining-Ms: " + deadlineMs
                        + "\r\n"
                        + (className.equals("add-photo") ? "Idempotency-Key: k" + transactionId + "\r\n" : "")
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

    private Message readResponse(int timeoutMs) throws IOException {
        response = null;
        MessageParser parser = new MessageParser(message -> response = message);
        byte[] chunk = new byte[4_096];
        long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
        while (response == null) {
            long remainingMs = (endNs - System.nanoTime()) / 1_000_000;
            if (remainingMs <= 0 || parser.isBroken()) {
                throw new SocketTimeoutException("no answer");
            }
            socket.setSoTimeout((int) remainingMs);
            int read = socket.getInputStream().read(chunk);
            if (read < 0) {
                throw new IOException("closed without an answer");
            }
            parser.feed(Arrays.copyOf(chunk, read));
        }
        return response;
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The socket is not used again, whether closed or not.
            socket = null;
        }
        socket = null;
    }
}
