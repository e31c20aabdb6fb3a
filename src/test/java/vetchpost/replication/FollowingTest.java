package vetchpost.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.junit.jupiter.api.Test;
import vetchpost.store.PackedTree;
import vetchpost.store.VersionedStore;

/** Whom a replica stays with, leaves and comes back to, on a clock that a test moves. */
class FollowingTest {
    private static final long SECOND = 1_000_000;

    private record Due(long atUs, long order, Runnable task) {}

    /** Publishers of which some are there, and those there say now and then that all is the newest. */
    private final class Line implements PublisherFailover.Transport {
        private final PriorityQueue<Due> due = new PriorityQueue<>(
                (a, b) -> a.atUs != b.atUs ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
        private final List<Integer> opened = new ArrayList<>();
        private final Set<Integer> there = new HashSet<>(Set.of(0, 1, 2));
        private final Set<Integer> silent = new HashSet<>();
        private long nowUs;
        private long order;
        private int open = -1;
        private int closed;

        @Override
        public void open(int publisher) {
            opened.add(publisher);
            if (!there.contains(publisher)) {
                following.failed("nobody is there");
                return;
            }
            open = publisher;
            following.opened();
        }

        @Override
        public void send(Frame frame) {
            answer(open);
        }

        private void answer(int of) {
            schedule(1_000, () -> {
                if (open == of && !silent.contains(of)) {
                    following.receive(Frame.current(0, PackedTree.EMPTY.sum()));
                    schedule(4 * SECOND, () -> {
                        if (open == of) {
                            answer(of);
                        }
                    });
                }
            });
        }

        @Override
        public void close() {
            open = -1;
            closed++;
        }

        @Override
        public long nowUs() {
            return nowUs;
        }

        @Override
        public void schedule(long us, Runnable task) {
            due.add(new Due(nowUs + us, order++, task));
        }

        void run(long us) {
            long endUs = nowUs + us;
            while (!due.isEmpty() && due.peek().atUs <= endUs) {
                Due next = due.poll();
                nowUs = next.atUs;
                next.task.run();
            }
            nowUs = endUs;
        }

        void breaks() {
            open = -1;
            following.failed("it was cut off");
        }
    }

    private final Replica replica = new Replica("n", VersionedStore.EMPTY, Index.NONE, false, (store, index) -> {});
    private final PublisherChoice choice = new PublisherChoice("n", List.of("a", "b", "c"));
    private final Line line = new Line();
    private final PublisherFailover following = new PublisherFailover(replica, choice, line);
    private final int own = new PublisherChoice("n", List.of("a", "b", "c")).next(0);

    @Test
    void itStaysWithOneThatIsWell() {
        following.start(0);
        line.run(600 * SECOND);
        assertEquals(List.of(own), line.opened);
        assertTrue(following.isUp());
        assertEquals("", following.failure());
        assertTrue(line.nowUs - replica.lastCurrentUs() < 5 * SECOND);
    }

    @Test
    void itLeavesOneThatIsSilentAndComesBackOnceThatIsWell() {
        following.start(0);
        line.run(20 * SECOND);
        line.silent.add(own);
        line.run(21 * SECOND);
        assertTrue(line.open >= 0 && line.open != own, "it still follows " + line.open);
        line.silent.clear();
        line.run(90 * SECOND);
        assertEquals(own, line.open, "it has not come back");
        assertEquals(3, line.opened.size(), line.opened.toString());
    }

    @Test
    void aBrokenConnectionIsFollowedByAnotherAtOnce() {
        following.start(0);
        line.run(10 * SECOND);
        line.breaks();
        assertEquals("it was cut off", following.failure());
        line.run(10_000);
        assertTrue(line.open >= 0 && line.open != own);
        line.run(10_000);
        assertEquals("", following.failure());
    }

    @Test
    void withNobodyThereItAsksLessAndLessOftenAndGoesOn() {
        line.there.clear();
        following.start(0);
        line.run(60 * SECOND);
        int first = line.opened.size();
        assertTrue(first > 20 && first < 120, first + " times in a minute");
        line.run(60 * SECOND);
        assertTrue(line.opened.size() - first < 60, line.opened.size() - first + " times in the second minute");
        line.there.add(own);
        line.run(6 * SECOND);
        assertTrue(following.isUp());
    }

    @Test
    void onceEndedItAsksNobody() {
        following.start(0);
        line.run(SECOND);
        following.stop();
        assertFalse(following.isUp());
        assertEquals(1, line.closed);
        int asked = line.opened.size();
        line.run(100 * SECOND);
        assertEquals(asked, line.opened.size());
    }

    @Test
    void oneThatIsBehindIsLeft() {
        Replica ahead = new Replica("n", VersionedStore.of(PackedTree.EMPTY, 7), Index.NONE, false, (s, i) -> {});
        Line other = new Line();
        PublisherFailover[] self = new PublisherFailover[1];
        PublisherFailover.Transport seen = new PublisherFailover.Transport() {
            @Override
            public void open(int publisher) {
                other.opened.add(publisher);
                self[0].opened();
            }

            @Override
            public void send(Frame frame) {
                other.schedule(1, () -> self[0].receive(Frame.behind(5)));
            }

            @Override
            public void close() {
                other.closed++;
            }

            @Override
            public long nowUs() {
                return other.nowUs;
            }

            @Override
            public void schedule(long us, Runnable task) {
                other.schedule(us, task);
            }
        };
        self[0] = new PublisherFailover(ahead, new PublisherChoice("n", List.of("a", "b", "c")), seen);
        self[0].start(0);
        other.run(SECOND);
        assertTrue(new HashSet<>(other.opened).size() == 3, other.opened.toString());
        assertTrue(self[0].failure().contains("behind"), self[0].failure());
        assertEquals(7, ahead.store().version());
    }
}
