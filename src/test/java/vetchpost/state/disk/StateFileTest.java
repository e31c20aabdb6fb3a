package vetchpost.state.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import vetchpost.state.Snapshot;
import vetchpost.state.TestSnapshots;
import vetchpost.state.codec.MalformedSnapshotException;
import vetchpost.state.codec.TestChunks;

/** One whole snapshot is left, whatever happens to the file, the disk or the process. */
class StateFileTest {
    private static final Path FILE = Path.of("/state/boxes");
    private static final Path PREVIOUS_FILE = Path.of("/state/boxes.old");
    private static final long NOW_MS = TestSnapshots.NOW_MS;

    private final List<String> lines = new ArrayList<>();

    private Snapshot read(Disk disk) {
        lines.clear();
        return new StateFile(disk, FILE).read(NOW_MS, lines::add);
    }

    private static byte[] bytes(Snapshot snapshot) throws IOException {
        ScriptedDisk disk = new ScriptedDisk();
        new StateFile(disk, FILE).write(TestChunks.of(snapshot));
        return disk.get(FILE);
    }

    private static final Snapshot FIRST = TestSnapshots.of(130, 3, NOW_MS - 20_000);
    private static final Snapshot SECOND = TestSnapshots.of(140, 4, NOW_MS - 10_000);
    private static final Snapshot THIRD = TestSnapshots.of(150, 5, NOW_MS - 5_000);

    @Test
    void readsTheNewestAndKeepsThePrevious() throws IOException {
        ScriptedDisk disk = new ScriptedDisk();
        assertNull(read(disk));
        StateFile file = new StateFile(disk, FILE);
        file.write(TestChunks.of(FIRST));
        file.write(TestChunks.of(SECOND));
        long length = file.write(TestChunks.of(THIRD));
        assertEquals(THIRD, read(disk));
        assertEquals(List.of(), lines);
        assertEquals(length, disk.get(FILE).length);
        disk.put(FILE, new byte[0]);
        assertEquals(SECOND, read(disk));
        assertEquals(1, lines.size());
    }

    /** A process killed, or a machine without power, at each call that a third write makes to the system. */
    @Test
    void aWriteStoppedAtAnyStepLeavesAWholeSnapshot() throws IOException {
        ScriptedDisk count = new ScriptedDisk();
        new StateFile(count, FILE).write(TestChunks.of(THIRD));
        int steps = count.calls() + 1;
        assertTrue(steps >= 8, steps + " steps");
        SplittableRandom chance = new SplittableRandom(14);
        int newer = 0;
        int powerLost = 0;
        for (int step = 1; step <= steps; step++) {
            for (int round = 0; round < 200; round++) {
                ScriptedDisk disk = new ScriptedDisk();
                StateFile file = new StateFile(disk, FILE);
                file.write(TestChunks.of(FIRST));
                file.write(TestChunks.of(SECOND));
                disk.killAt(step);
                assertThrows(ScriptedDisk.Killed.class, () -> file.write(TestChunks.of(THIRD)));
                boolean power = round > 0;
                Snapshot left = read(power ? disk.afterPowerLoss(chance) : disk.afterKill());
                assertNotNull(left, "step " + step + ": " + lines);
                assertTrue(left.equals(SECOND) || left.equals(THIRD), "step " + step);
                newer += left.equals(THIRD) ? 1 : 0;
                powerLost += power ? 1 : 0;
                // And the next process can write again over whatever lies there.
                ScriptedDisk next = power ? disk.afterPowerLoss(chance) : disk.afterKill();
                new StateFile(next, FILE).write(TestChunks.of(THIRD));
                assertEquals(THIRD, read(next));
            }
        }
        assertTrue(newer > 0 && newer < powerLost, newer + " of " + powerLost);
    }

    /**
     * The newer one is spoilt: a write that is stopped then must not cost the older one, which is all there
     * is.
     */
    @Test
    void aCorruptFileDoesNotReplaceThePreviousOne() throws IOException {
        SplittableRandom chance = new SplittableRandom(15);
        int stopped = 0;
        for (int step = 1; step <= 10; step++) {
            for (int round = 0; round < 100; round++) {
                ScriptedDisk disk = new ScriptedDisk();
                disk.put(FILE, new byte[] {1, 2, 3});
                disk.put(PREVIOUS_FILE, bytes(FIRST));
                StateFile file = new StateFile(disk, FILE);
                assertEquals(FIRST, file.read(NOW_MS, lines::add));
                disk.killAt(step);
                try {
                    file.write(TestChunks.of(THIRD));
                } catch (ScriptedDisk.Killed e) {
                    stopped++;
                }
                Snapshot left = read(disk.afterPowerLoss(chance));
                assertTrue(FIRST.equals(left) || THIRD.equals(left), "step " + step + ": " + lines);
            }
        }
        assertEquals(900, stopped, "at each of nine calls");
    }

    @Test
    void aTruncatedFileFallsBackToThePrevious() throws IOException {
        byte[] whole = bytes(SECOND);
        for (int length = 0; length < whole.length; length += length < 100 || length > whole.length - 100 ? 1 : 97) {
            ScriptedDisk disk = new ScriptedDisk();
            disk.put(FILE, Arrays.copyOf(whole, length));
            disk.put(PREVIOUS_FILE, bytes(FIRST));
            assertEquals(FIRST, read(disk), length + " bytes");
            assertEquals(1, lines.size(), "one line is said");
            assertTrue(lines.get(0).startsWith(FILE + " is passed over: "), lines.get(0));
        }
    }

    @Test
    void aFlippedBitFallsBackToThePrevious() throws IOException {
        byte[] whole = bytes(TestSnapshots.of(12, 2, NOW_MS - 1_000));
        byte[] older = bytes(FIRST);
        for (int bit = 0; bit < 8 * whole.length; bit++) {
            ScriptedDisk disk = new ScriptedDisk();
            byte[] turned = whole.clone();
            turned[bit / 8] ^= (byte) (1 << bit % 8);
            disk.put(FILE, turned);
            disk.put(PREVIOUS_FILE, older);
            assertEquals(FIRST, read(disk), "bit " + bit);
        }
    }

    @Test
    void reportsFilesThatAreNoSnapshots() throws IOException {
        ScriptedDisk disk = new ScriptedDisk();
        disk.put(FILE, "#!/bin/sh\necho another program's file, and long enough\n".getBytes(StandardCharsets.US_ASCII));
        disk.put(PREVIOUS_FILE, new byte[(int) StateFile.MAX_FILE_BYTES + 1]);
        assertNull(read(disk));
        assertEquals(2, lines.size());
        assertTrue(lines.get(0).contains("no snapshot of this program's"), lines.get(0));
        assertTrue(lines.get(1).contains("over 33554432 bytes"), lines.get(1));
        byte[] newer = bytes(FIRST);
        newer[7] = '2';
        disk.put(FILE, newer);
        read(disk);
        assertTrue(lines.get(0).contains("a newer format, 2; this program knows 1"), lines.get(0));
    }

    /** The clock was a year ahead when it was written, or has been set back since. */
    @Test
    void aSnapshotFromTheFutureFallsBackToThePrevious() throws IOException {
        ScriptedDisk disk = new ScriptedDisk();
        disk.put(FILE, bytes(TestSnapshots.of(12, 0, NOW_MS + 365L * 86_400_000)));
        disk.put(PREVIOUS_FILE, bytes(FIRST));
        assertEquals(FIRST, read(disk));
        assertTrue(lines.get(0).contains("from the future"), lines.get(0));
        disk.put(PREVIOUS_FILE, bytes(TestSnapshots.of(12, 0, NOW_MS + 3_600_000)));
        assertNull(read(disk));
        disk.put(FILE, bytes(TestSnapshots.of(12, 0, NOW_MS + 2_000)));
        assertNotNull(read(disk), "two clocks differ by a little");
    }

    @Test
    void aFullDiskLeavesTheStoredSnapshot() throws IOException {
        ScriptedDisk disk = new ScriptedDisk();
        StateFile file = new StateFile(disk, FILE);
        file.write(TestChunks.of(FIRST));
        disk.failWritesWith(new IOException("No space left on device"));
        for (int i = 0; i < 5; i++) {
            assertThrows(IOException.class, () -> file.write(TestChunks.of(SECOND)));
        }
        assertEquals(FIRST, read(disk));
        disk.failWritesWith(null);
        file.write(TestChunks.of(SECOND));
        assertEquals(SECOND, read(disk));
    }

    @Test
    void rejectsTenThousandCorruptedFiles() throws IOException {
        SplittableRandom random = new SplittableRandom(77);
        byte[] whole = bytes(TestSnapshots.of(40, 3, NOW_MS - 1_000));
        for (int i = 0; i < 10_000; i++) {
            byte[] bytes = corrupted(whole, random);
            if (!Arrays.equals(bytes, whole)) {
                assertThrows(MalformedSnapshotException.class, () -> StateFile.parse(bytes));
            }
        }
    }

    private static byte[] corrupted(byte[] good, SplittableRandom random) {
        byte[] bytes = good.clone();
        for (int n = 1 + random.nextInt(5); n > 0 && bytes.length > 1; n--) {
            int at = random.nextInt(bytes.length);
            switch (random.nextInt(4)) {
                case 0 -> bytes[at] ^= (byte) (1 << random.nextInt(8));
                case 1 -> bytes = Arrays.copyOf(bytes, at);
                case 2 -> bytes = Arrays.copyOf(bytes, bytes.length + 1 + random.nextInt(40));
                default -> System.arraycopy(good, 0, bytes, at, Math.min(good.length, bytes.length - at));
            }
        }
        return bytes;
    }

    @Test
    void keepsTwoGenerationsOnTheRealDisk(@TempDir Path folder) throws IOException {
        Path path = folder.resolve("boxes");
        StateFile file = new StateFile(path);
        file.write(TestChunks.of(FIRST));
        file.write(TestChunks.of(SECOND));
        assertEquals(SECOND, new StateFile(path).read(NOW_MS, lines::add));
        Files.write(path, new byte[] {1, 2, 3});
        assertEquals(FIRST, new StateFile(path).read(NOW_MS, lines::add));
        assertEquals(1, lines.size());
        Files.delete(path);
        Files.createDirectory(path);
        assertEquals(FIRST, new StateFile(path).read(NOW_MS, lines::add), "a folder is no file");
        assertThrows(
                IOException.class, () -> new StateFile(folder.resolve("missing/boxes")).write(TestChunks.of(FIRST)));
    }
}
