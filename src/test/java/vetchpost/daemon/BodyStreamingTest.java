package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.testing.FakePeer;

/**
 * Bodies longer than the buffer must be streamed in bounded memory, and a truncated body must not look complete to the
 * other side.
 */
@Timeout(60)
class BodyStreamingTest {
    private static final int LONG_BODY_BYTES = 8 << 20;
    private static final String CLOSE = "Connection: close\r\n";
    private FakePeer server;
    private final BlockingQueue<Long> uploadedBytes = new LinkedBlockingQueue<>();

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    /** Counts the bytes of a request body that FakePeer has not read. */
    private void countBytes(Socket socket, long length) throws IOException {
        InputStream in = socket.getInputStream();
        long left = length;
        byte[] chunk = new byte[65_536];
        while (left > 0) {
            int read = in.read(chunk, 0, (int) Math.min(chunk.length, left));
            if (read < 0) {
                uploadedBytes.add(length - left);
                throw new IOException("cut");
            }
            left -= read;
        }
        uploadedBytes.add(length);
    }

    private static void send(Socket client, String head, int body) throws IOException {
        FakePeer.write(client, head);
        byte[] chunk = new byte[65_536];
        for (int left = body; left > 0; left -= chunk.length) {
            client.getOutputStream().write(chunk, 0, Math.min(left, chunk.length));
        }
    }

    private static String putHead(String more, int length) {
        return "PUT /photo HTTP/1.1\r\nHost: a\r\n" + more + "X-Length: " + length + "\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    /** Reads a chunked body and returns its length in bytes; -1 if it is truncated. */
    static long readChunks(InputStream in) throws IOException {
        long sum = 0;
        while (true) {
            StringBuilder size = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return -1;
                }
                size.append((char) b);
            }
            int length = Integer.parseInt(size.toString().trim(), 16);
            if (in.readNBytes(length + 2).length < length + 2) {
                return -1;
            }
            if (length == 0) {
                return sum;
            }
            sum += length;
        }
    }

    @Test
    void forwardsLongChunkedUploadCompletely() throws Exception {
        server = new FakePeer((socket, request) -> {
            uploadedBytes.add(readChunks(socket.getInputStream()));
            FakePeer.write(socket, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
        });
        try (RunningNode node = new RunningNode(RunningNode.pool(server));
                Socket client = node.connect()) {
            FakePeer.write(client, putHead("", LONG_BODY_BYTES));
            byte[] chunk = new byte[10_000];
            for (int i = 0; i < 100; i++) {
                FakePeer.write(client, Integer.toHexString(chunk.length) + "\r\n");
                client.getOutputStream().write(chunk);
                FakePeer.write(client, "\r\n");
            }
            FakePeer.write(client, "0\r\n\r\n");
            assertEquals(1_000_000, FakePeer.takeWithTimeout(uploadedBytes));
            assertTrue(RunningNode.readResponse(client).startsWith("HTTP/1.1 201 "));
            server.script(FakePeer.answer("200 OK", "", "short"));
            FakePeer.write(
                    client, "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
            assertTrue(RunningNode.readResponse(client).endsWith("short"), "the connection is still usable");
            server.nextRequest();
            assertTrue(server.nextRequest().endsWith("ab"), "a fully buffered body is sent with its length");
        }
    }

    @Test
    void truncatesUploadAtServerWhenClientDisconnects() throws Exception {
        server = new FakePeer((socket, request) -> uploadedBytes.add(readChunks(socket.getInputStream())));
        try (RunningNode node = new RunningNode(RunningNode.pool(server))) {
            try (Socket client = node.connect()) {
                send(
                        client,
                        putHead("", LONG_BODY_BYTES) + Integer.toHexString(LONG_BODY_BYTES) + "\r\n",
                        LONG_BODY_BYTES / 2);
            }
            assertEquals(-1, FakePeer.takeWithTimeout(uploadedBytes));
            assertEquals(1, server.requests.size(), "the upload is not retried");
        }
    }

    @Test
    void forwardsResponseSentBeforeUploadEnds() throws Exception {
        server = new FakePeer(
                (socket, request) -> FakePeer.write(socket, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n"));
        try (RunningNode node = new RunningNode(RunningNode.pool(server));
                Socket client = node.connect()) {
            // The client announces 8 MiB and sends 200,000 bytes, so the upload is incomplete when the response comes.
            send(client, putHead("", LONG_BODY_BYTES) + Integer.toHexString(LONG_BODY_BYTES) + "\r\n", 200_000);
            String answer = RunningNode.readUntilClosed(client);
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
            assertTrue(answer.contains("connection: close\r\n") && answer.endsWith("no\n"), answer);
        }
    }

    /** A long body can be retried only until the node has streamed some of its remainder, which it does not keep. */
    @Test
    void retriesLongBodyOnlyBeforeRemainderIsStreamed() throws Exception {
        int closedPort;
        try (FakePeer closedServer = new FakePeer(FakePeer.CLOSE)) {
            closedPort = closedServer.port();
        }
        server = new FakePeer((socket, request) -> {
            uploadedBytes.add(readChunks(socket.getInputStream()));
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        String pool = "[pool]\nservers = [\"127.0.0.1:" + closedPort + "\", \"" + server.address() + "\"]\n"
                + "connect-timeout = \"2s\"\n";
        try (RunningNode node = new RunningNode(pool)) {
            for (int i = 0; i < 6; i++) {
                try (Socket client = node.connect()) {
                    send(client, putHead(CLOSE, LONG_BODY_BYTES) + "30d40\r\n", 200_000);
                    FakePeer.write(client, "\r\n0\r\n\r\n");
                    assertTrue(RunningNode.readUntilClosed(client).startsWith("HTTP/1.1 200 "));
                    assertEquals(200_000, FakePeer.takeWithTimeout(uploadedBytes));
                }
            }
            server.script((socket, request) -> {
                socket.getInputStream().readNBytes(100_000);
                uploadedBytes.add(0L);
                socket.setSoLinger(true, 0);
                socket.close();
            });
            int before = server.requests.size();
            try (Socket client = node.connect()) {
                // A class that may be retried: only the streamed body prevents it.
                FakePeer.write(client, putHead(CLOSE, LONG_BODY_BYTES).replace("PUT", "GET") + "30d40\r\n");
                client.getOutputStream().write(new byte[150_000]);
                FakePeer.takeWithTimeout(uploadedBytes);
                assertTrue(RunningNode.readUntilClosed(client).startsWith("HTTP/1.1 503 "));
            }
            assertEquals(before + 1, server.requests.size(), "the request may have run and must not be retried");
        }
    }

    @Test
    void truncatesLongResponseWhereServerDoes() throws Exception {
        server = new FakePeer((socket, request) -> {
            boolean cut = request.startsWith("GET /cut");
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            byte[] chunk = new byte[65_536];
            for (int left = cut ? LONG_BODY_BYTES / 2 : LONG_BODY_BYTES; left > 0; left -= chunk.length) {
                out.write(chunk, 0, Math.min(left, chunk.length));
            }
            if (cut) {
                socket.close();
            }
        });
        try (RunningNode node = new RunningNode(RunningNode.pool(server))) {
            try (Socket client = node.connect()) {
                FakePeer.write(client, RunningNode.get("/whole", ""));
                String answer = RunningNode.readResponse(client);
                assertEquals(LONG_BODY_BYTES, answer.length() - answer.indexOf("\r\n\r\n") - 4);
                FakePeer.write(client, RunningNode.get("/cut", ""));
                String cut = RunningNode.readUntilClosed(client);
                assertTrue(
                        cut.length() < LONG_BODY_BYTES && cut.endsWith("<broken>"),
                        "a truncated response must end with a reset");
            }
            assertEquals(2, server.requests.size(), "a streamed response is not retried");
            assertEquals(0, node.pendingWork().requests());
        }
    }

    @Test
    void resetsHttp10ClientWhenUnboundedResponseIsTruncated() throws Exception {
        CountDownLatch releaseClose = new CountDownLatch(1);
        server = new FakePeer((socket, request) -> {
            FakePeer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
            releaseClose.await();
            socket.close();
        });
        try (RunningNode node = new RunningNode(RunningNode.pool(server));
                Socket client = node.connect()) {
            FakePeer.write(client, "GET / HTTP/1.0\r\n\r\n");
            byte[] head = new byte[8];
            assertEquals(8, client.getInputStream().read(head), "events are forwarded before the response ends");
            releaseClose.countDown();
            assertTrue(
                    RunningNode.readUntilClosed(client).endsWith("<broken>"),
                    "an orderly close would mark the response as complete");
        }
    }

    /** The node must read a response no faster than its client does, so that it buffers only a bounded part. */
    @Test
    void appliesBackpressureForSlowReader() throws Exception {
        AtomicLong written = new AtomicLong();
        BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        server = new FakePeer((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1073741824\r\n\r\n");
            byte[] chunk = new byte[65_536];
            try {
                for (long left = 1 << 30; left > 0; left -= chunk.length) {
                    socket.getOutputStream().write(chunk);
                    written.addAndGet(chunk.length);
                }
                ended.add("all written");
            } catch (IOException e) {
                ended.add("cut");
                throw e;
            }
        });
        try (RunningNode node = new RunningNode("idle = \"1s\"\n" + RunningNode.pool(server));
                Socket client = node.connect();
                Socket other = node.connect()) {
            client.setReceiveBufferSize(65_536);
            FakePeer.write(client, RunningNode.get("/", ""));
            assertEquals('H', client.getInputStream().read());
            assertEquals("cut", FakePeer.takeWithTimeout(ended), "the idle timeout of one second ends the response");
            assertTrue(written.get() < 64 << 20, written + " bytes were read for a client that reads nothing");
            server.script(FakePeer.answer("200 OK", "", "meanwhile"));
            FakePeer.write(other, RunningNode.get("/", ""));
            assertTrue(RunningNode.readResponse(other).endsWith("meanwhile"));
        }
    }

    @Test
    void timesOutBodyWithoutProgress() throws Exception {
        server = new FakePeer((socket, request) -> uploadedBytes.add(readChunks(socket.getInputStream())));
        try (RunningNode node =
                new RunningNode("idle = \"500ms\"\nhead-within = \"500ms\"\n" + RunningNode.pool(server))) {
            assertTrue(
                    node.sendAndReadAll("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc")
                            .startsWith("HTTP/1.1 408 "),
                    "a buffered body");
            assertTrue(
                    node.sendAndReadAll(
                                    "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n" + "x".repeat(100_000))
                            .startsWith("HTTP/1.1 408 "),
                    "a streamed body");
            assertTrue(node.sendAndReadAll("PUT / HTTP/1.1\r\nHost: a\r\nConte").startsWith("HTTP/1.1 408 "), "a head");
            assertEquals(0, node.pendingWork().bytes());
            assertEquals(0, node.pendingWork().requests());
        }
    }

    @Test
    void rejectsBodiesOverLimitBeforeOrDuringUpload() throws Exception {
        server = new FakePeer((socket, request) -> uploadedBytes.add(readChunks(socket.getInputStream())));
        try (RunningNode node = new RunningNode("max-body = \"100KiB\"\n" + RunningNode.pool(server))) {
            assertTrue(
                    node.sendAndReadAll("PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
                                    + "200000\r\n\r\n")
                            .startsWith("HTTP/1.1 413 "),
                    "rejected before 100 Continue");
            try (Socket client = node.connect()) {
                send(client, putHead("", LONG_BODY_BYTES) + Integer.toHexString(LONG_BODY_BYTES) + "\r\n", 150_000);
                assertTrue(RunningNode.readUntilClosed(client).startsWith("HTTP/1.1 413 "));
            }
            assertEquals(-1, FakePeer.takeWithTimeout(uploadedBytes), "the server sees a truncated body");
            try (Socket client = node.connect()) {
                server.script(FakePeer.answer("200 OK", "", "thanks"));
                FakePeer.write(
                        client, "PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
                assertEquals(
                        "HTTP/1.1 100 Continue\r\n\r\n",
                        new String(client.getInputStream().readNBytes(25)));
                FakePeer.write(client, "abc");
                assertTrue(RunningNode.readResponse(client).endsWith("thanks"));
            }
        }
    }

    @Test
    void timesOutSilentServer() throws Exception {
        server = new FakePeer(FakePeer.SILENT);
        try (RunningNode node = new RunningNode("[classes.all]\ndeadline = \"400ms\"\n" + RunningNode.pool(server))) {
            long startNs = System.nanoTime();
            String answer =
                    node.sendAndReadAll("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n" + CLOSE + "\r\nabc");
            assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
            assertTrue(System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(20));
            assertFalse(answer.contains("200 OK"));
        }
    }
}
