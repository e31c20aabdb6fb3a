package vetchpost.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import vetchpost.replication.Frame.Type;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/** What a publisher spends on whom, and when. */
class PublisherTest {
    private static final long SECOND_US = 1_000_000;
    private static final long HEARTBEAT_INTERVAL_US = 5 * SECOND_US;

    private final FrameCodec codec = new FrameCodec();

    @AfterEach
    void close() {
        codec.close();
    }

    /** A replica that keeps what it was sent. */
    private final class Peer implements Publisher.Peer {
        private final List<Frame> received = new ArrayList<>();
        private final List<byte[]> rawFrames = new ArrayList<>();
        private boolean writable = true;
        private long bytes;

        @Override
        public void send(byte[] frame) {
            assertTrue(writable, "sent to one that does not read");
            bytes += frame.length;
            rawFrames.add(frame);
            try {
                received.add(codec.read(frame));
            } catch (MalformedFrameException e) {
                throw new AssertionError(e);
            }
        }

        @Override
        public boolean isWritable() {
            return writable;
        }

        private void sendHello(Publisher publisher, VersionedStore at, long nowUs) throws MalformedFrameException {
            publisher.receive(
                    this, Frame.hello("a", at.version(), false, at.live().sum()), 0, nowUs);
        }

        private long receivedEntryCount() {
            return received.stream().mapToLong(f -> f.items().size()).sum();
        }
    }

    private static VersionedStore store(int entries) {
        return VersionedStore.EMPTY.with(
                IntStream.range(0, entries)
                        .mapToObj(i -> EntryChange.put(new EntryKey(EntryKind.ROUTE, "/r" + i), new byte[50]))
                        .toList(),
                Version.of(1, 1));
    }

    private static VersionedStore changed(VersionedStore store, int count) {
        return store.with(
                IntStream.range(0, count)
                        .mapToObj(i -> EntryChange.replace(
                                new EntryKey(EntryKind.ROUTE, "/r" + i), new byte[] {(byte) i, (byte) (i >> 8)}))
                        .toList(),
                store.version() + 1);
    }

    private Publisher publisher(VersionedStore store, Publisher.Budget budget) {
        return new Publisher(store, codec, budget, HEARTBEAT_INTERVAL_US, 0);
    }

    /** Pumps as its owner would: when it asks for it. */
    private static long run(Publisher publisher, long fromUs, long untilUs) {
        long nowUs = fromUs;
        while (nowUs < untilUs) {
            long nextUs = publisher.sendPending(nowUs);
            nowUs = Math.max(nowUs + 1, nextUs);
        }
        return untilUs;
    }

    @Test
    void limitsBytesPerSecondToOneReplica() throws Exception {
        VersionedStore first = store(20_000);
        Publisher publisher = publisher(changed(first, 20_000), new Publisher.Budget(10_000, 2_000, 1e9, 1e9));
        Peer peer = new Peer();
        publisher.connected(peer, 0);
        peer.sendHello(publisher, first, 0);
        for (int second = 1; second <= 5; second++) {
            run(publisher, (second - 1) * SECOND_US, second * SECOND_US);
            // What was saved up, and a frame that may be more than there was.
            assertTrue(peer.bytes <= 10_000L * second + 2_000 + 6_000, peer.bytes + " bytes after " + second + " s");
            assertTrue(peer.bytes >= 9_000L * second, peer.bytes + " bytes after " + second + " s");
        }
    }

    @Test
    void limitsEntriesPerSecondToOneReplica() throws Exception {
        VersionedStore first = store(5_000);
        Publisher publisher = publisher(changed(first, 5_000), new Publisher.Budget(1e9, 1e9, 1e9, 400));
        Peer peer = new Peer();
        publisher.connected(peer, 0);
        peer.sendHello(publisher, first, 0);
        run(publisher, 0, 5 * SECOND_US);
        assertTrue(
                peer.receivedEntryCount() >= 1_900 && peer.receivedEntryCount() <= 2_400,
                peer.receivedEntryCount() + " entries in 5 s");
    }

    @Test
    void chargesReceivedFramesToTheReplicasBudget() throws Exception {
        VersionedStore first = store(100);
        Publisher publisher = publisher(first, new Publisher.Budget(10_000, 2_000, 1e9, 1e9));
        Peer peer = new Peer();
        publisher.connected(peer, 0);
        publisher.receive(
                peer, Frame.hello("a", first.version(), false, first.live().sum()), 32_000, 0);
        publisher.sendPending(0);
        assertEquals(0, peer.bytes);
        run(publisher, 0, 2 * SECOND_US);
        assertEquals(0, peer.bytes, "it has not paid back yet");
        run(publisher, 2 * SECOND_US, 4 * SECOND_US);
        assertTrue(peer.bytes > 0);
    }

    @Test
    void sharesTheTotalBudgetEvenlyAmongReplicas() throws Exception {
        VersionedStore first = store(2_000);
        Publisher publisher = publisher(changed(first, 2_000), new Publisher.Budget(1e9, 1e9, 40_000, 1e9));
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Peer peer = new Peer();
            peers.add(peer);
            publisher.connected(peer, 0);
            peer.sendHello(publisher, first, 0);
        }
        run(publisher, 0, 2 * SECOND_US);
        long all = peers.stream().mapToLong(p -> p.bytes).sum();
        assertTrue(all <= 2 * 40_000 + 10_000 + 6_000 && all > 70_000, all + " bytes");
        long least = peers.stream().mapToLong(p -> p.rawFrames.size()).min().orElseThrow();
        long most = peers.stream().mapToLong(p -> p.rawFrames.size()).max().orElseThrow();
        assertTrue(most - least <= 1, "from " + least + " to " + most + " frames");
        assertEquals(all, publisher.sentBytes());
    }

    /** And nothing is kept for it meanwhile but where it is. */
    @Test
    void sendsOnlyTheNewestVersionAfterAReplicaReadsAgain() throws Exception {
        VersionedStore now = store(10);
        Publisher publisher = publisher(now, new Publisher.Budget(1e9, 1e9, 1e9, 1e9));
        Peer peer = new Peer();
        publisher.connected(peer, 0);
        peer.sendHello(publisher, now, 0);
        run(publisher, 0, 1);
        peer.received.clear();
        peer.writable = false;
        for (int i = 0; i < 1_000; i++) {
            now = now.with(
                    List.of(EntryChange.replace(new EntryKey(EntryKind.ROUTE, "/r1"), new byte[] {(byte) i, 1})),
                    now.version() + 1);
            publisher.publish(now);
            publisher.sendPending(i);
        }
        assertEquals(List.of("a"), publisher.laggingReplicas());
        peer.writable = true;
        publisher.sendPending(2_000);
        assertEquals(1, peer.received.size());
        assertEquals(1, peer.received.get(0).items().size());
        assertEquals(now.version(), peer.received.get(0).to());
        publisher.publish(store(10));
        assertEquals(now.version(), publisher.store().version(), "an older one is passed over");
    }

    @Test
    void sendsHeartbeatsToCurrentReplicasAndBehindToReplicasAhead() throws Exception {
        VersionedStore first = store(10);
        VersionedStore second = changed(first, 1);
        Publisher publisher = publisher(first, new Publisher.Budget(1e9, 1e9, 1e9, 1e9));
        Peer peer = new Peer();
        Peer ahead = new Peer();
        publisher.connected(peer, 0);
        publisher.connected(ahead, 0);
        peer.sendHello(publisher, first, 0);
        ahead.sendHello(publisher, second, 0);
        run(publisher, 0, 21 * SECOND_US);
        assertEquals(
                5, peer.received.stream().filter(f -> f.type() == Type.CURRENT).count());
        assertEquals(
                List.of(Type.BEHIND), ahead.received.stream().map(Frame::type).toList());
        publisher.disconnected(ahead);
        assertEquals(1, publisher.replicaCount());
        publisher.receive(ahead, Frame.hello("b", 0, false, first.live().sum()), 0, 0);
        assertEquals(1, ahead.received.size(), "one that has gone is told nothing more");
    }

    @Test
    void sharesEncodedFramesBetweenReplicasAtTheSameVersion() throws Exception {
        VersionedStore first = store(500);
        Publisher publisher = publisher(changed(first, 400), new Publisher.Budget(1e9, 1e9, 1e9, 1e9));
        Peer one = new Peer();
        Peer two = new Peer();
        for (Peer peer : List.of(one, two)) {
            publisher.connected(peer, 0);
            peer.sendHello(publisher, first, 0);
        }
        publisher.sendPending(0);
        assertTrue(one.rawFrames.size() > 2);
        for (int i = 0; i < one.rawFrames.size(); i++) {
            assertTrue(one.rawFrames.get(i) == two.rawFrames.get(i), "part " + i + " was made twice");
        }
    }

    @Test
    void rejectsOversizedAndMismatchedComparisons() {
        VersionedStore first = store(10);
        Publisher publisher = publisher(first, new Publisher.Budget(1e9, 1e9, 1e9, 1e9));
        Peer peer = new Peer();
        publisher.connected(peer, 0);
        List<Frame.Span> many = IntStream.range(0, 17)
                .mapToObj(i ->
                        new Frame.Span(new byte[] {(byte) i}, null, first.live().sum(), null))
                .toList();
        assertThrows(
                MalformedFrameException.class,
                () -> publisher.receive(
                        peer, Frame.spans(Type.COMPARE, 0, first.live().sum(), many), 0, 0));
        assertThrows(
                MalformedFrameException.class,
                () -> publisher.receive(
                        peer, Frame.spans(Type.COMPARE, 99, first.live().sum(), many.subList(0, 1)), 0, 0));
    }

    @Test
    void tokenBucketCapsItsBurstAndRepaysOverspending() {
        TokenBucket bucket = new TokenBucket(100, 50, 0);
        assertTrue(bucket.hasAny(10 * SECOND_US));
        bucket.spend(150);
        assertEquals(11 * SECOND_US + 10_000, bucket.availableAtUs(10 * SECOND_US), 10_000);
        assertTrue(!bucket.hasAny(10 * SECOND_US + 900_000) && bucket.hasAny(11 * SECOND_US + 20_000));
    }
}
