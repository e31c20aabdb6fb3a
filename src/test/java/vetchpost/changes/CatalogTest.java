package vetchpost.changes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.DeduplicationScope;
import vetchpost.decision.Balancer.Idempotency;
import vetchpost.decision.Balancer.RequestClass;
import vetchpost.decision.Balancer.Settings;
import vetchpost.routes.Position;
import vetchpost.routes.RouteCodec;
import vetchpost.routes.Section;
import vetchpost.routes.Violation;
import vetchpost.routes.Violation.Rule;
import vetchpost.store.Change;
import vetchpost.store.Fields;
import vetchpost.store.Key;
import vetchpost.store.Kind;
import vetchpost.store.PackedTree;
import vetchpost.store.Version;

/**
 * Batches are taken or refused as one, with the place and the rule, and what they break together is found.
 */
class CatalogTest {
    private static final Position AT = new Position("x", 1, 1);

    private final Writer writer = new Writer(Catalog.empty(settings()), 1);

    static Settings settings() {
        Settings set = new Settings();
        set.maxAttempts = 3;
        set.maxRetryAfterUs = 1_000_000;
        set.classes.add(new RequestClass(
                "read", 500_000, 0, 1_000_000, 1, 0, Idempotency.SAFE, DeduplicationScope.ALL, 0, false));
        set.classes.add(new RequestClass(
                "write", 500_000, 0, 1_000_000, 1, 0, Idempotency.UNSAFE, DeduplicationScope.ALL, 0, false));
        return set;
    }

    private static byte[] route(Object... keysAndValues) {
        Map<String, Section.Entry> entries = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            entries.put((String) keysAndValues[i], new Section.Entry(keysAndValues[i + 1], AT));
        }
        return RouteCodec.bytes(new Section(Section.Kind.ROUTE, "", AT, entries));
    }

    private static Key key(String route) {
        return new Key(Kind.ROUTE, route);
    }

    private static Key tenant(String name) {
        return new Key(Kind.TENANT, name);
    }

    private static byte[] share(double share) {
        Fields.Packer packer = new Fields.Packer();
        packer.add(0, share);
        return packer.bytes();
    }

    private void takes(Change... batch) {
        assertEquals(List.of(), writer.submit(List.of(batch)));
    }

    private void refuses(Rule rule, int place, Change... batch) {
        long before = writer.store().version();
        List<Violation> violations = writer.submit(List.of(batch));
        assertTrue(
                violations.stream().anyMatch(v -> v.rule() == rule && v.at().line() == place),
                () -> violations.toString());
        assertEquals(before, writer.store().version(), "a refused batch has a version");
    }

    @Test
    void aChangeIsProvedAtItsEntryWithItsPlaceAndRule() {
        refuses(
                Rule.UNSAFE_AGAIN,
                2,
                Change.put(key("/a"), route("path", "/a", "class", "read")),
                Change.put(key("/b"), route("path", "/b", "class", "write", "attempts", 2L)));
        assertNull(writer.store().get(key("/a")), "half a batch is there");
        takes(Change.put(key("/a"), route("path", "/a", "class", "read")));
        refuses(Rule.SAME_NAME, 1, Change.put(key("/a"), route("path", "/a", "class", "read")));
        refuses(Rule.UNKNOWN_ENTRY, 1, Change.replace(key("/c"), route("path", "/c")));
        refuses(Rule.UNKNOWN_ENTRY, 1, Change.delete(tenant("nobody")));
        refuses(Rule.SAME_MATCH, 1, Change.put(key("other"), route("path", "/a", "class", "read", "name", "other")));
        refuses(Rule.UNKNOWN_TENANT, 1, Change.put(key("/t"), route("path", "/t", "tenant", "ann")));
        refuses(Rule.SYNTAX, 1, Change.put(key("/x"), new byte[] {99, 1}));
        refuses(Rule.SYNTAX, 1, Change.put(key("/x"), route("path", "/y")));
        refuses(Rule.OUT_OF_RANGE, 1, Change.put(tenant("ann"), share(-1)));
        assertEquals(Version.of(1, 1), writer.store().version());
    }

    /** Each alone would do; both in one batch don't. */
    @Test
    void whatOnlyTwoChangesOfOneBatchBreakTogetherIsRefused() {
        takes(Change.put(tenant("ann"), share(1)), Change.put(key("/a"), route("path", "/a")));
        refuses(
                Rule.UNKNOWN_TENANT,
                1,
                Change.delete(tenant("ann")),
                Change.put(key("/t"), route("path", "/t", "tenant", "ann")));
        refuses(
                Rule.SAME_MATCH,
                2,
                Change.replace(key("/a"), route("path", "/a", "class", "read")),
                Change.put(key("b"), route("path", "/a", "name", "b")));
        Key defaults = new Key(Kind.LIMITS, "");
        refuses(
                Rule.SCHEDULE,
                1,
                Change.put(defaults, route("attempt-timeout", "400ms")),
                Change.put(key("/s"), route("path", "/s", "class", "read", "attempts", 3L)));
        takes(Change.put(defaults, route("attempt-timeout", "400ms")));
        takes(Change.delete(key("/a")), Change.put(key("b"), route("path", "/a", "name", "b")));
        takes(Change.put(key("/t"), route("path", "/t", "tenant", "ann")));
        refuses(Rule.UNKNOWN_TENANT, 1, Change.delete(tenant("ann")));
        takes(Change.delete(key("/t")), Change.delete(tenant("ann")));
    }

    @Test
    void ofSeveralChangesOfOneKeyTheLastCounts() {
        takes(
                Change.put(key("/a"), route("path", "/a")),
                Change.replace(key("/a"), route("path", "/a", "attempts", 1L)),
                Change.delete(key("/a")),
                Change.put(key("/a"), route("path", "/a", "class", "read", "attempts", 2L)));
        assertEquals(
                2,
                writer.catalog().routes().find("read", "GET", "/a", -1).limits().attempts());
        takes(Change.put(key("/b"), route("path", "/b")), Change.delete(key("/b")));
        assertNull(writer.store().get(key("/b")));
    }

    @Test
    void defaultsAreProvedAgainstAllRoutesAndHoldForThem() {
        Key defaults = new Key(Kind.LIMITS, "");
        Key read = new Key(Kind.LIMITS, "read");
        takes(Change.put(key("/a"), route("path", "/a", "class", "read", "attempts", 3L)));
        refuses(Rule.SCHEDULE, 1, Change.put(defaults, route("attempt-timeout", "400ms")));
        takes(Change.put(read, route("concurrency", 7L)));
        assertEquals(
                7,
                writer.catalog().routes().find("read", "GET", "/a", -1).limits().concurrency());
        assertEquals(
                7,
                writer.catalog()
                        .routes()
                        .find("read", "GET", "/else", -1)
                        .limits()
                        .concurrency());
        assertEquals(
                0,
                writer.catalog()
                        .routes()
                        .find("write", "GET", "/else", -1)
                        .limits()
                        .concurrency());
    }

    /** As it comes to nodes: entry by entry, in any order, without a proof. */
    @Test
    void whatWasProvedElsewhereComesToTheSame() {
        Catalog before = writer.catalog();
        takes(
                Change.put(tenant("ann"), share(1)),
                Change.put(key("/a"), route("path", "/a", "tenant", "ann")),
                Change.put(key("/b"), route("path", "/b/{x}", "name", "/b")),
                Change.put(new Key(Kind.LIMITS, "read"), route("concurrency", 7L)));
        Catalog told = before;
        PackedTree live = PackedTree.EMPTY;
        for (var item : writer.store().live().range(null, null, 100)) {
            live = live.put(item.key(), item.value(), item.stamp());
            told = told.settled(item.key(), item.value(), live);
        }
        told = told.over(writer.store().live());
        assertEquals(writer.catalog().routes().matchSum(), told.routes().matchSum());
        assertEquals(7, told.routes().find("read", "GET", "/b/1", -1).limits().concurrency());
        PackedTree without = live.remove(key("/b").bytes());
        Catalog less = told.settled(key("/b").bytes(), null, without).over(without);
        assertNotNull(told.routes().find("read", "GET", "/b/1", -1));
        assertEquals("read", less.routes().find("read", "GET", "/b/1", -1).name(), "its class's own again");
        assertThrows(
                IllegalArgumentException.class, () -> before.settled(new byte[] {77}, new byte[0], PackedTree.EMPTY));
    }

    @Test
    void aWriterThatTakesOverBeginsALaterEpoch() {
        takes(Change.put(key("/a"), route("path", "/a")));
        Writer next = new Writer(writer.catalog(), 2);
        assertEquals(List.of(), next.submit(List.of(Change.delete(key("/a")))));
        assertEquals(Version.of(2, 1), next.store().version());
        assertThrows(IllegalArgumentException.class, () -> new Writer(next.catalog(), 1));
    }
}
