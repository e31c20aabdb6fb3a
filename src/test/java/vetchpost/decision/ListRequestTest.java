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

/** A hundred nodes before one discovery that works through calls in turn and fails what would wait long. */
class ListRequestTest {
    private static final int NODES = 100;
    private static final long STEP_US = 10_000;
    private static final long SECOND_US = 1_000_000;
    /** The dearest call of the full fleet's days: eleven a second, and none waits longer than that. */
    private static final long LIST_CALL_US = 90_000;

    private static final long MAX_WAIT_US = 2 * SECOND_US;

    /** A node, how many of its calls have been seen, and whether it has the list. */
    private static final class CallingNode {
        private final Node node;
        private int seenCalls;
        private boolean hasList;

        CallingNode(int number) {
            Settings set = Node.settings();
            set.nodes = NODES;
            set.node = number;
            set.mustRequestList = true;
            set.maxListIntervalUs = 10 * SECOND_US;
            node = new Node(set, number + 1);
        }
    }

    private final List<CallingNode> callingNodes = new ArrayList<>();
    private final Deque<CallingNode> queue = new ArrayDeque<>();
    private final List<Long> calledAt = new ArrayList<>();
    private final List<ServerEntry> list = new ArrayList<>();
    private long nextCallAt;

    /** All nodes start at once; discovery takes calls only from then on. Until when the last has its list. */
    private long start(long downUs, long mostUs) {
        for (int i = 0; i < 60; i++) {
            list.add(Node.server("s" + i));
        }
        for (int n = 0; n < NODES; n++) {
            callingNodes.add(new CallingNode(n));
            callingNodes.get(n).node.list(ListKind.CACHED, list);
        }
        for (long now = 0; now < mostUs; now += STEP_US) {
            for (CallingNode caller : callingNodes) {
                if (caller.seenCalls < caller.node.subscriptions) {
                    caller.seenCalls++;
                    calledAt.add(now);
                    if (now < downUs || queue.size() * LIST_CALL_US > MAX_WAIT_US) {
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
        long most = 0;
        for (long from : calledAt) {
            if (from >= fromUs) {
                most = Math.max(
                        most,
                        calledAt.stream()
                                .filter(at -> at >= from && at < from + SECOND_US)
                                .count());
            }
        }
        return most;
    }

    @Test
    void nodesThatStartInOneInstantAllHaveTheListSoon() {
        long lastUs = start(0, 60 * SECOND_US);
        // Nine seconds is what discovery takes for a hundred calls one after the other.
        assertTrue(lastUs < 18 * SECOND_US, "the last after " + lastUs / 1_000 + " ms");
        assertTrue(calledAt.size() < 6 * NODES, "calls: " + calledAt.size());
    }

    @Test
    void aDiscoveryThatComesBackIsNotCalledByAllAtOnce() {
        long lastUs = start(10 * SECOND_US, 60 * SECOND_US);
        assertTrue(lastUs < 28 * SECOND_US, "the last after " + lastUs / 1_000 + " ms");
        long most = maxCallsPerSecond(8 * SECOND_US);
        assertTrue(most <= NODES * 7 / 10, "calls in the worst second from 8 s on: " + most);
        assertEquals(0, callingNodes.stream().filter(c -> c.seenCalls > 15).count(), "nodes that call without end");
    }
}
