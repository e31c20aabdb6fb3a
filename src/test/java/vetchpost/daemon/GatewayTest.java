package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.testing.FakePeer;

/** HTTP/1.1 as a gateway has to keep it, between clients and servers that write bytes as they please. */
@Timeout(60)
class GatewayTest {
    private static final String CLOSE = "Connection: close\r\n";
    private FakePeer first;
    private FakePeer second;

    @BeforeEach
    void open() throws Exception {
        first = new FakePeer(FakePeer.answer("200 OK", "", "hello"));
        second = new FakePeer(FakePeer.answer("200 OK", "", "hello"));
    }

    @AfterEach
    void close() throws Exception {
        first.close();
        second.close();
    }

    private RunningNode node() throws Exception {
        return new RunningNode(RunningNode.pool(first));
    }

    @Test
    void forwardsResponseUnchanged() throws Exception {
        first.script(FakePeer.answer(
                "404 Not Found",
                "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nETag: \"x\"\r\n"
                        + "Content-Type: text/html\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n",
                "gone"));
        try (RunningNode node = node()) {
            String answer = node.sendAndReadAll(RunningNode.get("/a?b=c", CLOSE));
            assertTrue(answer.startsWith("HTTP/1.1 404 Not Found\r\n"), answer);
            assertTrue(answer.contains("Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n"), answer);
            assertEquals("\"x\"", FakePeer.header(answer, "etag"));
            assertEquals("1.1 vetchpost", FakePeer.header(answer, "via"));
            assertNotNull(FakePeer.header(answer, "date"), "a date is added where the server gives none");
            assertNull(FakePeer.header(answer, "x-hop"), "what belongs to the server's connection ends there");
            assertNull(FakePeer.header(answer, "keep-alive"));
            assertTrue(answer.endsWith("\r\n\r\ngone"), answer);
        }
    }

    @Test
    void removesHopByHopHeadersFromRequest() throws Exception {
        try (RunningNode node = node()) {
            node.sendAndReadAll(RunningNode.get(
                    "/a%2Fb?q=%20",
                    "Connection: close, X-Hop, Host\r\nX-Hop: 1\r\nTE: trailers\r\n"
                            + "X-Forwarded-For: 9.9.9.9\r\nForwarded: for=9.9.9.9\r\nProxy-Connection: x\r\n"
                            + "Upgrade: h2c\r\nCookie: a=b\r\n"));
            String request = first.nextRequest();
            assertTrue(request.startsWith("GET /a%2Fb?q=%20 HTTP/1.1\r\n"), request);
            assertEquals("shop.example", FakePeer.header(request, "host"));
            assertEquals("a=b", FakePeer.header(request, "cookie"));
            assertEquals("1.1 vetchpost", FakePeer.header(request, "via"));
            assertEquals("127.0.0.1", FakePeer.header(request, "x-forwarded-for"), "not what a client says");
            assertEquals("for=127.0.0.1;host=\"shop.example\";proto=http", FakePeer.header(request, "forwarded"));
            for (String hop : List.of(
                    "x-hop",
                    "te",
                    "upgrade",
                    "proxy-connection",
                    "connection",
                    "content-length",
                    "transfer-encoding")) {
                assertNull(FakePeer.header(request, hop), hop);
            }
        }
    }

    @Test
    void removesHeadersMeantForNode() throws Exception {
        try (RunningNode node = node()) {
            node.sendAndReadAll(
                    RunningNode.get("/", CLOSE + "X-Remaining-Ms: 5000\r\nX-Resent: 1\r\nX-Request-Id: 7\r\n"));
            String request = first.nextRequest();
            assertNull(FakePeer.header(request, "x-remaining-ms"));
            assertNull(FakePeer.header(request, "x-resent"));
            assertEquals("7", FakePeer.header(request, "x-request-id"));
        }
    }

    @Test
    void localResponseSaysWhetherRequestMayHaveRun() throws Exception {
        String post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + CLOSE + "\r\n";
        try (RunningNode node = new RunningNode(RunningNode.pool("attempts = 2\n", first))) {
            first.script((socket, request) -> socket.close());
            String answer = node.sendAndReadAll(post);
            assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
            assertEquals("maybe", FakePeer.header(answer, "vetchpost-ran"), "it was written whole");
            first.script(FakePeer.answer("500 Internal Server Error", "Vetchpost-Ran: no\r\n", "mine"));
            answer = node.sendAndReadAll(post);
            assertTrue(answer.endsWith("mine"), answer);
            assertNull(FakePeer.header(answer, "vetchpost-ran"), "a server has no say in it");
            first.close();
            answer = node.sendAndReadAll(post);
            assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
            assertEquals("no", FakePeer.header(answer, "vetchpost-ran"), answer);
        }
    }

    @Test
    void timedOutRequestMayHaveRun() throws Exception {
        try (RunningNode node = node()) {
            first.script((socket, request) -> {});
            String answer = node.sendAndReadAll(
                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + "X-Remaining-Ms: 200\r\n" + CLOSE + "\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
            assertEquals("maybe", FakePeer.header(answer, "vetchpost-ran"), answer);
        }
    }

    @Test
    void trustsForwardedHeadersOnlyIfConfigured() throws Exception {
        try (RunningNode node =
                new RunningNode("trust-forwarded = true\nforwarded = \"both\"\n" + RunningNode.pool(first))) {
            node.sendAndReadAll(
                    RunningNode.get("/", CLOSE + "X-Forwarded-For: 9.9.9.9\r\nX-Forwarded-Proto: https\r\n"));
            String request = first.nextRequest();
            assertEquals("9.9.9.9, 127.0.0.1", FakePeer.header(request, "x-forwarded-for"));
            assertEquals("https", FakePeer.header(request, "x-forwarded-proto"));
        }
    }

    @Test
    void keepsConnectionAfterBodylessResponses() throws Exception {
        try (RunningNode node = node();
                Socket client = node.connect()) {
            first.script(FakePeer.raw("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n"));
            FakePeer.write(client, "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals("1234", FakePeer.header(head(client), "content-length"));
            first.script(FakePeer.raw("HTTP/1.1 204 No Content\r\n\r\n"));
            FakePeer.write(client, RunningNode.get("/", ""));
            assertTrue(head(client).startsWith("HTTP/1.1 204 "));
            first.script(FakePeer.raw("HTTP/1.1 304 Not Modified\r\nContent-Length: 99\r\n\r\n"));
            FakePeer.write(client, RunningNode.get("/", ""));
            assertTrue(head(client).startsWith("HTTP/1.1 304 "));
            first.script(FakePeer.raw("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
            FakePeer.write(client, RunningNode.get("/", ""));
            assertTrue(RunningNode.readResponse(client).endsWith("\r\n\r\nok"));
            assertEquals(1, first.accepted.size(), "one connection to the server has carried all of it");
        }
    }

    private static String head(Socket client) throws Exception {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int b = client.getInputStream().read();
            if (b < 0) {
                throw new AssertionError("ended after " + text);
            }
            text.append((char) b);
        }
        return text.toString();
    }

    @Test
    void forwardsChunkedAndCloseDelimitedResponses() throws Exception {
        try (RunningNode node = node()) {
            first.script(FakePeer.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nX-Trailer: 1\r\n\r\n"));
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("\r\n\r\nabcdefg"));
            first.script((socket, request) -> {
                FakePeer.write(socket, "HTTP/1.0 200 OK\r\n\r\nold and short");
                socket.close();
            });
            for (int i = 0; i < 3; i++) {
                String answer = node.sendAndReadAll(RunningNode.get("/", CLOSE));
                assertTrue(answer.endsWith("\r\n\r\nold and short"), answer);
                assertEquals("13", FakePeer.header(answer, "content-length"));
            }
        }
    }

    @Test
    void answersHttp10ClientWithoutChunks() throws Exception {
        first.script(FakePeer.raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
        try (RunningNode node = node()) {
            String answer = node.sendAndReadAll("GET / HTTP/1.0\r\n\r\n");
            assertNull(FakePeer.header(answer, "transfer-encoding"), answer);
            assertTrue(answer.endsWith("\r\n\r\nabc"), answer);
            first.script(FakePeer.answer("200 OK", "", "hello"));
            try (Socket client = node.connect()) {
                FakePeer.write(client, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
                assertEquals("keep-alive", FakePeer.header(RunningNode.readResponse(client), "connection"));
                FakePeer.write(client, "GET / HTTP/1.0\r\n\r\n");
                assertTrue(RunningNode.readUntilClosed(client).endsWith("hello"), "and closed without the field");
            }
        }
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        first.script((socket, request) ->
                FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + request.charAt(5) + "\n"));
        try (RunningNode node = node();
                Socket client = node.connect()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 9; i++) {
                all.append(RunningNode.get("/" + i, ""));
            }
            FakePeer.write(client, all.toString());
            for (int i = 0; i < 9; i++) {
                assertTrue(RunningNode.readResponse(client).endsWith("\r\n\r\n" + i + "\n"));
            }
        }
    }

    /** Nonsense behind a request in hand costs the connection, and not the request its answer. */
    @Test
    void answersPendingRequestBeforeMalformedOne() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        first.script((socket, request) -> {
            go.await();
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
        });
        try (RunningNode node = node();
                Socket client = node.connect()) {
            FakePeer.write(client, RunningNode.get("/", "") + "no HTTP at all\r\n\r\n");
            first.nextRequest();
            go.countDown();
            String all = RunningNode.readUntilClosed(client);
            assertTrue(all.startsWith("HTTP/1.1 200 ") && all.contains("hello"), all);
            assertTrue(all.contains("HTTP/1.1 400 "), all);
        }
    }

    /** Each is answered with this status, and nothing that follows on its connection is looked at. */
    @Test
    void rejectsAmbiguousRequests() throws Exception {
        String host = "Host: a\r\n";
        String smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
        Map<String, Integer> refused = new LinkedHashMap<>();
        refused.put("POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", 400);
        refused.put(
                "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + "0\r\n\r\n",
                400);
        refused.put("POST / HTTP/1.1\r\n" + host + "Content-Length: +4\r\n\r\nabcd", 400);
        refused.put("POST / HTTP/1.1\r\n" + host + "Content-Length: -4\r\n\r\nabcd", 400);
        refused.put("POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501);
        refused.put(
                "POST / HTTP/1.1\r\n" + host
                        + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "0\r\n\r\n",
                400);
        refused.put("POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: identity\r\n\r\n", 400);
        refused.put("POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400);
        refused.put("POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400);
        refused.put("GET / HTTP/1.1\r\n\r\n", 400);
        refused.put("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400);
        refused.put("GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400);
        refused.put("GET / HTTP/1.1\r\nHost: a\r\nX-A : b\r\n\r\n", 400);
        refused.put("GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", 400);
        refused.put("GET / HTTP/1.1\r\nHost: a\rX-A: b\r\n\r\n", 400);
        refused.put("GET / HTTP/1.1\r\n Host: a\r\n\r\n", 400);
        refused.put("GET /a\u0001b HTTP/1.1\r\nHost: a\r\n\r\n", 400);
        refused.put("GET a HTTP/1.1\r\nHost: a\r\n\r\n", 400);
        refused.put("GET /#a HTTP/1.1\r\nHost: a\r\n\r\n", 400);
        refused.put("GET * HTTP/1.1\r\nHost: a\r\n\r\n", 400);
        refused.put("G@T / HTTP/1.1\r\nHost: a\r\n\r\n", 400);
        refused.put("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501);
        refused.put("TRACE / HTTP/1.1\r\nHost: a\r\n\r\n", 405);
        refused.put("GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505);
        refused.put("GET / HTTP/1.1\r\nHost: a\r\nExpect: wonders\r\n\r\n", 417);
        refused.put("GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n", 501);
        refused.put("GET /" + "x".repeat(9_000) + " HTTP/1.1\r\nHost: a\r\n\r\n", 414);
        refused.put("GET / HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(20_000) + "\r\n\r\n", 431);
        List<String> wrong = new ArrayList<>();
        try (RunningNode node = node()) {
            for (Map.Entry<String, Integer> each : refused.entrySet()) {
                String answer = node.sendAndReadAll(each.getKey() + smuggled);
                if (!answer.startsWith("HTTP/1.1 " + each.getValue() + " ")
                        || answer.indexOf("HTTP/1.1 ") != answer.lastIndexOf("HTTP/1.1 ")) {
                    wrong.add(each.getKey() + " -> " + answer);
                }
            }
            assertEquals(List.of(), wrong);
            assertEquals(0, first.requests.size(), "nothing of it has reached a server");
        }
    }

    @Test
    void absoluteTargetOverridesHostHeader() throws Exception {
        try (RunningNode node = node()) {
            node.sendAndReadAll("GET http://shop.example:81/a?b HTTP/1.1\r\nHost: other\r\n" + CLOSE + "\r\n");
            String request = first.nextRequest();
            assertTrue(request.startsWith("GET /a?b HTTP/1.1\r\n"), request);
            assertEquals("shop.example:81", FakePeer.header(request, "host"));
            node.sendAndReadAll("GET / HTTP/1.1\r\nHost: a\r\nX-Folded: one\r\n two\r\n" + CLOSE + "\r\n");
            assertEquals(
                    "one two",
                    FakePeer.header(first.nextRequest(), "x-folded"),
                    "a folded line is made one (RFC 9112, section 5.2)");
        }
    }

    @Test
    void forwardsServerErrorAfterLastAttempt() throws Exception {
        first.script(FakePeer.answer("500 Oops", "", "my own page"));
        second.script(FakePeer.answer("500 Oops", "", "my own page"));
        try (RunningNode node = new RunningNode(RunningNode.pool("attempts = 2\n", first, second))) {
            String answer =
                    node.sendAndReadAll("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n" + CLOSE + "\r\nx");
            assertTrue(answer.startsWith("HTTP/1.1 500 ") && answer.endsWith("my own page"), answer);
            assertEquals(1, first.requests.size() + second.requests.size(), "it may have run, so it ran once");
            first.requests.clear();
            second.requests.clear();
            answer = node.sendAndReadAll(RunningNode.get("/", CLOSE));
            assertTrue(answer.startsWith("HTTP/1.1 500 ") && answer.endsWith("my own page"), answer);
            assertEquals(2, first.requests.size() + second.requests.size(), "what is safe was tried at both");
        }
    }

    @Test
    void retriesOnlySafeRequestsOnAnotherServer() throws Exception {
        FakePeer.Script cut = (socket, request) -> {
            FakePeer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            socket.close();
        };
        first.script(cut);
        second.script(cut);
        try (RunningNode node = new RunningNode(RunningNode.pool("attempts = 4\n", first, second))) {
            String post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n" + CLOSE + "\r\nx";
            assertTrue(node.sendAndReadAll(post).startsWith("HTTP/1.1 502 "));
            assertEquals(1, first.requests.size() + second.requests.size());
            second.script(FakePeer.answer("200 OK", "", "whole"));
            for (int i = 0; i < 4; i++) {
                assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("\r\n\r\nwhole"));
            }
        }
    }

    @Test
    void rejectsResponseWithoutExpectedHeader() throws Exception {
        first.script(FakePeer.answer("200 OK", "", "somebody else's page"));
        try (RunningNode node = new RunningNode(RunningNode.pool("expect-header = \"X-App\"\n", first))) {
            String answer =
                    node.sendAndReadAll("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n" + CLOSE + "\r\nx");
            assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
            assertFalse(answer.contains("somebody else"), answer);
            first.script(FakePeer.answer("200 OK", "X-App: shop\r\n", "ours"));
            assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("ours"));
        }
    }

    @Test
    void sendsNothingNewToDrainingServer() throws Exception {
        FakePeer.Script ours = FakePeer.answer("200 OK", "", "here");
        first.script(FakePeer.answer("503 Busy", "X-Drain: 1\r\n", "going"));
        second.script(ours);
        try (RunningNode node = new RunningNode(RunningNode.pool("drain-header = \"X-Drain\"\n", first, second))) {
            while (first.requests.isEmpty()) {
                assertTrue(
                        node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("here"),
                        "what it turns away goes elsewhere");
            }
            // A turn and ten milliseconds later it is out: what comes after its second word is one too many.
            int before = first.requests.size();
            for (int i = 0; i < 40; i++) {
                assertTrue(node.sendAndReadAll(RunningNode.get("/", CLOSE)).endsWith("here"));
            }
            assertTrue(first.requests.size() <= before + 4, "it goes on being sent requests");
            int settled = first.requests.size();
            for (int i = 0; i < 40; i++) {
                node.sendAndReadAll(RunningNode.get("/", CLOSE));
            }
            assertEquals(settled, first.requests.size());
        }
    }
}
