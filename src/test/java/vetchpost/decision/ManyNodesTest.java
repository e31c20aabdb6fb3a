package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.Result;
import vetchpost.decision.Balancer.Settings;

/** What one node does that is safe alone, done by many at the same time. */
class ManyNodesTest {
    private static final int NODES = 14;
    private static final int SERVERS = 8;
    private static final long STEP_US = 5_000;

    private static List<Node> nodes() {
        List<Node> nodes = new ArrayList<>();
        for (int n = 0; n < NODES; n++) {
            Settings set = Node.settings();
            set.nodes = NODES;
            set.node = n;
            nodes.add(new Node(set, n + 1).withServers(SERVERS));
        }
        return nodes;
    }

    /** All nodes always have requests; how many each server had on average, if all answers take so long. */
    private static double meanAtServer(long afterUs, long lengthUs) {
        List<Node> nodes = nodes();
        long out = 0;
        long steps = lengthUs / STEP_US;
        for (long step = 0; step < steps; step++) {
            for (Node node : nodes) {
                answerAll(node, afterUs);
                node.sendRequest(Node.UNSAFE);
                out += node.outstanding.size();
                node.advance(STEP_US);
            }
        }
        return (double) out / steps / SERVERS;
    }

    private static void answerAll(Node node, long afterUs) {
        for (Node.SentAttempt sent : List.copyOf(node.outstanding)) {
            if (sent.atUs() + afterUs <= node.now) {
                node.complete(sent.request(), Result.OK, 0);
            }
        }
    }

    @Test
    void allNodesTogetherKeepToAServersLimit() {
        // Slow answers, so that the limit of four does not grow; without rests it is one for each node.
        double mean = meanAtServer(150_000, 10_000_000);
        assertTrue(mean > 0.5 && mean <= 4, "requests at each server on average: " + mean);
    }

    @Test
    void aServerThatTurnsRequestsAwayIsNotAskedAgainAtOnceByAll() {
        long asked = 0;
        for (Node node : nodes()) {
            for (int i = 0; i < 24; i++) {
                node.serve(Node.SAFE, Result.OK, 40_000);
            }
            for (int i = 0; i < 10; i++) {
                node.sendRequest(Node.UNSAFE);
                for (Node.SentAttempt sent : List.copyOf(node.outstanding)) {
                    if (sent.server().equals("s0")) {
                        asked++;
                        node.complete(sent.request(), Result.FULL, 0);
                    }
                }
                answerAll(node, 20_000);
                node.advance(10_000);
            }
        }
        assertTrue(asked >= 1 && asked <= 2 * NODES, "asked in 0.1 s by all: " + asked);
    }

    @Test
    void aNodeThatHasNothingOutIsNotHeldBackByRests() {
        // The last node of fourteen: the others are dead, and its part is all that is served.
        Node node = nodes().get(0);
        for (int i = 0; i < 200; i++) {
            long id = node.sendRequest(Node.UNSAFE);
            assertTrue(node.attemptCount(id) == 1, "sent at once");
            node.complete(id, Result.OK, 150_000);
        }
    }

    @Test
    void aNodeWithFewRequestsFindsAServerThatFailsOrIsSilentByAFewOfItsOwn() {
        for (Result result : List.of(Result.ERROR, Result.TIMEOUT)) {
            Node node = nodes().get(0);
            // Five requests a second for a minute, of which an eighth would be 37.
            for (int i = 0; i < 300; i++) {
                long id = node.sendRequest(Node.UNSAFE);
                boolean bad = node.lastAttempt(id).server().equals("s0");
                long tookUs = bad && result == Result.TIMEOUT ? 200_000 : 30_000;
                node.complete(id, bad ? result : Result.OK, tookUs);
                node.advance(200_000 - tookUs);
            }
            long toBad = node.sentTo("s0");
            assertTrue(toBad >= 1 && toBad <= 4, result + ": " + toBad + " of 300 to the bad one");
        }
    }
}
