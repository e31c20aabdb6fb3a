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
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.FieldCodec;
import vetchpost.store.PackedTree;
import vetchpost.store.Version;

/**
 * Batches are taken or refused as one, with the place and the rule, and what they break together is found.
 */
class RouteConfigurationTest {
    private static final Position AT = new Position("x", 1, 1);

    private final ChangeWriter writer = new ChangeWriter(RouteConfiguration.empty(settings()), 1);

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
        return RouteCodec.encode(new Section(Section.Kind.ROUTE, "", AT, entries));
    }

    private static EntryKey key(String route) {
        return new EntryKey(EntryKind.ROUTE, route);
    }

    private static EntryKey tenant(String name) {
        return new EntryKey(EntryKind.TENANT, name);
    }

    private static byte[] share(double share) {
        FieldCodec.Encoder packer = new FieldCodec.Encoder();
        packer.add(0, share);
        return packer.bytes();
    }

    private void assertAccepted(EntryChange... batch) {
        assertEquals(List.of(), writer.submit(List.of(batch)));
    }

    private void assertRejected(Rule rule, int place, EntryChange... batch) {
        long before = writer.store().version();
        List<Violation> violations = writer.submit(List.of(batch));
        assertTrue(
                violations.stream()
                        .anyMatch(v -> v.rule() == rule && v.position().line() == place),
                () -> violations.toString());
        assertEquals(before, writer.store().version(), "a refused batch has a version");
    }

    @Test
    void invalidChangeIsRejectedWithItsPositionAndRule() {
        assertRejected(
                Rule.UNSAFE_AGAIN,
                2,
                EntryChange.put(key("/a"), route("path", "/a", "class", "read")),
                EntryChange.put(key("/b"), route("path", "/b", "class", "write", "attempts", 2L)));
        assertNull(writer.store().get(key("/a")), "half a batch is there");
        assertAccepted(EntryChange.put(key("/a"), route("path", "/a", "class", "read")));
        assertRejected(Rule.SAME_NAME, 1, EntryChange.put(key("/a"), route("path", "/a", "class", "read")));
        assertRejected(Rule.UNKNOWN_ENTRY, 1, EntryChange.replace(key("/c"), route("path", "/c")));
        assertRejected(Rule.UNKNOWN_ENTRY, 1, EntryChange.delete(tenant("nobody")));
        assertRejected(
                Rule.SAME_MATCH,
                1,
                EntryChange.put(key("other"), route("path", "/a", "class", "read", "name", "other")));
        assertRejected(Rule.UNKNOWN_TENANT, 1, EntryChange.put(key("/t"), route("path", "/t", "tenant", "ann")));
        assertRejected(Rule.SYNTAX, 1, EntryChange.put(key("/x"), new byte[] {99, 1}));
        assertRejected(Rule.SYNTAX, 1, EntryChange.put(key("/x"), route("path", "/y")));
        assertRejected(Rule.OUT_OF_RANGE, 1, EntryChange.put(tenant("ann"), share(-1)));
        assertEquals(Version.of(1, 1), writer.store().version());
    }

    /** Each alone would do; both in one batch don't. */
    @Test
    void changesThatConflictOnlyTogetherAreRejected() {
        assertAccepted(EntryChange.put(tenant("ann"), share(1)), EntryChange.put(key("/a"), route("path", "/a")));
        assertRejected(
                Rule.UNKNOWN_TENANT,
                1,
                EntryChange.delete(tenant("ann")),
                EntryChange.put(key("/t"), route("path", "/t", "tenant", "ann")));
        assertRejected(
                Rule.SAME_MATCH,
                2,
                EntryChange.replace(key("/a"), route("path", "/a", "class", "read")),
                EntryChange.put(key("b"), route("path", "/a", "name", "b")));
        EntryKey defaults = new EntryKey(EntryKind.LIMITS, "");
        assertRejected(
                Rule.SCHEDULE,
                1,
                EntryChange.put(defaults, route("attempt-timeout", "400ms")),
                EntryChange.put(key("/s"), route("path", "/s", "class", "read", "attempts", 3L)));
        assertAccepted(EntryChange.put(defaults, route("attempt-timeout", "400ms")));
        assertAccepted(EntryChange.delete(key("/a")), EntryChange.put(key("b"), route("path", "/a", "name", "b")));
        assertAccepted(EntryChange.put(key("/t"), route("path", "/t", "tenant", "ann")));
        assertRejected(Rule.UNKNOWN_TENANT, 1, EntryChange.delete(tenant("ann")));
        assertAccepted(EntryChange.delete(key("/t")), EntryChange.delete(tenant("ann")));
    }

    @Test
    void lastOfSeveralChangesOfOneKeyApplies() {
        assertAccepted(
                EntryChange.put(key("/a"), route("path", "/a")),
                EntryChange.replace(key("/a"), route("path", "/a", "attempts", 1L)),
                EntryChange.delete(key("/a")),
                EntryChange.put(key("/a"), route("path", "/a", "class", "read", "attempts", 2L)));
        assertEquals(
                2,
                writer.configuration()
                        .routes()
                        .find("read", "GET", "/a", -1)
                        .limits()
                        .maxAttempts());
        assertAccepted(EntryChange.put(key("/b"), route("path", "/b")), EntryChange.delete(key("/b")));
        assertNull(writer.store().get(key("/b")));
    }

    @Test
    void defaultsAreValidatedAgainstAndAppliedToAllRoutes() {
        EntryKey defaults = new EntryKey(EntryKind.LIMITS, "");
        EntryKey read = new EntryKey(EntryKind.LIMITS, "read");
        assertAccepted(EntryChange.put(key("/a"), route("path", "/a", "class", "read", "attempts", 3L)));
        assertRejected(Rule.SCHEDULE, 1, EntryChange.put(defaults, route("attempt-timeout", "400ms")));
        assertAccepted(EntryChange.put(read, route("concurrency", 7L)));
        assertEquals(
                7,
                writer.configuration()
                        .routes()
                        .find("read", "GET", "/a", -1)
                        .limits()
                        .maxConcurrency());
        assertEquals(
                7,
                writer.configuration()
                        .routes()
                        .find("read", "GET", "/else", -1)
                        .limits()
                        .maxConcurrency());
        assertEquals(
                0,
                writer.configuration()
                        .routes()
                        .find("write", "GET", "/else", -1)
                        .limits()
                        .maxConcurrency());
    }

    /** As it comes to nodes: entry by entry, in any order, without a proof. */
    @Test
    void entriesAppliedWithoutValidationGiveTheSameConfiguration() {
        RouteConfiguration before = writer.configuration();
        assertAccepted(
                EntryChange.put(tenant("ann"), share(1)),
                EntryChange.put(key("/a"), route("path", "/a", "tenant", "ann")),
                EntryChange.put(key("/b"), route("path", "/b/{x}", "name", "/b")),
                EntryChange.put(new EntryKey(EntryKind.LIMITS, "read"), route("concurrency", 7L)));
        RouteConfiguration told = before;
        PackedTree live = PackedTree.EMPTY;
        for (var item : writer.store().live().range(null, null, 100)) {
            live = live.put(item.key(), item.value(), item.stamp());
            told = told.withEntry(item.key(), item.value(), live);
        }
        told = told.backedBy(writer.store().live());
        assertEquals(writer.configuration().routes().matchSum(), told.routes().matchSum());
        assertEquals(7, told.routes().find("read", "GET", "/b/1", -1).limits().maxConcurrency());
        PackedTree without = live.remove(key("/b").bytes());
        RouteConfiguration less =
                told.withEntry(key("/b").bytes(), null, without).backedBy(without);
        assertNotNull(told.routes().find("read", "GET", "/b/1", -1));
        assertEquals("read", less.routes().find("read", "GET", "/b/1", -1).name(), "its class's own again");
        assertThrows(
                IllegalArgumentException.class, () -> before.withEntry(new byte[] {77}, new byte[0], PackedTree.EMPTY));
    }

    @Test
    void successorWriterBeginsALaterEpoch() {
        assertAccepted(EntryChange.put(key("/a"), route("path", "/a")));
        ChangeWriter next = new ChangeWriter(writer.configuration(), 2);
        assertEquals(List.of(), next.submit(List.of(EntryChange.delete(key("/a")))));
        assertEquals(Version.of(2, 1), next.store().version());
        assertThrows(IllegalArgumentException.class, () -> new ChangeWriter(next.configuration(), 1));
    }
}
