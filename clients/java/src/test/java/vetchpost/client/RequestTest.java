package vetchpost.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Invalid requests are rejected before anything is sent, and do not count as failures of a node. */
class RequestTest {
    @ParameterizedTest
    @ValueSource(strings = {"", "albums", "//other/x", "/a b", "/a#b", "/%zz", "/a{b}", "/a/../b", "/\u00e9"})
    void rejectsTargetsThatWouldNotBeSentUnchanged(String target) {
        assertThrows(IllegalArgumentException.class, () -> Request.get(target));
    }

    @Test
    void rejectsInvalidHeadersKeysAndDeadlines() {
        Request get = Request.get("/a%20b?c=d&e=%7B");
        assertThrows(IllegalArgumentException.class, () -> get.header("X-Txn", "1"));
        assertThrows(IllegalArgumentException.class, () -> get.header("a", "b\r\nc: d"));
        assertThrows(IllegalArgumentException.class, () -> get.key("k"));
        assertThrows(IllegalArgumentException.class, () -> get.within(Duration.ZERO));
        assertThrows(IllegalArgumentException.class, () -> Request.keyed("POST", "/", Duration.ZERO));
        assertThrows(IllegalArgumentException.class, () -> Client.builder().node("127.0.0.1:80"));
        assertEquals("b", get.header("A", "b").headers().get("a"));
    }

    @Test
    void closedClientSendsNothing() {
        Client client = Client.builder().node("http://127.0.0.1:1").build();
        client.close();
        client.addNode("http://127.0.0.1:2");
        assertInstanceOf(Result.NeverRan.class, client.send(Request.get("/")).join());
    }
}
