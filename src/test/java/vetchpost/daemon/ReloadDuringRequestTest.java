package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.http.ClientServer;
import vetchpost.net.Network;
import vetchpost.net.SocketBudget;
import vetchpost.standalone.Standalone;
import vetchpost.testing.FakePeer;
import vetchpost.web.WebProtocolAdapter;

/** Checks requests that are partly received when another configuration comes into force. */
@Timeout(120)
class ReloadDuringRequestTest {
    private static final String SEARCH = "[classes.search]\nmethods = [\"GET\"]\npaths = [\"/search/*\"]\n";
    private static final String VIEW = "[classes.view]\nmethods = [\"GET\"]\npaths = [\"/view/*\"]\n";
    private static final String ORDER = "[classes.order]\nrepeat = \"unsafe\"\npaths = [\"/order/*\"]\n";
    /** A node needs a class for each request. */
    private static final String REST = "[classes.rest]\nrepeat = \"unsafe\"\n";

    private static final String HEAD =
            "POST /order/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 8\r\n\r\n";

    private FakePeer first;
    private FakePeer second;

    @BeforeEach
    void open() throws Exception {
        FakePeer.Script mayHaveRun = FakePeer.answer("500 Internal Server Error", "", "failed");
        first = new FakePeer(mayHaveRun);
        second = new FakePeer(mayHaveRun);
    }

    @AfterEach
    void close() throws Exception {
        first.close();
        second.close();
    }

    private String restAndPool() {
        return REST + RunningNode.pool(first, second);
    }

    /** Sends half an order, reloads, sends the other half and returns the response. */
    private String sendOrderAcrossReload(String before, String after) throws Exception {
        try (RunningNode node = new RunningNode(before + restAndPool());
                Socket client = node.connect()) {
            FakePeer.write(client, HEAD + "half");
            while (node.pendingWork().bytes() == 0) {
                Thread.onSpinWait();
            }
            node.reload(after + restAndPool());
            FakePeer.write(client, "half");
            return RunningNode.readUntilClosed(client);
        }
    }

    /** Guards against an order that is taken for a repeatable class, whose index it had in the configuration before. */
    @Test
    void sendsOrderOnceWhenReloadAddsClass() throws Exception {
        String response = sendOrderAcrossReload(VIEW + ORDER, SEARCH + VIEW + ORDER);
        assertTrue(response.startsWith("HTTP/1.1 5"), response);
        assertEquals(1, first.requests.size() + second.requests.size(), "attempts");
    }

    @Test
    void sendsOrderOnceWhenReloadRemovesItsClass() throws Exception {
        String response = sendOrderAcrossReload(SEARCH + VIEW + ORDER, SEARCH + VIEW);
        assertTrue(response.startsWith("HTTP/1.1 5"), response);
        assertEquals(1, first.requests.size() + second.requests.size(), "attempts");
    }

    /** Guards against a request that is never answered, because its class's index is past the new configuration's. */
    @Test
    void answersRequestWhoseIndexIsPastNewConfiguration() throws Exception {
        String response = sendOrderAcrossReload(SEARCH + VIEW + ORDER, ORDER);
        assertTrue(response.startsWith("HTTP/1.1 5"), response);
        assertEquals(1, first.requests.size() + second.requests.size(), "attempts");
    }

    /** Guards against a request that stays open for good after an error out of the request handler. */
    @Test
    void answersRequestWhenHandlerThrows() throws Exception {
        Path file = Files.createTempFile("alone", ".toml");
        file.toFile().deleteOnExit();
        Files.writeString(file, "[node]\nlisten = \"127.0.0.1:0\"\n" + VIEW + ORDER + restAndPool());
        Standalone standalone = StandaloneNode.load(file).node();
        EmbeddedChannel channel = new EmbeddedChannel();
        ClientServer server = new ClientServer(
                channel.eventLoop(),
                Network.SYSTEM,
                new SocketBudget(1_024),
                standalone.settings(),
                (request, reply, waitedUs) -> {
                    throw new IllegalStateException("thrown by the test");
                },
                new WebProtocolAdapter(
                        standalone.settings(),
                        standalone.classifier(),
                        standalone.limits(),
                        System::currentTimeMillis));
        server.open(channel.pipeline());
        channel.pipeline().fireChannelActive();
        channel.writeInbound(Unpooled.copiedBuffer(HEAD + "halfhalf", StandardCharsets.ISO_8859_1));
        channel.runPendingTasks();
        ByteBuf response = channel.readOutbound();
        assertTrue(response.toString(StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 5"));
        response.release();
        channel.finishAndReleaseAll();
    }
}
