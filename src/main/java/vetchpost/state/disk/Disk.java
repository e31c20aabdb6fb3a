package vetchpost.state.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The file system calls of {@link ChunkFile}, behind an interface so that tests can fail or stop at each one. */
interface Disk {
    /** The default file system. */
    Disk SYSTEM = new Disk() {
        @Override
        public Sink create(Path file) throws IOException {
            FileChannel channel = FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
            return new Sink() {
                @Override
                public void write(ByteBuffer bytes) throws IOException {
                    while (bytes.hasRemaining()) {
                        channel.write(bytes);
                    }
                }

                @Override
                public void force() throws IOException {
                    channel.force(true);
                }

                @Override
                public void close() throws IOException {
                    channel.close();
                }
            };
        }

        @Override
        public void move(Path from, Path to) throws IOException {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        }

        @Override
        public void forceDirectory(Path directory) throws IOException {
            try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
                channel.force(true);
            }
        }

        @Override
        public boolean exists(Path file) {
            return Files.exists(file);
        }

        @Override
        public byte[] read(Path file, long maxBytes) throws IOException {
            if (!Files.isRegularFile(file)) {
                throw new IOException("is not a regular file");
            }
            long size = Files.size(file);
            if (size > maxBytes) {
                throw new IOException("is longer than " + maxBytes + " bytes");
            }
            byte[] bytes = new byte[(int) size];
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
                ByteBuffer buffer = ByteBuffer.wrap(bytes);
                while (buffer.hasRemaining() && channel.read(buffer) >= 0) {
                    continue;
                }
            }
            return bytes;
        }
    };

    /** A file open for writing. */
    interface Sink extends AutoCloseable {
        void write(ByteBuffer bytes) throws IOException;

        /** Forces all written bytes to the disk. */
        void force() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Creates an empty file, replacing an existing one. */
    Sink create(Path file) throws IOException;

    /** Moves a file atomically, replacing an existing one. */
    void move(Path from, Path to) throws IOException;

    /** Forces the directory's entries to the disk. */
    void forceDirectory(Path directory) throws IOException;

    boolean exists(Path file);

    /** Reads a file; throws if it is longer than {@code maxBytes}. */
    byte[] read(Path file, long maxBytes) throws IOException;
}
