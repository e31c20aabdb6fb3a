package vetchpost.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import vetchpost.core.ServerList.Target;
import vetchpost.core.ServerListQueue.ListChunk;
import vetchpost.decision.Balancer.ListKind;
import vetchpost.decision.Balancer.ServerState;

/** Lists come in whole or in slices, with the same end; shrunken ones are doubted. */
class ServerListQueueTest {
    private final ServerListQueue queue = new ServerListQueue();
    /** What a node that takes in the slices has. */
    private final Map<String, Target> applied = new HashMap<>();

    private int chunkCount;
    private int maxChunkSize;

    private static Target target(int i, ServerState state) {
        InetSocketAddress address = new InetSocketAddress("10.0." + i / 200 + "." + i % 200, 80);
        return new Target("s" + i, address, "z", i % 7, state, 1, 0);
    }

    private static List<Target> fleet(int from, int to) {
        List<Target> fleet = new ArrayList<>();
        for (int i = from; i < to; i++) {
            fleet.add(target(i, ServerState.READY));
        }
        return fleet;
    }

    private void apply(boolean all, List<Target> targets) {
        queue.add(new ServerList(1, all, targets));
        applyAll();
    }

    private void applyAll() {
        chunkCount = 0;
        maxChunkSize = 0;
        while (queue.hasNext()) {
            apply(queue.next());
        }
    }

    private void apply(ListChunk slice) {
        chunkCount++;
        maxChunkSize = Math.max(maxChunkSize, slice.list().targets().size());
        if (slice.kind() != ListKind.CHANGES) {
            applied.clear();
        }
        for (Target target : slice.list().targets()) {
            if (target.state() == ServerState.GONE) {
                applied.remove(target.id());
            } else {
                applied.put(target.id(), target);
            }
        }
    }

    private void assertApplied(List<Target> targets) {
        Map<String, Target> wanted = new HashMap<>();
        targets.forEach(t -> wanted.put(t.id(), t));
        assertEquals(wanted, applied);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 1_000, 1_001, 20_000})
    void appliesListsOfAnyLength(int count) {
        apply(true, fleet(0, count));
        assertApplied(fleet(0, count));
        assertTrue(maxChunkSize <= ServerListQueue.MAX_CHUNK_SERVERS, maxChunkSize + " in one");
        List<Target> next = new ArrayList<>(fleet(count / 3, count + 5));
        next.set(0, target(count / 3, ServerState.DRAINING));
        Collections.shuffle(next, new Random(2));
        apply(true, next);
        assertApplied(next);
        assertTrue(maxChunkSize <= ServerListQueue.MAX_CHUNK_SERVERS, maxChunkSize + " in one");
        apply(false, List.of(target(count / 3 + 1, ServerState.GONE), target(90_000, ServerState.READY)));
        next.removeIf(t -> t.id().equals("s" + (count / 3 + 1)));
        next.add(target(90_000, ServerState.READY));
        assertApplied(next);
    }

    @Test
    void sendsNoChangesForAnUnchangedList() {
        apply(true, fleet(0, 20_000));
        List<Target> shuffled = fleet(0, 20_000);
        Collections.shuffle(shuffled, new Random(1));
        apply(true, shuffled);
        assertEquals(0, maxChunkSize);
    }

    @Test
    void replacesAPartiallyAppliedListByANewFullList() {
        queue.add(new ServerList(1, true, fleet(0, 5_000)));
        apply(queue.next());
        assertTrue(queue.isPartiallyApplied());
        queue.add(new ServerList(2, false, List.of(target(7, ServerState.DRAINING))));
        queue.add(new ServerList(3, true, fleet(2_000, 9_000)));
        applyAll();
        assertApplied(fleet(2_000, 9_000));
    }

    @Test
    void appliesChangesAfterTheListBeforeThem() {
        queue.add(new ServerList(1, true, fleet(0, 5_000)));
        apply(queue.next());
        for (int i = 0; i < 100; i++) {
            queue.add(new ServerList(2 + i, false, List.of(target(4_000 + i, ServerState.GONE))));
        }
        assertTrue(queue.isBacklogged());
        applyAll();
        assertEquals(4_900, applied.size());
        assertFalse(applied.containsKey("s4050"));
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 15_000})
    void keepsMissingServersUntilASecondListConfirms(int count) {
        apply(true, fleet(0, count));
        assertFalse(queue.pollNewSuspects());
        List<Target> few = new ArrayList<>(fleet(0, count / 10));
        few.set(3, target(3, ServerState.DRAINING));
        apply(true, few);
        assertTrue(queue.pollNewSuspects());
        assertFalse(queue.pollNewSuspects(), "it is new once");
        assertEquals(count - count / 10, queue.suspectCount());
        List<Target> kept = new ArrayList<>(fleet(0, count));
        kept.set(3, target(3, ServerState.DRAINING));
        assertApplied(kept);
        // A drain of one that is kept against the list's word holds.
        apply(false, List.of(target(count - 1, ServerState.DRAINING)));
        assertEquals(ServerState.DRAINING, applied.get("s" + (count - 1)).state());
        apply(true, few);
        assertFalse(queue.pollNewSuspects());
        assertApplied(few);
        assertEquals(0, queue.suspectCount());
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 15_000})
    void clearsSuspectsWhenAListNamesThemAgain(int count) {
        apply(true, fleet(0, count));
        apply(true, fleet(0, 5));
        assertTrue(queue.pollNewSuspects());
        apply(true, fleet(0, count));
        assertEquals(0, queue.suspectCount());
        queue.removeSuspects();
        applyAll();
        assertApplied(fleet(0, count));
        apply(true, List.of());
        assertTrue(queue.pollNewSuspects(), "an empty list is a shrunken one");
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 15_000})
    void removesSuspectsWhenTheirTimeIsUp(int count) {
        apply(true, fleet(0, count));
        apply(true, fleet(0, 5));
        queue.removeSuspects();
        applyAll();
        assertApplied(fleet(0, 5));
        assertTrue(maxChunkSize <= ServerListQueue.MAX_CHUNK_SERVERS);
    }

    @Test
    void suspectsNeitherFewServersNorThoseOfACachedList() {
        apply(true, fleet(0, ServerListQueue.MIN_SUSPECT_SERVERS));
        apply(true, fleet(0, 1));
        assertFalse(queue.pollNewSuspects());
        ServerListQueue fresh = new ServerListQueue();
        apply(fresh.known(new ServerList(0, true, fleet(0, 100))));
        fresh.add(new ServerList(1, true, fleet(100, 110)));
        apply(fresh.next());
        assertFalse(fresh.pollNewSuspects());
        assertApplied(fleet(100, 110));
    }

    /** All under new names, as after a release: as many as before, so that nothing has shrunk. */
    @Test
    void doesNotSuspectAReplacedFleet() {
        apply(true, fleet(0, 50));
        apply(true, fleet(50, 100));
        assertFalse(queue.pollNewSuspects());
        assertApplied(fleet(50, 100));
    }
}
