package vetchpost.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.DynamicTest.dynamicTest;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import vetchpost.client.core.Scenarios;
import vetchpost.client.testing.ScriptedNode;
import vetchpost.client.testing.ScriptedNode.Play;

/** Runs the conformance suite's wire scenarios against scripted nodes on loopback. */
class WireTest {
    private static final int TIMEOUT_S = 30;

    /** A play that reports when it starts and, if {@code closed} is set, when its client closes the connection. */
    private record ObservedPlay(Play play, CountDownLatch started, CountDownLatch closed) implements Play {
        @Override
        public void on(Socket socket) throws IOException {
            started.countDown();
            play.on(socket);
            if (closed != null && socket.getInputStream().read() < 0) {
                closed.countDown();
            }
        }

        @Override
        public Moment moment() {
            return play.moment();
        }
    }

    @TestFactory
    List<DynamicTest> scenarios() throws IOException {
        List<DynamicTest> tests = new ArrayList<>();
        String text = Files.readString(Path.of("..", "conformance", "wire.json"));
        for (JsonElement each : JsonParser.parseString(text).getAsJsonArray()) {
            JsonObject scenario = each.getAsJsonObject();
            tests.add(dynamicTest(scenario.get("about").getAsString(), () -> run(scenario)));
        }
        return tests;
    }

    private static Play toPlay(JsonObject step) {
        boolean closes = step.has("close") && step.get("close").getAsString().equals("then");
        if (step.has("answer")) {
            List<String> fields = new ArrayList<>();
            if (step.has("fields")) {
                step.getAsJsonArray("fields").forEach(f -> fields.add(f.getAsString()));
            }
            return ScriptedNode.answers(
                    step.get("answer").getAsInt(),
                    step.has("body") ? step.get("body").getAsString() : "",
                    fields.toArray(String[]::new));
        } else if (step.has("raw")) {
            Play raw = ScriptedNode.raw(step.get("raw").getAsString());
            return closes
                    ? socket -> {
                        raw.on(socket);
                        socket.close();
                    }
                    : raw;
        } else if (step.has("cut")) {
            return ScriptedNode.cuts(step.get("cut").getAsInt());
        } else if (step.has("flood")) {
            return ScriptedNode.floods(
                    step.get("flood").getAsString(), step.get("again").getAsString());
        } else if (step.has("close")) {
            return ScriptedNode.closes(
                    switch (step.get("close").getAsString()) {
                        case "before" -> Play.Moment.ACCEPTED;
                        case "during" -> Play.Moment.HEAD_READ;
                        default -> Play.Moment.READ;
                    });
        }
        return ScriptedNode.silent();
    }

    /** Returns the URL of a port on which nothing listens. */
    private static String unusedUrl() throws IOException {
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "http://127.0.0.1:" + unused.getLocalPort();
        }
    }

    private static Request toRequest(JsonObject call) {
        String target = call.has("target") ? call.get("target").getAsString() : "/";
        Request request = switch (call.get("repeat").getAsString()) {
            case "safe" -> Request.get(target);
            case "keyed" ->
                Request.keyed(
                        "POST", target, Duration.ofMillis(call.get("window").getAsLong()));
            default -> Request.unsafe("POST", target);
        };
        request = request.within(Duration.ofMillis(call.get("within").getAsLong()));
        return call.has("body") ? request.json(call.get("body").getAsString()) : request;
    }

    private static void run(JsonObject scenario) throws Exception {
        List<ScriptedNode> nodes = new ArrayList<>();
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        Client.Builder builder = Client.builder().settings(Scenarios.settings(scenario.get("settings")));
        if (scenario.has("longestAnswer")) {
            builder.longestAnswer(scenario.get("longestAnswer").getAsInt());
        }
        for (JsonElement each : scenario.getAsJsonArray("nodes")) {
            if (each.getAsJsonArray().get(0).getAsJsonObject().has("dead")) {
                builder.node(unusedUrl());
                continue;
            }
            List<Play> plays = new ArrayList<>();
            each.getAsJsonArray()
                    .forEach(step -> plays.add(new ObservedPlay(
                            toPlay(step.getAsJsonObject()), started, scenario.has("connectionEnds") ? closed : null)));
            ScriptedNode node = new ScriptedNode(plays.toArray(Play[]::new));
            nodes.add(node);
            builder.node(node.url());
        }
        try (Client client = builder.build()) {
            long startedNs = System.nanoTime();
            Request request = toRequest(scenario.getAsJsonObject("call"));
            CompletableFuture<Result> call = client.send(request);
            if (scenario.has("cancelAfterSent")) {
                assertTrue(started.await(TIMEOUT_S, TimeUnit.SECONDS));
                call.cancel(true);
                assertTrue(closed.await(TIMEOUT_S, TimeUnit.SECONDS), "the node sees the connection close");
            } else {
                Result result = call.get(TIMEOUT_S, TimeUnit.SECONDS);
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
                assertResult(scenario.getAsJsonObject("then"), result, tookMs);
            }
            List<ScriptedNode.Seen> seen = new ArrayList<>();
            nodes.forEach(node -> seen.addAll(node.seen()));
            assertRequests(scenario, request, seen);
        } finally {
            for (ScriptedNode node : nodes) {
                node.close();
            }
        }
    }

    private static void assertResult(JsonObject then, Result result, long tookMs) {
        String kind = result.getClass()
                .getSimpleName()
                .replaceAll("(?<=.)([A-Z])", "-$1")
                .toLowerCase(Locale.ROOT);
        assertEquals(then.get("kind").getAsString(), kind, result.toString());
        if (result instanceof Result.Served served) {
            assertEquals(then.get("status").getAsInt(), served.status());
            if (then.has("body")) {
                assertEquals(then.get("body").getAsString(), served.text());
            }
            if (then.has("attempts")) {
                assertEquals(then.get("attempts").getAsInt(), served.attempts());
            }
        } else if (result instanceof Result.Refused refused) {
            assertEquals(
                    then.has("comeBack") ? then.get("comeBack").getAsLong() : -1,
                    refused.comeBack().map(Duration::toMillis).orElse(-1L));
        } else if (result instanceof Result.Late late) {
            assertEquals(then.get("mayHaveRun").getAsBoolean(), late.mayHaveRun());
        }
        assertTrue(!then.has("tookAtLeast") || tookMs >= then.get("tookAtLeast").getAsLong(), "" + tookMs);
        assertTrue(!then.has("tookAtMost") || tookMs <= then.get("tookAtMost").getAsLong(), "" + tookMs);
    }

    private static void assertRequests(JsonObject scenario, Request request, List<ScriptedNode.Seen> seen) {
        if (scenario.has("seenInAll")) {
            assertEquals(scenario.get("seenInAll").getAsInt(), seen.size());
        }
        Set<String> ids = new HashSet<>();
        Set<String> attemptIds = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < seen.size(); i++) {
            ScriptedNode.Seen received = seen.get(i);
            assertEquals(request.target(), received.target());
            ids.add(received.headers().get("x-request-id"));
            attemptIds.add(received.headers().get("x-txn"));
            keys.add(received.headers().get("idempotency-key"));
            assertTrue(received.headers().get("x-txn").matches("[0-9a-f]{16}"));
            long remaining = Long.parseLong(received.headers().get("x-remaining-ms"));
            assertTrue(
                    remaining > 0 && remaining <= request.within().orElseThrow().toMillis());
            if (scenario.has("headers")) {
                for (var field : scenario.getAsJsonObject("headers").entrySet()) {
                    JsonElement value = field.getValue()
                            .getAsJsonArray()
                            .get(Math.min(i, field.getValue().getAsJsonArray().size() - 1));
                    if (value.isJsonNull()) {
                        assertNull(received.headers().get(field.getKey()), field.getKey());
                    } else {
                        assertEquals(value.getAsString(), received.headers().get(field.getKey()));
                    }
                }
            }
        }
        if (!seen.isEmpty()) {
            assertEquals(1, ids.size(), "one id for the call");
            assertEquals(seen.size(), attemptIds.size(), "one id per attempt");
            assertEquals(1, keys.size(), "one key, or none");
        }
    }
}
