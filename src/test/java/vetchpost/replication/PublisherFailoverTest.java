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
class PublisherFailoverTest {
    private static final long SECOND = 1_000_000;

    private record ScheduledTask(long atUs, long order, Runnable task) {}

    /** Publishers of which some are there, and those there say now and then that all is the newest. */
    private final class FakeTransport implements PublisherFailover.Transport {
        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
                (a, b) -> a.atUs != b.atUs ? Long.compare(a.atUs, b.atUs) : Long.compare(a.order, b.order));
        private final List<Integer> opened = new ArrayList<>();
        private final Set<Integer> reachable = new HashSet<>(Set.of(0, 1, 2));
        private final Set<Integer> silent = new HashSet<>();
        private long nowUs;
        private long nextOrder;
        private int openPublisher = -1;
        private int closeCount;

        @Override
        public void open(int publisher) {
            opened.add(publisher);
            if (!reachable.contains(publisher)) {
                failover.failed("nobody is there");
                return;
            }
            openPublisher = publisher;
            failover.opened();
        }

        @Override
        public void send(Frame frame) {
            answer(openPublisher);
        }

        private void answer(int of) {
            schedule(1_000, () -> {
                if (openPublisher == of && !silent.contains(of)) {
                    failover.receive(Frame.current(0, PackedTree.EMPTY.sum()));
                    schedule(4 * SECOND, () -> {
                        if (openPublisher == of) {
                            answer(of);
                        }
                    });
                }
            });
        }

        @Override
        public void close() {
            openPublisher = -1;
            closeCount++;
        }

        @Override
        public long nowUs() {
            return nowUs;
        }

        @Override
        public void schedule(long us, Runnable task) {
            tasks.add(new ScheduledTask(nowUs + us, nextOrder++, task));
        }

        void run(long us) {
            long endUs = nowUs + us;
            while (!tasks.isEmpty() && tasks.peek().atUs <= endUs) {
                ScheduledTask next = tasks.poll();
                nowUs = next.atUs;
                next.task.run();
            }
            nowUs = endUs;
        }

        void breakConnection() {
            openPublisher = -1;
            failover.failed("it was cut off");
        }
    }

    private final Replica replica = new Replica("n", VersionedStore.EMPTY, Index.NONE, false, (store, index) -> {});
    private final PublisherChoice choice = new PublisherChoice("n", List.of("a", "b", "c"));
    private final FakeTransport transport = new FakeTransport();
    private final PublisherFailover failover = new PublisherFailover(replica, choice, transport);
    private final int preferred = new PublisherChoice("n", List.of("a", "b", "c")).next(0);

    @Test
    void staysWithAHealthyPublisher() {
        failover.start(0);
        transport.run(600 * SECOND);
        assertEquals(List.of(preferred), transport.opened);
        assertTrue(failover.isUp());
        assertEquals("", failover.failure());
        assertTrue(transport.nowUs - replica.lastCurrentUs() < 5 * SECOND);
    }

    @Test
    void leavesASilentPublisherAndFailsBackOnceItRecovers() {
        failover.start(0);
        transport.run(20 * SECOND);
        transport.silent.add(preferred);
        transport.run(21 * SECOND);
        assertTrue(
                transport.openPublisher >= 0 && transport.openPublisher != preferred,
                "it still follows " + transport.openPublisher);
        transport.silent.clear();
        transport.run(90 * SECOND);
        assertEquals(preferred, transport.openPublisher, "it has not come back");
        assertEquals(3, transport.opened.size(), transport.opened.toString());
    }

    @Test
    void reconnectsAtOnceAfterABrokenConnection() {
        failover.start(0);
        transport.run(10 * SECOND);
        transport.breakConnection();
        assertEquals("it was cut off", failover.failure());
        transport.run(10_000);
        assertTrue(transport.openPublisher >= 0 && transport.openPublisher != preferred);
        transport.run(10_000);
        assertEquals("", failover.failure());
    }

    @Test
    void backsOffButKeepsTryingWhileNoPublisherIsReachable() {
        transport.reachable.clear();
        failover.start(0);
        transport.run(60 * SECOND);
        int first = transport.opened.size();
        assertTrue(first > 20 && first < 120, first + " times in a minute");
        transport.run(60 * SECOND);
        assertTrue(
                transport.opened.size() - first < 60, transport.opened.size() - first + " times in the second minute");
        transport.reachable.add(preferred);
        transport.run(6 * SECOND);
        assertTrue(failover.isUp());
    }

    @Test
    void opensNoConnectionAfterStop() {
        failover.start(0);
        transport.run(SECOND);
        failover.stop();
        assertFalse(failover.isUp());
        assertEquals(1, transport.closeCount);
        int asked = transport.opened.size();
        transport.run(100 * SECOND);
        assertEquals(asked, transport.opened.size());
    }

    @Test
    void leavesAPublisherThatIsBehind() {
        Replica ahead = new Replica("n", VersionedStore.of(PackedTree.EMPTY, 7), Index.NONE, false, (s, i) -> {});
        FakeTransport other = new FakeTransport();
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
                other.closeCount++;
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
