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

/** Keeps a snapshot in a file, with the previous one beside it. Methods block and are not called on an event loop. */
public final class StateFile {
    /** The last byte is the version of the file format; chunks have a version of their own. */
    private static final byte[] MAGIC = "VPSTATE1".getBytes(StandardCharsets.US_ASCII);
    /** 100,000 servers take under 24 MiB. */
    static final long MAX_FILE_BYTES = 32L << 20;

    private static final long MAX_CLOCK_SKEW_MS = 5_000;

    private final ChunkFile chunkFile;

    /** Creates access to a file; the previous and the unfinished one are siblings with a suffix. */
    public StateFile(Path file) {
        this(Disk.SYSTEM, file);
    }

    StateFile(Disk disk, Path file) {
        chunkFile = new ChunkFile(disk, file, MAGIC, MAX_FILE_BYTES);
    }

    /**
     * Writes the chunks of a snapshot; blocks until they are on the disk.
     *
     * @return the file's length in bytes
     */
    public long write(List<byte[]> chunks) throws IOException {
        return chunkFile.write(chunks);
    }

    /**
     * Reads the newest intact snapshot.
     *
     * @param nowMs Unix time in milliseconds; a snapshot taken later is rejected
     * @param onRejected receives one line for each file that exists and can't be used
     * @return the snapshot, or null if there is none
     */
    public Snapshot read(long nowMs, Consumer<String> onRejected) {
        return chunkFile.read(
                chunks -> {
                    Snapshot snapshot = assemble(chunks);
                    if (snapshot.origin().takenMs() > nowMs + MAX_CLOCK_SKEW_MS) {
                        throw new MalformedSnapshotException(
                                "snapshot is from the future, or this machine's clock is wrong");
                    }
                    return snapshot;
                },
                onRejected);
    }

    /** Parses the bytes of a file. */
    static Snapshot parse(byte[] bytes) throws MalformedSnapshotException {
        return assemble(ChunkFile.parseChunks(bytes, MAGIC));
    }

    private static Snapshot assemble(List<byte[]> chunks) throws MalformedSnapshotException {
        ChunkAssembler assembler = new ChunkAssembler();
        for (byte[] chunk : chunks) {
            assembler.add(ChunkCodec.read(chunk));
        }
        if (!assembler.isComplete()) {
            throw new MalformedSnapshotException("chunks are missing");
        }
        return assembler.snapshot();
    }
}
