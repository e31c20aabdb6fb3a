package vetchpost.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.config.NodeConfig;
import vetchpost.core.RequestLog;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** What the request log tells of a request's way, and that it is silent unless asked for. */
@Timeout(60)
class RequestLogTest {
    private static final Logger LOGGER = Logger.getLogger(RequestLog.LOGGER_NAME);

    private final List<String> lines = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Handler collector = new Handler() {
        @Override
        public void publish(LogRecord line) {
            lines.add(line.getMessage());
            if (line.getMessage().startsWith("closed")) {
                closed.countDown();
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    private EventLoopGroup group;

    @BeforeEach
    void listen() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        collector.setLevel(Level.ALL);
        LOGGER.addHandler(collector);
        LOGGER.setUseParentHandlers(false);
    }

    @AfterEach
    void end() throws Exception {
        LOGGER.setLevel(null);
        LOGGER.removeHandler(collector);
        LOGGER.setUseParentHandlers(true);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** One request of a client that leaves behind its answer. */
    private void sendOneRequest() throws Exception {
        EventLoop loop = group.next();
        try (FakePeer discovery = new FakePeer(FakePeer.SILENT);
                FakePeer server = new FakePeer(FakePeer.answer("200 OK", "", "done"))) {
            NodeConfig config = NodeConfig.read(Map.of(
                    "LB_CONFIG",
                    Fixture.write(Fixture.config(discovery, server)).toString()));
            Node node = loop.submit(() -> new Node(config, loop)).get();
            Channel channel = loop.submit(() -> node.start(group, 0, () -> {}))
                    .get()
                    .sync()
                    .channel();
            int port = ((InetSocketAddress) channel.localAddress()).getPort();
            try (Socket client = new Socket("127.0.0.1", port)) {
                FakePeer.write(client, Fixture.request("GET", "/view", 0xabcL, "", ""));
                assertEquals("200", FakePeer.read(client).substring(9, 12));
            }
            if (LOGGER.isLoggable(Level.FINE)) {
                assertTrue(closed.await(FakePeer.TIMEOUT_S, TimeUnit.SECONDS), "no close: " + lines);
            }
            loop.submit(node::close).get();
        }
    }

    private void assertLine(int at, String start) {
        assertTrue(lines.get(at).startsWith(start), start + " is not line " + at + " of " + lines);
    }

    @Test
    void logsRequestFromAcceptToClose() throws Exception {
        LOGGER.setLevel(Level.FINE);
        sendOneRequest();
        assertLine(0, "accept 1 /127.0.0.1:");
        assertLine(1, "whole 1 /view txn 0000000000000abc");
        assertLine(2, "take 1 txn 0000000000000abc read before ");
        assertLine(3, "taken txn 0000000000000abc class 0 left ");
        assertLine(4, "send txn 0000000000000abc attempt 0 s-");
        assertLine(5, "ended txn 0000000000000abc attempt 0 s-");
        assertLine(6, "answer 1 200");
        assertLine(7, "closed 1 by the client");
        assertEquals(8, lines.size(), lines.toString());
    }

    @Test
    void logsNothingUnlessEnabled() throws Exception {
        sendOneRequest();
        assertEquals(List.of(), lines);
    }

    @Test
    void settingsFileEnablesLogger() throws Exception {
        Properties settings = new Properties();
        try (InputStream file = Files.newInputStream(Path.of("deploy/request-log.properties"))) {
            settings.load(file);
        }
        assertEquals("FINE", settings.getProperty(RequestLog.LOGGER_NAME + ".level"));
        assertEquals("ALL", settings.getProperty("java.util.logging.ConsoleHandler.level"));
    }
}
