package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.ServerState;
import vetchpost.decision.Balancer.Settings;

/** Exceptions: ejection and trials, silent servers, zones. */
class HealthTest {

    /** Serves one request; {@code s0} fails, all others succeed. */
    private static boolean hitsBad(Node node, int classIndex) {
        long id = node.sendRequest(classIndex);
        boolean bad = node.lastAttempt(id).server().equals("s0");
        node.complete(id, bad ? Result.ERROR : Result.OK, 5_000);
        if (bad && node.attemptCount(id) > 1) {
            node.complete(id, Result.OK, 5_000);
        }
        return bad;
    }

    /** Four servers, of which {@code s0} has failed all it was sent among 400 requests. */
    private static Node withFailingServer() {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 4_000; i++) {
            hitsBad(node, Node.SAFE);
        }
        return node;
    }

    private static void assertEjected(Node node) {
        assertTrue(node.logged.stream().anyMatch(l -> l.startsWith("ejected server s0")), node.logged.toString());
    }

    @Test
    void aServerThatKeepsFailingIsEjectedAndTriedEverMoreSparingly() {
        Node node = withFailingServer();
        assertEjected(node);
        int hits = 0;
        long from = node.now;
        while (node.now < from + 20_000_000) {
            hits += hitsBad(node, Node.SAFE) ? 1 : 0;
        }
        assertTrue(hits >= 2 && hits <= 14, "trials in 20 s: " + hits);
    }

    @Test
    void anEjectedServerThatServesSomeStillHelpsWhenAllOthersAreFull() {
        Node node = new Node().withServers(2);
        boolean fails = false;
        for (int i = 0; i < 4_000; i++) {
            long id = node.sendRequest(Node.UNSAFE);
            boolean first = node.lastAttempt(id).server().equals("s0");
            fails = first != fails;
            node.complete(id, first && fails ? Result.ERROR : Result.OK, 5_000);
        }
        assertEjected(node);
        List<String> servers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            long id = node.sendRequest(i < 20 ? Node.UNSAFE : Node.SAFE);
            servers.add(
                    node.lastAttempt(id) == null ? "none" : node.lastAttempt(id).server());
        }
        assertTrue(servers.subList(0, 20).stream().noneMatch("s0"::equals), servers.toString());
        assertTrue(servers.subList(20, 30).contains("s0"), servers.toString());
    }

    /** Sends one request; {@code s0} leaves the class without any answer, all else is served. */
    private static boolean missedBy(Node node, int silentFor, int classIndex) {
        long id = node.sendRequest(classIndex);
        boolean missed = node.lastAttempt(id).server().equals("s0") && classIndex == silentFor;
        if (missed) {
            // The others go on being answered meanwhile.
            node.serve(Node.SAFE, Result.OK, 5_000);
            node.complete(id, Result.TIMEOUT, node.lastAttempt(id).untilUs() - node.now);
        }
        if (node.attemptCount(id) == (missed ? 2 : 1)) {
            node.complete(id, Result.OK, 5_000);
        }
        return missed;
    }

    @Test
    void aServerThatLeavesOneClassUnansweredGetsNearlyNothingOfItAndAllTheRest() {
        for (int silentFor : new int[] {Node.KEYED_CELL, Node.UNSAFE}) {
            Node node = new Node().withServers(4);
            int missed = 0;
            for (int i = 0; i < 4_000; i++) {
                missed += missedBy(node, silentFor, i % 2 == 0 ? silentFor : Node.SAFE) ? 1 : 0;
            }
            assertTrue(missed >= 2 && missed <= 25, silentFor + " missed: " + missed);
            assertTrue(node.sentTo("s0") > 100, "sent at all: " + node.sentTo("s0"));
        }
    }

    @Test
    void aClassThatAServerMissedIsRepeatedInTimeElsewhere() {
        Node node = new Node().withServers(2);
        int repeated = 0;
        for (int i = 0; i < 4_000; i++) {
            long id = node.sendRequest(Node.KEYED_CELL);
            long from = node.now;
            if (node.lastAttempt(id).server().equals("s0")) {
                node.complete(id, Result.TIMEOUT, node.lastAttempt(id).untilUs() - from);
                repeated += node.attemptCount(id) == 2 && node.now - from <= 100_000 ? 1 : 0;
            }
            if (!node.failed.contains(id)) {
                node.complete(id, Result.OK, 5_000);
            }
        }
        assertTrue(repeated > 0, "none repeated in time");
        assertTrue(node.failed.size() <= 3, "failed: " + node.failed.size());
    }

    @Test
    void moreThanHalfOfTheServersAreNeverKeptFromAClass() {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.serve(Node.UNSAFE, Result.ERROR, 5_000);
        }
        int held = node.sent.size();
        for (int i = 0; i < 2; i++) {
            node.sendRequest(Node.UNSAFE);
        }
        assertEquals(held + 2, node.sent.size());
    }

    @Test
    void whatAServerWasKeptFromComesBackOnceItServesIt() {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 400; i++) {
            missedBy(node, Node.UNSAFE, Node.UNSAFE);
        }
        node.advance(8_000_000);
        long before = node.sentTo("s0");
        for (int i = 0; i < 400; i++) {
            node.serve(Node.UNSAFE, Result.OK, 5_000);
        }
        assertTrue(node.sentTo("s0") - before > 40, "sent again: " + (node.sentTo("s0") - before));
    }

    @Test
    void aRequestDoesNotSpendItsAttemptsAtOnceOnAServerThatTurnsItAway() {
        Node node = new Node().withServers(1);
        for (int i = 0; i < 100; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        long id = node.sendRequest(Node.SAFE);
        node.complete(id, Result.FULL, 100);
        assertEquals(1, node.attemptCount(id), "tried again at once");
        node.advance(20_000);
        assertEquals(2, node.attemptCount(id), "not tried again");
        assertTrue(node.rejected.isEmpty(), "given up");
    }

    @Test
    void anEjectedServerThatTakesNoConnectionIsNoLastResort() {
        Node node = new Node().withServers(2);
        for (int i = 0; i < 4_000 && node.logged.isEmpty(); i++) {
            long id = node.sendRequest(Node.SAFE);
            boolean bad = node.lastAttempt(id).server().equals("s0") && i >= 200;
            node.complete(id, bad ? Result.CONNECT_FAILED : Result.OK, 5_000);
            if (bad && node.attemptCount(id) > 1) {
                node.complete(id, Result.OK, 5_000);
            }
        }
        assertEjected(node);
        long before = node.sentTo("s0");
        for (int i = 0; i < 40; i++) {
            long id = node.sendRequest(Node.SAFE);
            for (int j = 0;
                    j < 4
                            && node.lastAttempt(id) != null
                            && node.lastAttempt(id).server().equals("s0");
                    j++) {
                node.complete(id, Result.CONNECT_FAILED, 100);
            }
        }
        assertTrue(node.sentTo("s0") - before <= 3, "sent to it: " + (node.sentTo("s0") - before));
        assertTrue(node.rejected.isEmpty(), "given up: " + node.rejected.size());
    }

    @Test
    void unsafeRequestsAreNotUsedForTrials() {
        Node node = withFailingServer();
        node.advance(20_000_000);
        for (int i = 0; i < 200; i++) {
            assertTrue(!hitsBad(node, Node.UNSAFE));
        }
    }

    @Test
    void oneLuckySuccessDoesNotRestoreAServerButSeveralInARowDo() {
        Node node = withFailingServer();
        node.advance(20_000_000);
        assertEquals("s0", node.serve(Node.SAFE, Result.OK, 5_000));
        assertTrue(node.logged.stream().noneMatch(l -> l.startsWith("restored")));
        assertEquals("s0", node.serve(Node.SAFE, Result.OK, 5_000));
        assertEquals("s0", node.serve(Node.SAFE, Result.OK, 5_000));
        assertTrue(node.logged.stream().anyMatch(l -> l.equals("restored server s0")));
    }

    @Test
    void neverAreMoreThanHalfOfTheServersEjected() {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 300; i++) {
            node.serve(Node.UNSAFE, Result.ERROR, 5_000);
        }
        // All fail: two may be out, and requests must still be tried on the others, not held.
        long id = node.sendRequest(Node.UNSAFE);
        assertNotEquals(null, node.lastAttempt(id));
    }

    @Test
    void aServerThatAnswersNothingIsLeftAloneBeforeAnyDeadlinePasses() {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 100; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        int toSilent = 0;
        for (int i = 0; i < 80; i++) {
            long id = node.sendRequest(Node.UNSAFE);
            if (node.lastAttempt(id).server().equals("s0")) {
                toSilent++;
            } else {
                node.complete(id, Result.OK, 10_000);
            }
        }
        assertTrue(toSilent <= 5, "sent to the silent server: " + toSilent);
    }

    @Test
    void aCrowdedServerThatStillAnswersIsNotEjectedForTimeOuts() {
        Node node = new Node(Node.settingsWithLateValue(), 7).withServers(2);
        for (int round = 0; round < 80; round++) {
            // Ever one more than fits, so that the limits are met and grow.
            List<Long> burst = new ArrayList<>();
            do {
                burst.add(node.sendRequest(Node.SAFE));
            } while (node.lastAttempt(burst.get(burst.size() - 1)) != null && burst.size() < 40);
            burst.forEach(id -> node.complete(id, Result.OK, 100));
        }
        List<Long> crowd = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            crowd.add(node.sendRequest(Node.SAFE, 30_000));
        }
        for (String server : List.of("s0", "s1")) {
            long answered = crowd.stream()
                    .filter(id -> node.lastAttempt(id).server().equals(server))
                    .findFirst()
                    .get();
            node.complete(answered, Result.OK, 1_000);
            crowd.remove(answered);
        }
        node.advance(28_000);
        crowd.forEach(id -> node.complete(id, Result.TIMEOUT, 0));
        assertTrue(node.logged.stream().noneMatch(l -> l.startsWith("ejected")), node.logged.toString());
    }

    @Test
    void whereCrossingZonesCostsLocalServersComeFirstAndOthersWhenTheyAreBusy() {
        Settings set = Node.settings();
        set.crossZonePrice = 0.02;
        Node node = new Node(set, 5);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(new ServerEntry("s" + i, i < 2 ? 0 : 1, 0, ServerState.READY, 1, 0));
        }
        node.list(ListKind.CACHED, entries);
        for (int i = 0; i < 50; i++) {
            assertTrue(List.of("s0", "s1").contains(node.serve(Node.SAFE, Result.OK, 5_000)));
        }
        long crossed = 0;
        for (int i = 0; i < 12; i++) {
            long id = node.sendRequest(Node.SAFE);
            crossed += List.of("s0", "s1").contains(node.lastAttempt(id).server()) ? 0 : 1;
        }
        assertTrue(crossed >= 6, "crossed " + crossed);
    }

    @Test
    void whatHangsAtAServerThatHasGoneDoesNotHoldBackTheOthers() {
        // Guards against a node whose whole allowance in flight hangs at servers no longer in use.
        Node node = new Node().withServers(1);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(null, node.lastAttempt(node.sendRequest(Node.UNSAFE)));
        }
        node.list(ListKind.FULL, List.of(Node.server("other")));
        for (int i = 0; i < 3; i++) {
            Node.SentAttempt sent = node.lastAttempt(node.sendRequest(Node.UNSAFE));
            assertTrue(sent != null && sent.server().equals("other"), "request " + i + " at " + sent);
        }
    }

    /** Requests that end by time-out, of which the node may have added so much itself. */
    private static Node afterTimeouts(long stallUs) {
        Node node = new Node().withServers(4);
        for (int i = 0; i < 60; i++) {
            long id = node.sendRequest(Node.UNSAFE);
            Node.SentAttempt attempt = node.lastAttempt(id);
            if (attempt != null) {
                node.advance(200_000);
                node.balancer.onOutcome(
                        node.now,
                        new Balancer.Outcome(id, attempt.attempt(), Result.TIMEOUT, 200_000, false, null, stallUs));
            }
        }
        return node;
    }

    @Test
    void whatTheNodeItselfHeldUpSaysNothingOfItsServers() {
        Node behind = afterTimeouts(150_000);
        assertTrue(behind.logged.isEmpty(), behind.logged.toString());
        assertEquals(60, behind.sent.size(), "held back");
        // The same from servers that are silent ejects them and holds the rest back.
        Node silent = afterTimeouts(0);
        assertTrue(silent.logged.stream().anyMatch(l -> l.startsWith("ejected")), silent.logged.toString());
        assertTrue(silent.sent.size() < 60, "all sent");
    }

    @Test
    void timeThatARequestLayUnreadIsGoneFromItsAim() {
        Node node = new Node().withServers(1);
        node.balancer.onRequest(node.now, new Balancer.Request(1, Node.SAFE, 0, 900_000, 0, false, 200_000));
        assertTrue(node.sent.isEmpty(), "past its aim and still sent");
        assertEquals(1, node.rejected.size());
        node.balancer.onRequest(node.now, new Balancer.Request(2, Node.UNSAFE, 0, 900_000, 0, false, 100_000));
        assertEquals(node.now + 100_000, node.lastAttempt(2).untilUs());
    }

    @Test
    void aNodeThatIsBehindTakesNothingThatCantBeInTime() {
        Node node = new Node().withServers(1);
        // 70 ms of the aim are left, and the answer may lie unread for as long as the request has.
        node.balancer.onRequest(node.now, new Balancer.Request(1, Node.SAFE, 0, 900_000, 0, false, 130_000));
        assertEquals(1, node.sent.size(), "time enough");
        node.complete(1, Result.OK, 30_000);
        for (int i = 0; i < 100; i++) {
            node.complete(node.sendRequest(Node.SAFE), Result.OK, 30_000);
        }
        node.balancer.onRequest(node.now, new Balancer.Request(500, Node.SAFE, 0, 900_000, 0, false, 130_000));
        assertEquals(1, node.rejected.size(), "sent though its answer would be late");
    }

    @Test
    void latenciesAreNotLearntFromWhatWasReadLate() {
        Node node = new Node().withServers(1);
        for (int i = 0; i < 100; i++) {
            long id = node.sendRequest(Node.SAFE);
            node.advance(90_000);
            node.balancer.onOutcome(node.now, new Balancer.Outcome(id, 0, Result.OK, 90_000, true, null, 40_000));
        }
        // With a usual latency of 50 ms and more it would be refused.
        node.balancer.onRequest(node.now, new Balancer.Request(500, Node.SAFE, 0, 900_000, 0, false, 120_000));
        assertTrue(node.rejected.isEmpty(), "refused");
    }
}
