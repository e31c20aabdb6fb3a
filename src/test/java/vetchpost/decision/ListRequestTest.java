package vetchpost.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.ServerEntry;
import vetchpost.decision.Balancer.Settings;

/**
 * A hundred nodes and one discovery service that works through list requests in turn and fails those that would wait
 * long.
 */
class ListRequestTest {
    private static final int NODES = 100;
    private static final long STEP_US = 10_000;
    private static final long SECOND_US = 1_000_000;
    /** Time that discovery takes for one list request: eleven a second. */
    private static final long LIST_CALL_US = 90_000;

    private static final long MAX_WAIT_US = 2 * SECOND_US;

    /** A node, how many of its list requests have been processed, and whether it has the list. */
    private static final class CallingNode {
        private final Node node;
        private int seenCalls;
        private boolean hasList;

        CallingNode(int number) {
            Settings settings = Node.settings();
            settings.nodes = NODES;
            settings.node = number;
            settings.mustRequestList = true;
            settings.maxListIntervalUs = 10 * SECOND_US;
            node = new Node(settings, number + 1);
        }
    }

    private final List<CallingNode> callingNodes = new ArrayList<>();
    private final Deque<CallingNode> queue = new ArrayDeque<>();
    private final List<Long> calledAt = new ArrayList<>();
    private final List<ServerEntry> list = new ArrayList<>();
    private long nextCallAt;

    /** Starts all nodes at once, with discovery unavailable at first; returns when the last node has its list. */
    private long start(long unavailableUs, long maxUs) {
        for (int i = 0; i < 60; i++) {
            list.add(Node.server("s" + i));
        }
        for (int n = 0; n < NODES; n++) {
            callingNodes.add(new CallingNode(n));
            callingNodes.get(n).node.list(ListKind.CACHED, list);
        }
        for (long now = 0; now < maxUs; now += STEP_US) {
            for (CallingNode caller : callingNodes) {
                if (caller.seenCalls < caller.node.subscriptions) {
                    caller.seenCalls++;
                    calledAt.add(now);
                    if (now < unavailableUs || queue.size() * LIST_CALL_US > MAX_WAIT_US) {
                        caller.node.balancer.onListFailed(caller.node.now);
                    } else {
                        queue.add(caller);
                    }
                }
            }
            if (!queue.isEmpty() && now >= nextCallAt) {
                nextCallAt = now + LIST_CALL_US;
                CallingNode served = queue.poll();
                served.hasList = true;
                served.node.list(ListKind.FULL, list);
            }
            if (callingNodes.stream().allMatch(c -> c.hasList)) {
                return now;
            }
            callingNodes.forEach(c -> c.node.advance(STEP_US));
        }
        throw new AssertionError(callingNodes.stream().filter(c -> !c.hasList).count() + " nodes have no list");
    }

    private long maxCallsPerSecond(long fromUs) {
        long max = 0;
        for (long from : calledAt) {
            if (from >= fromUs) {
                max = Math.max(
                        max,
                        calledAt.stream()
                                .filter(at -> at >= from && at < from + SECOND_US)
                                .count());
            }
        }
        return max;
    }

    @Test
    void givesAllNodesTheListSoonAfterASimultaneousStart() {
        long lastUs = start(0, 60 * SECOND_US);
        // Discovery takes nine seconds for a hundred requests one after the other.
        assertTrue(lastUs < 18 * SECOND_US, "the last after " + lastUs / 1_000 + " ms");
        assertTrue(calledAt.size() < 6 * NODES, "calls: " + calledAt.size());
    }

    @Test
    void doesNotCallARecoveredDiscoveryFromAllNodesAtOnce() {
        long lastUs = start(10 * SECOND_US, 60 * SECOND_US);
        assertTrue(lastUs < 28 * SECOND_US, "the last after " + lastUs / 1_000 + " ms");
        long max = maxCallsPerSecond(8 * SECOND_US);
        assertTrue(max <= NODES * 7 / 10, "maximum calls in a second from 8 s on: " + max);
        assertEquals(
                0, callingNodes.stream().filter(c -> c.seenCalls > 15).count(), "nodes that called more than 15 times");
    }
}
