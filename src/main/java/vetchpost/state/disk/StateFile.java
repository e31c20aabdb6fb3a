package vetchpost.state.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

import vetchpost.state.Snapshot;
import vetchpost.state.codec.Assembly;
import vetchpost.state.codec.MalformedState;
import vetchpost.state.codec.PieceCodec;

/**
 * A snapshot in a file, and the one before it beside it. A new one is written under a third name, forced to
 * the disk, and moved into place, so that whatever happens in between one whole snapshot is left. Format:
 * eight bytes that name it, then for each piece its length and its bytes, then a length of 0 and the CRC-32C
 * (RFC 3720) of all before; numbers of four bytes, big end first.
 */
public final class StateFile {
    /** The bytes a file begins with; the last is the format's version, that of pieces is theirs. */
    private static final byte[] MAGIC = "VPSTATE1".getBytes(StandardCharsets.US_ASCII);
    /** 100,000 boxes take under 24 MiB. */
    static final long MOST_BYTES = 32L << 20;
    private static final long SKEW_MS = 5_000;

    private final Disk disk;
    private final Path file;
    private final Path older;
    private final Path fresh;
    private volatile boolean spoilt;

    /** In this file, and two more whose names begin with its. */
    public StateFile(Path file) {
        this(Disk.SYSTEM, file);
    }

    StateFile(Disk disk, Path file) {
        this.disk = disk;
        this.file = file.toAbsolutePath();
        older = this.file.resolveSibling(this.file.getFileName() + ".old");
        fresh = this.file.resolveSibling(this.file.getFileName() + ".new");
    }

    /**
     * Writes a snapshot; blocks until it is on the disk.
     *
     * @return its length in bytes
     */
    public long write(List<byte[]> pieces) throws IOException {
        long length = 0;
        CRC32C whole = new CRC32C();
        try (Disk.Sink sink = disk.create(fresh)) {
            length += put(sink, whole, ByteBuffer.wrap(MAGIC));
            for (byte[] piece : pieces) {
                ByteBuffer frame = ByteBuffer.allocate(4
                        + piece.length).putInt(piece.length).put(piece).flip();
                length += put(sink, whole, frame);
            }
            length += put(sink, whole, ByteBuffer.allocate(4));
            sink.write(ByteBuffer.allocate(4).putInt((int) whole.getValue()).flip());
            length += 4;
            sink.force();
        }
        // What was found spoilt must not take the place of the one that was read instead.
        if (disk.exists(file) && !spoilt) {
            disk.move(file, older);
        }
        disk.move(fresh, file);
        spoilt = false;
        disk.forceFolder(file.getParent());
        return length;
    }

    private static int put(Disk.Sink sink, CRC32C whole, ByteBuffer bytes) throws IOException {
        whole.update(bytes.duplicate());
        int length = bytes.remaining();
        sink.write(bytes);
        return length;
    }

    /**
     * The newest whole snapshot of the two, or null if there is none.
     *
     * @param nowMs Unix time; a snapshot taken later is not believed
     * @param refused hears in one line of each file that is there and can't be used
     */
    public Snapshot read(long nowMs, Consumer<String> refused) {
        spoilt = false;
        for (Path path : new Path[] {file, older}) {
            if (disk.exists(path)) {
                try {
                    Snapshot snapshot = parse(disk.read(path, MOST_BYTES));
                    if (snapshot.origin().takenMs() <= nowMs + SKEW_MS) {
                        return snapshot;
                    }
                    spoilt |= path == file;
                    refused.accept(path + " is passed over: it is from the future, or the clock is wrong");
                } catch (IOException | MalformedState e) {
                    spoilt |= path == file;
                    refused.accept(path + " is passed over: " + e.getMessage());
                }
            }
        }
        return null;
    }

    /** Reads the bytes of a file. */
    static Snapshot parse(byte[] bytes) throws MalformedState {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte[] magic = new byte[MAGIC.length];
        check(in.remaining() >= magic.length, "too short for a snapshot");
        in.get(magic);
        for (int i = 0; i < magic.length - 1; i++) {
            check(magic[i] == MAGIC[i], "no snapshot of this program's");
        }
        check(magic[magic.length - 1] == MAGIC[magic.length - 1], "a newer format, "
                + (char) (magic[magic.length - 1] & 0x7F) + "; this program knows 1");
        Assembly assembly = new Assembly();
        while (true) {
            check(in.remaining() >= 8, "it ends too early");
            int length = in.getInt();
            if (length == 0) {
                break;
            }
            check(length > 0 && length <= PieceCodec.MOST_BYTES && length <= in.remaining(),
                    "a piece of " + length + " bytes with " + in.remaining() + " left");
            byte[] piece = new byte[length];
            in.get(piece);
            assembly.add(PieceCodec.read(piece));
        }
        int end = in.position();
        check(in.getInt() == crc(bytes, end), "its checksum doesn't fit");
        check(!in.hasRemaining(), "more than a snapshot");
        check(assembly.isWhole(), "pieces are missing");
        return assembly.snapshot();
    }

    private static int crc(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static void check(boolean holds, String otherwise) throws MalformedState {
        if (!holds) {
            throw new MalformedState(otherwise);
        }
    }
}
