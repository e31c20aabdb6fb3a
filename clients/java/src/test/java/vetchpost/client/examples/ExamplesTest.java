package vetchpost.client.examples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import vetchpost.client.Client;
import vetchpost.client.testing.ScriptedNode;
import vetchpost.client.testing.ScriptedNode.Play;

/** The examples of the documentation, played before scripted nodes. */
@Timeout(60)
class ExamplesTest {
    private static Play closesEveryNth(int broken, AtomicInteger count) {
        return socket -> {
            if (count.incrementAndGet() % broken == 0) {
                socket.close();
            } else {
                ScriptedNode.answers(200, "stored").on(socket);
            }
        };
    }

    @Test
    void photoImportStoresEachPhotoOnceAlthoughConnectionsBreak() throws Exception {
        AtomicInteger count = new AtomicInteger();
        try (ScriptedNode one = new ScriptedNode(closesEveryNth(40, count));
                ScriptedNode other = new ScriptedNode(closesEveryNth(40, count));
                Client client =
                        Client.builder().node(one.url()).node(other.url()).build()) {
            Map<String, byte[]> photos = new LinkedHashMap<>();
            for (int i = 0; i < 1_000; i++) {
                photos.put("p" + i, new byte[2_000]);
            }
            assertEquals(Map.of("stored", 1_000), new PhotoImport(client).run(photos));
            Set<String> keys = new HashSet<>();
            one.seen().forEach(s -> keys.add(s.headers().get("idempotency-key")));
            other.seen().forEach(s -> keys.add(s.headers().get("idempotency-key")));
            assertEquals(1_000, keys.size(), "a key for each photo, however often it was sent");
            assertTrue(one.seen().size() + other.seen().size() > 1_000, "some were sent again");
        }
    }

    @Test
    void nightlyReportRetriesRefusedRequests() throws Exception {
        try (ScriptedNode node = new ScriptedNode(
                ScriptedNode.answers(200, "album 1: 12 photos"),
                ScriptedNode.refuses(1),
                ScriptedNode.answers(200, "album 2: 7 photos"))) {
            assertEquals("album 1: 12 photos\nalbum 2: 7 photos", NightlyReport.of(List.of(node.url()), List.of(1, 2)));
            assertEquals(3, node.seen().size());
        }
    }
}
