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
 * Bodies that are longer than what is held: passed on as they come, cut where they are cut, in bounded
 * memory.
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

    /** Counts the bytes behind the head of a request, which FakePeer has read by its length or not at all. */
    private void countBytes(Socket socket, long length) throws IOException {
        InputStream in = socket.getInputStream();
        long left = length;
        byte[] some = new byte[65_536];
        while (left > 0) {
            int read = in.read(some, 0, (int) Math.min(some.length, left));
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
        byte[] some = new byte[65_536];
        for (int left = body; left > 0; left -= some.length) {
            client.getOutputStream().write(some, 0, Math.min(left, some.length));
        }
    }

    private static String putHead(String more, int length) {
        return "PUT /photo HTTP/1.1\r\nHost: a\r\n" + more + "X-Length: " + length + "\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    /** Reads chunks until the last and tells how many bytes there were; -1 if they break off. */
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
            byte[] some = new byte[10_000];
            for (int i = 0; i < 100; i++) {
                FakePeer.write(client, Integer.toHexString(some.length) + "\r\n");
                client.getOutputStream().write(some);
                FakePeer.write(client, "\r\n");
            }
            FakePeer.write(client, "0\r\n\r\n");
            assertEquals(1_000_000, FakePeer.takeWithTimeout(uploadedBytes));
            assertTrue(RunningNode.readResponse(client).startsWith("HTTP/1.1 201 "));
            server.script(FakePeer.answer("200 OK", "", "short"));
            FakePeer.write(
                    client, "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
            assertTrue(RunningNode.readResponse(client).endsWith("short"), "the connection goes on");
            server.nextRequest();
            assertTrue(server.nextRequest().endsWith("ab"), "what is held whole is told its length");
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
            assertEquals(1, server.requests.size(), "and it is not sent again");
        }
    }

    @Test
    void forwardsResponseSentBeforeUploadEnds() throws Exception {
        server = new FakePeer(
                (socket, request) -> FakePeer.write(socket, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nno\n"));
        try (RunningNode node = new RunningNode(RunningNode.pool(server));
                Socket client = node.connect()) {
            // So much that neither side's buffers hold it, in the background: nobody reads it all.
            send(client, putHead("", LONG_BODY_BYTES) + Integer.toHexString(LONG_BODY_BYTES) + "\r\n", 200_000);
            String answer = RunningNode.readUntilClosed(client);
            assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
            assertTrue(answer.contains("connection: close\r\n") && answer.endsWith("no\n"), answer);
        }
    }

    /** What has not been begun of a long body can still go to another server; what has been can't. */
    @Test
    void retriesLongBodyOnlyBeforeRemainderIsStreamed() throws Exception {
        int dead;
        try (FakePeer gone = new FakePeer(FakePeer.CLOSE)) {
            dead = gone.port();
        }
        server = new FakePeer((socket, request) -> {
            uploadedBytes.add(readChunks(socket.getInputStream()));
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        String pool = "[pool]\nservers = [\"127.0.0.1:" + dead + "\", \"" + server.address() + "\"]\n"
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
                // Of a class that may be repeated: it is the body that can't be had twice.
                FakePeer.write(client, putHead(CLOSE, LONG_BODY_BYTES).replace("PUT", "GET") + "30d40\r\n");
                client.getOutputStream().write(new byte[150_000]);
                FakePeer.takeWithTimeout(uploadedBytes);
                assertTrue(RunningNode.readUntilClosed(client).startsWith("HTTP/1.1 503 "));
            }
            assertEquals(before + 1, server.requests.size(), "it may have run: nobody else is sent it");
        }
    }

    @Test
    void truncatesLongResponseWhereServerDoes() throws Exception {
        server = new FakePeer((socket, request) -> {
            boolean cut = request.startsWith("GET /cut");
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            byte[] some = new byte[65_536];
            for (int left = cut ? LONG_BODY_BYTES / 2 : LONG_BODY_BYTES; left > 0; left -= some.length) {
                out.write(some, 0, Math.min(left, some.length));
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
                assertTrue(cut.length() < LONG_BODY_BYTES && cut.endsWith("<broken>"), "not to be taken for the whole");
            }
            assertEquals(2, server.requests.size(), "what has begun is not had from elsewhere");
            assertEquals(0, node.pendingWork().requests());
        }
    }

    @Test
    void resetsHttp10ClientWhenUnboundedResponseIsTruncated() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        server = new FakePeer((socket, request) -> {
            FakePeer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
            go.await();
            socket.close();
        });
        try (RunningNode node = new RunningNode(RunningNode.pool(server));
                Socket client = node.connect()) {
            FakePeer.write(client, "GET / HTTP/1.0\r\n\r\n");
            byte[] head = new byte[8];
            assertEquals(8, client.getInputStream().read(head), "events are passed on before there is an end");
            go.countDown();
            assertTrue(RunningNode.readUntilClosed(client).endsWith("<broken>"), "closing would mean that it is whole");
        }
    }

    /** A client that does not read has the server read no faster, and costs what the buffers hold. */
    @Test
    void appliesBackpressureForSlowReader() throws Exception {
        AtomicLong written = new AtomicLong();
        BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        server = new FakePeer((socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1073741824\r\n\r\n");
            byte[] some = new byte[65_536];
            try {
                for (long left = 1 << 30; left > 0; left -= some.length) {
                    socket.getOutputStream().write(some);
                    written.addAndGet(some.length);
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
            assertEquals("cut", FakePeer.takeWithTimeout(ended), "nothing was read for a second, so it is over");
            assertTrue(written.get() < 64 << 20, written + " bytes were taken for a client that reads none");
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
                    "a short one");
            assertTrue(
                    node.sendAndReadAll(
                                    "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n" + "x".repeat(100_000))
                            .startsWith("HTTP/1.1 408 "),
                    "a long one");
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
                    "before it is asked to go on");
            try (Socket client = node.connect()) {
                send(client, putHead("", LONG_BODY_BYTES) + Integer.toHexString(LONG_BODY_BYTES) + "\r\n", 150_000);
                assertTrue(RunningNode.readUntilClosed(client).startsWith("HTTP/1.1 413 "));
            }
            assertEquals(-1, FakePeer.takeWithTimeout(uploadedBytes), "the server does not take it for whole");
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
            long began = System.nanoTime();
            String answer =
                    node.sendAndReadAll("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n" + CLOSE + "\r\nabc");
            assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
            assertTrue(System.nanoTime() - began < TimeUnit.SECONDS.toNanos(20));
            assertFalse(answer.contains("200 OK"));
        }
    }
}
