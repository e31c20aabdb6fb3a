package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A client and a server of other makers: through the node they get byte for byte what they get without it.
 */
@Timeout(60)
class RealPeersTest {
    private static final int PAGE_PARTS = 50;
    private final ExecutorService threads = Executors.newFixedThreadPool(16);
    private final byte[] content = new byte[300_000];
    private HttpServer server;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @BeforeEach
    void open() throws IOException {
        new Random(7).nextBytes(content);
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
    }

    @AfterEach
    void close() {
        server.stop(0);
        threads.shutdownNow();
    }

    /** By its path: a length, how it is framed, a status; and what was sent, for those that send. */
    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            String[] path = exchange.getRequestURI().getPath().split("/");
            int status = Integer.parseInt(path[1]);
            int length = Integer.parseInt(path[2]);
            byte[] sent;
            try (InputStream in = exchange.getRequestBody()) {
                sent = in.readAllBytes();
            }
            exchange.getResponseHeaders().add("X-Method", exchange.getRequestMethod());
            exchange.getResponseHeaders().add("X-Sent", sent.length + " " + Arrays.hashCode(sent));
            exchange.getResponseHeaders()
                    .add("X-Query", String.valueOf(exchange.getRequestURI().getRawQuery()));
            exchange.getResponseHeaders().add("Set-Cookie", "a=1; Path=/");
            exchange.getResponseHeaders().add("Set-Cookie", "b=2; Path=/");
            boolean none = status == 204
                    || status == 304
                    || exchange.getRequestMethod().equals("HEAD");
            exchange.sendResponseHeaders(status, none ? -1 : path[3].equals("chunked") || length == 0 ? 0 : length);
            if (!none) {
                try (OutputStream out = exchange.getResponseBody()) {
                    out.write(content, 0, length);
                }
            }
        }
    }

    private HttpResponse<byte[]> sendRequest(int port, String method, String path, byte[] body, boolean chunked)
            throws IOException, InterruptedException {
        HttpRequest.BodyPublisher publisher = body == null
                ? BodyPublishers.noBody()
                : chunked
                        ? BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body))
                        : BodyPublishers.ofByteArray(body);
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .method(method, publisher)
                        .build(),
                BodyHandlers.ofByteArray());
    }

    private void assertSameThroughNode(RunningNode node, String method, String path, byte[] body, boolean chunked)
            throws Exception {
        HttpResponse<byte[]> direct = sendRequest(server.getAddress().getPort(), method, path, body, chunked);
        HttpResponse<byte[]> through = sendRequest(node.port(), method, path, body, chunked);
        String what = method + " " + path;
        assertEquals(direct.statusCode(), through.statusCode(), what);
        assertArrayEquals(direct.body(), through.body(), what);
        for (String name : List.of("x-method", "x-sent", "x-query", "set-cookie")) {
            assertEquals(direct.headers().allValues(name), through.headers().allValues(name), what + " " + name);
        }
        assertTrue(through.headers().allValues("via").contains("1.1 vetchpost"));
    }

    private RunningNode node() throws Exception {
        return new RunningNode("[pool]\nservers = [\"127.0.0.1:"
                + server.getAddress().getPort() + "\"]\n" + "connect-timeout = \"2s\"\n");
    }

    @Test
    void responsesAreIdenticalByteForByte() throws Exception {
        byte[] small = {1, 2, 3};
        try (RunningNode node = node()) {
            for (String framing : List.of("length", "chunked")) {
                for (int length : new int[] {0, 1, 65_535, 65_536, 65_537, content.length}) {
                    assertSameThroughNode(node, "GET", "/200/" + length + "/" + framing + "?a=b%20c&d", null, false);
                    assertSameThroughNode(node, "POST", "/201/" + length + "/" + framing, small, false);
                }
            }
            for (int status : new int[] {204, 301, 304, 400, 404, 410, 429, 500, 503}) {
                assertSameThroughNode(node, "GET", "/" + status + "/10/length", null, false);
                assertSameThroughNode(node, "DELETE", "/" + status + "/10/length", null, false);
            }
            assertSameThroughNode(node, "HEAD", "/200/10/length", null, false);
            assertSameThroughNode(node, "PATCH", "/200/10/length", small, true);
            for (boolean chunked : new boolean[] {false, true}) {
                assertSameThroughNode(node, "PUT", "/200/5/length", new byte[0], chunked);
                assertSameThroughNode(node, "PUT", "/200/5/length", content, chunked);
                assertSameThroughNode(node, "PUT", "/200/300000/chunked", content, chunked);
            }
        }
    }

    /** As a browser loads a page: all of its parts at once. */
    @Test
    void loadsManyPagePartsAtOnce() throws Exception {
        try (RunningNode node = node()) {
            List<CompletableFuture<HttpResponse<byte[]>>> parts = new ArrayList<>();
            for (int i = 0; i < PAGE_PARTS; i++) {
                parts.add(client.sendAsync(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.port() + "/200/" + i * 5_000 + "/"
                                        + (i % 2 == 0 ? "length" : "chunked")))
                                .build(),
                        BodyHandlers.ofByteArray()));
            }
            for (int i = 0; i < PAGE_PARTS; i++) {
                HttpResponse<byte[]> part = parts.get(i).join();
                assertEquals(200, part.statusCode());
                assertEquals(i * 5_000, part.body().length);
            }
        }
    }
}
