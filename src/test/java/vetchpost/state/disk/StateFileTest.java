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

/** An intact snapshot survives crashes, power loss, full disks and corrupt files. */
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

    /** The process is killed or power is lost at each disk call of a third write. */
    @Test
    void aWriteStoppedAtAnyStepLeavesAWholeSnapshot() throws IOException {
        ScriptedDisk count = new ScriptedDisk();
        new StateFile(count, FILE).write(TestChunks.of(THIRD));
        int steps = count.calls() + 1;
        assertTrue(steps >= 8, steps + " steps");
        SplittableRandom random = new SplittableRandom(14);
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
                Snapshot left = read(power ? disk.afterPowerLoss(random) : disk.afterKill());
                assertNotNull(left, "step " + step + ": " + lines);
                assertTrue(left.equals(SECOND) || left.equals(THIRD), "step " + step);
                newer += left.equals(THIRD) ? 1 : 0;
                powerLost += power ? 1 : 0;
                // The next process must be able to write over what is left.
                ScriptedDisk next = power ? disk.afterPowerLoss(random) : disk.afterKill();
                new StateFile(next, FILE).write(TestChunks.of(THIRD));
                assertEquals(THIRD, read(next));
            }
        }
        assertTrue(newer > 0 && newer < powerLost, newer + " of " + powerLost);
    }

    /** The current file is corrupt and the next write is interrupted: the previous file must not be lost. */
    @Test
    void aCorruptFileDoesNotReplaceThePreviousOne() throws IOException {
        SplittableRandom random = new SplittableRandom(15);
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
                Snapshot left = read(disk.afterPowerLoss(random));
                assertTrue(FIRST.equals(left) || THIRD.equals(left), "step " + step + ": " + lines);
            }
        }
        assertEquals(900, stopped, "a write makes nine disk calls");
    }

    @Test
    void aTruncatedFileFallsBackToThePrevious() throws IOException {
        byte[] intact = bytes(SECOND);
        for (int length = 0; length < intact.length; length += length < 100 || length > intact.length - 100 ? 1 : 97) {
            ScriptedDisk disk = new ScriptedDisk();
            disk.put(FILE, Arrays.copyOf(intact, length));
            disk.put(PREVIOUS_FILE, bytes(FIRST));
            assertEquals(FIRST, read(disk), length + " bytes");
            assertEquals(1, lines.size(), "one line is reported");
            assertTrue(lines.get(0).startsWith(FILE + " is ignored: "), lines.get(0));
        }
    }

    @Test
    void aFlippedBitFallsBackToThePrevious() throws IOException {
        byte[] intact = bytes(TestSnapshots.of(12, 2, NOW_MS - 1_000));
        byte[] previous = bytes(FIRST);
        for (int bit = 0; bit < 8 * intact.length; bit++) {
            ScriptedDisk disk = new ScriptedDisk();
            byte[] flipped = intact.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            disk.put(FILE, flipped);
            disk.put(PREVIOUS_FILE, previous);
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
        assertTrue(lines.get(0).contains("not a file of this program"), lines.get(0));
        assertTrue(lines.get(1).contains("is longer than 33554432 bytes"), lines.get(1));
        byte[] newer = bytes(FIRST);
        newer[7] = '2';
        disk.put(FILE, newer);
        read(disk);
        assertTrue(lines.get(0).contains("format version 2; this program reads version 1"), lines.get(0));
    }

    /** The clock was a year ahead when the snapshot was written, or has been set back since. */
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
        assertNotNull(read(disk), "a small clock skew is tolerated");
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
        byte[] intact = bytes(TestSnapshots.of(40, 3, NOW_MS - 1_000));
        for (int i = 0; i < 10_000; i++) {
            byte[] bytes = corrupted(intact, random);
            if (!Arrays.equals(bytes, intact)) {
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
    void keepsTwoGenerationsOnTheRealDisk(@TempDir Path directory) throws IOException {
        Path path = directory.resolve("boxes");
        StateFile file = new StateFile(path);
        file.write(TestChunks.of(FIRST));
        file.write(TestChunks.of(SECOND));
        assertEquals(SECOND, new StateFile(path).read(NOW_MS, lines::add));
        Files.write(path, new byte[] {1, 2, 3});
        assertEquals(FIRST, new StateFile(path).read(NOW_MS, lines::add));
        assertEquals(1, lines.size());
        Files.delete(path);
        Files.createDirectory(path);
        assertEquals(FIRST, new StateFile(path).read(NOW_MS, lines::add), "a directory is ignored");
        assertThrows(
                IOException.class, () -> new StateFile(directory.resolve("missing/boxes")).write(TestChunks.of(FIRST)));
    }
}
