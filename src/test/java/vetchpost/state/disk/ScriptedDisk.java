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
 * A disk that loses what was not forced, as a machine that loses its power does: contents not forced come
 * back torn or empty, and of the moves not forced only some first ones have happened. Any call can be the
 * last one.
 */
final class ScriptedDisk implements Disk {
    /** The process is gone in the midst of a call. */
    static final class Killed extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** A file's bytes, and how many of them are surely on the disk. */
    private static final class StoredFile {
        byte[] bytes = new byte[0];
        int forcedBytes;
    }

    private final Map<Path, StoredFile> files = new LinkedHashMap<>();
    /** Names as they are on the disk, and the changes to them that are not forced. */
    private Map<Path, StoredFile> onDisk = new HashMap<>();

    private final List<Map<Path, StoredFile>> unforced = new ArrayList<>();
    private int calls;
    private int killAtCall = Integer.MAX_VALUE;
    private IOException writeFailure;

    /** The call of this number, from 1, is cut off halfway, and there is none after it. */
    void killAt(int call) {
        calls = 0;
        killAtCall = call;
    }

    /** Writes fail so from now on; null for no more. */
    void failWritesWith(IOException how) {
        writeFailure = how;
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

    /** The machine is back after it lost its power: what was not forced is there or not, by chance. */
    ScriptedDisk afterPowerLoss(SplittableRandom chance) {
        ScriptedDisk back = new ScriptedDisk();
        int kept = chance.nextInt(unforced.size() + 1);
        Map<Path, StoredFile> found = kept == 0 ? onDisk : unforced.get(kept - 1);
        found.forEach((path, file) -> {
            StoredFile bytes = new StoredFile();
            int length = file.forcedBytes + chance.nextInt(file.bytes.length - file.forcedBytes + 1);
            bytes.bytes = Arrays.copyOf(file.bytes, length);
            // What the disk had at hand of blocks that were not forced.
            for (int i = file.forcedBytes; i < length; i++) {
                bytes.bytes[i] = chance.nextInt(3) == 0 ? 0 : bytes.bytes[i];
            }
            bytes.forcedBytes = length;
            back.files.put(path, bytes);
        });
        back.onDisk = new HashMap<>(back.files);
        return back;
    }

    /** The process was killed, and the machine goes on: all that the system had taken is there. */
    ScriptedDisk afterKill() {
        ScriptedDisk back = new ScriptedDisk();
        back.files.putAll(files);
        back.onDisk = new HashMap<>(files);
        return back;
    }

    /** Puts a file there as it is. */
    void put(Path file, byte[] bytes) {
        StoredFile fresh = new StoredFile();
        fresh.bytes = bytes;
        fresh.forcedBytes = bytes.length;
        files.put(file, fresh);
        onDisk.put(file, fresh);
    }

    byte[] get(Path file) {
        return files.get(file).bytes;
    }

    @Override
    public Sink create(Path file) throws IOException {
        boolean last = isKilledCall();
        if (writeFailure != null) {
            throw writeFailure;
        }
        StoredFile fresh = new StoredFile();
        files.put(file, fresh);
        recordMove();
        if (last) {
            throw new Killed();
        }
        return new Sink() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                boolean lastWrite = isKilledCall();
                if (writeFailure != null) {
                    throw writeFailure;
                }
                int length = lastWrite ? bytes.remaining() / 2 : bytes.remaining();
                int at = fresh.bytes.length;
                fresh.bytes = Arrays.copyOf(fresh.bytes, at + length);
                bytes.get(fresh.bytes, at, length);
                if (lastWrite) {
                    throw new Killed();
                }
            }

            @Override
            public void force() {
                if (isKilledCall()) {
                    throw new Killed();
                }
                fresh.forcedBytes = fresh.bytes.length;
            }

            @Override
            public void close() {
                // Nothing is held open.
            }
        };
    }

    @Override
    public void move(Path from, Path to) throws IOException {
        boolean last = isKilledCall();
        if (writeFailure != null) {
            throw writeFailure;
        }
        if (last) {
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
    public void forceDirectory(Path folder) {
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
    public byte[] read(Path file, long most) throws IOException {
        byte[] bytes = files.get(file).bytes;
        if (bytes.length > most) {
            throw new IOException("is over " + most + " bytes");
        }
        return bytes.clone();
    }
}
