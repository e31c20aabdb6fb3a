package vetchpost.replication.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import vetchpost.replication.Frame;
import vetchpost.replication.FrameCodec;
import vetchpost.state.disk.ChunkFile;
import vetchpost.store.EntryChange;
import vetchpost.store.EntryKey;
import vetchpost.store.EntryKind;
import vetchpost.store.Version;
import vetchpost.store.VersionedStore;

/** A store on the disk is read as it was, or not at all. */
class StoreFileTest {
    @TempDir
    private Path folder;

    private static VersionedStore store(int entries) {
        List<EntryChange> changes = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            changes.add(EntryChange.put(new EntryKey(EntryKind.ROUTE, "/route/" + i), new byte[i % 90]));
        }
        return VersionedStore.EMPTY
                .with(changes, Version.of(1, 1))
                .with(
                        List.of(
                                EntryChange.delete(new EntryKey(EntryKind.ROUTE, "/route/3")),
                                EntryChange.put(new EntryKey(EntryKind.TENANT, "ann"), new byte[9])),
                        Version.of(2, 7));
    }

    private static void assertSameStore(VersionedStore a, VersionedStore b) {
        assertEquals(a.version(), b.version());
        assertEquals(a.horizon(), b.horizon());
        assertEquals(a.live().sum(), b.live().sum());
        assertEquals(a.removed().sum(), b.removed().sum());
    }

    @Test
    void readsBackWhatWasWritten() throws Exception {
        StoreFile file = new StoreFile(folder.resolve("store"));
        assertNull(file.read(line -> {}));
        for (int entries : new int[] {4, 5_000}) {
            VersionedStore store = store(entries);
            file.write(store);
            assertSameStore(store, file.read(line -> {}));
        }
    }

    /** Its checksum fits, and its entries are not those of its sum. */
    @Test
    void rejectsAFileWhoseEntriesDoNotMatchItsSum() throws Exception {
        Path path = folder.resolve("store");
        VersionedStore store = store(3);
        VersionedStore other = store(5);
        try (FrameCodec codec = new FrameCodec()) {
            new ChunkFile(path, "VPSTORE1".getBytes(java.nio.charset.StandardCharsets.US_ASCII), 1 << 20)
                    .write(List.of(
                            codec.write(Frame.delta(
                                    0, store.version(), 0, true, other.live().sum(), List.of())),
                            codec.write(Frame.items(
                                    0,
                                    store.live().range(null, null, 9).stream()
                                            .map(i -> new Frame.Entry(i.key(), i.value(), i.stamp()))
                                            .toList()))));
        }
        List<String> refused = new ArrayList<>();
        assertNull(new StoreFile(path).read(refused::add));
        assertTrue(refused.get(0).endsWith("its entries don't come to its sum"), refused.get(0));
    }

    @Test
    void fallsBackToThePreviousFileWhenTheNewestIsCorrupt() throws Exception {
        Path path = folder.resolve("store");
        StoreFile file = new StoreFile(path);
        VersionedStore before = store(50);
        file.write(before);
        file.write(store(60));
        byte[] good = Files.readAllBytes(path);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 300; i++) {
            byte[] spoilt = good.clone();
            if (i % 2 == 0) {
                spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 << random.nextInt(8));
            } else {
                spoilt = java.util.Arrays.copyOf(spoilt, random.nextInt(spoilt.length));
            }
            Files.write(path, spoilt);
            List<String> refused = new ArrayList<>();
            assertSameStore(before, file.read(refused::add));
            assertEquals(1, refused.size());
            assertTrue(refused.get(0).contains("is passed over"), refused.get(0));
        }
    }
}
