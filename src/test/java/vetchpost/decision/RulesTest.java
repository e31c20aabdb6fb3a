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

/** Rules 1 to 3 in named cases. */
class RulesTest {

    private static ServerEntry in(String id, int zone, int cell, ServerState state) {
        return new ServerEntry(id, zone, cell, state, 1, 0);
    }

    /** After a first attempt that ends so: does another follow, and else which final answer? */
    @ParameterizedTest
    @CsvSource({
        "0, ERROR, again",
        "0, FULL, again",
        "0, TIMEOUT, again",
        "0, CONNECT_FAILED, again",
        "0, RESET, again",
        "1, ERROR, again",
        "1, FULL, again",
        "1, TIMEOUT, again",
        "1, CONNECT_FAILED, again",
        "1, RESET, again",
        "3, ERROR, again",
        "3, FULL, again",
        "3, TIMEOUT, again",
        "3, CONNECT_FAILED, again",
        "3, RESET, again",
        "4, ERROR, failed",
        "4, FULL, again",
        "4, TIMEOUT, failed",
        "4, CONNECT_FAILED, again",
        "4, RESET, failed",
        "4, CANCELLED, failed",
        "4, MOOT, again"
    })
    void repeatsFollowTheClass(int classIndex, Result result, String then) {
        Node node = new Node().withServers(4);
        long id = node.sendRequest(classIndex);
        node.complete(id, result, 1_000);
        assertEquals(then.equals("again") ? 2 : 1, node.attemptCount(id));
        assertEquals(then.equals("failed") ? List.of(id) : List.of(), node.failed);
        assertEquals(List.of(), node.rejected);
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsCellAndZone() {
        for (int classIndex : new int[] {Node.KEYED_CELL, Node.KEYED_ZONE}) {
            Node node = new Node();
            node.list(
                    ListKind.CACHED,
                    List.of(
                            in("a", 0, 1, ServerState.READY),
                            in("x", 1, 2, ServerState.READY),
                            in("b", 0, 1, ServerState.READY),
                            in("y", 1, 2, ServerState.READY)));
            long id = node.sendRequest(classIndex);
            String first = node.lastAttempt(id).server();
            node.complete(id, Result.RESET, 1_000);
            String second = node.lastAttempt(id).server();
            assertEquals(2, node.attemptCount(id));
            assertTrue((first + second).matches("ab|ba|xy|yx"), first + second);
        }
    }

    @Test
    void aKeyedRequestThatSurelyNeverRanMayGoAnywhere() {
        Node node = new Node();
        node.list(ListKind.CACHED, List.of(in("a", 0, 1, ServerState.READY), in("x", 1, 2, ServerState.READY)));
        long id = node.sendRequest(Node.KEYED_CELL);
        node.complete(id, Result.FULL, 1_000);
        assertEquals(2, node.attemptCount(id));
    }

    @Test
    void aKeyedRequestIsNotRepeatedAfterItsWindowAndRefusedOnlyIfAllDropRepeats() {
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
    void theWindowCountsFromTheFirstAttemptThatMayHaveRun() {
        Node node = new Node(Node.settingsWithLateValue(), 7).withServers(4);
        long id = node.sendRequest(Node.KEYED_ALL);
        node.complete(id, Result.CONNECT_FAILED, 300_000);
        node.complete(id, Result.ERROR, 300_000);
        assertEquals(3, node.attemptCount(id));
        node.complete(id, Result.ERROR, 100_001);
        assertEquals(3, node.attemptCount(id));
    }

    @Test
    void aTimeOutAtTheDeadlineIsAnsweredAtOnceAndNothingFollows() {
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
    void noAttemptIsSentToEndAfterTheClientsTime() {
        Node node = new Node().withServers(3);
        long id = node.sendRequest(Node.SAFE, 123_000);
        assertEquals(node.now + 123_000, node.lastAttempt(id).untilUs());
    }

    @Test
    void nothingIsOwedToAClientThatHasGone() {
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
    void nothingGoesToADrainingOrGoneServer() {
        for (ServerState state : new ServerState[] {ServerState.DRAINING, ServerState.GONE}) {
            Node node = new Node().withServers(2);
            node.list(ListKind.CHANGES, List.of(in("s0", 0, 0, state)));
            for (int i = 0; i < 50; i++) {
                assertEquals("s1", node.serve(Node.UNSAFE, i % 3 == 0 ? Result.ERROR : Result.OK, 1_000));
                node.advance(1_100_000);
            }
        }
    }

    @Test
    void serversThatComeAndGoLeaveNothingBehind() throws ReflectiveOperationException {
        Node node = new Node().withServers(1);
        for (int i = 0; i < 500; i++) {
            node.list(ListKind.CHANGES, List.of(Node.server("t" + i)));
            node.serve(Node.UNSAFE, Result.ERROR, 1_000);
            node.list(ListKind.CHANGES, List.of(in("t" + i, 0, 0, ServerState.GONE)));
        }
        var known = ServiceQBalancer.class.getDeclaredField("byId");
        known.setAccessible(true);
        assertEquals(1, ((java.util.Map<?, ?>) known.get(node.balancer)).size());
    }

    @Test
    void aServerThatAFullListLeavesOutHasGone() {
        Node node = new Node().withServers(2);
        node.list(ListKind.FULL, List.of(Node.server("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.serve(Node.SAFE, Result.OK, 1_000));
        }
    }

    @Test
    void aListOnRequestIsAskedForAtOnceAndAgainAfterFailuresWithGrowingJitteredWaits() {
        Settings set = Node.settings();
        set.mustRequestList = true;
        Node node = new Node(set, 1).withServers(1);
        assertEquals(1, node.subscriptions);
        for (int failures = 1; failures <= 6; failures++) {
            node.balancer.onListFailed(node.now);
            assertEquals(failures, node.subscriptions);
            node.advance(set.maxListIntervalUs / 2);
            assertEquals(failures + 1, node.subscriptions);
        }
        node.list(ListKind.CHANGES, List.of());
        node.advance(10 * set.maxListIntervalUs);
        assertEquals(7, node.subscriptions);
    }

    @Test
    void aCallThatIsNeverAnsweredIsMadeAgainInsideTheTimeAllowed() {
        Settings set = Node.settings();
        set.mustRequestList = true;
        Node node = new Node(set, 1).withServers(1);
        node.advance(set.maxListIntervalUs - 1);
        assertTrue(node.subscriptions >= 2);
    }

    @Test
    void settingsAndRequestsOutOfRangeAreRejectedByName() {
        Settings none = new Settings();
        assertThrows(IllegalArgumentException.class, () -> new Node(none, 1));
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
