package vetchpost.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ServerChannel;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.config.NodeConfig;
import vetchpost.core.ClientReply;
import vetchpost.core.Failure;
import vetchpost.core.ServerResponse;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** Checks that errors, delays and missing memory in a client connection never leave a request without a response. */
class ClientConnectionTest {
    private final List<ClientReply> pendingReplies = new ArrayList<>();
    /** Input that the system holds for the connection; each read takes one entry. */
    private final Deque<String> unread = new ArrayDeque<>();

    private final Network network = new Network() {
        @Override
        public ServerChannel newServerChannel() {
            throw new UnsupportedOperationException();
        }

        @Override
        public Channel newClientChannel() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void readNow(Channel ignored) {
            if (!unread.isEmpty()) {
                channel.writeInbound(Unpooled.copiedBuffer(unread.poll(), StandardCharsets.ISO_8859_1));
            }
        }
    };
    private EmbeddedChannel channel;
    private ClientServer server;
    private Throwable handlerFailure;

    @BeforeEach
    void open() throws Exception {
        channel = new EmbeddedChannel();
        NodeConfig config;
        try (FakePeer peer = new FakePeer(FakePeer.SILENT)) {
            config = NodeConfig.read(Map.of(
                    "LB_CONFIG", Fixture.write(Fixture.config(peer, peer)).toString()));
        }
        server = new ClientServer(
                channel.eventLoop(),
                network,
                new SocketBudget(1_024),
                config.settings(),
                (request, reply, waitedUs) -> {
                    pendingReplies.add(reply);
                    if (handlerFailure instanceof RuntimeException fault) {
                        throw fault;
                    }
                    if (handlerFailure instanceof Error fault) {
                        throw fault;
                    }
                });
        server.open(channel.pipeline());
        channel.pipeline().fireChannelActive();
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
        channel.runPendingTasks();
        assertEquals(0, server.pendingRequestBytes());
    }

    private void sendRequest(int id) {
        channel.writeInbound(
                Unpooled.copiedBuffer(Fixture.request("GET", "/view", id, "", ""), StandardCharsets.ISO_8859_1));
        channel.runPendingTasks();
    }

    private String readResponses() {
        channel.runPendingTasks();
        StringBuilder text = new StringBuilder();
        for (ByteBuf next = channel.readOutbound(); next != null; next = channel.readOutbound()) {
            text.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
        }
        return text.toString();
    }

    private void assertInternalError() {
        String answer = readResponses();
        assertTrue(answer.startsWith("HTTP/1.1 500 "), answer);
        assertTrue(answer.endsWith("internal fault\n"), answer);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void answers500WhenHandlerThrows(boolean error) {
        handlerFailure = error ? new LinkageError("thrown by the test") : new IllegalStateException("by the test");
        sendRequest(1);
        assertInternalError();
        handlerFailure = null;
        sendRequest(2);
        pendingReplies.get(pendingReplies.size() - 1).served(new ServerResponse(200, null, new byte[0]));
        assertTrue(readResponses().startsWith("HTTP/1.1 200 "), "the next request is not served");
    }

    private void closeIfOverdue() {
        ((ManagedConnection) channel.pipeline().last()).closeIfOverdue(server.nanos() + TimeUnit.SECONDS.toNanos(3));
        channel.runPendingTasks();
    }

    @Test
    void readsPendingInputBeforeClosingSilentConnection() {
        String request = Fixture.request("GET", "/view", 1, "", "");
        unread.add(request);
        closeIfOverdue();
        assertEquals(1, pendingReplies.size(), "the unread request was not read");
        pendingReplies.get(0).served(new ServerResponse(200, null, new byte[0]));
        assertTrue(readResponses().startsWith("HTTP/1.1 200 "));
        assertTrue(channel.isOpen());
    }

    @Test
    void readsPendingInputBeforeRejectingPartialRequest() {
        String request = Fixture.request("POST", "/order", 1, "", "x".repeat(50));
        unread.addAll(List.of(request.substring(0, 20), request.substring(20, 90), request.substring(90)));
        closeIfOverdue();
        closeIfOverdue();
        assertEquals("", readResponses(), "rejected while input was unread");
        closeIfOverdue();
        assertEquals(1, pendingReplies.size());
    }

    /** The time limit is the longest deadline of the settings, at most the protocol's 3 s; here it is over 2.8 s. */
    @Test
    void waitsForPartialRequestUntilLongestDeadline() {
        channel.writeInbound(Unpooled.copiedBuffer("GET /view HTTP/1.1\r\n", StandardCharsets.ISO_8859_1));
        ManagedConnection connection = (ManagedConnection) channel.pipeline().last();
        connection.closeIfOverdue(server.nanos() + TimeUnit.MILLISECONDS.toNanos(2_800));
        assertEquals("", readResponses());
        closeIfOverdue();
        assertTrue(readResponses().startsWith("HTTP/1.1 408 "));
    }

    @Test
    void answers408WhenRequestStopsHalfway() {
        unread.add(Fixture.request("GET", "/view", 1, "", "").substring(0, 20));
        closeIfOverdue();
        assertTrue(channel.isOpen());
        closeIfOverdue();
        assertTrue(readResponses().startsWith("HTTP/1.1 408 "));
    }

    @Test
    void rejectsWithRetryAfterWhenMemoryIsExhausted() {
        long reserved = server.requestMemory().maxBytes();
        assertTrue(server.requestMemory().tryReserve(reserved));
        sendRequest(1);
        String answer = readResponses();
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertEquals("1", FakePeer.header(answer, "Retry-After"));
        server.requestMemory().release(reserved);
        assertEquals(0, pendingReplies.size());
    }

    private void writeInbound(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        channel.runPendingTasks();
    }

    private static String headerFields(int fields, int valueLength) {
        return ("X-Field: " + "x".repeat(valueLength) + "\r\n").repeat(fields);
    }

    /** Guards against heads whose decoded fields take many times the memory of their text. */
    @Test
    void rejectsUnfinishedHeadWithTooManyFields() {
        writeInbound("GET /view HTTP/1.1\r\n" + headerFields(HeaderFieldLimit.MAX_FIELDS, 1));
        assertEquals("", readResponses());
        writeInbound(headerFields(1, 1));
        assertTrue(readResponses().startsWith("HTTP/1.1 431 "));
    }

    /** Guards against unfinished requests whose memory nobody counts. */
    @Test
    void reservesMemoryForUnfinishedRequest() {
        writeInbound("POST /order HTTP/1.1\r\n" + headerFields(50, 100));
        long afterFields = server.pendingRequestBytes();
        assertTrue(afterFields > 50 * (100 + 150), afterFields + " bytes for 50 fields");
        writeInbound("X-Unfinished: " + "x".repeat(5_000));
        long afterLine = server.pendingRequestBytes();
        assertTrue(afterLine > afterFields + 5_000, afterLine + " bytes with a line of 5,000");
        writeInbound("\r\nContent-Length: 9000\r\n\r\n" + "x".repeat(8_000));
        long afterBody = server.pendingRequestBytes();
        assertTrue(afterBody > afterFields + 5_000 + 8_000, afterBody + " bytes with a body of 8,000");
    }

    @Test
    void rejectsUnfinishedHeadWhenMemoryIsExhausted() {
        long reserved = server.requestMemory().maxBytes() - 10_000;
        assertTrue(server.requestMemory().tryReserve(reserved));
        writeInbound("GET /view HTTP/1.1\r\n" + headerFields(5, 100));
        assertEquals("", readResponses());
        writeInbound(headerFields(50, 100));
        assertTrue(readResponses().startsWith("HTTP/1.1 503 "));
        server.requestMemory().release(reserved);
    }

    @Test
    void answersEarlierRequestWhenMemoryForNextHeadIsExhausted() {
        sendRequest(1);
        long reserved = server.requestMemory().maxBytes() - server.pendingRequestBytes() - 10_000;
        assertTrue(server.requestMemory().tryReserve(reserved));
        writeInbound("GET /view HTTP/1.1\r\n" + headerFields(50, 100));
        pendingReplies.get(0).served(new ServerResponse(200, null, new byte[0]));
        String response = readResponses();
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertEquals("close", FakePeer.header(response, "Connection"));
        assertFalse(channel.isOpen());
        server.requestMemory().release(reserved);
    }

    @Test
    void answersPendingRequestOnHandlerError() {
        sendRequest(1);
        channel.pipeline().fireExceptionCaught(new IllegalStateException("by the test"));
        assertInternalError();
        pendingReplies.get(0).served(new ServerResponse(200, null, new byte[0]));
        assertEquals("", readResponses(), "a second response");
    }

    @Test
    void servesCompleteRequestsAfterHandlerError() {
        channel.pipeline()
                .fireChannelRead(
                        Unpooled.copiedBuffer(Fixture.request("GET", "/view", 1, "", ""), StandardCharsets.ISO_8859_1));
        // The request is complete and starts once all pending input is read.
        channel.pipeline().fireExceptionCaught(new IllegalStateException("by the test"));
        assertTrue(channel.isOpen(), "closed before the request was served");
        channel.runPendingTasks();
        pendingReplies.get(0).served(new ServerResponse(200, null, new byte[0]));
        assertTrue(readResponses().startsWith("HTTP/1.1 200 "), "not served");
        assertFalse(channel.isOpen());
    }

    /** Throws on the given number of responses. */
    private static final class FailingEncoder extends ChannelOutboundHandlerAdapter {
        private int remainingFailures;

        FailingEncoder(int failures) {
            remainingFailures = failures;
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (message instanceof FullHttpResponse && remainingFailures-- > 0) {
                ReferenceCountUtil.release(message);
                throw new LinkageError("thrown by the test");
            }
            ctx.write(message, promise);
        }
    }

    @Test
    void answers500WhenResponseCannotBeEncoded() {
        channel.pipeline().addBefore(channel.pipeline().lastContext().name(), "spoiler", new FailingEncoder(1));
        sendRequest(1);
        pendingReplies.get(0).served(new ServerResponse(200, null, "done".getBytes(StandardCharsets.UTF_8)));
        assertInternalError();
        assertFalse(channel.isOpen());
    }

    @Test
    void closesConnectionWhenNothingCanBeEncoded() {
        channel.pipeline().addBefore(channel.pipeline().lastContext().name(), "spoiler", new FailingEncoder(9));
        sendRequest(1);
        pendingReplies.get(0).failed(Failure.UNSERVED);
        assertEquals("", readResponses());
        assertFalse(channel.isOpen());
    }
}
