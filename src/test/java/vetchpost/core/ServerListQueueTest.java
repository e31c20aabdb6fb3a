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
    private final ServerListQueue intake = new ServerListQueue();
    /** What a node that takes in the slices has. */
    private final Map<String, Target> node = new HashMap<>();

    private int slices;
    private int longest;

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

    private void take(boolean all, List<Target> targets) {
        intake.add(new ServerList(1, all, targets));
        takeAll();
    }

    private void takeAll() {
        slices = 0;
        longest = 0;
        while (intake.hasNext()) {
            take(intake.next());
        }
    }

    private void take(ListChunk slice) {
        slices++;
        longest = Math.max(longest, slice.list().targets().size());
        if (slice.kind() != ListKind.CHANGES) {
            node.clear();
        }
        for (Target target : slice.list().targets()) {
            if (target.state() == ServerState.GONE) {
                node.remove(target.id());
            } else {
                node.put(target.id(), target);
            }
        }
    }

    private void assertHas(List<Target> targets) {
        Map<String, Target> wanted = new HashMap<>();
        targets.forEach(t -> wanted.put(t.id(), t));
        assertEquals(wanted, node);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 1_000, 1_001, 20_000})
    void aListOfAnyLengthComesToTheSame(int count) {
        take(true, fleet(0, count));
        assertHas(fleet(0, count));
        assertTrue(longest <= ServerListQueue.SLICE, longest + " in one");
        List<Target> next = new ArrayList<>(fleet(count / 3, count + 5));
        next.set(0, target(count / 3, ServerState.DRAINING));
        Collections.shuffle(next, new Random(2));
        take(true, next);
        assertHas(next);
        assertTrue(longest <= ServerListQueue.SLICE, longest + " in one");
        take(false, List.of(target(count / 3 + 1, ServerState.GONE), target(90_000, ServerState.READY)));
        next.removeIf(t -> t.id().equals("s" + (count / 3 + 1)));
        next.add(target(90_000, ServerState.READY));
        assertHas(next);
    }

    @Test
    void anUnchangedListIsNothingToTakeIn() {
        take(true, fleet(0, 20_000));
        List<Target> shuffled = fleet(0, 20_000);
        Collections.shuffle(shuffled, new Random(1));
        take(true, shuffled);
        assertEquals(0, longest);
    }

    @Test
    void aNewWholeListTakesThePlaceOfOneThatIsNotTakenIn() {
        intake.add(new ServerList(1, true, fleet(0, 5_000)));
        take(intake.next());
        assertTrue(intake.isMidList());
        intake.add(new ServerList(2, false, List.of(target(7, ServerState.DRAINING))));
        intake.add(new ServerList(3, true, fleet(2_000, 9_000)));
        takeAll();
        assertHas(fleet(2_000, 9_000));
    }

    @Test
    void changesWaitForTheListBeforeThem() {
        intake.add(new ServerList(1, true, fleet(0, 5_000)));
        take(intake.next());
        for (int i = 0; i < 100; i++) {
            intake.add(new ServerList(2 + i, false, List.of(target(4_000 + i, ServerState.GONE))));
        }
        assertTrue(intake.isCrowded());
        takeAll();
        assertEquals(4_900, node.size());
        assertFalse(node.containsKey("s4050"));
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 15_000})
    void whatAShrunkenListLeavesOutStaysUntilAnotherDoesSoToo(int count) {
        take(true, fleet(0, count));
        assertFalse(intake.hasNewDoubt());
        List<Target> few = new ArrayList<>(fleet(0, count / 10));
        few.set(3, target(3, ServerState.DRAINING));
        take(true, few);
        assertTrue(intake.hasNewDoubt());
        assertFalse(intake.hasNewDoubt(), "it is new once");
        assertEquals(count - count / 10, intake.doubted());
        List<Target> kept = new ArrayList<>(fleet(0, count));
        kept.set(3, target(3, ServerState.DRAINING));
        assertHas(kept);
        // A drain of one that is kept against the list's word holds.
        take(false, List.of(target(count - 1, ServerState.DRAINING)));
        assertEquals(ServerState.DRAINING, node.get("s" + (count - 1)).state());
        take(true, few);
        assertFalse(intake.hasNewDoubt());
        assertHas(few);
        assertEquals(0, intake.doubted());
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 15_000})
    void aListThatNamesThemAgainEndsTheDoubt(int count) {
        take(true, fleet(0, count));
        take(true, fleet(0, 5));
        assertTrue(intake.hasNewDoubt());
        take(true, fleet(0, count));
        assertEquals(0, intake.doubted());
        intake.obey();
        takeAll();
        assertHas(fleet(0, count));
        take(true, List.of());
        assertTrue(intake.hasNewDoubt(), "an empty list is a shrunken one");
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 15_000})
    void aDoubtThatNobodyConfirmsEndsWithItsTime(int count) {
        take(true, fleet(0, count));
        take(true, fleet(0, 5));
        intake.obey();
        takeAll();
        assertHas(fleet(0, 5));
        assertTrue(longest <= ServerListQueue.SLICE);
    }

    @Test
    void fewMayGoAtOnceAndACachedListMayBeAllWrong() {
        take(true, fleet(0, ServerListQueue.MIN_SUSPECT_SERVERS));
        take(true, fleet(0, 1));
        assertFalse(intake.hasNewDoubt());
        ServerListQueue fresh = new ServerListQueue();
        take(fresh.known(new ServerList(0, true, fleet(0, 100))));
        fresh.add(new ServerList(1, true, fleet(100, 110)));
        take(fresh.next());
        assertFalse(fresh.hasNewDoubt());
        assertHas(fleet(100, 110));
    }

    /** All under new names, as after a release: as many as before, so that nothing has shrunk. */
    @Test
    void aFleetReplacedIsNoDoubt() {
        take(true, fleet(0, 50));
        take(true, fleet(50, 100));
        assertFalse(intake.hasNewDoubt());
        assertHas(fleet(50, 100));
    }
}
