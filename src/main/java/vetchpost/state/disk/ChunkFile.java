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
 * Keeps a list of chunks in a file, with the previous generation beside it. A new generation is written under a
 * third name, forced to the disk and moved into place, so that one intact file is left after a crash at any point.
 * Format: eight magic bytes of which the last is the version; for each chunk its length and bytes; a length of 0;
 * the CRC-32C (RFC 3720) of all bytes before. Numbers have four bytes, big-endian. Methods block; one writer at a
 * time.
 */
public final class ChunkFile {
    private final Disk disk;
    private final Path file;
    private final Path previousFile;
    private final Path newFile;
    private final byte[] magic;
    private final long maxBytes;
    private volatile boolean isCurrentCorrupt;

    /** Parses the chunks of a file. */
    public interface Parser<T> {
        /** Returns the content, or throws with the reason why the file can't be used. */
        T parse(List<byte[]> chunks) throws MalformedSnapshotException;
    }

    /**
     * Creates access to a file and to its siblings with the suffixes {@code .old} and {@code .new}.
     *
     * @param magic eight bytes, the last of them the format version
     * @param maxBytes bound on the file's length when reading
     */
    public ChunkFile(Path file, byte[] magic, long maxBytes) {
        this(Disk.SYSTEM, file, magic, maxBytes);
    }

    ChunkFile(Disk disk, Path file, byte[] magic, long maxBytes) {
        this.disk = disk;
        this.file = file.toAbsolutePath();
        previousFile = this.file.resolveSibling(this.file.getFileName() + ".old");
        newFile = this.file.resolveSibling(this.file.getFileName() + ".new");
        this.magic = magic.clone();
        this.maxBytes = maxBytes;
    }

    /**
     * Writes a new generation; blocks until it is on the disk.
     *
     * @return the file's length in bytes
     */
    public long write(List<byte[]> chunks) throws IOException {
        long length = 0;
        CRC32C checksum = new CRC32C();
        try (Disk.Sink sink = disk.create(newFile)) {
            length += append(sink, checksum, ByteBuffer.wrap(magic));
            for (byte[] chunk : chunks) {
                ByteBuffer frame = ByteBuffer.allocate(4 + chunk.length)
                        .putInt(chunk.length)
                        .put(chunk)
                        .flip();
                length += append(sink, checksum, frame);
            }
            length += append(sink, checksum, ByteBuffer.allocate(4));
            sink.write(ByteBuffer.allocate(4).putInt((int) checksum.getValue()).flip());
            length += 4;
            sink.force();
        }
        // A corrupt current file must not replace the previous one, which was read instead.
        if (disk.exists(file) && !isCurrentCorrupt) {
            disk.move(file, previousFile);
        }
        disk.move(newFile, file);
        isCurrentCorrupt = false;
        disk.forceDirectory(file.getParent());
        return length;
    }

    private static int append(Disk.Sink sink, CRC32C checksum, ByteBuffer bytes) throws IOException {
        checksum.update(bytes.duplicate());
        int length = bytes.remaining();
        sink.write(bytes);
        return length;
    }

    /**
     * Parses the newest intact generation.
     *
     * @param onRejected receives one line for each file that exists and can't be used
     * @return the content, or null if there is none
     */
    public <T> T read(Parser<T> parser, Consumer<String> onRejected) {
        isCurrentCorrupt = false;
        for (Path path : new Path[] {file, previousFile}) {
            if (disk.exists(path)) {
                try {
                    return parser.parse(parseChunks(disk.read(path, maxBytes), magic));
                } catch (IOException | MalformedSnapshotException e) {
                    isCurrentCorrupt |= path == file;
                    onRejected.accept(path + " is ignored: " + e.getMessage());
                }
            }
        }
        return null;
    }

    /** Parses the bytes of a file into chunks. */
    static List<byte[]> parseChunks(byte[] bytes, byte[] magic) throws MalformedSnapshotException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte[] header = new byte[magic.length];
        check(in.remaining() >= header.length, "too short for a snapshot");
        in.get(header);
        for (int i = 0; i < header.length - 1; i++) {
            check(header[i] == magic[i], "not a file of this program");
        }
        check(
                header[header.length - 1] == magic[magic.length - 1],
                "format version "
                        + (char) (header[header.length - 1] & 0x7F) + "; this program reads version "
                        + (char) magic[magic.length - 1]);
        List<byte[]> chunks = new ArrayList<>();
        while (true) {
            check(in.remaining() >= 8, "file is truncated");
            int length = in.getInt();
            if (length == 0) {
                break;
            }
            check(
                    length > 0 && length <= ChunkCodec.MAX_CHUNK_BYTES && length <= in.remaining(),
                    "invalid chunk length of " + length + " bytes with " + in.remaining() + " left");
            byte[] chunk = new byte[length];
            in.get(chunk);
            chunks.add(chunk);
        }
        int end = in.position();
        check(in.getInt() == crc(bytes, end), "checksum does not match");
        check(!in.hasRemaining(), "unexpected bytes after the end");
        return chunks;
    }

    private static int crc(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    private static void check(boolean isValid, String message) throws MalformedSnapshotException {
        if (!isValid) {
            throw new MalformedSnapshotException(message);
        }
    }
}
