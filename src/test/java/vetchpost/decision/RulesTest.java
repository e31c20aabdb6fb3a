package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Outcome;
import vetchpost.decision.Balancer.Request;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;

/** Rules 1 to 3 in single cases. */
class RulesTest {

    private static ServerEntry entry(String id, int zone, int cell, ServerState state) {
        return new ServerEntry(id, zone, cell, state, 1, 0);
    }

    /** Whether a retry follows a first attempt with this result, and otherwise which final answer. */
    @ParameterizedTest
    @CsvSource({
        "0, ERROR, retried",
        "0, FULL, retried",
        "0, TIMEOUT, retried",
        "0, CONNECT_FAILED, retried",
        "0, RESET, retried",
        "1, ERROR, retried",
        "1, FULL, retried",
        "1, TIMEOUT, retried",
        "1, CONNECT_FAILED, retried",
        "1, RESET, retried",
        "3, ERROR, retried",
        "3, FULL, retried",
        "3, TIMEOUT, retried",
        "3, CONNECT_FAILED, retried",
        "3, RESET, retried",
        "4, ERROR, failed",
        "4, FULL, retried",
        "4, TIMEOUT, failed",
        "4, CONNECT_FAILED, retried",
        "4, RESET, failed",
        "4, CANCELLED, failed",
        "4, MOOT, retried"
    })
    void retriesByTheIdempotencyOfTheClass(int classIndex, Result result, String expected) {
        Node node = new Node().withServers(4);
        long id = node.sendRequest(classIndex);
        node.complete(id, result, 1_000);
        assertEquals(expected.equals("retried") ? 2 : 1, node.attemptCount(id));
        assertEquals(expected.equals("failed") ? List.of(id) : List.of(), node.failed);
        assertEquals(List.of(), node.rejected);
    }

    @Test
    void keepsAKeyedRequestThatMayHaveRunInItsDeduplicationScope() {
        for (int classIndex : new int[] {Node.KEYED_CELL, Node.KEYED_ZONE}) {
            Node node = new Node();
            node.list(
                    ListKind.CACHED,
                    List.of(
                            entry("a", 0, 1, ServerState.READY),
                            entry("x", 1, 2, ServerState.READY),
                            entry("b", 0, 1, ServerState.READY),
                            entry("y", 1, 2, ServerState.READY)));
            long id = node.sendRequest(classIndex);
            String first = node.lastAttempt(id).server();
            node.complete(id, Result.RESET, 1_000);
            String second = node.lastAttempt(id).server();
            assertEquals(2, node.attemptCount(id));
            assertTrue((first + second).matches("ab|ba|xy|yx"), first + second);
        }
    }

    @Test
    void retriesAKeyedRequestThatNeverRanAnywhere() {
        Node node = new Node();
        node.list(ListKind.CACHED, List.of(entry("a", 0, 1, ServerState.READY), entry("x", 1, 2, ServerState.READY)));
        long id = node.sendRequest(Node.KEYED_CELL);
        node.complete(id, Result.FULL, 1_000);
        assertEquals(2, node.attemptCount(id));
    }

    @Test
    void rejectsAKeyedRequestAfterItsWindowOnlyIfAllServersDropDuplicates() {
        for (int classIndex : new int[] {Node.KEYED_ALL, Node.KEYED_CELL}) {
            Node node = new Node(Node.settingsWithLateValue(), 7).withServers(3);
            long id = node.sendRequest(classIndex);
            node.complete(id, Result.ERROR, 400_001);
            assertEquals(1, node.attemptCount(id));
            assertEquals(classIndex == Node.KEYED_ALL ? List.of(id) : List.of(), node.rejected);
            assertEquals(classIndex == Node.KEYED_ALL ? List.of() : List.of(id), node.failed);
        }
    }

    @Test
    void countsTheWindowFromTheFirstAttemptThatMayHaveRun() {
        Node node = new Node(Node.settingsWithLateValue(), 7).withServers(4);
        long id = node.sendRequest(Node.KEYED_ALL);
        node.complete(id, Result.CONNECT_FAILED, 300_000);
        node.complete(id, Result.ERROR, 300_000);
        assertEquals(3, node.attemptCount(id));
        node.complete(id, Result.ERROR, 100_001);
        assertEquals(3, node.attemptCount(id));
    }

    @Test
    void answersATimeoutAtTheDeadlineAtOnceAndDoesNotRetry() {
        Node node = new Node().withServers(3);
        long safe = node.sendRequest(Node.SAFE, 100_000);
        long unsafe = node.sendRequest(Node.UNSAFE, 100_000);
        node.complete(safe, Result.TIMEOUT, 100_000);
        node.complete(unsafe, Result.TIMEOUT, 0);
        assertEquals(List.of(safe), node.rejected);
        assertEquals(List.of(unsafe), node.failed);
        node.advance(1_000_000);
        assertEquals(1, node.attemptCount(safe));
    }

    @Test
    void endsEveryAttemptByTheClientsDeadline() {
        Node node = new Node().withServers(3);
        long id = node.sendRequest(Node.SAFE, 123_000);
        assertEquals(node.now + 123_000, node.lastAttempt(id).untilUs());
    }

    @Test
    void givesNoAnswerToAClientThatHasDisconnected() {
        Node node = new Node().withServers(1);
        long id = node.sendRequest(Node.SAFE);
        node.balancer.onClientDisconnected(node.now, id);
        node.complete(id, Result.ERROR, 1_000);
        node.advance(2_000_000);
        assertEquals(1, node.attemptCount(id));
        assertTrue(node.rejected.isEmpty() && node.failed.isEmpty());
        node.balancer.onClientDisconnected(node.now, id);
        node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.OK, 1, true, null));
    }

    @Test
    void sendsNothingToADrainingOrGoneServer() {
        for (ServerState state : new ServerState[] {ServerState.DRAINING, ServerState.GONE}) {
            Node node = new Node().withServers(2);
            node.list(ListKind.CHANGES, List.of(entry("s0", 0, 0, state)));
            for (int i = 0; i < 50; i++) {
                assertEquals("s1", node.serve(Node.UNSAFE, i % 3 == 0 ? Result.ERROR : Result.OK, 1_000));
                node.advance(1_100_000);
            }
        }
    }

    @Test
    void keepsNoStateOfServersThatHaveGone() throws ReflectiveOperationException {
        Node node = new Node().withServers(1);
        for (int i = 0; i < 500; i++) {
            node.list(ListKind.CHANGES, List.of(Node.server("t" + i)));
            node.serve(Node.UNSAFE, Result.ERROR, 1_000);
            node.list(ListKind.CHANGES, List.of(entry("t" + i, 0, 0, ServerState.GONE)));
        }
        var serversById = ServiceQBalancer.class.getDeclaredField("byId");
        serversById.setAccessible(true);
        assertEquals(1, ((java.util.Map<?, ?>) serversById.get(node.balancer)).size());
    }

    @Test
    void removesAServerThatAFullListOmits() {
        Node node = new Node().withServers(2);
        node.list(ListKind.FULL, List.of(Node.server("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.serve(Node.SAFE, Result.OK, 1_000));
        }
    }

    @Test
    void requestsTheListAtOnceAndRetriesWithJitteredBackoff() {
        Settings settings = Node.settings();
        settings.mustRequestList = true;
        Node node = new Node(settings, 1).withServers(1);
        assertEquals(1, node.subscriptions);
        for (int failures = 1; failures <= 6; failures++) {
            node.balancer.onListFailed(node.now);
            assertEquals(failures, node.subscriptions);
            node.advance(settings.maxListIntervalUs / 2);
            assertEquals(failures + 1, node.subscriptions);
        }
        node.list(ListKind.CHANGES, List.of());
        node.advance(10 * settings.maxListIntervalUs);
        assertEquals(7, node.subscriptions);
    }

    @Test
    void retriesAnUnansweredListRequestWithinTheMaximumInterval() {
        Settings settings = Node.settings();
        settings.mustRequestList = true;
        Node node = new Node(settings, 1).withServers(1);
        node.advance(settings.maxListIntervalUs - 1);
        assertTrue(node.subscriptions >= 2);
    }

    @Test
    void rejectsInvalidSettingsAndRequests() {
        Settings empty = new Settings();
        assertThrows(IllegalArgumentException.class, () -> new Node(empty, 1));
        Settings negative = Node.settings();
        negative.coldUs = -1;
        assertThrows(IllegalArgumentException.class, () -> new Node(negative, 1));
        Settings zone = Node.settings();
        zone.myZone = 9;
        assertThrows(IllegalArgumentException.class, () -> new Node(zone, 1));
        Node node = new Node().withServers(1);
        assertThrows(IllegalArgumentException.class, () -> node.sendRequest(99));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new Request(5, 0, 7, 1_000, 0, false)));
        node.balancer.onRequest(node.now, new Request(6, 0, -1, 1_000_000, 0, false));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new Request(6, 0, -1, 1_000_000, 0, false)));
    }
}
