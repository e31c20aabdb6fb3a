package vetchpost.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import vetchpost.replication.Frame.Type;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.FieldCodec;
import vetchpost.store.PackedTree;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/** One replica and one publisher with lost, late, duplicate, corrupt and hostile frames between them. */
class ReplicaTest {
    private static EntryKey key(int i) {
        return new EntryKey(EntryKind.ROUTE, "/service-" + i % 37 + "/route-" + i);
    }

    private static EntryChange put(int i, String value) {
        return EntryChange.put(key(i), FieldCodec.utf8(value));
    }

    /** Creates a store with a number of entries at version 1.1. */
    private static VersionedStore entries(int count) {
        return VersionedStore.EMPTY.with(
                IntStream.range(0, count).mapToObj(i -> put(i, "value " + i)).toList(), Version.of(1, 1));
    }

    private static VersionedStore with(VersionedStore store, EntryChange... batch) {
        return store.with(List.of(batch), store.version() + 1);
    }

    private static void assertReplicaHolds(VersionedStore publishers, ReplicationLink link) {
        assertEquals(publishers.version(), link.replica.store().version());
        assertEquals(publishers.live().sum(), link.replica.store().live().sum());
    }

    @Test
    void appliesAChangeAndReportsItsSum() throws Exception {
        VersionedStore first = entries(1_000);
        ReplicationLink link = new ReplicationLink(first, first);
        link.run(1_000_000);
        assertEquals(0, link.replica.appliedBatches());
        assertTrue(link.replica.lastCurrentUs() >= 0, "the publisher confirmed the newest version");
        long before = link.bytesToReplica;
        VersionedStore second = with(first, put(5_000, "new"), EntryChange.delete(key(7)));
        link.publisher.publish(second);
        link.run(200_000);
        assertReplicaHolds(second, link);
        assertEquals(1, link.replica.appliedBatches());
        assertTrue(link.bytesToReplica - before < 200, link.bytesToReplica - before + " bytes for two changes");
        assertEquals(List.of(), link.publisher.laggingReplicas());
    }

    /** Returns the delta parts for a replica at the link's version, undelivered. */
    private static List<Frame> deltaParts(ReplicationLink link, VersionedStore newStore) throws Exception {
        link.run(100_000);
        link.publisher.publish(newStore);
        link.drainPublisher();
        List<Frame> parts = new ArrayList<>(link.toReplica);
        parts.removeIf(f -> f.type() != Type.DELTA);
        link.toReplica.clear();
        assertTrue(parts.size() > 5, parts.size() + " parts");
        return parts;
    }

    private static VersionedStore changed(VersionedStore store, int count) {
        return store.with(
                IntStream.range(0, count)
                        .mapToObj(i -> i % 10 == 9
                                ? EntryChange.delete(key(i))
                                : EntryChange.replace(key(i), FieldCodec.utf8("changed " + i * 7919L)))
                        .toList(),
                store.version() + 1);
    }

    @Test
    void neverAppliesAPartialBatchAndRequestsItAgain() throws Exception {
        VersionedStore first = entries(2_000);
        VersionedStore second = changed(first, 1_000);
        for (int cut = 0; cut < 6; cut++) {
            ReplicationLink link = new ReplicationLink(first, first);
            List<Frame> parts = deltaParts(link, second);
            for (Frame part : parts.subList(0, cut * (parts.size() - 1) / 5)) {
                link.replica.receive(part, link.nowUs);
            }
            assertSame(first, link.replica.store(), "a partial batch was applied");
            link.connect();
            link.run(10_000_000);
            assertReplicaHolds(second, link);
            assertEquals(1, link.replica.appliedBatches());
        }
    }

    @Test
    void ignoresDuplicateReorderedAndLateParts() throws Exception {
        VersionedStore first = entries(2_000);
        VersionedStore second = changed(first, 1_000);
        ReplicationLink link = new ReplicationLink(first, first);
        List<Frame> parts = deltaParts(link, second);
        for (Frame part : parts) {
            link.replica.receive(part, link.nowUs);
            link.replica.receive(part, link.nowUs);
        }
        // Each duplicate is not the next part, so the replica starts again every time.
        assertSame(first, link.replica.store());
        link.connect();
        link.run(10_000_000);
        assertReplicaHolds(second, link);
        VersionedStore third = with(second, put(9_000, "third"));
        link.publisher.publish(third);
        link.run(1_000_000);
        link.nowUs += 3_600_000_000L;
        for (Frame part : parts) {
            link.replica.receive(part, link.nowUs);
        }
        assertReplicaHolds(third, link);
        ReplicationLink other = new ReplicationLink(first, first);
        List<Frame> mixed = deltaParts(other, second);
        java.util.Collections.reverse(mixed);
        for (Frame part : mixed) {
            other.replica.receive(part, other.nowUs);
        }
        assertSame(first, other.replica.store());
    }

    @Test
    void rejectsAPublisherRestoredToAnOlderVersion() throws Exception {
        VersionedStore first = entries(100);
        VersionedStore second = with(first, EntryChange.replace(key(1), FieldCodec.utf8("second")));
        ReplicationLink link = new ReplicationLink(first, second);
        assertThrows(Replica.FrameRejectedException.class, () -> link.run(100_000));
        assertSame(second, link.replica.store());
        // A replica restored to an older version catches up again.
        ReplicationLink behind = new ReplicationLink(second, first);
        behind.run(1_000_000);
        assertReplicaHolds(second, behind);
    }

    @Test
    void fencesAWriterOfAnEarlierEpoch() throws Exception {
        VersionedStore first = entries(100);
        VersionedStore old = with(first, EntryChange.replace(key(1), FieldCodec.utf8("of the old writer")));
        ReplicationLink oldWriter = new ReplicationLink(first, first);
        oldWriter.run(10_000);
        oldWriter.publisher.publish(old);
        oldWriter.drainPublisher();
        Frame lateDelta = oldWriter.toReplica.stream()
                .filter(f -> f.type() == Type.DELTA)
                .findFirst()
                .orElseThrow();
        VersionedStore newEpochStore =
                first.with(List.of(EntryChange.replace(key(1), FieldCodec.utf8("of the new"))), Version.of(2, 1));
        ReplicationLink link = new ReplicationLink(newEpochStore, first);
        link.run(1_000_000);
        assertReplicaHolds(newEpochStore, link);
        assertThrows(Replica.FrameRejectedException.class, () -> link.replica.receive(lateDelta, link.nowUs));
        // Without fencing the late delta would be applied, so this test can fail.
        ReplicationLink unfenced = new ReplicationLink(
                newEpochStore, InjectedFaults.unfenced("node", newEpochStore, Index.NONE, false, (store, index) -> {}));
        unfenced.replica.receive(lateDelta, 1);
        assertEquals(
                "of the old writer",
                FieldCodec.text(unfenced.replica.store().get(key(1)).value()));
        assertReplicaHolds(newEpochStore, link);
    }

    /** The publisher has forgotten the removals since the replica's version, so ranges have to be compared. */
    @Test
    void fetchesOnlyDifferencesAfterALongAbsence() throws Exception {
        VersionedStore first = entries(20_000);
        VersionedStore now = first;
        for (int i = 0; i < 100; i++) {
            now = with(
                    now,
                    EntryChange.delete(key(i * 31)),
                    EntryChange.replace(key(i * 31 + 1), FieldCodec.utf8("new " + i)),
                    put(30_000 + i, "more"));
        }
        now = now.forgetRemovals(10);
        ReplicationLink link = new ReplicationLink(now, first);
        link.run(60_000_000);
        assertReplicaHolds(now, link);
        ReplicationLink all = new ReplicationLink(now, VersionedStore.EMPTY);
        all.run(120_000_000);
        assertReplicaHolds(now, all);
        assertTrue(
                link.bytesToPublisher + link.bytesToReplica < 18_000 * 60,
                "bytes both ways within the replica's budget");
        assertTrue(
                link.bytesToReplica < all.bytesToReplica / 2,
                link.bytesToReplica + " bytes for 300 changes, " + all.bytesToReplica + " for all");
    }

    /** A stored store can have the right version and wrong entries; comparing sums must detect it. */
    @Test
    void detectsAndRepairsAStoreThatDoesNotMatchItsVersion() throws Exception {
        VersionedStore right = entries(5_000);
        PackedTree wrong = right.live()
                .remove(key(77).bytes())
                .put(key(6_000).bytes(), FieldCodec.utf8("ghost"), Version.of(1, 1))
                .put(key(78).bytes(), FieldCodec.utf8("spoilt"), Version.of(1, 1));
        ReplicationLink link = new ReplicationLink(right, VersionedStore.of(wrong, right.version()));
        link.run(10_000_000);
        assertReplicaHolds(right, link);
        // Also if the mismatch shows only after the next change.
        ReplicationLink later =
                new ReplicationLink(with(right, put(7_000, "x")), VersionedStore.of(wrong, right.version()));
        later.run(10_000_000);
        assertReplicaHolds(later.publisher.store(), later);
    }

    @Test
    void coalescesManyChangesOfOneKey() throws Exception {
        VersionedStore now = entries(1_000);
        ReplicationLink link = new ReplicationLink(now, now);
        link.run(100_000);
        long before = link.bytesToReplica;
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < 817; i++) {
                now = with(now, EntryChange.replace(key(3), FieldCodec.utf8("value " + second + " " + i)));
                link.publisher.publish(now);
            }
            link.run(1_000_000);
        }
        link.run(1_000_000);
        assertReplicaHolds(now, link);
        assertTrue(link.bytesToReplica - before < 60 * 18_000 + 4_000, link.bytesToReplica - before + " bytes");
        assertTrue(link.replica.appliedBatches() < 49_000 / 2, link.replica.appliedBatches() + " versions applied");
    }

    @Test
    void appliesABurstWithinBudgetAndTime() throws Exception {
        VersionedStore first = entries(20_000);
        ReplicationLink link = new ReplicationLink(first, first);
        link.run(100_000);
        VersionedStore second = changed(first, 1_000);
        link.publisher.publish(second);
        long before = link.bytesToReplica;
        link.run(4_000_000);
        assertReplicaHolds(second, link);
        assertTrue(link.bytesToReplica - before < 4 * 23_000, link.bytesToReplica - before + " bytes");
    }

    @Test
    void resumesFromAnotherPublisherAfterOneDiesMidBatch() throws Exception {
        VersionedStore first = entries(2_000);
        VersionedStore second = changed(first, 1_000);
        ReplicationLink link = new ReplicationLink(first, first);
        List<Frame> parts = deltaParts(link, second);
        for (Frame part : parts.subList(0, parts.size() / 2)) {
            link.replica.receive(part, link.nowUs);
        }
        link.replica.disconnected();
        // The other publisher does not have the new version yet, and gets it later.
        link.connectNewPublisher(first);
        link.run(1_000_000);
        assertEquals(first.live().sum(), link.replica.store().live().sum());
        link.publisher.publish(second);
        link.run(10_000_000);
        assertReplicaHolds(second, link);
    }

    /** A replica restarts from its stored version while no publisher is reachable, and continues from there. */
    @Test
    void continuesFromItsStoredVersionAfterARestart() throws Exception {
        VersionedStore first = entries(1_000);
        VersionedStore second = with(first, put(2_000, "meanwhile"));
        ReplicationLink link = new ReplicationLink(second, first);
        link.run(1_000_000);
        VersionedStore kept = VersionedStore.of(
                link.replica.store().live(), link.replica.store().version());
        ReplicationLink restarted = new ReplicationLink(second, kept);
        assertEquals(-1, restarted.replica.lastCurrentUs(), "no publisher has confirmed the version yet");
        assertEquals(second.live().sum(), restarted.replica.store().live().sum());
        VersionedStore third = with(second, EntryChange.delete(key(2_000)));
        restarted.publisher.publish(third);
        restarted.run(1_000_000);
        assertReplicaHolds(third, restarted);
        assertEquals(1, restarted.replica.appliedBatches());
    }

    @Test
    void appliesChangesPublishedDuringCatchUp() throws Exception {
        VersionedStore first = entries(5_000);
        VersionedStore now = changed(first, 3_000);
        ReplicationLink link = new ReplicationLink(now, first);
        for (int i = 0; i < 40; i++) {
            link.run(100_000);
            now = with(now, put(10_000 + i, "during"));
            link.publisher.publish(now);
        }
        link.run(20_000_000);
        assertReplicaHolds(now, link);
        assertTrue(link.replica.appliedBatches() >= 2 && link.replica.rejectedCount() == 0);
    }

    @Test
    void rejectsOversizedFramesBeforeAllocating() throws Exception {
        FrameCodec codec = new FrameCodec();
        // Claims to inflate to 4 GiB less one byte: field 8 with one byte, field 9 with that length.
        byte[] hugeInflatedLength = {8, 3, 0x42, 1, 0, 0x48, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 0x0F};
        assertThrows(MalformedFrameException.class, () -> codec.read(hugeInflatedLength));
        // Claims a field of 2 GiB without content.
        byte[] hugeField = {8, 3, 0x42, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 0x07};
        assertThrows(MalformedFrameException.class, () -> codec.read(hugeField));
        assertThrows(MalformedFrameException.class, () -> codec.read(new byte[FrameCodec.MAX_FRAME_BYTES + 1]));
        assertThrows(MalformedFrameException.class, () -> codec.read(new byte[] {8, 99}));
        byte[] good = codec.write(Frame.delta(
                1,
                2,
                0,
                true,
                new PackedTree.Sum(1, 2),
                List.of(new Frame.Entry(key(1).bytes(), FieldCodec.utf8("v"), 2))));
        java.util.SplittableRandom random = new java.util.SplittableRandom(5);
        for (int i = 0; i < 100_000; i++) {
            byte[] corrupt = good.clone();
            corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 << random.nextInt(8));
            try {
                codec.read(java.util.Arrays.copyOf(corrupt, random.nextInt(corrupt.length + 1)));
            } catch (MalformedFrameException e) {
                continue;
            }
        }
        codec.close();
    }

    @Test
    void rejectsFramesThatViolateTheProtocol() throws Exception {
        VersionedStore first = entries(100);
        ReplicationLink link = new ReplicationLink(first, first);
        link.run(10_000);
        Frame old = Frame.delta(
                first.version(),
                first.version() + 1,
                0,
                true,
                first.live().sum(),
                List.of(new Frame.Entry(key(1).bytes(), FieldCodec.utf8("x"), Version.of(1, 0))));
        assertThrows(
                MalformedFrameException.class,
                () -> link.replica.receive(old, link.nowUs),
                "an entry older than the delta");
        assertThrows(
                MalformedFrameException.class,
                () -> link.replica.receive(
                        Frame.hello("x", 1, false, first.live().sum()), 1));
        assertThrows(
                MalformedFrameException.class,
                () -> link.publisher.receive(link, Frame.current(1, first.live().sum()), 9, 1));
        assertThrows(
                MalformedFrameException.class,
                () -> link.publisher.receive(
                        link, Frame.spans(Type.WANT, 77, first.live().sum(), List.of()), 0, 1));
        for (int i = 0; i < 64; i++) {
            link.publisher.receive(
                    link, Frame.hello("x", first.version(), false, first.live().sum()), 0, 1);
        }
        assertThrows(
                MalformedFrameException.class,
                () -> {
                    for (int i = 0; i < 64; i++) {
                        link.publisher.receive(
                                link,
                                Frame.hello(
                                        "x",
                                        first.version(),
                                        false,
                                        first.live().sum()),
                                0,
                                1);
                    }
                },
                "requests are bounded while replies are not read");
        assertSame(first, link.replica.store());
    }

    @Test
    void spreadsReplicasOfAFailedPublisherAndFailsBack() {
        List<String> publishers =
                IntStream.range(0, 18).mapToObj(i -> "control-" + i).toList();
        int[] before = new int[18];
        int[] after = new int[18];
        int moved = 0;
        for (int i = 0; i < 2_200; i++) {
            PublisherChoice choice = new PublisherChoice("node-" + i, publishers);
            int first = choice.next(0);
            before[first]++;
            if (first == 3) {
                choice.failed(3, 0);
                int next = choice.next(1);
                after[next]++;
                moved++;
                assertTrue(!choice.hasBetter(next, 1) && choice.hasBetter(next, 6_000_000));
                choice.succeeded(3);
                assertEquals(3, choice.next(2));
            } else {
                choice.failed(3, 0);
                assertEquals(first, choice.next(1), "replicas of other publishers stay");
            }
        }
        for (int i = 0; i < 18; i++) {
            assertTrue(before[i] > 80 && before[i] < 170, before[i] + " of 2,200");
            assertTrue(after[i] <= moved / 5, after[i] + " of " + moved);
        }
        PublisherChoice all = new PublisherChoice("x", publishers.subList(0, 2));
        all.failed(0, 0);
        all.failed(1, 0);
        assertTrue(all.retryAtUs(all.next(10)) > 10, "no publisher may be tried now");
        PublisherChoice withPreferred = new PublisherChoice("x", publishers, "control-5"::equals);
        assertEquals(5, withPreferred.next(0));
    }
}
