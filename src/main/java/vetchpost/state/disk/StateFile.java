package vetchpost.state.disk;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import vetchpost.state.Snapshot;
import vetchpost.state.codec.ChunkAssembler;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.codec.MalformedSnapshotException;

/** A snapshot in a file, and the one before it beside it, whatever happens while it is written. */
public final class StateFile {
    /** The bytes a file begins with; the last is the format's version, that of pieces is theirs. */
    private static final byte[] MAGIC = "VPSTATE1".getBytes(StandardCharsets.US_ASCII);
    /** 100,000 boxes take under 24 MiB. */
    static final long MAX_FILE_BYTES = 32L << 20;

    private static final long MAX_CLOCK_SKEW_MS = 5_000;

    private final ChunkFile chunkFile;

    /** In this file, and two more whose names begin with its. */
    public StateFile(Path file) {
        this(Disk.SYSTEM, file);
    }

    StateFile(Disk disk, Path file) {
        chunkFile = new ChunkFile(disk, file, MAGIC, MAX_FILE_BYTES);
    }

    /**
     * Writes a snapshot; blocks until it is on the disk.
     *
     * @return its length in bytes
     */
    public long write(List<byte[]> all) throws IOException {
        return chunkFile.write(all);
    }

    /**
     * The newest whole snapshot of the two, or null if there is none.
     *
     * @param nowMs Unix time; a snapshot taken later is not believed
     * @param refused hears in one line of each file that is there and can't be used
     */
    public Snapshot read(long nowMs, Consumer<String> refused) {
        return chunkFile.read(
                all -> {
                    Snapshot snapshot = assemble(all);
                    if (snapshot.origin().takenMs() > nowMs + MAX_CLOCK_SKEW_MS) {
                        throw new MalformedSnapshotException("it is from the future, or the clock is wrong");
                    }
                    return snapshot;
                },
                refused);
    }

    /** Reads the bytes of a file. */
    static Snapshot parse(byte[] bytes) throws MalformedSnapshotException {
        return assemble(ChunkFile.parseChunks(bytes, MAGIC));
    }

    private static Snapshot assemble(List<byte[]> all) throws MalformedSnapshotException {
        ChunkAssembler assembly = new ChunkAssembler();
        for (byte[] piece : all) {
            assembly.add(ChunkCodec.read(piece));
        }
        if (!assembly.isComplete()) {
            throw new MalformedSnapshotException("pieces are missing");
        }
        return assembly.snapshot();
    }
}
