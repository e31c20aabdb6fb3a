package vetchpost.state.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import vetchpost.state.codec.ChunkCodec;
import vetchpost.state.codec.MalformedSnapshotException;

/**
 * Pieces in a file, and those before them beside it. New ones are written under a third name, forced to the
 * disk, and moved into place, so that whatever happens in between one whole file is left. Format: eight bytes
 * that name it, the last of them its version, then for each piece its length and its bytes, then a length of
 * 0 and the CRC-32C (RFC 3720) of all before; numbers of four bytes, big end first.
 */
public final class ChunkFile {
    private final Disk disk;
    private final Path file;
    private final Path previousFile;
    private final Path newFile;
    private final byte[] magic;
    private final long maxBytes;
    private volatile boolean isCurrentCorrupt;

    /** Makes something of a file's pieces. */
    public interface Parser<T> {
        /** Makes it, or says why it can't. */
        T parse(List<byte[]> pieces) throws MalformedSnapshotException;
    }

    /**
     * In this file, and two more whose names begin with its.
     *
     * @param magic eight bytes
     * @param most bytes of the file
     */
    public ChunkFile(Path file, byte[] magic, long most) {
        this(Disk.SYSTEM, file, magic, most);
    }

    ChunkFile(Disk disk, Path file, byte[] magic, long most) {
        this.disk = disk;
        this.file = file.toAbsolutePath();
        previousFile = this.file.resolveSibling(this.file.getFileName() + ".old");
        newFile = this.file.resolveSibling(this.file.getFileName() + ".new");
        this.magic = magic.clone();
        this.maxBytes = most;
    }

    /**
     * Writes pieces; blocks until they are on the disk.
     *
     * @return the file's length in bytes
     */
    public long write(List<byte[]> pieces) throws IOException {
        long length = 0;
        CRC32C whole = new CRC32C();
        try (Disk.Sink sink = disk.create(newFile)) {
            length += append(sink, whole, ByteBuffer.wrap(magic));
            for (byte[] piece : pieces) {
                ByteBuffer frame = ByteBuffer.allocate(4 + piece.length)
                        .putInt(piece.length)
                        .put(piece)
                        .flip();
                length += append(sink, whole, frame);
            }
            length += append(sink, whole, ByteBuffer.allocate(4));
            sink.write(ByteBuffer.allocate(4).putInt((int) whole.getValue()).flip());
            length += 4;
            sink.force();
        }
        // What was found spoilt must not take the place of the one that was read instead.
        if (disk.exists(file) && !isCurrentCorrupt) {
            disk.move(file, previousFile);
        }
        disk.move(newFile, file);
        isCurrentCorrupt = false;
        disk.forceDirectory(file.getParent());
        return length;
    }

    private static int append(Disk.Sink sink, CRC32C whole, ByteBuffer bytes) throws IOException {
        whole.update(bytes.duplicate());
        int length = bytes.remaining();
        sink.write(bytes);
        return length;
    }

    /**
     * What is made of the newest whole file of the two, or null if there is none.
     *
     * @param refused hears in one line of each file that is there and can't be used
     */
    public <T> T read(Parser<T> parser, Consumer<String> refused) {
        isCurrentCorrupt = false;
        for (Path path : new Path[] {file, previousFile}) {
            if (disk.exists(path)) {
                try {
                    return parser.parse(parseChunks(disk.read(path, maxBytes), magic));
                } catch (IOException | MalformedSnapshotException e) {
                    isCurrentCorrupt |= path == file;
                    refused.accept(path + " is passed over: " + e.getMessage());
                }
            }
        }
        return null;
    }

    /** The pieces in the bytes of a file. */
    static List<byte[]> parseChunks(byte[] bytes, byte[] magic) throws MalformedSnapshotException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte[] begin = new byte[magic.length];
        check(in.remaining() >= begin.length, "too short for a snapshot");
        in.get(begin);
        for (int i = 0; i < begin.length - 1; i++) {
            check(begin[i] == magic[i], "no snapshot of this program's");
        }
        check(
                begin[begin.length - 1] == magic[magic.length - 1],
                "a newer format, "
                        + (char) (begin[begin.length - 1] & 0x7F) + "; this program knows "
                        + (char) magic[magic.length - 1]);
        List<byte[]> pieces = new ArrayList<>();
        while (true) {
            check(in.remaining() >= 8, "it ends too early");
            int length = in.getInt();
            if (length == 0) {
                break;
            }
            check(
                    length > 0 && length <= ChunkCodec.MAX_CHUNK_BYTES && length <= in.remaining(),
                    "a piece of " + length + " bytes with " + in.remaining() + " left");
            byte[] piece = new byte[length];
            in.get(piece);
            pieces.add(piece);
        }
        int end = in.position();
        check(in.getInt() == crc(bytes, end), "its checksum doesn't fit");
        check(!in.hasRemaining(), "more than a snapshot");
        return pieces;
    }

    private static int crc(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static void check(boolean holds, String otherwise) throws MalformedSnapshotException {
        if (!holds) {
            throw new MalformedSnapshotException(otherwise);
        }
    }
}
