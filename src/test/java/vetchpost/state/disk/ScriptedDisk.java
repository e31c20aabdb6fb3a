package vetchpost.state.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * An in-memory disk that can lose unforced data as in a power loss: unforced contents are torn or empty, and only a
 * prefix of the unforced moves has happened. The process can be killed at any call.
 */
final class ScriptedDisk implements Disk {
    /** The process was killed during a call. */
    static final class Killed extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** A file's bytes, and how many of them are forced to the disk. */
    private static final class StoredFile {
        byte[] bytes = new byte[0];
        int forcedBytes;
    }

    private final Map<Path, StoredFile> files = new LinkedHashMap<>();
    /** The directory as forced to the disk. */
    private Map<Path, StoredFile> onDisk = new HashMap<>();

    /** The directory after each change that is not forced. */
    private final List<Map<Path, StoredFile>> unforced = new ArrayList<>();

    private int calls;
    private int killAtCall = Integer.MAX_VALUE;
    private IOException writeFailure;

    /** Kills the process halfway through a call, numbered from 1. */
    void killAt(int call) {
        calls = 0;
        killAtCall = call;
    }

    /** Makes writes fail with an exception from now on; null ends that. */
    void failWritesWith(IOException failure) {
        writeFailure = failure;
    }

    int calls() {
        return calls;
    }

    private boolean isKilledCall() {
        if (++calls > killAtCall) {
            throw new Killed();
        }
        return calls == killAtCall;
    }

    private void recordMove() {
        unforced.add(new HashMap<>(files));
    }

    /** Returns the disk after a power loss: unforced data is kept or lost at random. */
    ScriptedDisk afterPowerLoss(SplittableRandom random) {
        ScriptedDisk restarted = new ScriptedDisk();
        int forcedMoves = random.nextInt(unforced.size() + 1);
        Map<Path, StoredFile> survivingFiles = forcedMoves == 0 ? onDisk : unforced.get(forcedMoves - 1);
        survivingFiles.forEach((path, file) -> {
            StoredFile bytes = new StoredFile();
            int length = file.forcedBytes + random.nextInt(file.bytes.length - file.forcedBytes + 1);
            bytes.bytes = Arrays.copyOf(file.bytes, length);
            // Unforced blocks may read as zeros.
            for (int i = file.forcedBytes; i < length; i++) {
                bytes.bytes[i] = random.nextInt(3) == 0 ? 0 : bytes.bytes[i];
            }
            bytes.forcedBytes = length;
            restarted.files.put(path, bytes);
        });
        restarted.onDisk = new HashMap<>(restarted.files);
        return restarted;
    }

    /** Returns the disk after the process was killed: everything written is there. */
    ScriptedDisk afterKill() {
        ScriptedDisk restarted = new ScriptedDisk();
        restarted.files.putAll(files);
        restarted.onDisk = new HashMap<>(files);
        return restarted;
    }

    /** Creates a forced file. */
    void put(Path file, byte[] bytes) {
        StoredFile newFile = new StoredFile();
        newFile.bytes = bytes;
        newFile.forcedBytes = bytes.length;
        files.put(file, newFile);
        onDisk.put(file, newFile);
    }

    byte[] get(Path file) {
        return files.get(file).bytes;
    }

    @Override
    public Sink create(Path file) throws IOException {
        boolean isKilled = isKilledCall();
        if (writeFailure != null) {
            throw writeFailure;
        }
        StoredFile newFile = new StoredFile();
        files.put(file, newFile);
        recordMove();
        if (isKilled) {
            throw new Killed();
        }
        return new Sink() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                boolean isKilledWrite = isKilledCall();
                if (writeFailure != null) {
                    throw writeFailure;
                }
                int length = isKilledWrite ? bytes.remaining() / 2 : bytes.remaining();
                int at = newFile.bytes.length;
                newFile.bytes = Arrays.copyOf(newFile.bytes, at + length);
                bytes.get(newFile.bytes, at, length);
                if (isKilledWrite) {
                    throw new Killed();
                }
            }

            @Override
            public void force() {
                if (isKilledCall()) {
                    throw new Killed();
                }
                newFile.forcedBytes = newFile.bytes.length;
            }

            @Override
            public void close() {
                // Nothing to release.
            }
        };
    }

    @Override
    public void move(Path from, Path to) throws IOException {
        boolean isKilled = isKilledCall();
        if (writeFailure != null) {
            throw writeFailure;
        }
        if (isKilled) {
            throw new Killed();
        }
        StoredFile moved = files.remove(from);
        if (moved == null) {
            throw new IOException("no such file: " + from);
        }
        files.put(to, moved);
        recordMove();
    }

    @Override
    public void forceDirectory(Path directory) {
        if (isKilledCall()) {
            throw new Killed();
        }
        onDisk = new HashMap<>(files);
        unforced.clear();
    }

    @Override
    public boolean exists(Path file) {
        return files.containsKey(file);
    }

    @Override
    public byte[] read(Path file, long maxBytes) throws IOException {
        byte[] bytes = files.get(file).bytes;
        if (bytes.length > maxBytes) {
            throw new IOException("is longer than " + maxBytes + " bytes");
        }
        return bytes.clone();
    }
}
