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

/** One replica and one publisher, and what can happen to what is told between them. */
class ReplicaTest {
    private static EntryKey key(int i) {
        return new EntryKey(EntryKind.ROUTE, "/service-" + i % 37 + "/route-" + i);
    }

    private static EntryChange put(int i, String value) {
        return EntryChange.put(key(i), FieldCodec.utf8(value));
    }

    /** So many entries, at version 1.1. */
    private static VersionedStore entries(int count) {
        return VersionedStore.EMPTY.with(
                IntStream.range(0, count).mapToObj(i -> put(i, "value " + i)).toList(), Version.of(1, 1));
    }

    private static VersionedStore with(VersionedStore store, EntryChange... batch) {
        return store.with(List.of(batch), store.version() + 1);
    }

    private static void assertReplicaHolds(VersionedStore publishers, ReplicationLink wire) {
        assertEquals(publishers.version(), wire.replica.store().version());
        assertEquals(publishers.live().sum(), wire.replica.store().live().sum());
    }

    @Test
    void appliesAChangeAndReportsItsSum() throws Exception {
        VersionedStore first = entries(1_000);
        ReplicationLink wire = new ReplicationLink(first, first);
        wire.run(1_000_000);
        assertEquals(0, wire.replica.appliedBatches());
        assertTrue(wire.replica.lastCurrentUs() >= 0, "it was told that it is at the newest");
        long before = wire.bytesToReplica;
        VersionedStore second = with(first, put(5_000, "new"), EntryChange.delete(key(7)));
        wire.publisher.publish(second);
        wire.run(200_000);
        assertReplicaHolds(second, wire);
        assertEquals(1, wire.replica.appliedBatches());
        assertTrue(wire.bytesToReplica - before < 200, wire.bytesToReplica - before + " bytes for two changes");
        assertEquals(List.of(), wire.publisher.laggingReplicas());
    }

    /** Parts of what came after a version, as they are told to one that is at it. */
    private static List<Frame> deltaParts(ReplicationLink wire, VersionedStore fresh) throws Exception {
        wire.run(100_000);
        wire.publisher.publish(fresh);
        wire.drainPublisher();
        List<Frame> parts = new ArrayList<>(wire.toReplica);
        parts.removeIf(f -> f.type() != Type.DELTA);
        wire.toReplica.clear();
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
            ReplicationLink wire = new ReplicationLink(first, first);
            List<Frame> parts = deltaParts(wire, second);
            for (Frame part : parts.subList(0, cut * (parts.size() - 1) / 5)) {
                wire.replica.receive(part, wire.nowUs);
            }
            assertSame(first, wire.replica.store(), "a part of a batch is in force");
            wire.connect();
            wire.run(10_000_000);
            assertReplicaHolds(second, wire);
            assertEquals(1, wire.replica.appliedBatches());
        }
    }

    @Test
    void ignoresDuplicateReorderedAndLateParts() throws Exception {
        VersionedStore first = entries(2_000);
        VersionedStore second = changed(first, 1_000);
        ReplicationLink wire = new ReplicationLink(first, first);
        List<Frame> parts = deltaParts(wire, second);
        for (Frame part : parts) {
            wire.replica.receive(part, wire.nowUs);
            wire.replica.receive(part, wire.nowUs);
        }
        // Each second one was no part that could come next: it began anew each time.
        assertSame(first, wire.replica.store());
        wire.connect();
        wire.run(10_000_000);
        assertReplicaHolds(second, wire);
        VersionedStore third = with(second, put(9_000, "third"));
        wire.publisher.publish(third);
        wire.run(1_000_000);
        wire.nowUs += 3_600_000_000L;
        for (Frame part : parts) {
            wire.replica.receive(part, wire.nowUs);
        }
        assertReplicaHolds(third, wire);
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
        ReplicationLink wire = new ReplicationLink(first, second);
        assertThrows(Replica.FrameRejectedException.class, () -> wire.run(100_000));
        assertSame(second, wire.replica.store());
        // And a node that was set back comes forward again.
        ReplicationLink behind = new ReplicationLink(second, first);
        behind.run(1_000_000);
        assertReplicaHolds(second, behind);
    }

    @Test
    void fencesAWriterOfAnEarlierEpoch() throws Exception {
        VersionedStore first = entries(100);
        VersionedStore old = with(first, EntryChange.replace(key(1), FieldCodec.utf8("of the old writer")));
        ReplicationLink zombie = new ReplicationLink(first, first);
        zombie.run(10_000);
        zombie.publisher.publish(old);
        zombie.drainPublisher();
        Frame late = zombie.toReplica.stream()
                .filter(f -> f.type() == Type.DELTA)
                .findFirst()
                .orElseThrow();
        VersionedStore taken =
                first.with(List.of(EntryChange.replace(key(1), FieldCodec.utf8("of the new"))), Version.of(2, 1));
        ReplicationLink wire = new ReplicationLink(taken, first);
        wire.run(1_000_000);
        assertReplicaHolds(taken, wire);
        assertThrows(Replica.FrameRejectedException.class, () -> wire.replica.receive(late, wire.nowUs));
        // What it would do without the fence, so that this shows something.
        ReplicationLink unfenced = new ReplicationLink(
                taken, InjectedFaults.unfenced("node", taken, Index.NONE, false, (store, index) -> {}));
        unfenced.replica.receive(late, 1);
        assertEquals(
                "of the old writer",
                FieldCodec.text(unfenced.replica.store().get(key(1)).value()));
        assertReplicaHolds(taken, wire);
    }

    /** It is not known any more what went away meanwhile: what differs is found by ranges. */
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
        ReplicationLink wire = new ReplicationLink(now, first);
        wire.run(60_000_000);
        assertReplicaHolds(now, wire);
        ReplicationLink all = new ReplicationLink(now, VersionedStore.EMPTY);
        all.run(120_000_000);
        assertReplicaHolds(now, all);
        assertTrue(wire.bytesToPublisher + wire.bytesToReplica < 18_000 * 60, "both ways within its budget");
        assertTrue(
                wire.bytesToReplica < all.bytesToReplica / 2,
                wire.bytesToReplica + " bytes for 300 changes, " + all.bytesToReplica + " for all");
    }

    /** What is kept on a disk can be wrong and say that it is right. */
    @Test
    void detectsAndRepairsAStoreThatDoesNotMatchItsVersion() throws Exception {
        VersionedStore right = entries(5_000);
        PackedTree wrong = right.live()
                .remove(key(77).bytes())
                .put(key(6_000).bytes(), FieldCodec.utf8("ghost"), Version.of(1, 1))
                .put(key(78).bytes(), FieldCodec.utf8("spoilt"), Version.of(1, 1));
        ReplicationLink wire = new ReplicationLink(right, VersionedStore.of(wrong, right.version()));
        wire.run(10_000_000);
        assertReplicaHolds(right, wire);
        // Also where it is found only at the end of the next change.
        ReplicationLink later =
                new ReplicationLink(with(right, put(7_000, "x")), VersionedStore.of(wrong, right.version()));
        later.run(10_000_000);
        assertReplicaHolds(later.publisher.store(), later);
    }

    @Test
    void coalescesManyChangesOfOneKey() throws Exception {
        VersionedStore now = entries(1_000);
        ReplicationLink wire = new ReplicationLink(now, now);
        wire.run(100_000);
        long before = wire.bytesToReplica;
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < 817; i++) {
                now = with(now, EntryChange.replace(key(3), FieldCodec.utf8("value " + second + " " + i)));
                wire.publisher.publish(now);
            }
            wire.run(1_000_000);
        }
        wire.run(1_000_000);
        assertReplicaHolds(now, wire);
        assertTrue(wire.bytesToReplica - before < 60 * 18_000 + 4_000, wire.bytesToReplica - before + " bytes");
        assertTrue(
                wire.replica.appliedBatches() < 49_000 / 2,
                wire.replica.appliedBatches() + " times something came into force");
    }

    @Test
    void appliesABurstWithinBudgetAndTime() throws Exception {
        VersionedStore first = entries(20_000);
        ReplicationLink wire = new ReplicationLink(first, first);
        wire.run(100_000);
        VersionedStore second = changed(first, 1_000);
        wire.publisher.publish(second);
        long before = wire.bytesToReplica;
        wire.run(4_000_000);
        assertReplicaHolds(second, wire);
        assertTrue(wire.bytesToReplica - before < 4 * 23_000, wire.bytesToReplica - before + " bytes");
    }

    @Test
    void resumesFromAnotherPublisherAfterOneDiesMidBatch() throws Exception {
        VersionedStore first = entries(2_000);
        VersionedStore second = changed(first, 1_000);
        ReplicationLink wire = new ReplicationLink(first, first);
        List<Frame> parts = deltaParts(wire, second);
        for (Frame part : parts.subList(0, parts.size() / 2)) {
            wire.replica.receive(part, wire.nowUs);
        }
        wire.replica.disconnected();
        // The other has not heard of it yet, and then it has.
        wire.connectNewPublisher(first);
        wire.run(1_000_000);
        assertEquals(first.live().sum(), wire.replica.store().live().sum());
        wire.publisher.publish(second);
        wire.run(10_000_000);
        assertReplicaHolds(second, wire);
    }

    /**
     * All publishers away, the node restarted from what it had kept: it serves by that, and says since when.
     */
    @Test
    void continuesFromItsStoredVersionAfterARestart() throws Exception {
        VersionedStore first = entries(1_000);
        VersionedStore second = with(first, put(2_000, "meanwhile"));
        ReplicationLink wire = new ReplicationLink(second, first);
        wire.run(1_000_000);
        VersionedStore kept = VersionedStore.of(
                wire.replica.store().live(), wire.replica.store().version());
        ReplicationLink restarted = new ReplicationLink(second, kept);
        assertEquals(-1, restarted.replica.lastCurrentUs(), "nobody has said yet that this is the newest");
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
        ReplicationLink wire = new ReplicationLink(now, first);
        for (int i = 0; i < 40; i++) {
            wire.run(100_000);
            now = with(now, put(10_000 + i, "during"));
            wire.publisher.publish(now);
        }
        wire.run(20_000_000);
        assertReplicaHolds(now, wire);
        assertTrue(wire.replica.appliedBatches() >= 2 && wire.replica.rejectedCount() == 0);
    }

    @Test
    void rejectsOversizedFramesBeforeAllocating() throws Exception {
        FrameCodec codec = new FrameCodec();
        // A body that would be inflated to 4 GiB less one byte: field 8 with a byte, field 9 with that
        // length.
        byte[] promise = {8, 3, 0x42, 1, 0, 0x48, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 0x0F};
        assertThrows(MalformedFrameException.class, () -> codec.read(promise));
        // A field of 2 GiB of which nothing comes.
        byte[] field = {8, 3, 0x42, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 0x07};
        assertThrows(MalformedFrameException.class, () -> codec.read(field));
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
            byte[] spoilt = good.clone();
            spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 << random.nextInt(8));
            try {
                codec.read(java.util.Arrays.copyOf(spoilt, random.nextInt(spoilt.length + 1)));
            } catch (MalformedFrameException e) {
                continue;
            }
        }
        codec.close();
    }

    @Test
    void rejectsFramesThatViolateTheProtocol() throws Exception {
        VersionedStore first = entries(100);
        ReplicationLink wire = new ReplicationLink(first, first);
        wire.run(10_000);
        Frame old = Frame.delta(
                first.version(),
                first.version() + 1,
                0,
                true,
                first.live().sum(),
                List.of(new Frame.Entry(key(1).bytes(), FieldCodec.utf8("x"), Version.of(1, 0))));
        assertThrows(MalformedFrameException.class, () -> wire.replica.receive(old, wire.nowUs), "an entry of before");
        assertThrows(
                MalformedFrameException.class,
                () -> wire.replica.receive(
                        Frame.hello("x", 1, false, first.live().sum()), 1));
        assertThrows(
                MalformedFrameException.class,
                () -> wire.publisher.receive(wire, Frame.current(1, first.live().sum()), 9, 1));
        assertThrows(
                MalformedFrameException.class,
                () -> wire.publisher.receive(
                        wire, Frame.spans(Type.WANT, 77, first.live().sum(), List.of()), 0, 1));
        for (int i = 0; i < 64; i++) {
            wire.publisher.receive(
                    wire, Frame.hello("x", first.version(), false, first.live().sum()), 0, 1);
        }
        assertThrows(
                MalformedFrameException.class,
                () -> {
                    for (int i = 0; i < 64; i++) {
                        wire.publisher.receive(
                                wire,
                                Frame.hello(
                                        "x",
                                        first.version(),
                                        false,
                                        first.live().sum()),
                                0,
                                1);
                    }
                },
                "it asks on without reading");
        assertSame(first, wire.replica.store());
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
                assertEquals(first, choice.next(1), "no other moves");
            }
        }
        for (int i = 0; i < 18; i++) {
            assertTrue(before[i] > 80 && before[i] < 170, before[i] + " of 2,200");
            assertTrue(after[i] <= moved / 5, after[i] + " of " + moved);
        }
        PublisherChoice all = new PublisherChoice("x", publishers.subList(0, 2));
        all.failed(0, 0);
        all.failed(1, 0);
        assertTrue(all.retryAtUs(all.next(10)) > 10, "none may be asked now");
        PublisherChoice near = new PublisherChoice("x", publishers, "control-5"::equals);
        assertEquals(5, near.next(0));
    }
}
