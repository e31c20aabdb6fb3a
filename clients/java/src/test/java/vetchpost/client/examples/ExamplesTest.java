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

/** Runs the documentation's examples against scripted nodes. */
@Timeout(60)
class ExamplesTest {
    private static Play closesEveryNth(int interval, AtomicInteger count) {
        return socket -> {
            if (count.incrementAndGet() % interval == 0) {
                socket.close();
            } else {
                ScriptedNode.answers(200, "stored").on(socket);
            }
        };
    }

    @Test
    void photoImportStoresEachPhotoOnceAlthoughConnectionsBreak() throws Exception {
        AtomicInteger count = new AtomicInteger();
        try (ScriptedNode first = new ScriptedNode(closesEveryNth(40, count));
                ScriptedNode second = new ScriptedNode(closesEveryNth(40, count));
                Client client =
                        Client.builder().node(first.url()).node(second.url()).build()) {
            Map<String, byte[]> photos = new LinkedHashMap<>();
            for (int i = 0; i < 1_000; i++) {
                photos.put("p" + i, new byte[2_000]);
            }
            assertEquals(Map.of("stored", 1_000), new PhotoImport(client).run(photos));
            Set<String> keys = new HashSet<>();
            first.seen().forEach(request -> keys.add(request.headers().get("idempotency-key")));
            second.seen().forEach(request -> keys.add(request.headers().get("idempotency-key")));
            assertEquals(1_000, keys.size(), "one key per photo, however often it was sent");
            assertTrue(first.seen().size() + second.seen().size() > 1_000, "some were retried");
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
