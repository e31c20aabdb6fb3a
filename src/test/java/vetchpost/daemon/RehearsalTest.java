package vetchpost.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.testing.FakePeer;
import vetchpost.testing.Fixture;

/** Counts what servers receive while nodes start, reload and start again: only what a client has sent. */
@Timeout(120)
class RehearsalTest {
    private static final int REHEARSAL_REQUESTS = 100;
    private static final int STARTS = 2;
    private static final String CLASSES = """
            [classes.view]
            methods = ["GET"]
            paths = ["/view/*"]
            [classes.order]
            repeat = "unsafe"
            paths = ["/order/*"]
            [classes.other]
            repeat = "unsafe"
            """;

    private FakePeer discovery;
    private FakePeer server;

    @BeforeEach
    void open() throws Exception {
        discovery = new FakePeer(FakePeer.SILENT);
        server = new FakePeer(FakePeer.answer("200 OK", "", "done"));
    }

    @AfterEach
    void close() throws Exception {
        discovery.close();
        server.close();
    }

    private void assertServerReceivesOnly(String request) throws Exception {
        assertTrue(server.nextRequest().startsWith(request));
        assertNull(server.requests.poll(), "a request that no client has sent");
    }

    /** Guards against a rehearsal whose orders are run by servers, again at each start under the same ids. */
    @Test
    void standaloneNodeSendsServersNothingByItself() throws Exception {
        String text = CLASSES + RunningNode.pool(server);
        for (int start = 0; start < STARTS; start++) {
            try (RunningNode node = new RunningNode(text, REHEARSAL_REQUESTS)) {
                assertEquals(List.of(), List.copyOf(server.requests), "start " + start);
                node.reload(text.replace("/view/", "/page/"));
                assertTrue(node.sendAndReadAll(RunningNode.get("/page/1", "Connection: close\r\n"))
                        .endsWith("done"));
                assertServerReceivesOnly("GET /page/1 ");
            }
        }
    }

    @Test
    void platformNodeSendsServersNothingByItself() throws Exception {
        String config = Fixture.write(Fixture.config(discovery, server)).toString();
        for (int start = 0; start < STARTS; start++) {
            NodeProcess node = new NodeProcess("export LB_LISTEN=127.0.0.1:0 && ", "-Xmx64m", "", config);
            try {
                node.await("/ready");
                assertEquals(List.of(), List.copyOf(server.requests), "start " + start);
                try (Socket client = node.connect()) {
                    FakePeer.write(client, Fixture.request("GET", "/view/1", start, "", ""));
                    assertTrue(FakePeer.read(client).endsWith("done"));
                }
                assertServerReceivesOnly("GET /view/1 ");
            } finally {
                assertTrue(node.process().destroyForcibly().waitFor(FakePeer.TIMEOUT_S, TimeUnit.SECONDS));
            }
        }
    }
}
